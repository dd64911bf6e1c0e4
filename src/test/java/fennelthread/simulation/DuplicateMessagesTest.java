package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Requests that are delivered again late, up to three leases later, several times and in any order.
 * A duplicate says what was true once; acting on it must neither renew a lease nor hide a failure
 * nor start a task twice. Leases are 10 s.
 */
class DuplicateMessagesTest {
  private static final int MACHINES = 60;
  private static final long MAX_DELAY_MS = 30_000;

  /** Paths of workers' reports, of requests between controllers, and of commands to workers. */
  private static final String[] DUPLICATED_PATHS = {
    "/agent/beat", "/relay/", "/hail", "/member/", "/handover/", "/commands"
  };

  private static SimulatedCluster settled(long seed) {
    return Scenes.settled(seed, Deployment.large(MACHINES), 0);
  }

  private static void duplicateRequests(SimulatedCluster cluster, double share, long forMs) {
    for (String path : DUPLICATED_PATHS) {
      cluster.world.copyRequests(
          new SimulatedNetwork.RequestCopies(path, share, 200, MAX_DELAY_MS), forMs);
    }
  }

  private static WorkerEmulator hostOf(SimulatedCluster cluster, JobSpec job) {
    return cluster.cloud.machines().values().stream()
        .filter(worker -> cluster.checker.isOn(job.id(), worker))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Faults of all kinds while 40% of such requests are delivered again, up to three leases later.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 115})
  void duplicatesAmidRandomFaultsBreakNoRule(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    duplicateRequests(cluster, 0.4, 300_000);
    cluster.addRandomUsersAndFaults(300_000);
    SimulationTest.settle(cluster);
    assertTrue(
        cluster.world.copiesDelivered > 1_000,
        cluster.world.copiesDelivered + " duplicates delivered");
  }

  /**
   * Runs the test with random faults with more seeds: {@code mvn test -Dtest=DuplicateMessagesTest
   * -Dsim.from=100 -Dsim.to=300}.
   */
  @Test
  @EnabledIfSystemProperty(named = "sim.from", matches = "[0-9]+")
  void soak() {
    List<String> failures =
        LongStream.rangeClosed(Long.getLong("sim.from"), Long.getLong("sim.to"))
            .parallel()
            .mapToObj(
                seed -> {
                  try {
                    duplicatesAmidRandomFaultsBreakNoRule(seed);
                    return "";
                  } catch (AssertionError | RuntimeException e) {
                    return "seed " + seed + ": " + e;
                  }
                })
            .filter(text -> !text.isEmpty())
            .toList();
    assertEquals(List.of(), failures);
  }

  /**
   * Duplicates without any other fault cause no restart of a task, no takeover and no return of a
   * machine.
   */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void duplicatesAloneCauseNoRestartOrTakeover(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    int startsBefore = cluster.checker.starts;
    int takeoversBefore = cluster.state.takeovers;
    duplicateRequests(cluster, 0.5, 60_000);
    for (int i = 0; i < 40; i++) {
      JobSpec job = cluster.plainJob(false, 5);
      cluster.world.after(i * 1_000L, () -> cluster.submit(job));
    }
    cluster.checker.recordEndOfFaults();
    cluster.world.runUntil(cluster.world.now() + 100_000);
    assertTrue(
        cluster.world.copiesDelivered > 1_000,
        cluster.world.copiesDelivered + " duplicates delivered");
    assertTrue(cluster.allRun(services));
    assertEquals(startsBefore + 40 * 5, cluster.checker.starts, "tasks restarted");
    assertEquals(takeoversBefore, cluster.state.takeovers);
    assertEquals(Set.of(), Set.copyOf(cluster.cloud.returned));
  }

  /**
   * A machine dies while duplicates of its reports still arrive. Its replicas are started elsewhere
   * as soon as without duplicates.
   */
  @ParameterizedTest
  @CsvSource({"21,false", "22,false", "23,true", "24,true", "25,true"})
  void duplicateReportsDoNotHideADeadMachine(long seed, boolean crashLeader) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    cluster.world.copyRequests(
        new SimulatedNetwork.RequestCopies("/agent/beat", 0.9, 500, MAX_DELAY_MS), 15_000);
    cluster.world.runUntil(cluster.world.now() + 15_000);
    WorkerEmulator dead = hostOf(cluster, services.get(0));
    cluster.cloud.terminate(dead, true);
    if (crashLeader) {
      cluster.crash(cluster.leader(), 3_000);
    }
    long tookMs = Scenes.until(cluster, 60_000, () -> cluster.allRun(services));
    assertTrue(tookMs < (crashLeader ? 12_000 : 8_500), "all replicas run after " + tookMs + " ms");
    cluster.world.runUntil(cluster.world.now() + 40_000);
    assertTrue(cluster.allRun(services));
  }

  /**
   * The cloud is down, so only the end of a dead machine's lease proves that its tasks are gone.
   * Duplicates of its reports, which arrive for several leases after its death, do not renew that
   * lease.
   */
  @ParameterizedTest
  @ValueSource(longs = {26, 27, 28})
  void duplicateReportsRenewNoLease(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    cluster.cloud.outage(80_000);
    cluster.world.copyRequests(
        new SimulatedNetwork.RequestCopies("/agent/beat", 0.9, 500, MAX_DELAY_MS), 15_000);
    cluster.world.runUntil(cluster.world.now() + 15_000);
    WorkerEmulator dead = hostOf(cluster, services.get(0));
    cluster.cloud.terminate(dead, true);
    long tookMs = Scenes.until(cluster, 60_000, () -> cluster.allRun(services));
    assertTrue(tookMs < 14_000, "all replicas run after " + tookMs + " ms");
  }

  /**
   * Duplicates of heartbeats, promises and reports reach the next leader across five changes of
   * leader: next to no task is restarted.
   */
  @ParameterizedTest
  @CsvSource({"31,20", "32,50", "33,300", "34,4000"})
  void duplicatesFromBeforeATakeoverRestartNoTasks(long seed, long downMs) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    int startsBefore = cluster.checker.starts;
    duplicateRequests(cluster, 0.5, 80_000);
    for (int i = 0; i < 5; i++) {
      cluster.world.runUntil(cluster.world.now() + 12_000);
      if (cluster.leader() != null) {
        cluster.crash(cluster.leader(), downMs);
      }
    }
    cluster.world.runUntil(cluster.world.now() + 60_000);
    assertTrue(cluster.allRun(services));
    assertTrue(
        cluster.checker.starts - startsBefore <= 4,
        cluster.checker.starts - startsBefore + " tasks restarted");
  }
}
