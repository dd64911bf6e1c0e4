package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How long nobody leads, and that nobody takes over from a leader that is there. */
class TakeoverTest {
  private static final int MACHINES = 200;
  private static final int SEEDS = 9;

  /**
   * Time until another leads, and until the next start, ms, for one kind of fault over many seeds.
   */
  private long[][] play(BiConsumer<SimulatedCluster, String> fault) {
    long[][] times = new long[2][SEEDS];
    for (int i = 0; i < SEEDS; i++) {
      SimulatedCluster cluster = settled(100 + i);
      String leader = cluster.leader();
      long at = cluster.world.now();
      fault.accept(cluster, leader);
      while (cluster.leaderOtherThan(leader) == null && cluster.world.now() < at + 20_000) {
        cluster.world.runUntil(cluster.world.now() + 10);
      }
      times[0][i] = cluster.world.now() - at;
      int before = cluster.checker.starts;
      JobSpec job = cluster.job(false, 5, 1, true, false, false);
      cluster.submit(job);
      while (cluster.checker.starts == before && cluster.world.now() < at + 30_000) {
        cluster.world.runUntil(cluster.world.now() + 10);
      }
      times[1][i] = cluster.world.now() - at;
    }
    Arrays.sort(times[0]);
    Arrays.sort(times[1]);
    return times;
  }

  private static void print(String what, long[][] t) {
    System.out.printf(
        "%s: another leads after %d ms on the median, %d at the worst; first start %d and %d%n",
        what, t[0][SEEDS / 2], t[0][SEEDS - 1], t[1][SEEDS / 2], t[1][SEEDS - 1]);
  }

  @Test
  void aCrash() {
    long[][] t = play((cluster, leader) -> cluster.crash(leader, 30_000));
    print("crash", t);
    assertTrue(t[0][SEEDS / 2] < 3_300, t[0][SEEDS / 2] + " ms on the median");
  }

  @Test
  void aFreeze() {
    long[][] t = play((cluster, leader) -> cluster.processes.get(leader).pause(25_000));
    print("freeze", t);
    assertTrue(t[0][SEEDS / 2] < 3_300, t[0][SEEDS / 2] + " ms on the median");
  }

  /**
   * The paper's first trace with a takeover in the place of the lease's end: the leader stands
   * still after its round's record was written, another takes over, and it wakes while its own
   * grant would still run.
   */
  @Test
  void aLeaderTakenOverFromWakesWithinItsGrant() {
    int takenOver = 0;
    int stale = 0;
    for (long seed = 50; seed < 62; seed++) {
      SimulatedCluster cluster = settled(seed);
      String first = cluster.leader();
      boolean[] stalled = new boolean[1];
      cluster.state.onWrite.add(
          key -> {
            if (key.startsWith("live/round/") && !stalled[0]) {
              stalled[0] = true;
              cluster.processes.get(first).pause(2_850);
            }
          });
      cluster.submit(cluster.job(false, 6, 1, true, false, false));
      cluster.world.runUntil(cluster.world.now() + 20_000);
      takenOver += cluster.state.takeovers;
      stale +=
          cluster.cloud.machines().values().stream().mapToInt(worker -> worker.staleRuns).sum();
    }
    assertTrue(takenOver >= 3, takenOver + " takeovers");
    assertEquals(0, stale, "starts sent after another had taken over");
  }

  /**
   * The peer network is refused, or broken between two: the leader goes alone and nobody takes
   * over.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aLeaderWithoutItsPeersGoesOn(long seed) {
    SimulatedCluster cluster = settled(seed);
    String leader = cluster.leader();
    cluster.cutPeerLinks(40_000);
    int starts = 0;
    for (int i = 0; i < 30; i++) {
      int before = cluster.checker.starts;
      cluster.submit(cluster.job(false, 3, 1, true, false, false));
      cluster.world.runUntil(cluster.world.now() + 1_000);
      starts += cluster.checker.starts > before ? 1 : 0;
      assertEquals(leader, cluster.leader());
    }
    assertTrue(starts >= 25, "starts in " + starts + " of 30 seconds");
  }

  /** One peer is gone for good: the other one's promises are enough, and nobody can take over. */
  @Test
  void onePeerIsGone() {
    SimulatedCluster cluster = settled(4);
    String leader = cluster.leader();
    String gone =
        cluster.controllers.keySet().stream().filter(m -> !m.equals(leader)).findFirst().get();
    cluster.crash(gone, 1_000_000);
    int starts = 0;
    for (int i = 0; i < 20; i++) {
      int before = cluster.checker.starts;
      cluster.submit(cluster.job(false, 3, 1, true, false, false));
      cluster.world.runUntil(cluster.world.now() + 1_000);
      starts += cluster.checker.starts > before ? 1 : 0;
    }
    // A third of the submissions go to the dead one and come again later.
    assertTrue(starts >= 12, "starts in " + starts + " of 20 seconds");
    assertEquals(leader, cluster.leader());
  }

  /** An hour of a lossy network with late packets and nobody failing: nobody is taken over from. */
  @Test
  void noFalseVerdicts() {
    for (long seed = 1; seed <= 4; seed++) {
      SimulatedCluster cluster = new SimulatedCluster(seed);
      cluster.world.runUntil(15_000);
      cluster.world.loss = 0.05;
      cluster.world.late = 0.01;
      cluster.world.runUntil(900_000);
      assertEquals(0, cluster.state.takeovers, "seed " + seed);
    }
  }

  /** Controllers that restart one after the other: whoever leads next, no task is lost. */
  @Test
  void fiveLeadersCrashAsTheyBecomeActive() {
    SimulatedCluster cluster = settled(6);
    List<JobSpec> services = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      JobSpec job = cluster.job(true, 4, 1, false, false, false);
      services.add(job);
      cluster.submit(job);
    }
    cluster.world.runUntil(cluster.world.now() + 15_000);
    for (int i = 0; i < 5; i++) {
      String leader = cluster.leader();
      cluster.crash(leader, 3_000);
      while (cluster.leader() == null) {
        cluster.world.runUntil(cluster.world.now() + 10);
      }
      cluster.world.runUntil(cluster.world.now() + 500);
    }
    cluster.world.runUntil(cluster.world.now() + 40_000);
    for (JobSpec job : services) {
      assertEquals(job.tasks(), cluster.checker.running(job.id()), job.id());
    }
  }

  private static SimulatedCluster settled(long seed) {
    SimulatedCluster cluster = SimulatedCluster.large(seed, MACHINES);
    cluster.world.loss = 0.001;
    cluster.world.late = 0;
    cluster.world.runUntil(35_000);
    return cluster;
  }
}
