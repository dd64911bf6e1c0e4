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
 * Machines whose reports arrive, but which answers and commands don't reach: their workers end
 * their tasks with each lease and come back with the next session, again and again. Leases are of
 * 10 s.
 */
class OneWayPartitionTest {
  private static final int MACHINES = 60;

  private static SimulatedCluster settled(long seed) {
    return Scenes.settled(seed, Deployment.large(MACHINES), 0);
  }

  private static List<WorkerEmulator> carrying(SimulatedCluster cluster) {
    Set<String> names =
        cluster.checker.tasksOnMachines().stream()
            .map(p -> p.substring(p.indexOf('@') + 1))
            .collect(Collectors.toSet());
    return cluster.cloud.machines().values().stream()
        .filter(worker -> names.contains(worker.name()))
        .toList();
  }

  private static boolean nothingOn(
      SimulatedCluster cluster, List<WorkerEmulator> machines, List<JobSpec> services) {
    return machines.stream()
        .noneMatch(worker -> services.stream().anyMatch(s -> cluster.checker.isOn(s.id(), worker)));
  }

  /**
   * Their replicas are started elsewhere in the time that a silent machine's are, and they are
   * given back.
   */
  @ParameterizedTest
  @CsvSource({"1,1", "2,1", "3,6", "4,6", "5,6"})
  void replicasOfMachinesThatHearNothingGoElsewhere(long seed, int count) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    List<WorkerEmulator> untold = carrying(cluster).subList(0, count);
    untold.forEach(worker -> cluster.world.cutOneWay("nodo", worker.name(), 90_000));
    cluster.world.runUntil(cluster.world.now() + 100);
    long took =
        Scenes.until(
            cluster,
            60_000,
            () -> nothingOn(cluster, untold, services) && cluster.allRun(services));
    assertTrue(took < 9_500, "whole after " + took + " ms");
    cluster.world.runUntil(cluster.world.now() + 40_000);
    for (WorkerEmulator worker : untold) {
      assertTrue(
          cluster.cloud.returned.contains(worker.name()),
          worker.name() + " is charged and of no use");
    }
    assertTrue(cluster.allRun(services));
  }

  /** A cut only from the leader: peers tell the machines what it says, and nothing is lost. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void whoeverOnlyTheLeaderCanNotTellIsToldByPeers(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    int before = cluster.checker.starts;
    String leader = cluster.leader();
    cluster.world.cutOneWay(leader, "n-", 40_000);
    cluster.world.runUntil(cluster.world.now() + 15_000);
    JobSpec job = cluster.plainJob(false, 6);
    cluster.submit(job);
    cluster.world.runUntil(cluster.world.now() + 24_000);
    assertTrue(cluster.checker.starts >= before + 6, "nothing starts");
    assertTrue(
        cluster.checker.starts <= before + 6 + 4,
        cluster.checker.starts - before - 6 + " started again");
    cluster.world.runUntil(cluster.world.now() + 20_000);
    assertTrue(cluster.allRun(services));
  }

  /** Machines that hear nothing from before a takeover on: the new leader's token never shows. */
  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23})
  void theNextLeaderNeverReachesThem(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    List<WorkerEmulator> untold = carrying(cluster).subList(0, 6);
    untold.forEach(worker -> cluster.world.cutOneWay("nodo", worker.name(), 90_000));
    cluster.world.runUntil(cluster.world.now() + 500);
    cluster.crash(cluster.leader(), 4_000);
    long took =
        Scenes.until(
            cluster,
            60_000,
            () -> nothingOn(cluster, untold, services) && cluster.allRun(services));
    assertTrue(took < 14_000, "whole after " + took + " ms");
    cluster.world.runUntil(cluster.world.now() + 30_000);
    assertTrue(cluster.allRun(services));
  }

  /**
   * Two thirds of the fleet hear nothing and the cloud takes nothing back: no proof but their own
   * next session, or that a lease is over which nobody can have renewed. What was on them runs on
   * the others all the same.
   */
  @ParameterizedTest
  @CsvSource({"31,false", "32,false", "33,true", "34,true"})
  void mostOfAFleetHearsNothingAndTheCloudIsOut(long seed, boolean takeover) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    cluster.cloud.outage(90_000);
    List<WorkerEmulator> all = List.copyOf(cluster.cloud.machines().values());
    List<WorkerEmulator> untold = new ArrayList<>();
    for (int i = 0; i < all.size(); i++) {
      if (i % 3 != 0) {
        untold.add(all.get(i));
        cluster.world.cutOneWay("nodo", all.get(i).name(), 80_000);
      }
    }
    if (takeover) {
      cluster.world.runUntil(cluster.world.now() + 500);
      cluster.crash(cluster.leader(), 4_000);
    }
    long took =
        Scenes.until(
            cluster,
            60_000,
            () -> nothingOn(cluster, untold, services) && cluster.allRun(services));
    assertTrue(took < (takeover ? 40_000 : 25_000), "whole after " + took + " ms");
    cluster.world.runUntil(cluster.world.now() + 100_000);
    assertTrue(cluster.allRun(services));
  }

  /** It hears again: it is used again. */
  @ParameterizedTest
  @ValueSource(longs = {41, 42})
  void whoHearsAgainIsUsedAgain(long seed) {
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
   * Heard, not told, told again, every few seconds: no rule is broken, and most of the work is
   * done.
   */
  @ParameterizedTest
  @CsvSource({"51,2500", "52,4000", "53,6000", "54,11000"})
  void flapping(long seed, long everyMs) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    List<WorkerEmulator> some = carrying(cluster).subList(0, 8);
    for (long at = 0; at < 60_000; at += 2 * everyMs) {
      cluster.world.after(
          at,
          () -> some.forEach(worker -> cluster.world.cutOneWay("nodo", worker.name(), everyMs)));
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
   * A whole zone of two hears nothing: the other one takes over what it can, and both serve
   * afterwards.
   */
  @ParameterizedTest
  @ValueSource(longs = {61, 62})
  void aWholeZone(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    for (WorkerEmulator worker : cluster.cloud.machines().values()) {
      if (worker.zone().equals("sur")) {
        cluster.world.cutOneWay("nodo", worker.name(), 45_000);
      }
    }
    long took =
        Scenes.until(
            cluster, 60_000, () -> cluster.allRun(services) && cluster.world.now() > 50_000);
    assertNotNull(cluster.leader());
    assertTrue(took < 30_000, "whole after " + took + " ms");
    cluster.world.runUntil(cluster.world.now() + 80_000);
    assertTrue(cluster.allRun(services));
  }
}
