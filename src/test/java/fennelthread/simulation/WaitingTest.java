package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.PlanConstants;
import fennelthread.constants.SimulationConstants;
import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Once nothing fails any more no job waits for 90 s while a machine that fits has room and its team
 * is under its limit. Each test brings about one reason for which a job stands back, and that has
 * no bound of its own; the InvariantChecker holds the rule.
 */
class WaitingTest {
  private static final int MACHINES = 6;
  private static final double MACHINE_CPUS = 4;

  /** A cluster whose machines are all that there are, with the rule on. */
  private static SimulatedCluster calm(long seed, double teamCap) {
    Deployment deployment = Deployment.large(MACHINES).withTeamCap(teamCap);
    SimulatedCluster c = Scenes.settled(seed, deployment, 0);
    c.deployment.zones().forEach(zone -> c.cloud.exhaustZone(zone, Long.MAX_VALUE / 4));
    // What was asked for before comes up.
    c.world.runUntil(c.world.now() + 20_000);
    c.checker.recordEndOfFaults();
    return c;
  }

  /** Fills so many machines of a zone with services for good; gives their jobs. */
  private static List<JobSpec> fill(SimulatedCluster c, String zone, double cpus) {
    List<JobSpec> filling = new ArrayList<>();
    for (WorkerEmulator w : c.cloud.machines().values()) {
      if (w.zone().equals(zone) && w.isUp()) {
        filling.add(JobDraft.service(c, 1).team("azul").cpus(cpus).zone(zone).spec());
      }
    }
    filling.forEach(c::submit);
    c.world.runUntil(c.world.now() + 15_000);
    assertTrue(c.allRun(filling), "filled " + zone);
    return filling;
  }

  private static long beginsAfterMs(SimulatedCluster c, JobSpec job) {
    return Scenes.until(c, 200_000, () -> c.checker.running(job.id()) > 0);
  }

  /**
   * An array waits for a zone without room, and asks for all that its team may have. The team's
   * other job fits elsewhere.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void whatWaitsElsewhereKeepsTheTeamsLimit(long seed) {
    SimulatedCluster c = calm(seed, 20);
    fill(c, "sur", MACHINE_CPUS);
    JobSpec stuck = JobDraft.array(c, 40, 30).priority(Priority.URGENT).zone("sur").spec();
    c.submit(stuck);
    c.world.runUntil(c.world.now() + 3_000);
    JobSpec other = JobDraft.array(c, 2, 5).spec();
    c.submit(other);
    long tookMs = beginsAfterMs(c, other);
    assertTrue(tookMs > 30_000, "did not stand back, began after " + tookMs + " ms");
    assertTrue(
        tookMs < SimulationConstants.MAX_IDLE_CAPACITY_WAIT_MS, "began after " + tookMs + " ms");
    assertEquals(0, c.checker.running(stuck.id()));
  }

  /**
   * The largest job has waited so long that a machine is kept free for it, on which a task still
   * runs for minutes; small jobs would fit beside that one.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aMachineIsKeptForTheLargest(long seed) {
    SimulatedCluster c = calm(seed, 0);
    // All room is taken for good, but on one machine, where a task runs that leaves one CPU free.
    // It
    // has failed once: otherwise it would be the first task of a job that has waited long itself.
    List<WorkerEmulator> up =
        c.cloud.machines().values().stream().filter(WorkerEmulator::isUp).toList();
    JobSpec services = JobDraft.service(c, up.size() - 1).cpus(MACHINE_CPUS).team("azul").spec();
    c.submit(services);
    c.world.runUntil(c.world.now() + 10_000);
    up.forEach(w -> w.failTasks(1_800));
    JobSpec filling = JobDraft.array(c, 1, 900).cpus(MACHINE_CPUS - 1).spec();
    c.submit(filling);
    c.world.runUntil(c.world.now() + 10_000);
    assertTrue(c.allRun(List.of(services, filling)), "filled");
    JobSpec largest = JobDraft.array(c, 1, 10).cpus(MACHINE_CPUS).spec();
    c.submit(largest);
    // Until its turn has come, and a machine is kept.
    c.world.runUntil(c.world.now() + PlanConstants.AGING_THRESHOLD_MS + 3_000);
    JobSpec small = JobDraft.array(c, 2, 2).priority(Priority.BEST_EFFORT).spec();
    c.submit(small);
    long tookMs = beginsAfterMs(c, small);
    assertTrue(tookMs > 30_000, "did not stand back, began after " + tookMs + " ms");
    assertTrue(
        tookMs < SimulationConstants.MAX_IDLE_CAPACITY_WAIT_MS, "began after " + tookMs + " ms");
    Scenes.until(c, 100_000, () -> c.checker.allCompleted(small.id()));
    assertTrue(c.checker.allCompleted(small.id()), "the small job is done");
    assertEquals(0, c.checker.running(largest.id()));
  }

  /**
   * Two jobs with a mistake in them fail on a machine that is good and runs services: it is taken
   * for faulty and gets no tasks, and will never be empty, so that it is never returned either.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aMachineIsTakenForFaulty(long seed) {
    SimulatedCluster c = calm(seed, 0);
    for (String zone : c.deployment.zones()) {
      fill(c, zone, 1);
    }
    c.cloud.machines().values().forEach(w -> w.failTasks(6_000));
    for (int i = 0; i < 12; i++) {
      c.submit(JobDraft.array(c, 6, 3).team(i % 2 == 0 ? "roja" : "azul").spec());
    }
    c.world.runUntil(c.world.now() + 6_000);
    // It takes all the room that the services leave, for longer than the test looks.
    int up = (int) c.cloud.machines().values().stream().filter(WorkerEmulator::isUp).count();
    JobSpec next = JobDraft.array(c, 3 * up, 1_200).spec();
    c.submit(next);
    int[] early = new int[1];
    c.world.after(15_000, () -> early[0] = c.checker.running(next.id()));
    Scenes.until(c, 200_000, () -> c.checker.running(next.id()) == next.tasks());
    assertEquals(next.tasks(), c.checker.running(next.id()), "all its tasks run");
    assertTrue(early[0] < next.tasks(), "no machine was taken for faulty");
  }

  /** More seeds: {@code mvn test -Dtest=WaitingTest#soak -Dsim.from=100 -Dsim.to=139}. */
  @Test
  @EnabledIfSystemProperty(named = "sim.from", matches = "[0-9]+")
  void soak() {
    Scenes.soak(
        seed -> {
          whatWaitsElsewhereKeepsTheTeamsLimit(seed);
          aMachineIsKeptForTheLargest(seed);
          aMachineIsTakenForFaulty(seed);
        });
  }
}
