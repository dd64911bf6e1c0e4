package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Leases kept alive without the leader. Times are those of the large deployments: reports every 4
 * s, leases of 22 s, a cancelled job's tasks gone after 50 s; nodo-0 and nodo-2 are in norte,
 * nodo-1 in sur.
 */
class LeaseRenewalTest {
  private static final int MACHINES = 60;

  /**
   * A zone with the leader is cut off for twice the time in which a cancelled job's tasks must be
   * gone, and users cancel jobs meanwhile. The leader that was cut off once went on answering its
   * zone's workers for as long as it heard of no other: fifteen tasks outlived their cancellations
   * on one day of the bench.
   */
  @ParameterizedTest
  @CsvSource({"1,norte", "2,norte", "3,sur", "4,sur", "5,norte", "6,sur"})
  void cancelledJobsEndInAZoneThatIsCutOff(long seed, String zone) {
    SimulatedCluster cluster = settled(seed, List.of("norte", "sur"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    cluster.world.cutZone(zone, 100_000);
    for (int i = 0; i < 15; i++) {
      String id = services.get(i).id();
      cluster.world.after(500 + i * 4_000, () -> cluster.cancel(id));
    }
    // Rules are checked after each step.
    cluster.world.runUntil(cluster.world.now() + 180_000);
    for (JobSpec job : services.subList(0, 15)) {
      assertEquals(0, cluster.checker.running(job.id()), job.id());
    }
    for (JobSpec job : services.subList(15, 20)) {
      assertEquals(job.tasks(), cluster.checker.running(job.id()), job.id());
    }
    cluster.checker.checkServed(30_000);
  }

  /**
   * A zone is cut off for two leases, with a follower in it or with the leader: what runs there
   * goes on, and nothing of it is started again.
   */
  @ParameterizedTest
  @CsvSource({"1,norte", "2,norte", "3,sur", "4,sur", "5,norte", "6,sur"})
  void whatRunsInAZoneThatIsCutOffGoesOn(long seed, String zone) {
    SimulatedCluster cluster = settled(seed, List.of("norte", "sur"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    int before = cluster.checker.starts;
    cluster.world.cutZone(zone, 40_000);
    cluster.world.runUntil(cluster.world.now() + 70_000);
    assertFewAgain(before, cluster);
    assertTrue(cluster.allRun(services));
    cluster.checker.checkServed(30_000);
  }

  /** The same with the leader's end 2 s after the cut, in the zone and elsewhere. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14})
  void theLeaderEndsInTheCut(long seed) {
    SimulatedCluster cluster = settled(seed, List.of("norte", "sur"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    int before = cluster.checker.starts;
    // Two controllers are in norte: whichever of the three ends, one that knew its leader is left
    // there.
    cluster.world.cutZone("norte", 38_000);
    cluster.world.runUntil(cluster.world.now() + 2_000);
    cluster.crash(cluster.leader(), 300);
    cluster.world.runUntil(cluster.world.now() + 70_000);
    assertTrue(cluster.allRun(services));
    assertFewAgain(before, cluster);
  }

  /** Without a controller in the zone its workers' leases end, and the tasks start elsewhere. */
  @Test
  void nobodyKeepsAZoneWithoutAController() {
    SimulatedCluster cluster = settled(21, List.of("norte", "sur", "este", "oeste"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    int before = cluster.checker.starts;
    cluster.world.cutZone("oeste", 60_000);
    cluster.world.runUntil(cluster.world.now() + 40_000);
    assertTrue(cluster.allRun(services), "not all run elsewhere");
    assertNotEquals(before, cluster.checker.starts);
  }

  /**
   * The leader ends for good and the state service is down: nobody can claim, and the tasks live
   * on.
   */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void theLeaderEndsInAnOutage(long seed) {
    SimulatedCluster cluster = settled(seed, List.of("norte", "sur"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    int before = cluster.checker.starts;
    cluster.state.outage(36_000);
    cluster.world.runUntil(cluster.world.now() + 500);
    cluster.crash(cluster.leader(), 60_000);
    cluster.world.runUntil(cluster.world.now() + 35_000);
    assertTrue(cluster.allRun(services));
    cluster.world.runUntil(cluster.world.now() + 60_000);
    assertTrue(cluster.allRun(services));
    assertFewAgain(before, cluster);
  }

  /** In an outage without end the controllers together know that nobody can be told anything. */
  @Test
  void aLongOutageCostsNothing() {
    SimulatedCluster cluster = settled(41, List.of("norte", "sur"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    int before = cluster.checker.starts;
    cluster.state.outage(600_000);
    cluster.world.runUntil(cluster.world.now() + 620_000);
    assertTrue(cluster.allRun(services));
    assertFewAgain(before, cluster);
  }

  /**
   * A worker whose answers were lost in the last moment may have no time left to try the next
   * controller.
   */
  private static void assertFewAgain(int before, SimulatedCluster cluster) {
    assertTrue(
        cluster.checker.starts - before <= 3, cluster.checker.starts - before + " started again");
  }

  private static SimulatedCluster settled(long seed, List<String> zones) {
    return Scenes.settled(
        seed, Deployment.large(MACHINES).withZones(zones).withLease(4_000, 22_000, 50_000), 0.0005);
  }
}
