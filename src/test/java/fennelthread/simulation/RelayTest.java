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
 * A leader that cannot reach its workers, alone and combined with other faults; peers relay reports
 * and commands. Workers report every 1.5 s, leases are 10 s and grants 4 s. A cut lasts longer than
 * a lease, so that without a relay every running task is lost.
 */
class RelayTest {
  static {
    Production.serve();
  }

  private static final int MACHINES = 200;
  private static final long CUT_MS = 14_000;

  /** Reports and commands go through peers: no task is lost, the leader stays, jobs start. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aLeaderCutFromItsWorkersGoesOn(long seed) {
    SimulatedCluster cluster = fleet(seed);
    List<JobSpec> services = services(cluster);
    String leader = cluster.leader();
    int startsBefore = cluster.checker.starts;
    cluster.world.cut(leader, "n-", CUT_MS);
    cluster.world.runUntil(33_000);
    JobSpec job = cluster.plainJob(true, 10);
    cluster.submit(job);
    cluster.world.runUntil(37_000);
    assertEquals(10, cluster.checker.running(job.id()), "tasks of a job submitted during the cut");
    cluster.world.runUntil(60_000);
    assertEquals(leader, cluster.leader());
    assertEquals(startsBefore + 10, cluster.checker.starts, "a task was restarted");
    assertTrue(cluster.allRun(services));
  }

  /**
   * The state service has an outage during the cut, from 1 s after the cut's start to 1 s before
   * its end: no controller can claim then, and the relay is the only way.
   */
  @ParameterizedTest
  @ValueSource(longs = {4, 5, 6})
  void noTaskIsLostWhenCutOffInAStateOutage(long seed) {
    runCutOff(
        seed, 30_000, 0, cluster -> cluster.world.at(31_000, () -> cluster.state.outage(12_000)));
  }

  /**
   * Cuts the leader off from its workers, with another fault; at most {@code maxLost} tasks may be
   * restarted.
   */
  private static void runCutOff(
      long seed, long atMs, int maxLost, Consumer<SimulatedCluster> fault) {
    SimulatedCluster cluster = fleet(seed);
    List<JobSpec> services = services(cluster);
    int startsBefore = cluster.checker.starts;
    fault.accept(cluster);
    cluster.world.at(atMs, () -> cluster.world.cut(cluster.leader(), "n-", CUT_MS));
    cluster.world.runUntil(60_000);
    assertTrue(
        cluster.checker.starts - startsBefore <= maxLost,
        cluster.checker.starts - startsBefore + " tasks were restarted");
    assertTrue(cluster.allRun(services));
  }

  /**
   * Controllers cannot reach one another either: peers report through the state service which
   * workers they hear, and another controller takes over.
   */
  @ParameterizedTest
  @ValueSource(longs = {7, 8, 9})
  void anotherLeadsWhenCutOffFromWorkersAndPeers(long seed) {
    SimulatedCluster cluster = fleet(seed);
    List<JobSpec> services = services(cluster);
    String leader = cluster.leader();
    int startsBefore = cluster.checker.starts;
    cluster.cutPeerLinks(25_000);
    cluster.world.runUntil(32_000);
    cluster.world.cut(leader, "n-", CUT_MS);
    long cutAtMs = cluster.world.now();
    while (cluster.world.now() < 45_000
        && (cluster.leader() == null || cluster.leader().equals(leader))) {
      cluster.world.runUntil(cluster.world.now() + 50);
    }
    System.out.printf(
        "seed %d: another leads %d ms after the cut%n", seed, cluster.world.now() - cutAtMs);
    assertNotEquals(leader, cluster.leader());
    assertTrue(cluster.world.now() < 39_000, "another leads at " + cluster.world.now());
    cluster.world.runUntil(70_000);
    assertEquals(startsBefore, cluster.checker.starts, "a task was restarted");
    assertTrue(cluster.allRun(services));
  }

  /**
   * One peer is down and the other relays. Half of the workers try the dead one first, and some of
   * them have no time left then: two attempts of 4 s and two pauses of 1 s are a whole lease here.
   */
  @ParameterizedTest
  @ValueSource(longs = {10, 11})
  void fewTasksAreLostWhenCutOffWithOnePeerDown(long seed) {
    runCutOff(seed, 31_000, 80, cluster -> cluster.crash(follower(cluster), 9_000));
  }

  /**
   * A follower is cut off from the state service too. It still knows the leader from the peer
   * network.
   */
  @ParameterizedTest
  @ValueSource(longs = {12, 13})
  void noTaskIsLostWhenAFollowerIsCutFromTheStateToo(long seed) {
    runCutOff(seed, 32_000, 0, cluster -> cluster.world.cut(follower(cluster), "state", 20_000));
  }

  /**
   * The relaying peer crashes during the cut: the other one takes over within the workers' lease.
   */
  @ParameterizedTest
  @ValueSource(longs = {14, 15})
  void fewTasksAreLostWhenTheRelayCrashes(long seed) {
    runCutOff(
        seed,
        30_000,
        20,
        cluster -> cluster.world.at(36_000, () -> cluster.crash(follower(cluster), 3_000)));
  }

  /**
   * The leader is paused while relayed reports wait in its buffers and resumes when another leads.
   * Its answers come too late for relay and worker, and its commands are refused.
   */
  @ParameterizedTest
  @ValueSource(longs = {16, 17})
  void tasksSurviveAPauseOfACutOffLeader(long seed) {
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
   * Controllers of the production version and today's run side by side: nothing is relayed to an
   * old leader or through an old peer, so a leader that is cut off steps down.
   */
  @ParameterizedTest
  @ValueSource(longs = {18, 19, 20})
  void controllersOfBothVersionsSurviveCuts(long seed) {
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
   * The relay has passed commands on and is cut off before it can answer. Without its answer they
   * count as possibly executed, until the workers' own reports arrive through the other peer.
   */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void commandsWithoutTheRelaysAnswerRunOnce(long seed) {
    SimulatedCluster cluster = fleet(seed);
    List<JobSpec> services = services(cluster);
    String leader = cluster.leader();
    String relay = "nodo-" + (leader.charAt(5) - '0' + 1) % 3;
    cluster.world.cut(leader, "n-", 20_000);
    cluster.world.runUntil(38_000);
    int startsBefore = cluster.checker.starts;
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      jobs.add(cluster.plainJob(true, 10));
      cluster.submit(jobs.get(i));
    }
    while (cluster.checker.starts == startsBefore) {
      cluster.world.runUntil(cluster.world.now() + 1);
    }
    cluster.world.cut(relay, leader, 9_000);
    cluster.world.runUntil(80_000);
    assertTrue(cluster.allRun(services));
    assertTrue(cluster.allRun(jobs));
  }

  /**
   * A leader that has resigned goes on answering reports, and so renewing leases, while no other
   * leads. It stops as soon as it hears of the next leader, which counts leases from when its peers
   * have acknowledged its epoch.
   */
  @Test
  void aResignedLeaderStopsOnceAnotherLeads() throws WireException {
    SimulatedCluster cluster = fleet(40);
    String resigned = cluster.leader();
    cluster.state.refuseCaller(resigned, 30_000);
    int answerCount = 0;
    long nextLeadsAtMs = 1_000_000;
    while (cluster.world.now() < 30_000) {
      cluster.world.runUntil(cluster.world.now() + 20);
      String nextLeader = cluster.leaderOtherThan(resigned);
      nextLeadsAtMs =
          nextLeader == null ? nextLeadsAtMs : Math.min(nextLeadsAtMs, cluster.world.now());
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
          .get(resigned)
          .api()
          .handle(
              new Request("POST", "/agent/beat", Codec.CBOR.encode(report.write())),
              a -> answer[0] = a);
      if (answer[0] != null && answer[0].status() == 200) {
        answerCount++;
        // Heartbeats that announce the next leader take a few milliseconds, and one may be lost.
        assertTrue(
            cluster.world.now() < nextLeadsAtMs + 1_000, "answers at " + cluster.world.now());
      }
    }
    System.out.printf("another led at %d, %d answers%n", nextLeadsAtMs, answerCount);
    assertTrue(nextLeadsAtMs < 20_000, "another led at " + nextLeadsAtMs);
  }

  /**
   * A few machines cannot reach the leader, which hears all others: only their reports are relayed.
   */
  @Test
  void noTaskIsLostWhenAFewMachinesAreCutFromTheLeader() {
    runCutOff(21, 1_000_000, 0, cluster -> cluster.world.cut(cluster.leader(), "n-00001", 30_000));
  }

  /** Random faults with cuts, losses and late packets, during which relays are always in use. */
  @ParameterizedTest
  @ValueSource(longs = {22, 23, 24, 25, 26, 27})
  void jobsStartAmidRandomFaultsAndCuts(long seed) {
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

  /** Starts a hundred replicas and returns at 30 s, when all of them run. */
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
