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

/** The order of placement and aging, over any jobs and any sequence of arrivals. */
class PlacementOrderPropertyTest {
  private static final int TRIES = 300;
  private static final long STEP_MS = 5_000;

  /** Tasks of one CPU and two steps that come with each step: 60 at once, of 64 CPUs. */
  private static final int FLOOD = 30;

  /**
   * Longest play: at the worst 40 jobs of 12 steps, one after the other on the part for aged jobs.
   */
  private static final int LONGEST_STEPS = 700;

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
      boolean late,
      boolean guaranteed,
      double work,
      AgingBoost boost) {
    return new Snapshot.PendingJob(
        spec(order, priority, cpus),
        priority,
        priority,
        List.of(0),
        Map.of(),
        guaranteed,
        false,
        late,
        work,
        0,
        boost,
        order);
  }

  @Provide
  Arbitrary<List<Snapshot.PendingJob>> pendingJobs() {
    Arbitrary<Snapshot.PendingJob> one =
        Combinators.combine(
                Arbitraries.of(Priority.class),
                Arbitraries.of(true, false),
                Arbitraries.of(true, false),
                Arbitraries.of(0.1, 1.0, 1.0, 400.0),
                Arbitraries.of(AgingBoost.class))
            .as(
                (p, late, guaranteed, work, boost) ->
                    pendingJob(0, p, 1, late, guaranteed, work, boost));
    return one.list()
        .ofSize(3)
        .map(
            list -> {
              List<Snapshot.PendingJob> numbered = new ArrayList<>();
              for (Snapshot.PendingJob n : list) {
                numbered.add(
                    pendingJob(
                        numbered.size(),
                        n.priority(),
                        1,
                        n.isLate(),
                        n.isWithinGuarantee(),
                        n.agedWork(),
                        n.agingBoost()));
              }
              return numbered;
            });
  }

  @Property(tries = TRIES, seed = "20261202")
  void theOrderIsTotal(@ForAll("pendingJobs") List<Snapshot.PendingJob> three) {
    Comparator<Snapshot.PendingJob> order = Planner.ORDER;
    for (Snapshot.PendingJob a : three) {
      for (Snapshot.PendingJob b : three) {
        assertEquals(Integer.signum(order.compare(a, b)), -Integer.signum(order.compare(b, a)));
        assertEquals(a.equals(b), order.compare(a, b) == 0);
        for (Snapshot.PendingJob c : three) {
          if (order.compare(a, b) < 0 && order.compare(b, c) < 0) {
            assertTrue(order.compare(a, c) < 0, a + ", " + b + ", " + c);
          }
        }
      }
    }
  }

  /**
   * One arrival: how urgent, how large, how long its one task runs, whether its team has a
   * guarantee.
   */
  private record Arrival(Priority priority, double cpus, int runsSteps, boolean guaranteed) {}

  /** A job that waits or runs in the model below. */
  private static final class Job {
    final long order;
    final long arrivedAtMs;
    final Arrival arrival;
    long startedAtMs = -1;

    Job(long order, long arrivedAtMs, Arrival arrival) {
      this.order = order;
      this.arrivedAtMs = arrivedAtMs;
      this.arrival = arrival;
    }
  }

  @Provide
  Arbitrary<List<List<Arrival>>> arrivals() {
    Arbitrary<Arrival> one =
        Combinators.combine(
                Arbitraries.of(Priority.class),
                Arbitraries.of(0.25, 1.0, 4.0, 16.0),
                Arbitraries.integers().between(1, 12),
                Arbitraries.of(true, false))
            .as(Arrival::new);
    return one.list().ofMaxSize(2).list().ofSize(20);
  }

  /**
   * Whatever arrives beside urgent small work of a guarantee, which comes without end and fills the
   * fleet, each job's task is done in the end: no job starves.
   */
  @Property(tries = TRIES, seed = "20261202")
  void noJobStarves(@ForAll("arrivals") List<List<Arrival>> steps) {
    List<Job> jobs = new ArrayList<>();
    List<Job> running = new ArrayList<>();
    Set<Job> unfinished = new HashSet<>();
    Map<Job, String> where = new HashMap<>();
    long now = 0;
    long order = 0;
    for (int step = 0;
        step < LONGEST_STEPS && (step < steps.size() || !unfinished.isEmpty());
        step++) {
      if (step < steps.size()) {
        for (Arrival a : steps.get(step)) {
          Job job = new Job(++order, now, a);
          jobs.add(job);
          unfinished.add(job);
        }
      }
      for (int k = 0; k < FLOOD; k++) {
        jobs.add(new Job(++order, now, new Arrival(Priority.CRITICAL, 1, 2, true)));
      }
      place(jobs, running, where, now);
      now += STEP_MS;
      long time = now;
      running.removeIf(
          job -> {
            boolean done = time - job.startedAtMs >= job.arrival.runsSteps * STEP_MS;
            if (done) {
              unfinished.remove(job);
              jobs.remove(job);
            }
            return done;
          });
    }
    for (Job job : unfinished) {
      throw new AssertionError(job.arrival + " of " + job.arrivedAtMs + " never ended");
    }
  }

  private static void place(List<Job> jobs, List<Job> running, Map<Job, String> where, long now) {
    Aging aging = new Aging(64);
    List<Snapshot.PendingJob> pendingJobs = new ArrayList<>();
    Map<String, Job> byId = new HashMap<>();
    for (Job job : jobs) {
      boolean runs = job.startedAtMs >= 0;
      aging.consider(
          new Aging.EligibleJob(
              "job-" + job.order,
              now - job.arrivedAtMs,
              job.arrival.cpus,
              false,
              runs ? job.order : null,
              runs ? (now - job.startedAtMs) / 1000.0 : 0,
              job.arrival.runsSteps * STEP_MS / 1000.0));
    }
    for (Job job : jobs) {
      byId.put("job-" + job.order, job);
      if (job.startedAtMs < 0) {
        double work =
            job.arrival.cpus
                * Math.pow(0.5, (now - job.arrivedAtMs) / LeaderConstants.WORK_HALF_LIFE_MS);
        pendingJobs.add(
            pendingJob(
                job.order,
                job.arrival.priority,
                job.arrival.cpus,
                false,
                job.arrival.guaranteed,
                work,
                aging.boostOf("job-" + job.order)));
      }
    }
    List<Snapshot.MachineState> machines = new ArrayList<>();
    for (int h = 0; h < 4; h++) {
      String name = "m" + h;
      double free = 16;
      List<Snapshot.RunningTask> runningHere = new ArrayList<>();
      for (Job job : running) {
        if (where.get(job).equals(name)) {
          free -= job.arrival.cpus;
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
                  job.arrival.runsSteps * STEP_MS / 1000.0));
        }
      }
      machines.add(
          SnapshotFixtures.machine(
              name,
              "mesa",
              "z",
              false,
              16,
              free,
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
                machines, pendingJobs, Set.of(), aging.nonPreemptible(), teams, now, 1_000));
    for (Snapshot.RunningTask stopped : plan.preemptions()) {
      Job job = byId.get(stopped.spec().id());
      running.remove(job);
      job.startedAtMs = -1;
    }
    for (PlacementPlan.Start start : plan.starts()) {
      Job job = byId.get(start.spec().id());
      job.startedAtMs = now;
      where.put(job, start.machine());
      running.add(job);
    }
  }
}
