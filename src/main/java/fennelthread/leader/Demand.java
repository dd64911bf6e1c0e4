package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.constants.PlanConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.jobs.InheritedPriority;
import fennelthread.net.EventLoop;
import fennelthread.plan.Aging;
import fennelthread.plan.AgingBoost;
import fennelthread.plan.Snapshot;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What the released jobs ask of a round, and how urgently. */
final class Demand {
  private final EventLoop eventLoop;
  private final Settings settings;
  private final Fleet fleet;
  private final ActiveJobs runs;
  private final RunTimes runTimes;

  Demand(EventLoop eventLoop, Settings settings, Fleet fleet, ActiveJobs runs, RunTimes runTimes) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.fleet = fleet;
    this.runs = runs;
    this.runTimes = runTimes;
  }

  /** CPUs that all unfinished tasks of released jobs take together. */
  double cpus() {
    double total = 0;
    for (ActiveJob run : runs.all()) {
      if (run.isReleased()) {
        total += run.unfinished() * run.job().spec().cpus();
      }
    }
    return total;
  }

  /** Tasks that may be started now, at most {@code most} of each job. */
  Map<ActiveJob, List<Integer>> waiting(int most) {
    long now = eventLoop.nowMs();
    Map<ActiveJob, List<Integer>> waiting = new LinkedHashMap<>();
    for (ActiveJob run : runs.all()) {
      // The gate: nothing of a job that waits for others gets into a round.
      if (run.isReleased() && run.hasIdle()) {
        List<Integer> tasks = run.pending(now, most);
        if (!tasks.isEmpty()) {
          waiting.put(run, tasks);
        }
      }
    }
    return waiting;
  }

  /** The same as placement is told of it. */
  List<Snapshot.PendingJob> pendingJobs(
      Map<ActiveJob, List<Integer>> waiting, Set<String> guaranteed, Aging turns) {
    List<Snapshot.PendingJob> pendingJobs = new ArrayList<>(waiting.size());
    waiting.forEach(
        (run, tasks) -> {
          AgingBoost turn = turns.boostOf(run.job().spec().id());
          if (turn == AgingBoost.NONE) {
            pendingJobs.add(pendingJob(run, tasks, guaranteed, turn));
            return;
          }
          pendingJobs.add(pendingJob(run, tasks.subList(0, 1), guaranteed, turn));
          // Where its tasks may be follows from where the first one is, which the next round knows.
          if (tasks.size() > 1 && !hasZoneRule(run.job().spec())) {
            pendingJobs.add(
                pendingJob(run, tasks.subList(1, tasks.size()), guaranteed, AgingBoost.NONE));
          }
        });
    return pendingJobs;
  }

  /** Whose turn it is among the released jobs, in a fleet of so many CPUs. */
  Aging turns(double fleetCpus) {
    Aging turns = new Aging(fleetCpus);
    long now = eventLoop.nowMs();
    for (ActiveJob run : runs.all()) {
      long waitedMs = eventLoop.wallMs() - run.releasedWallMs();
      // Of a service that has more than one replica another goes on whatever is stopped.
      boolean looked =
          run.isReleased()
              && waitedMs > PlanConstants.AGING_THRESHOLD_MS
              && (run.hasIdle() || run.isUndone())
              && !(run.job().spec().service() && run.attempts().size() > 1);
      if (looked) {
        JobSpec spec = run.job().spec();
        Attempt furthest = run.furthest();
        turns.consider(
            new Aging.Candidate(
                spec.id(),
                waitedMs,
                spec.cpus(),
                !run.hasNotBegun(),
                furthest == null ? null : furthest.start().attempt(),
                furthest == null || furthest.runningSinceMs() < 0
                    ? 0
                    : (now - furthest.runningSinceMs()) / 1000.0,
                spec.service() ? 0 : runTimes.of(spec)));
      }
    }
    return turns;
  }

  private static boolean hasZoneRule(JobSpec spec) {
    return spec.onePlace() || spec.apart();
  }

  private Snapshot.PendingJob pendingJob(
      ActiveJob run, List<Integer> tasks, Set<String> guaranteed, AgingBoost turn) {
    JobSpec spec = run.job().spec();
    double takes = runTimes.of(spec);
    double slack = slackS(run, takes);
    return new Snapshot.PendingJob(
        spec,
        run.priority(),
        stopsAs(run, takes),
        tasks,
        hasZoneRule(spec) ? zonesOf(run) : Map.of(),
        slack >= 0 && guaranteed.contains(spec.id()),
        spec.service() || settings.waitsMatter(spec.jobClass()),
        slack < 0,
        work(run, tasks.size(), takes),
        patienceS(spec),
        turn,
        run.order());
  }

  /**
   * What the waiting tasks still take, CPU seconds, halved again and again while the job waits: any
   * job's comes below any new one's in the end, so that none waits for ever behind smaller ones.
   */
  private double work(ActiveJob run, int tasks, double takesS) {
    double work = tasks * Math.max(0.1, run.job().spec().cpus()) * Math.max(1, takesS);
    long agedMs =
        Math.max(
            0, eventLoop.wallMs() - run.releasedWallMs() - LeaderConstants.WORK_DECAY_DELAY_MS);
    return work * Math.pow(0.5, agedMs / LeaderConstants.WORK_HALF_LIFE_MS);
  }

  /** How long a task waits for room that comes by itself before others are stopped for it, s. */
  private double patienceS(JobSpec spec) {
    return spec.service()
        ? 0
        : settings.waitsMatter(spec.jobClass())
            ? LeaderConstants.OBJECTIVE_PREEMPTION_DELAY_S
            : LeaderConstants.PREEMPTION_DELAY_S;
  }

  /** The priority with which a job may stop others: a lent one only once its time runs short. */
  private Priority stopsAs(ActiveJob run, double takesS) {
    InheritedPriority loan = run.loan();
    if (loan == null || loan.dueMs() == 0) {
      return run.priority();
    }
    double latestMs = loan.dueMs() - takesS * 1000;
    boolean patient =
        latestMs - eventLoop.wallMs()
            > (latestMs - run.releasedWallMs())
                * (1 - LeaderConstants.INHERITED_PRIORITY_SLACK_SHARE);
    return patient ? run.job().spec().priority() : run.priority();
  }

  /**
   * What is left to the next of the times that the job's deadline, the objectives and the deadlines
   * of the jobs that need it set, or less than 0 if it is too late for all of them. A job that has
   * been late for long counts as in time again: it must not wait for ever.
   */
  private double slackS(ActiveJob run, double takesS) {
    JobSpec spec = run.job().spec();
    if (spec.service()) {
      return Double.MAX_VALUE;
    }
    long accepted = run.job().acceptedWallMs();
    double ageS = (eventLoop.wallMs() - accepted) / 1000.0;
    double waitedS = (run.releasedWallMs() - accepted) / 1000.0;
    List<Double> times = settings.doneByS(spec.jobClass(), spec.deadlineS(), waitedS);
    InheritedPriority loan = run.loan();
    if (loan != null && loan.dueMs() > 0) {
      times.add((loan.dueMs() - accepted) / 1000.0);
      times.add((loan.lastDueMs() - accepted) / 1000.0);
    }
    double last = 0;
    double next = Double.MAX_VALUE;
    for (double at : times) {
      last = Math.max(last, at);
      if (at - ageS - takesS >= 0) {
        next = Math.min(next, at);
      }
    }
    if (next != Double.MAX_VALUE) {
      return next - ageS - takesS;
    }
    return last == 0 || ageS > last * LeaderConstants.MAX_LATENESS_FACTOR
        ? Double.MAX_VALUE
        : last - ageS - takesS;
  }

  /** A team's oldest jobs are within its guarantee, as far as they fit into it together. */
  Set<String> guaranteed() {
    Set<String> guaranteed = new HashSet<>();
    Map<String, double[]> demanded = new HashMap<>();
    for (ActiveJob run : runs.all()) {
      JobSpec spec = run.job().spec();
      Settings.Team team = settings.teams().get(spec.team());
      if (!run.isReleased() || team == null || (team.cpus() <= 0 && team.cards() <= 0)) {
        continue;
      }
      double[] d = demanded.computeIfAbsent(spec.team(), k -> new double[2]);
      d[0] += run.unfinished() * spec.cpus();
      d[1] += run.unfinished() * spec.cards();
      if (d[0] <= team.cpus() + ProtocolConstants.EPSILON
          && d[1] <= team.cards() + ProtocolConstants.EPSILON) {
        guaranteed.add(spec.id());
      }
    }
    return guaranteed;
  }

  private Map<String, Integer> zonesOf(ActiveJob run) {
    Map<String, Integer> zones = new HashMap<>();
    for (List<Attempt> attempts : run.attempts().values()) {
      for (Attempt a : attempts) {
        Machine m = fleet.machine(a.start().machine());
        if (m != null && a.mayBePresent()) {
          zones.merge(m.zone() == null ? Snapshot.UNKNOWN_ZONE : m.zone(), 1, Integer::sum);
        }
      }
    }
    return zones;
  }
}
