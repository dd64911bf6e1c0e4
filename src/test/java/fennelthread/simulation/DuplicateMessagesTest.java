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
 * Copies of messages that come again late, once and many times and in any order: what they say was
 * true once. Leases are of 10 s.
 */
class DuplicateMessagesTest {
  private static final int MACHINES = 60;
  private static final long LATEST_MS = 30_000;

  /** Reports, what controllers say to one another, and commands to workers. */
  private static final String[] PATHS = {
    "/agent/beat", "/relay/", "/hail", "/member/", "/handover/", "/commands"
  };

  private static SimulatedCluster settled(long seed) {
    return Scenes.settled(seed, Deployment.large(MACHINES), 0);
  }

  private static void copyAll(SimulatedCluster cluster, double share, long forMs) {
    for (String path : PATHS) {
      cluster.world.copyRequests(
          new SimulatedNetwork.RequestCopies(path, share, 200, LATEST_MS), forMs);
    }
  }

  private static WorkerEmulator hostOf(SimulatedCluster cluster, JobSpec job) {
    return cluster.cloud.machines().values().stream()
        .filter(worker -> cluster.checker.isOn(job.id(), worker))
        .findFirst()
        .orElseThrow();
  }

  /** Everything fails and half of what is said is said again later, up to three leases later. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 115})
  void storm(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    copyAll(cluster, 0.4, 300_000);
    cluster.addRandomUsersAndFaults(300_000);
    SimulationTest.settle(cluster);
    assertTrue(cluster.world.copiesDelivered > 1_000, cluster.world.copiesDelivered + " copies");
  }

  /**
   * More seeds than every build needs: {@code mvn test -Dtest=DuplicateMessagesTest -Dsim.from=100
   * -Dsim.to=300}.
   */
  @Test
  @EnabledIfSystemProperty(named = "sim.from", matches = "[0-9]+")
  void soak() {
    List<String> broken =
        LongStream.rangeClosed(Long.getLong("sim.from"), Long.getLong("sim.to"))
            .parallel()
            .mapToObj(
                seed -> {
                  try {
                    storm(seed);
                    return "";
                  } catch (AssertionError | RuntimeException e) {
                    return "seed " + seed + ": " + e;
                  }
                })
            .filter(text -> !text.isEmpty())
            .toList();
    assertEquals(List.of(), broken);
  }

  /**
   * A quiet day with copies is a quiet day: nothing is lost, nobody is taken over from, nothing is
   * given back.
   */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void copiesAloneDoNoHarm(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    int before = cluster.checker.starts;
    int takeovers = cluster.state.takeovers;
    copyAll(cluster, 0.5, 60_000);
    for (int i = 0; i < 40; i++) {
      JobSpec job = cluster.plainJob(false, 5);
      cluster.world.after(i * 1_000L, () -> cluster.submit(job));
    }
    cluster.checker.recordEndOfFaults();
    cluster.world.runUntil(cluster.world.now() + 100_000);
    assertTrue(cluster.world.copiesDelivered > 1_000, cluster.world.copiesDelivered + " copies");
    assertTrue(cluster.allRun(services));
    assertEquals(before + 40 * 5, cluster.checker.starts, "started again");
    assertEquals(takeovers, cluster.state.takeovers);
    assertEquals(Set.of(), Set.copyOf(cluster.cloud.returned));
  }

  /**
   * A machine dies; copies of its reports go on coming in. They hide nothing: its replicas go
   * elsewhere as ever.
   */
  @ParameterizedTest
  @CsvSource({"21,false", "22,false", "23,true", "24,true", "25,true"})
  void copiesHideNoDeath(long seed, boolean leaderToo) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    cluster.world.copyRequests(
        new SimulatedNetwork.RequestCopies("/agent/beat", 0.9, 500, LATEST_MS), 15_000);
    cluster.world.runUntil(cluster.world.now() + 15_000);
    WorkerEmulator dead = hostOf(cluster, services.get(0));
    cluster.cloud.terminate(dead, true);
    if (leaderToo) {
      cluster.crash(cluster.leader(), 3_000);
    }
    long took = Scenes.until(cluster, 60_000, () -> cluster.allRun(services));
    assertTrue(took < (leaderToo ? 12_000 : 8_500), "whole after " + took + " ms");
    cluster.world.runUntil(cluster.world.now() + 40_000);
    assertTrue(cluster.allRun(services));
  }

  /**
   * The cloud takes nothing back, so that only the end of its lease proves what was on a dead
   * machine gone: copies of its reports, which come for leases after it, renew nothing of that.
   */
  @ParameterizedTest
  @ValueSource(longs = {26, 27, 28})
  void copiesRenewNoLease(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    cluster.cloud.outage(80_000);
    cluster.world.copyRequests(
        new SimulatedNetwork.RequestCopies("/agent/beat", 0.9, 500, LATEST_MS), 15_000);
    cluster.world.runUntil(cluster.world.now() + 15_000);
    WorkerEmulator dead = hostOf(cluster, services.get(0));
    cluster.cloud.terminate(dead, true);
    long took = Scenes.until(cluster, 60_000, () -> cluster.allRun(services));
    assertTrue(took < 14_000, "whole after " + took + " ms");
  }

  /**
   * Takeovers while copies from before, heartbeats and promises and reports alike, come in at the
   * next leader.
   */
  @ParameterizedTest
  @CsvSource({"31,20", "32,50", "33,300", "34,4000"})
  void takeoversWithCopiesFromBefore(long seed, long downMs) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 15, 100, 15_000);
    int before = cluster.checker.starts;
    copyAll(cluster, 0.5, 80_000);
    for (int i = 0; i < 5; i++) {
      cluster.world.runUntil(cluster.world.now() + 12_000);
      if (cluster.leader() != null) {
        cluster.crash(cluster.leader(), downMs);
      }
    }
    cluster.world.runUntil(cluster.world.now() + 60_000);
    assertTrue(cluster.allRun(services));
    assertTrue(
        cluster.checker.starts - before <= 4, cluster.checker.starts - before + " started again");
  }
}
