package fennelthread.plan;

import static fennelthread.plan.SnapshotFixtures.NOW_MS;
import static fennelthread.plan.SnapshotFixtures.job;
import static fennelthread.plan.SnapshotFixtures.machine;
import static fennelthread.plan.SnapshotFixtures.pendingJob;
import static fennelthread.plan.SnapshotFixtures.runningTask;
import static fennelthread.plan.SnapshotFixtures.snapshot;
import static fennelthread.plan.SnapshotFixtures.teams;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The order in which jobs are placed and the choice of machines. */
class PlannerRankingTest {
  private static Snapshot.PendingJob pendingJobWithWork(
      JobSpec spec, boolean isLate, double agedWork, long order) {
    return new Snapshot.PendingJob(
        spec,
        spec.priority(),
        spec.priority(),
        List.of(0),
        Map.of(),
        false,
        false,
        isLate,
        agedWork,
        0,
        AgingBoost.NONE,
        order);
  }

  @Test
  void cachedImageIsPreferredToBestFit() {
    Snapshot snapshot =
        snapshot(
            List.of(machine("a", 8, 2, null), machine("b", 8, 8, "img")),
            pendingJob(job("job-1", "roja", Priority.STANDARD, 1, 2), true, 1),
            Set.of());
    assertEquals("b", Planner.plan(snapshot).starts().get(0).machine());
  }

  @Test
  void fullestOfEqualMachinesIsChosen() {
    Snapshot snapshot =
        snapshot(
            List.of(machine("a", 8, 8, null), machine("b", 8, 3, null)),
            pendingJob(job("job-1", "roja", Priority.STANDARD, 1, 2), true, 1),
            Set.of());
    assertEquals("b", Planner.plan(snapshot).starts().get(0).machine());
  }

  /**
   * A job that is late already must not delay one that can still meet its deadline: otherwise each
   * late job of a backlog makes the next one late too.
   */
  @Test
  void jobsThatCanMeetTheirDeadlineComeFirstThenSmallerOnes() {
    JobSpec late = job("job-1", "roja", Priority.STANDARD, 1, 4);
    JobSpec large = job("job-2", "roja", Priority.STANDARD, 1, 4);
    JobSpec small = job("job-3", "roja", Priority.STANDARD, 1, 4);
    List<Snapshot.PendingJob> pendingJobs =
        List.of(
            pendingJobWithWork(late, true, 10, 1),
            pendingJobWithWork(large, false, 900, 2),
            pendingJobWithWork(small, false, 90, 3));
    PlacementPlan plan =
        Planner.plan(
            SnapshotFixtures.snapshot(
                List.of(machine("a", 8, 8, null)),
                pendingJobs,
                Set.of(),
                Set.of(),
                teams(0),
                NOW_MS,
                10));
    assertEquals(
        List.of("job-3", "job-2"), plan.starts().stream().map(s -> s.spec().id()).toList());
  }

  /**
   * A replica preempts less urgent work on a machine that has its image rather than wait for the
   * image on a free machine.
   */
  @Test
  void replicaPreemptsLessUrgentWorkOnMachineWithItsImage() {
    JobSpec service =
        JobSpec.builder("job-1")
            .jobClass("servicio")
            .team("roja")
            .service(true)
            .priority(Priority.CRITICAL)
            .tasks(1)
            .cpus(4)
            .memGb(1)
            .image("img")
            .imageGb(3)
            .build();
    Snapshot.RunningTask standardTask = runningTask("job-8", "azul", Priority.STANDARD, 5);
    PlacementPlan plan =
        Planner.plan(
            snapshot(
                List.of(machine("a", 8, 8, null), machine("b", 4, 0, "img", standardTask)),
                pendingJob(service, true, 1),
                Set.of("job-8")));
    assertEquals(List.of(standardTask), plan.preemptions());
    assertTrue(plan.starts().isEmpty());
  }
}
