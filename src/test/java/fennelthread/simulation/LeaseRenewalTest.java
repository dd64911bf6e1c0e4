package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Renewal of workers' leases while the leader cannot be reached. Times are those of the large
 * deployments: reports every 4 s, leases of 22 s, tasks of a cancelled job gone within 50 s. nodo-0
 * and nodo-2 are in norte, nodo-1 in sur.
 */
class LeaseRenewalTest {
  private static final int MACHINES = 60;

  /**
   * A zone is cut off for twice the time in which tasks of a cancelled job must be gone, and users
   * cancel jobs meanwhile. Guards against a cut-off leader that goes on answering its zone's
   * workers as long as it hears of no other: fifteen tasks outlived their cancellations that way in
   * one emulated day.
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
    // The rules are checked after each step.
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
   * A zone is cut off for nearly two leases, with a follower or the leader in it: its tasks run on
   * and next to none is started again.
   */
  @ParameterizedTest
  @CsvSource({"1,norte", "2,norte", "3,sur", "4,sur", "5,norte", "6,sur"})
  void tasksInAZoneThatIsCutOffRunOn(long seed, String zone) {
    SimulatedCluster cluster = settled(seed, List.of("norte", "sur"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    int startsBefore = cluster.checker.starts;
    cluster.world.cutZone(zone, 40_000);
    cluster.world.runUntil(cluster.world.now() + 70_000);
    assertFewRestarts(startsBefore, cluster);
    assertTrue(cluster.allRun(services));
    cluster.checker.checkServed(30_000);
  }

  /** As above, with a crash of the leader 2 s after the cut, in the zone or elsewhere. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14})
  void tasksRunOnWhenTheLeaderCrashesDuringACut(long seed) {
    SimulatedCluster cluster = settled(seed, List.of("norte", "sur"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    int startsBefore = cluster.checker.starts;
    // Two controllers are in norte: whichever of the three crashes, one that knew the leader is
    // left there.
    cluster.world.cutZone("norte", 38_000);
    cluster.world.runUntil(cluster.world.now() + 2_000);
    cluster.crash(cluster.leader(), 300);
    cluster.world.runUntil(cluster.world.now() + 70_000);
    assertTrue(cluster.allRun(services));
    assertFewRestarts(startsBefore, cluster);
  }

  /**
   * A leader is elected while a zone is cut off, and has never heard the machines there. Guards
   * against returning them as machines that never came up, with the tasks that run on them, once
   * newer machines are up.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void machinesOfACutOffZoneAreNotReturnedByANewLeader(long seed) {
    SimulatedCluster cluster = settled(seed, List.of("norte", "sur"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    String cutOffZone = cluster.zoneOf(cluster.leader()).equals("norte") ? "sur" : "norte";
    Set<String> cutOffMachines = new HashSet<>();
    cluster.cloud.machines().values().stream()
        .filter(w -> w.isUp() && w.zone().equals(cutOffZone))
        .forEach(w -> cutOffMachines.add(w.name()));
    cluster.world.cutZone(cutOffZone, 40_000);
    cluster.world.runUntil(cluster.world.now() + 2_000);
    cluster.crash(cluster.leader(), 300);
    cluster.world.runUntil(cluster.world.now() + 70_000);
    cutOffMachines.retainAll(cluster.cloud.returned);
    assertEquals(Set.of(), cutOffMachines, "returned");
    assertTrue(cluster.allRun(services));
  }

  /** In a zone without a controller the workers' leases expire, and the tasks start elsewhere. */
  @Test
  void tasksMoveFromACutOffZoneWithoutAController() {
    SimulatedCluster cluster = settled(21, List.of("norte", "sur", "este", "oeste"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    int startsBefore = cluster.checker.starts;
    cluster.world.cutZone("oeste", 60_000);
    cluster.world.runUntil(cluster.world.now() + 40_000);
    assertTrue(cluster.allRun(services), "some replicas do not run elsewhere");
    assertNotEquals(startsBefore, cluster.checker.starts);
  }

  /**
   * The leader is down for 60 s and the state service for 36 s: no controller can claim, and the
   * tasks run on.
   */
  @ParameterizedTest
  @ValueSource(longs = {31, 32, 33})
  void tasksRunOnWhenTheLeaderCrashesInAStateOutage(long seed) {
    SimulatedCluster cluster = settled(seed, List.of("norte", "sur"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    int startsBefore = cluster.checker.starts;
    cluster.state.outage(36_000);
    cluster.world.runUntil(cluster.world.now() + 500);
    cluster.crash(cluster.leader(), 60_000);
    cluster.world.runUntil(cluster.world.now() + 35_000);
    assertTrue(cluster.allRun(services));
    cluster.world.runUntil(cluster.world.now() + 60_000);
    assertTrue(cluster.allRun(services));
    assertFewRestarts(startsBefore, cluster);
  }

  /**
   * In a long outage of the state service no user can be told of a cancellation, which the
   * controllers together know, so they go on renewing leases.
   */
  @Test
  void tasksRunOnThroughALongStateOutage() {
    SimulatedCluster cluster = settled(41, List.of("norte", "sur"));
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 20_000);
    int startsBefore = cluster.checker.starts;
    cluster.state.outage(600_000);
    cluster.world.runUntil(cluster.world.now() + 620_000);
    assertTrue(cluster.allRun(services));
    assertFewRestarts(startsBefore, cluster);
  }

  /**
   * Allows three restarts: a worker whose answers were lost just before its lease expired may have
   * no time left to try the next controller.
   */
  private static void assertFewRestarts(int startsBefore, SimulatedCluster cluster) {
    assertTrue(
        cluster.checker.starts - startsBefore <= 3,
        cluster.checker.starts - startsBefore + " tasks restarted");
  }

  private static SimulatedCluster settled(long seed, List<String> zones) {
    return Scenes.settled(
        seed, Deployment.large(MACHINES).withZones(zones).withLease(4_000, 22_000, 50_000), 0.0005);
  }
}
