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
    SimulatedCluster cluster = fleet(seed);
    List<JobSpec> services = services(cluster);
    String leader = cluster.leader();
    int before = cluster.checker.starts;
    cluster.world.cut(leader, "n-", CUT_MS);
    cluster.world.runUntil(33_000);
    JobSpec job = cluster.plainJob(true, 10);
    cluster.submit(job);
    cluster.world.runUntil(37_000);
    assertEquals(10, cluster.checker.running(job.id()), "a job submitted while it is cut off runs");
    cluster.world.runUntil(60_000);
    assertEquals(leader, cluster.leader());
    assertEquals(before + 10, cluster.checker.starts, "a task was lost");
    assertTrue(cluster.allRun(services));
  }

  /**
   * The same in an outage of the state service, when nobody can claim: relaying is all there is.
   */
  @ParameterizedTest
  @ValueSource(longs = {4, 5, 6})
  void cutOffInAnOutage(long seed) {
    cutOffAt(
        seed, 30_000, 0, cluster -> cluster.world.at(31_000, () -> cluster.state.outage(12_000)));
  }

  /** Cuts the leader off from its workers beside another trouble; so many tasks may be lost. */
  private static void cutOffAt(
      long seed, long atMs, int mayBeLost, Consumer<SimulatedCluster> trouble) {
    SimulatedCluster cluster = fleet(seed);
    List<JobSpec> services = services(cluster);
    int before = cluster.checker.starts;
    trouble.accept(cluster);
    cluster.world.at(atMs, () -> cluster.world.cut(cluster.leader(), "n-", CUT_MS));
    cluster.world.runUntil(60_000);
    assertTrue(
        cluster.checker.starts - before <= mayBeLost,
        cluster.checker.starts - before + " tasks were lost");
    assertTrue(cluster.allRun(services));
  }

  /** No path between controllers either: the peers say through the state service what they hear. */
  @ParameterizedTest
  @ValueSource(longs = {7, 8, 9})
  void cutOffWhileTheMeshIsRefused(long seed) {
    SimulatedCluster cluster = fleet(seed);
    List<JobSpec> services = services(cluster);
    String leader = cluster.leader();
    int before = cluster.checker.starts;
    cluster.cutPeerLinks(25_000);
    cluster.world.runUntil(32_000);
    cluster.world.cut(leader, "n-", CUT_MS);
    long at = cluster.world.now();
    while (cluster.world.now() < 45_000
        && (cluster.leader() == null || cluster.leader().equals(leader))) {
      cluster.world.runUntil(cluster.world.now() + 50);
    }
    System.out.printf(
        "seed %d: another leads %d ms after the cut%n", seed, cluster.world.now() - at);
    assertNotEquals(leader, cluster.leader());
    assertTrue(cluster.world.now() < 39_000, "another leads at " + cluster.world.now());
    cluster.world.runUntil(70_000);
    assertEquals(before, cluster.checker.starts, "a task was lost");
    assertTrue(cluster.allRun(services));
  }

  /**
   * One peer is dead, the other relays. Half of the workers try the dead one first, and some of
   * those have no time left then: twice 4 s and twice 1 s is a whole lease here.
   */
  @ParameterizedTest
  @ValueSource(longs = {10, 11})
  void cutOffWithOnePeerDead(long seed) {
    cutOffAt(seed, 31_000, 80, cluster -> cluster.crash(follower(cluster), 9_000));
  }

  /**
   * A follower is cut off from the state service too: it still knows the leader from the peer
   * network.
   */
  @ParameterizedTest
  @ValueSource(longs = {12, 13})
  void cutOffWhileAFollowerIsCutFromTheState(long seed) {
    cutOffAt(seed, 32_000, 0, cluster -> cluster.world.cut(follower(cluster), "state", 20_000));
  }

  /** The relay ends in the middle: the other one takes over within the workers' lease. */
  @ParameterizedTest
  @ValueSource(longs = {14, 15})
  void theRelayCrashes(long seed) {
    cutOffAt(
        seed,
        30_000,
        20,
        cluster -> cluster.world.at(36_000, () -> cluster.crash(follower(cluster), 3_000)));
  }

  /**
   * The leader is frozen while relayed reports wait in its buffers, and wakes when another leads:
   * what it answers comes too late for relay and worker, and its commands are refused.
   */
  @ParameterizedTest
  @ValueSource(longs = {16, 17})
  void aDeafLeaderIsFrozen(long seed) {
    SimulatedCluster cluster = fleet(seed);
    List<JobSpec> services = services(cluster);
    String leader = cluster.leader();
    cluster.world.cut(leader, "n-", CUT_MS);
    cluster.world.runUntil(35_000);
    cluster.processes.get(leader).pause(8_000);
    for (int i = 0; i < 20; i++) {
      cluster.submit(cluster.plainJob(false, 10));
    }
    cluster.world.runUntil(90_000);
    assertTrue(cluster.allRun(services));
  }

  /**
   * An old leader is not relayed to, and an old peer relays nothing: it yields as it always did.
   */
  @ParameterizedTest
  @ValueSource(longs = {18, 19, 20})
  void oldAndNewSideBySide(long seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(seed, Deployment.tiny().withProductionVersion());
    cluster.addRandomUsersAndFaults(60_000);
    cluster.world.runUntil(10_000);
    cluster.upgrade("nodo-" + seed % 3, 2_000);
    for (int i = 0; i < 3; i++) {
      cluster.world.at(
          16_000 + i * 16_000,
          () -> {
            if (cluster.leader() != null) {
              cluster.world.cut(cluster.leader(), "n-", 9_000);
            }
          });
    }
    cluster.world.runUntil(110_000);
    assertTrue(cluster.checker.starts > 30, cluster.checker.starts + " starts");
  }

  /**
   * The relay has passed commands on, and is cut off before it can say so: without its answer they
   * count as ones that may be executed, until the workers' own reports come by the other peer.
   */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void theRelaysAnswerIsLost(long seed) {
    SimulatedCluster cluster = fleet(seed);
    List<JobSpec> services = services(cluster);
    String leader = cluster.leader();
    String relay = "nodo-" + (leader.charAt(5) - '0' + 1) % 3;
    cluster.world.cut(leader, "n-", 20_000);
    cluster.world.runUntil(38_000);
    int before = cluster.checker.starts;
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      jobs.add(cluster.plainJob(true, 10));
      cluster.submit(jobs.get(i));
    }
    while (cluster.checker.starts == before) {
      cluster.world.runUntil(cluster.world.now() + 1);
    }
    cluster.world.cut(relay, leader, 9_000);
    cluster.world.runUntil(80_000);
    assertTrue(cluster.allRun(services));
    assertTrue(cluster.allRun(jobs));
  }

  /**
   * A leader that yielded keeps tasks alive while nobody leads, and not a moment longer than it
   * knows: the next one counts leases from when its peers have acknowledged its epoch.
   */
  @Test
  void aResignedLeaderStopsOnceAnotherLeads() throws WireException {
    SimulatedCluster cluster = fleet(40);
    String old = cluster.leader();
    cluster.state.refuseCaller(old, 30_000);
    int answers = 0;
    long another = 1_000_000;
    while (cluster.world.now() < 30_000) {
      cluster.world.runUntil(cluster.world.now() + 20);
      String next = cluster.leaderOtherThan(old);
      another = next == null ? another : Math.min(another, cluster.world.now());
      WorkerReport report =
          new WorkerReport(
              "n-900000",
              "10.9.0.1:9000",
              "mesa",
              "norte",
              false,
              1,
              cluster.world.now(),
              0,
              WorkerReport.NO_NOTICE,
              List.of());
      Answer[] answer = new Answer[1];
      cluster
          .controllers
          .get(old)
          .api()
          .handle(
              new Request("POST", "/agent/beat", Codec.CBOR.encode(report.write())),
              a -> answer[0] = a);
      if (answer[0] != null && answer[0].status() == 200) {
        answers++;
        // Heartbeats that bring the news take a few milliseconds, and one in between may be lost.
        assertTrue(cluster.world.now() < another + 1_000, "answers at " + cluster.world.now());
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
    cutOffAt(21, 1_000_000, 0, cluster -> cluster.world.cut(cluster.leader(), "n-00001", 30_000));
  }

  /** Storms of cuts, losses and late packets in which relays are always in use. */
  @ParameterizedTest
  @ValueSource(longs = {22, 23, 24, 25, 26, 27})
  void stormsOfCuts(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.world.loss = 0.02;
    cluster.world.late = 0.01;
    cluster.addRandomUsersAndFaults(150_000);
    for (int i = 1; i < 12; i++) {
      cluster.world.at(
          i * 12_000L,
          () -> {
            if (cluster.leader() != null) {
              cluster.world.cut(
                  cluster.leader(), "n-", 3_000 + cluster.world.random.nextInt(12_000));
            }
          });
    }
    cluster.world.runUntil(200_000);
    assertTrue(cluster.checker.starts > 100, cluster.checker.starts + " starts");
  }

  private static SimulatedCluster fleet(long seed) {
    SimulatedCluster cluster = SimulatedCluster.large(seed, MACHINES);
    cluster.world.loss = 0;
    cluster.world.late = 0;
    cluster.world.runUntil(15_000);
    return cluster;
  }

  /** A hundred replicas, running for a while when this returns, at 30 s. */
  private static List<JobSpec> services(SimulatedCluster cluster) {
    List<JobSpec> services = new ArrayList<>();
    for (int i = 0; i < 25; i++) {
      JobSpec job = cluster.plainJob(true, 4);
      services.add(job);
      cluster.submit(job);
    }
    cluster.world.runUntil(30_000);
    assertTrue(cluster.allRun(services));
    return services;
  }

  private static String follower(SimulatedCluster cluster) {
    String leader = cluster.leader();
    return cluster.controllers.keySet().stream()
        .filter(m -> !m.equals(leader))
        .findFirst()
        .orElseThrow();
  }
}
