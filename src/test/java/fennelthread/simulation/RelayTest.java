package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.wire.Codec;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A leader that its workers can't reach, alone and with other troubles. Workers report every 1.5 s
 * and their leases are 10 s, grants 4 s; a cut lasts longer than a lease, so that without a way
 * around it everything that runs is lost.
 */
class RelayTest {
  static {
    Production.serve();
  }

  private static final int MACHINES = 200;
  private static final long CUT_MS = 14_000;

  /** Reports and commands go through peers: nothing is lost, the leader stays, jobs start. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aLeaderCutFromItsWorkersGoesOn(long seed) {
    SimulatedCluster c = fleet(seed);
    List<JobSpec> services = services(c);
    String leader = c.leader();
    int before = c.rules.starts;
    c.world.cut(leader, "n-", CUT_MS);
    c.world.runUntil(33_000);
    JobSpec job = c.plain(true, 10);
    c.submit(job);
    c.world.runUntil(37_000);
    assertEquals(10, c.rules.running(job.id()), "a job submitted while it is cut off runs");
    c.world.runUntil(60_000);
    assertEquals(leader, c.leader());
    assertEquals(before + 10, c.rules.starts, "a task was lost");
    assertTrue(c.allRun(services));
  }

  /**
   * The same in an outage of the state service, when nobody can claim: relaying is all there is.
   */
  @ParameterizedTest
  @ValueSource(longs = {4, 5, 6})
  void cutOffInAnOutage(long seed) {
    cutOffAt(seed, 30_000, 0, c -> c.world.at(31_000, () -> c.state.outage(12_000)));
  }

  /** Cuts the leader off from its workers beside another trouble; so many tasks may be lost. */
  private static void cutOffAt(
      long seed, long atMs, int mayBeLost, Consumer<SimulatedCluster> trouble) {
    SimulatedCluster c = fleet(seed);
    List<JobSpec> services = services(c);
    int before = c.rules.starts;
    trouble.accept(c);
    c.world.at(atMs, () -> c.world.cut(c.leader(), "n-", CUT_MS));
    c.world.runUntil(60_000);
    assertTrue(c.rules.starts - before <= mayBeLost, c.rules.starts - before + " tasks were lost");
    assertTrue(c.allRun(services));
  }

  /** No path between controllers either: the peers say through the state service what they hear. */
  @ParameterizedTest
  @ValueSource(longs = {7, 8, 9})
  void cutOffWhileTheMeshIsRefused(long seed) {
    SimulatedCluster c = fleet(seed);
    List<JobSpec> services = services(c);
    String leader = c.leader();
    int before = c.rules.starts;
    c.refuseMesh(25_000);
    c.world.runUntil(32_000);
    c.world.cut(leader, "n-", CUT_MS);
    long at = c.world.now();
    while (c.world.now() < 45_000 && (c.leader() == null || c.leader().equals(leader))) {
      c.world.runUntil(c.world.now() + 50);
    }
    System.out.printf("seed %d: another leads %d ms after the cut%n", seed, c.world.now() - at);
    assertNotEquals(leader, c.leader());
    assertTrue(c.world.now() < 39_000, "another leads at " + c.world.now());
    c.world.runUntil(70_000);
    assertEquals(before, c.rules.starts, "a task was lost");
    assertTrue(c.allRun(services));
  }

  /**
   * One peer is dead, the other relays. Half of the workers try the dead one first, and some of
   * those have no time left then: twice 4 s and twice 1 s is a whole lease here.
   */
  @ParameterizedTest
  @ValueSource(longs = {10, 11})
  void cutOffWithOnePeerDead(long seed) {
    cutOffAt(seed, 31_000, 80, c -> c.crash(follower(c), 9_000));
  }

  /**
   * A follower is cut off from the state service too: it still knows the leader from the peer
   * network.
   */
  @ParameterizedTest
  @ValueSource(longs = {12, 13})
  void cutOffWhileAFollowerIsCutFromTheState(long seed) {
    cutOffAt(seed, 32_000, 0, c -> c.world.cut(follower(c), "state", 20_000));
  }

  /** The relay ends in the middle: the other one takes over within the workers' lease. */
  @ParameterizedTest
  @ValueSource(longs = {14, 15})
  void theRelayCrashes(long seed) {
    cutOffAt(seed, 30_000, 20, c -> c.world.at(36_000, () -> c.crash(follower(c), 3_000)));
  }

  /**
   * The leader is frozen while relayed reports wait in its buffers, and wakes when another leads:
   * what it answers comes too late for relay and worker, and its commands are refused.
   */
  @ParameterizedTest
  @ValueSource(longs = {16, 17})
  void aDeafLeaderIsFrozen(long seed) {
    SimulatedCluster c = fleet(seed);
    List<JobSpec> services = services(c);
    String leader = c.leader();
    c.world.cut(leader, "n-", CUT_MS);
    c.world.runUntil(35_000);
    c.processes.get(leader).pause(8_000);
    for (int i = 0; i < 20; i++) {
      c.submit(c.plain(false, 10));
    }
    c.world.runUntil(90_000);
    assertTrue(c.allRun(services));
  }

  /**
   * An old leader is not relayed to, and an old peer relays nothing: it yields as it always did.
   */
  @ParameterizedTest
  @ValueSource(longs = {18, 19, 20})
  void oldAndNewSideBySide(long seed) {
    SimulatedCluster c = new SimulatedCluster(seed, Deployment.tiny().inProduction());
    c.storm(60_000);
    c.world.runUntil(10_000);
    c.upgrade("nodo-" + seed % 3, 2_000);
    for (int i = 0; i < 3; i++) {
      c.world.at(
          16_000 + i * 16_000,
          () -> {
            if (c.leader() != null) {
              c.world.cut(c.leader(), "n-", 9_000);
            }
          });
    }
    c.world.runUntil(110_000);
    assertTrue(c.rules.starts > 30, c.rules.starts + " starts");
  }

  /**
   * The relay has passed commands on, and is cut off before it can say so: without its answer they
   * count as ones that may be executed, until the workers' own reports come by the other peer.
   */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void theRelaysAnswerIsLost(long seed) {
    SimulatedCluster c = fleet(seed);
    List<JobSpec> services = services(c);
    String leader = c.leader();
    String relay = "nodo-" + (leader.charAt(5) - '0' + 1) % 3;
    c.world.cut(leader, "n-", 20_000);
    c.world.runUntil(38_000);
    int before = c.rules.starts;
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      jobs.add(c.plain(true, 10));
      c.submit(jobs.get(i));
    }
    while (c.rules.starts == before) {
      c.world.runUntil(c.world.now() + 1);
    }
    c.world.cut(relay, leader, 9_000);
    c.world.runUntil(80_000);
    assertTrue(c.allRun(services));
    assertTrue(c.allRun(jobs));
  }

  /**
   * A leader that yielded keeps tasks alive while nobody leads, and not a moment longer than it
   * knows: the next one counts leases from when its peers have acknowledged its epoch.
   */
  @Test
  void aResignedLeaderStopsOnceAnotherLeads() throws WireException {
    SimulatedCluster c = fleet(40);
    String old = c.leader();
    c.state.refuse(old, 30_000);
    int answers = 0;
    long another = 1_000_000;
    while (c.world.now() < 30_000) {
      c.world.runUntil(c.world.now() + 20);
      String next = c.leaderOtherThan(old);
      another = next == null ? another : Math.min(another, c.world.now());
      WorkerReport report =
          new WorkerReport(
              "n-900000",
              "10.9.0.1:9000",
              "mesa",
              "norte",
              false,
              1,
              c.world.now(),
              0,
              WorkerReport.NO_NOTICE,
              List.of());
      Answer[] answer = new Answer[1];
      c.controllers
          .get(old)
          .api()
          .handle(
              new Request("POST", "/agent/beat", Codec.CBOR.encode(report.write())),
              a -> answer[0] = a);
      if (answer[0] != null && answer[0].status() == 200) {
        answers++;
        // Heartbeats that bring the news take a few milliseconds, and one in between may be lost.
        assertTrue(c.world.now() < another + 1_000, "answers at " + c.world.now());
      }
    }
    System.out.printf("another led at %d, %d answers%n", another, answers);
    assertTrue(another < 20_000, "another led at " + another);
  }

  /**
   * A few machines can't reach the leader, which hears all others: only their reports are relayed.
   */
  @Test
  void aFewMachinesCutFromTheLeaderAlone() {
    cutOffAt(21, 1_000_000, 0, c -> c.world.cut(c.leader(), "n-00001", 30_000));
  }

  /** Storms of cuts, losses and late packets in which relays are always in use. */
  @ParameterizedTest
  @ValueSource(longs = {22, 23, 24, 25, 26, 27})
  void stormsOfCuts(long seed) {
    SimulatedCluster c = new SimulatedCluster(seed);
    c.world.loss = 0.02;
    c.world.late = 0.01;
    c.storm(150_000);
    for (int i = 1; i < 12; i++) {
      c.world.at(
          i * 12_000L,
          () -> {
            if (c.leader() != null) {
              c.world.cut(c.leader(), "n-", 3_000 + c.world.random.nextInt(12_000));
            }
          });
    }
    c.world.runUntil(200_000);
    assertTrue(c.rules.starts > 100, c.rules.starts + " starts");
  }

  private static SimulatedCluster fleet(long seed) {
    SimulatedCluster c = SimulatedCluster.large(seed, MACHINES);
    c.world.loss = 0;
    c.world.late = 0;
    c.world.runUntil(15_000);
    return c;
  }

  /** A hundred replicas, running for a while when this returns, at 30 s. */
  private static List<JobSpec> services(SimulatedCluster c) {
    List<JobSpec> services = new ArrayList<>();
    for (int i = 0; i < 25; i++) {
      JobSpec job = c.plain(true, 4);
      services.add(job);
      c.submit(job);
    }
    c.world.runUntil(30_000);
    assertTrue(c.allRun(services));
    return services;
  }

  private static String follower(SimulatedCluster c) {
    String leader = c.leader();
    return c.controllers.keySet().stream().filter(m -> !m.equals(leader)).findFirst().orElseThrow();
  }
}
