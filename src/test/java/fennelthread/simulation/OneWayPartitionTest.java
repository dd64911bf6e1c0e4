package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * One-way cuts: reports of some machines arrive, but answers and commands do not reach them. Their
 * workers end all tasks as each lease expires and report again with the next session, over and
 * over. Leases are 10 s.
 */
class OneWayPartitionTest {
  private static final int MACHINES = 60;

  private static SimulatedCluster settled(long seed) {
    return Scenes.settled(seed, Deployment.large(MACHINES), 0);
  }

  private static List<WorkerEmulator> machinesWithTasks(SimulatedCluster cluster) {
    Set<String> names =
        cluster.checker.tasksOnMachines().stream()
            .map(p -> p.substring(p.indexOf('@') + 1))
            .collect(Collectors.toSet());
    return cluster.cloud.machines().values().stream()
        .filter(worker -> names.contains(worker.name()))
        .toList();
  }

  private static boolean noReplicasOn(
      SimulatedCluster cluster, List<WorkerEmulator> machines, List<JobSpec> services) {
    return machines.stream()
        .noneMatch(worker -> services.stream().anyMatch(s -> cluster.checker.isOn(s.id(), worker)));
  }

  /**
   * The replicas start elsewhere as soon as those of a silent machine do, and the machines are
   * returned to the cloud.
   */
  @ParameterizedTest
  @CsvSource({"1,1", "2,1", "3,6", "4,6", "5,6"})
  void replicasMoveFromMachinesThatHearNothing(long seed, int count) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    List<WorkerEmulator> cutMachines = machinesWithTasks(cluster).subList(0, count);
    cutMachines.forEach(worker -> cluster.world.cutOneWay("nodo", worker.name(), 90_000));
    cluster.world.runUntil(cluster.world.now() + 100);
    long tookMs =
        Scenes.until(
            cluster,
            60_000,
            () -> noReplicasOn(cluster, cutMachines, services) && cluster.allRun(services));
    assertTrue(tookMs < 9_500, "all replicas run after " + tookMs + " ms");
    cluster.world.runUntil(cluster.world.now() + 40_000);
    for (WorkerEmulator worker : cutMachines) {
      assertTrue(
          cluster.cloud.returned.contains(worker.name()),
          worker.name() + " was not returned to the cloud");
    }
    assertTrue(cluster.allRun(services));
  }

  /**
   * Only the leader cannot reach the machines: peers pass on what it says, and next to no task is
   * lost.
   */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void peersReachMachinesThatTheLeaderCannot(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    int startsBefore = cluster.checker.starts;
    String leader = cluster.leader();
    cluster.world.cutOneWay(leader, "n-", 40_000);
    cluster.world.runUntil(cluster.world.now() + 15_000);
    JobSpec job = cluster.plainJob(false, 6);
    cluster.submit(job);
    cluster.world.runUntil(cluster.world.now() + 24_000);
    assertTrue(cluster.checker.starts >= startsBefore + 6, "no task was started");
    assertTrue(
        cluster.checker.starts <= startsBefore + 6 + 4,
        cluster.checker.starts - startsBefore - 6 + " tasks restarted");
    cluster.world.runUntil(cluster.world.now() + 20_000);
    assertTrue(cluster.allRun(services));
  }

  /**
   * The cut begins before a takeover, so the new leader's token never shows in the machines'
   * reports.
   */
  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23})
  void replicasMoveWhenTheNextLeaderCannotReachMachines(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    List<WorkerEmulator> cutMachines = machinesWithTasks(cluster).subList(0, 6);
    cutMachines.forEach(worker -> cluster.world.cutOneWay("nodo", worker.name(), 90_000));
    cluster.world.runUntil(cluster.world.now() + 500);
    cluster.crash(cluster.leader(), 4_000);
    long tookMs =
        Scenes.until(
            cluster,
            60_000,
            () -> noReplicasOn(cluster, cutMachines, services) && cluster.allRun(services));
    assertTrue(tookMs < 14_000, "all replicas run after " + tookMs + " ms");
    cluster.world.runUntil(cluster.world.now() + 30_000);
    assertTrue(cluster.allRun(services));
  }

  /**
   * Two thirds of the machines hear nothing and the cloud is down. The only proof that tasks are
   * gone is a later session of the worker or the end of a lease that nobody can have renewed. The
   * replicas run on the other machines all the same.
   */
  @ParameterizedTest
  @CsvSource({"31,false", "32,false", "33,true", "34,true"})
  void replicasMoveWhenMostMachinesHearNothingAndTheCloudIsDown(long seed, boolean takeover) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    cluster.cloud.outage(90_000);
    List<WorkerEmulator> machines = List.copyOf(cluster.cloud.machines().values());
    List<WorkerEmulator> cutMachines = new ArrayList<>();
    for (int i = 0; i < machines.size(); i++) {
      if (i % 3 != 0) {
        cutMachines.add(machines.get(i));
        cluster.world.cutOneWay("nodo", machines.get(i).name(), 80_000);
      }
    }
    if (takeover) {
      cluster.world.runUntil(cluster.world.now() + 500);
      cluster.crash(cluster.leader(), 4_000);
    }
    long tookMs =
        Scenes.until(
            cluster,
            60_000,
            () -> noReplicasOn(cluster, cutMachines, services) && cluster.allRun(services));
    assertTrue(tookMs < (takeover ? 40_000 : 25_000), "all replicas run after " + tookMs + " ms");
    cluster.world.runUntil(cluster.world.now() + 100_000);
    assertTrue(cluster.allRun(services));
  }

  /** Machines that hear the controllers again are given work again. */
  @ParameterizedTest
  @ValueSource(longs = {41, 42})
  void machinesThatHearAgainAreUsedAgain(long seed) {
    SimulatedCluster cluster = Scenes.settled(seed, Deployment.tiny(), 0);
    cluster.cloud.outage(200_000);
    cluster.world.cutOneWay("nodo", "n-", 25_000);
    cluster.world.runUntil(cluster.world.now() + 32_000);
    JobSpec job = cluster.plainJob(false, 20);
    cluster.submit(job);
    cluster.world.runUntil(cluster.world.now() + 25_000);
    assertTrue(cluster.checker.isOver(job.id()));
  }

  /**
   * The cut comes and goes every few seconds: no rule is broken, services keep their replicas and
   * jobs complete.
   */
  @ParameterizedTest
  @CsvSource({"51,2500", "52,4000", "53,6000", "54,11000"})
  void jobsCompleteWhileTheCutComesAndGoes(long seed, long everyMs) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    List<WorkerEmulator> cutMachines = machinesWithTasks(cluster).subList(0, 8);
    for (long at = 0; at < 60_000; at += 2 * everyMs) {
      cluster.world.after(
          at,
          () ->
              cutMachines.forEach(
                  worker -> cluster.world.cutOneWay("nodo", worker.name(), everyMs)));
    }
    List<JobSpec> batches = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      JobSpec job = cluster.plainJob(false, 4);
      batches.add(job);
      cluster.world.after(i * 2_000L, () -> cluster.submit(job));
    }
    cluster.world.runUntil(cluster.world.now() + 60_000);
    cluster.checker.recordEndOfFaults();
    cluster.world.runUntil(cluster.world.now() + 40_000);
    assertTrue(cluster.allRun(services));
    assertEquals(
        List.of(),
        batches.stream().map(JobSpec::id).filter(id -> !cluster.checker.isOver(id)).toList());
    cluster.checker.checkServed(0);
  }

  /**
   * A whole zone of two hears nothing: the other one takes over its replicas, and all services run
   * afterwards.
   */
  @ParameterizedTest
  @ValueSource(longs = {61, 62})
  void replicasMoveFromAZoneThatHearsNothing(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    for (WorkerEmulator worker : cluster.cloud.machines().values()) {
      if (worker.zone().equals("sur")) {
        cluster.world.cutOneWay("nodo", worker.name(), 45_000);
      }
    }
    long tookMs =
        Scenes.until(
            cluster, 60_000, () -> cluster.allRun(services) && cluster.world.now() > 50_000);
    assertNotNull(cluster.leader());
    assertTrue(tookMs < 30_000, "all replicas run after " + tookMs + " ms");
    cluster.world.runUntil(cluster.world.now() + 80_000);
    assertTrue(cluster.allRun(services));
  }
}
