package fennelthread.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.LeaderConstants;
import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Properties of the order of placement and of aging, for random jobs and sequences of arrivals. */
class PlacementOrderPropertyTest {
  private static final int TRIES = 300;
  private static final long STEP_MS = 5_000;

  /**
   * Number of critical tasks that arrive in each step. Each takes one CPU for two steps, so that
   * together they take 60 of 64 CPUs.
   */
  private static final int CRITICAL_ARRIVALS_PER_STEP = 30;

  /**
   * Most steps of a run. In the worst case 40 jobs of 12 steps run one after another, 480 steps, on
   * the share of the fleet for aged jobs.
   */
  private static final int MAX_STEPS = 700;

  private static JobSpec spec(long order, Priority priority, double cpus) {
    return JobSpec.builder("job-" + order)
        .jobClass("lote")
        .team("roja")
        .priority(priority)
        .tasks(1)
        .cpus(cpus)
        .memGb(0)
        .image("img")
        .imageGb(1)
        .spotAllowed(true)
        .estimateS(10)
        .build();
  }

  private static Snapshot.PendingJob pendingJob(
      long order,
      Priority priority,
      double cpus,
      boolean isLate,
      boolean isGuaranteed,
      double agedWork,
      AgingBoost boost) {
    return new Snapshot.PendingJob(
        spec(order, priority, cpus),
        priority,
        priority,
        List.of(0),
        Map.of(),
        isGuaranteed,
        false,
        isLate,
        agedWork,
        0,
        boost,
        order);
  }

  @Provide
  Arbitrary<List<Snapshot.PendingJob>> pendingJobs() {
    Arbitrary<Snapshot.PendingJob> element =
        Combinators.combine(
                Arbitraries.of(Priority.class),
                Arbitraries.of(true, false),
                Arbitraries.of(true, false),
                Arbitraries.of(0.1, 1.0, 1.0, 400.0),
                Arbitraries.of(AgingBoost.class))
            .as(
                (priority, isLate, isGuaranteed, agedWork, boost) ->
                    pendingJob(0, priority, 1, isLate, isGuaranteed, agedWork, boost));
    return element
        .list()
        .ofSize(3)
        .map(
            list -> {
              List<Snapshot.PendingJob> numbered = new ArrayList<>();
              for (Snapshot.PendingJob job : list) {
                numbered.add(
                    pendingJob(
                        numbered.size(),
                        job.priority(),
                        1,
                        job.isLate(),
                        job.isWithinGuarantee(),
                        job.agedWork(),
                        job.agingBoost()));
              }
              return numbered;
            });
  }

  @Property(tries = TRIES, seed = "20261202")
  void placementOrderIsTotal(@ForAll("pendingJobs") List<Snapshot.PendingJob> jobs) {
    Comparator<Snapshot.PendingJob> order = Planner.ORDER;
    for (Snapshot.PendingJob first : jobs) {
      for (Snapshot.PendingJob second : jobs) {
        assertEquals(
            Integer.signum(order.compare(first, second)),
            -Integer.signum(order.compare(second, first)));
        assertEquals(first.equals(second), order.compare(first, second) == 0);
        for (Snapshot.PendingJob third : jobs) {
          if (order.compare(first, second) < 0 && order.compare(second, third) < 0) {
            assertTrue(order.compare(first, third) < 0, first + ", " + second + ", " + third);
          }
        }
      }
    }
  }

  /**
   * A job of one task that arrives.
   *
   * @param priority its priority
   * @param cpus CPUs that its task takes
   * @param runSteps how long its task runs, steps
   * @param isGuaranteed whether it lies within its team's guarantee
   */
  private record Arrival(Priority priority, double cpus, int runSteps, boolean isGuaranteed) {}

  /** A job that waits or runs in the model of a cluster below. */
  private static final class ModelJob {
    final long order;
    final long arrivedAtMs;
    final Arrival arrival;
    long startedAtMs = -1;

    ModelJob(long order, long arrivedAtMs, Arrival arrival) {
      this.order = order;
      this.arrivedAtMs = arrivedAtMs;
      this.arrival = arrival;
    }
  }

  @Provide
  Arbitrary<List<List<Arrival>>> arrivals() {
    Arbitrary<Arrival> element =
        Combinators.combine(
                Arbitraries.of(Priority.class),
                Arbitraries.of(0.25, 1.0, 4.0, 16.0),
                Arbitraries.integers().between(1, 12),
                Arbitraries.of(true, false))
            .as(Arrival::new);
    return element.list().ofMaxSize(2).list().ofSize(20);
  }

  /**
   * No job starves: small critical jobs within a guarantee keep arriving and fill nearly the whole
   * fleet, and still the task of every other job completes.
   */
  @Property(tries = TRIES, seed = "20261202")
  void noJobStarves(@ForAll("arrivals") List<List<Arrival>> steps) {
    List<ModelJob> jobs = new ArrayList<>();
    List<ModelJob> running = new ArrayList<>();
    Set<ModelJob> unfinished = new HashSet<>();
    Map<ModelJob, String> machineByJob = new HashMap<>();
    long nowMs = 0;
    long order = 0;
    for (int step = 0; step < MAX_STEPS && (step < steps.size() || !unfinished.isEmpty()); step++) {
      if (step < steps.size()) {
        for (Arrival arrival : steps.get(step)) {
          ModelJob job = new ModelJob(++order, nowMs, arrival);
          jobs.add(job);
          unfinished.add(job);
        }
      }
      for (int i = 0; i < CRITICAL_ARRIVALS_PER_STEP; i++) {
        jobs.add(new ModelJob(++order, nowMs, new Arrival(Priority.CRITICAL, 1, 2, true)));
      }
      runRound(jobs, running, machineByJob, nowMs);
      nowMs += STEP_MS;
      long timeMs = nowMs;
      running.removeIf(
          job -> {
            boolean isDone = timeMs - job.startedAtMs >= job.arrival.runSteps * STEP_MS;
            if (isDone) {
              unfinished.remove(job);
              jobs.remove(job);
            }
            return isDone;
          });
    }
    for (ModelJob job : unfinished) {
      throw new AssertionError(
          "job did not complete: " + job.arrival + ", arrived at " + job.arrivedAtMs + " ms");
    }
  }

  /** Runs one round: determines the aged jobs, plans, and applies the preemptions and starts. */
  private static void runRound(
      List<ModelJob> jobs, List<ModelJob> running, Map<ModelJob, String> machineByJob, long nowMs) {
    Aging aging = new Aging(64);
    List<Snapshot.PendingJob> pendingJobs = new ArrayList<>();
    Map<String, ModelJob> jobsById = new HashMap<>();
    for (ModelJob job : jobs) {
      boolean isRunning = job.startedAtMs >= 0;
      aging.evaluateJob(
          new Aging.EligibleJob(
              "job-" + job.order,
              nowMs - job.arrivedAtMs,
              job.arrival.cpus,
              false,
              isRunning ? job.order : null,
              isRunning ? (nowMs - job.startedAtMs) / 1000.0 : 0,
              job.arrival.runSteps * STEP_MS / 1000.0));
    }
    for (ModelJob job : jobs) {
      jobsById.put("job-" + job.order, job);
      if (job.startedAtMs < 0) {
        double agedWork =
            job.arrival.cpus
                * Math.pow(0.5, (nowMs - job.arrivedAtMs) / LeaderConstants.WORK_HALF_LIFE_MS);
        pendingJobs.add(
            pendingJob(
                job.order,
                job.arrival.priority,
                job.arrival.cpus,
                false,
                job.arrival.isGuaranteed,
                agedWork,
                aging.boostOf("job-" + job.order)));
      }
    }
    List<Snapshot.MachineState> machines = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String name = "m" + i;
      double freeCpus = 16;
      List<Snapshot.RunningTask> runningHere = new ArrayList<>();
      for (ModelJob job : running) {
        if (machineByJob.get(job).equals(name)) {
          freeCpus -= job.arrival.cpus;
          runningHere.add(
              new Snapshot.RunningTask(
                  spec(job.order, job.arrival.priority, job.arrival.cpus),
                  job.arrival.priority,
                  0,
                  job.order,
                  name,
                  false,
                  job.arrival.cpus,
                  0,
                  0,
                  job.startedAtMs,
                  job.arrival.runSteps * STEP_MS / 1000.0));
        }
      }
      machines.add(
          SnapshotFixtures.machine(
              name,
              "mesa",
              "z",
              false,
              16,
              freeCpus,
              0,
              64,
              1,
              Set.of("img"),
              Set.of(),
              Map.of(),
              runningHere));
    }
    Map<String, Snapshot.TeamUsage> teams = Map.of("roja", SnapshotFixtures.usage(0, 0, 0, 0));
    PlacementPlan plan =
        Planner.plan(
            SnapshotFixtures.snapshot(
                machines, pendingJobs, Set.of(), aging.nonPreemptible(), teams, nowMs, 1_000));
    for (Snapshot.RunningTask preempted : plan.preemptions()) {
      ModelJob job = jobsById.get(preempted.spec().id());
      running.remove(job);
      job.startedAtMs = -1;
    }
    for (PlacementPlan.Start start : plan.starts()) {
      ModelJob job = jobsById.get(start.spec().id());
      job.startedAtMs = nowMs;
      machineByJob.put(job, start.machine());
      running.add(job);
    }
  }
}
