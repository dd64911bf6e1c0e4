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
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Capacity that is reserved for waiting tasks, and which jobs it does not hold back. */
class PlannerReservationTest {
  private static Snapshot.RunningTask halfCpuTask(
      int attempt, String machine, double elapsedS, double expectedRunS) {
    return new Snapshot.RunningTask(
        job("job-9", "azul", Priority.BEST_EFFORT, 64, 0.5),
        Priority.BEST_EFFORT,
        attempt,
        attempt,
        machine,
        false,
        0.5,
        0,
        0.1,
        NOW_MS - (long) (elapsedS * 1000),
        expectedRunS);
  }

  private static Snapshot.PendingJob waitingJob(JobSpec spec, double maxWaitS, AgingBoost boost) {
    return new Snapshot.PendingJob(
        spec,
        spec.priority(),
        spec.priority(),
        List.of(0),
        Map.of(),
        false,
        false,
        false,
        100,
        maxWaitS,
        boost,
        1);
  }

  /** A job of one-CPU tasks that must run in a zone; null for any zone. */
  private static Snapshot.PendingJob pendingJobInZone(
      String id, Priority priority, int tasks, String zone) {
    JobSpec template = job(id, "roja", priority, tasks, 1);
    JobSpec spec =
        JobSpec.builder(id)
            .jobClass(template.jobClass())
            .team(template.team())
            .priority(priority)
            .tasks(tasks)
            .cpus(1)
            .memGb(1)
            .image("img")
            .imageGb(1)
            .zone(zone)
            .spotAllowed(true)
            .estimateS(10)
            .build();
    return pendingJob(spec, true, tasks);
  }

  private static Snapshot snapshotWithStarvedJobs(
      Set<String> starvedJobs,
      List<Snapshot.MachineState> machines,
      List<Snapshot.PendingJob> pendingJobs,
      Map<String, Snapshot.TeamUsage> teams) {
    return new Snapshot(
        machines, pendingJobs, Set.of(), Set.of(), teams, NOW_MS, 10, starvedJobs, Set.of());
  }

  /**
   * Capacity that is released in parts for a large task must not go to a smaller and less urgent
   * task. The large task would preempt it again, up to a thousand times a minute.
   */
  @Test
  void releasedCapacityIsNotGivenToLessUrgentWork() {
    Snapshot.RunningTask stoppingTask =
        new Snapshot.RunningTask(
            job("job-8", "azul", Priority.BEST_EFFORT, 1, 2),
            Priority.BEST_EFFORT,
            0,
            1,
            "a",
            true,
            2,
            0,
            1,
            NOW_MS,
            60);
    List<Snapshot.PendingJob> pendingJobs =
        List.of(
            pendingJob(job("job-1", "roja", Priority.STANDARD, 1, 4), false, 1),
            pendingJob(job("job-2", "azul", Priority.BEST_EFFORT, 1, 2), false, 1));
    PlacementPlan plan =
        Planner.plan(
            SnapshotFixtures.snapshot(
                List.of(machine("a", 4, 2, null, stoppingTask)),
                pendingJobs,
                Set.of(),
                Set.of(),
                teams(0),
                NOW_MS,
                10));
    assertTrue(plan.starts().isEmpty(), plan.starts().toString());
    assertTrue(plan.preemptions().isEmpty());
  }

  /**
   * If tasks that complete within seconds release enough capacity, a job that may wait reserves it:
   * it preempts nothing, and others do not get that capacity. Otherwise a task of four CPUs
   * preempts sixteen small ones, which can cost a team a third of its starts.
   */
  @Test
  void capacityReleasedByCompletionsIsAwaited() {
    List<Snapshot.RunningTask> completingSoon = new ArrayList<>();
    List<Snapshot.RunningTask> completingLater = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      completingSoon.add(halfCpuTask(i, "a", 1, 4));
      completingLater.add(halfCpuTask(10 + i, "b", 1, 40));
    }
    List<Snapshot.MachineState> machines =
        List.of(
            machine("b", 4, 0, null, completingLater.toArray(new Snapshot.RunningTask[0])),
            machine("a", 4, 0, null, completingSoon.toArray(new Snapshot.RunningTask[0])));
    JobSpec fourCpus = job("job-1", "roja", Priority.STANDARD, 1, 4);
    JobSpec halfCpu = job("job-2", "azul", Priority.BEST_EFFORT, 1, 0.5);
    PlacementPlan plan =
        Planner.plan(snapshot(machines, waitingJob(fourCpus, 5, AgingBoost.NONE), Set.of()));
    assertTrue(plan.preemptions().isEmpty(), plan.preemptions().toString());
    // In the next round half of them have completed: the capacity must not go to another task.
    PlacementPlan next =
        Planner.plan(
            SnapshotFixtures.snapshot(
                List.of(
                    machine(
                        "a",
                        4,
                        2,
                        null,
                        completingSoon.subList(0, 4).toArray(new Snapshot.RunningTask[0]))),
                List.of(
                    waitingJob(fourCpus, 5, AgingBoost.NONE),
                    waitingJob(halfCpu, 5, AgingBoost.NONE)),
                Set.of(),
                Set.of(),
                teams(0),
                NOW_MS,
                10));
    assertTrue(next.starts().isEmpty() && next.preemptions().isEmpty(), next.toString());
    assertEquals(
        8,
        Planner.plan(snapshot(machines, waitingJob(fourCpus, 0, AgingBoost.NONE), Set.of()))
            .preemptions()
            .size());
  }

  /**
   * While small tasks keep arriving, no machine becomes entirely free for a task as large as a
   * machine. Once its job is aged, a machine is reserved for it.
   */
  @Test
  void machineIsReservedForTaskAsLargeAsAMachine() {
    JobSpec wholeMachine = job("job-1", "roja", Priority.BEST_EFFORT, 1, 16);
    JobSpec small = job("job-2", "azul", Priority.STANDARD, 1, 1);
    Snapshot.RunningTask other = runningTask("job-8", "azul", Priority.STANDARD, 1);
    List<Snapshot.MachineState> machines =
        List.of(
            machine("a", 16, 12, null, other),
            machine("b", 16, 0, null, other, other, other, other));
    for (AgingBoost boost : AgingBoost.values()) {
      PlacementPlan plan =
          Planner.plan(
              SnapshotFixtures.snapshot(
                  machines,
                  List.of(
                      waitingJob(small, 0, AgingBoost.NONE), waitingJob(wholeMachine, 0, boost)),
                  Set.of(),
                  Set.of(),
                  teams(0),
                  NOW_MS,
                  10));
      assertEquals(
          boost == AgingBoost.ABOVE_ALL
              ? List.of()
              : List.of(new PlacementPlan.Start(small, 0, "a")),
          plan.starts());
      assertTrue(plan.preemptions().isEmpty());
    }
  }

  /**
   * A job whose tasks wait for a zone without capacity must not block its team's limit forever for
   * the team's next job, which fits elsewhere: once that job counts as starved, it starts.
   */
  @Test
  void unplacedWorkDoesNotHoldBackStarvedJobsOfItsTeam() {
    List<Snapshot.MachineState> machines = List.of(machine("a", 8, 8, null));
    List<Snapshot.PendingJob> pendingJobs =
        List.of(
            pendingJobInZone("job-1", Priority.URGENT, 10, "elsewhere"),
            pendingJobInZone("job-2", Priority.STANDARD, 3, null));
    PlacementPlan first =
        Planner.plan(
            SnapshotFixtures.snapshot(
                machines, pendingJobs, Set.of(), Set.of(), teams(10), NOW_MS, 10));
    assertEquals(List.of(), first.starts());
    assertEquals(Set.of("job-2"), first.passedOverJobs());
    PlacementPlan onceStarved =
        Planner.plan(
            snapshotWithStarvedJobs(first.passedOverJobs(), machines, pendingJobs, teams(10)));
    assertEquals(3, onceStarved.starts().size());
    assertEquals(Set.of(), onceStarved.passedOverJobs());
    // Running tasks count towards the limit in any case.
    PlacementPlan withOneCpuLeft =
        Planner.plan(
            snapshotWithStarvedJobs(
                Set.of("job-2"),
                machines,
                pendingJobs,
                Map.of("roja", SnapshotFixtures.usage(9, 0, 10, 0))));
    assertEquals(1, withOneCpuLeft.starts().size());
  }

  /**
   * A machine that is reserved for a large task holds other jobs back only until they are starved.
   */
  @Test
  void machineReservationDoesNotHoldBackStarvedJobs() {
    JobSpec wholeMachine = job("job-1", "roja", Priority.BEST_EFFORT, 1, 16);
    JobSpec small = job("job-2", "azul", Priority.STANDARD, 1, 1);
    Snapshot.RunningTask runningTask = runningTask("job-8", "azul", Priority.STANDARD, 1);
    List<Snapshot.MachineState> machines = List.of(machine("a", 16, 12, null, runningTask));
    List<Snapshot.PendingJob> pendingJobs =
        List.of(
            waitingJob(small, 0, AgingBoost.NONE),
            waitingJob(wholeMachine, 0, AgingBoost.ABOVE_ALL));
    Snapshot reserved =
        SnapshotFixtures.snapshot(machines, pendingJobs, Set.of(), Set.of(), teams(0), NOW_MS, 10);
    assertEquals(Set.of("job-2"), Planner.plan(reserved).passedOverJobs());
    assertEquals(List.of(), Planner.plan(reserved).starts());
    Snapshot starved = snapshotWithStarvedJobs(Set.of("job-2"), machines, pendingJobs, teams(0));
    assertEquals(List.of(new PlacementPlan.Start(small, 0, "a")), Planner.plan(starved).starts());
  }
}
