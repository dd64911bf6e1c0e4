package fennelthread.leader;

import fennelthread.constants.PlanConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Machine;
import fennelthread.net.EventLoop;
import fennelthread.plan.Aging;
import fennelthread.plan.AgingBoost;
import fennelthread.plan.Snapshot;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Computes the input of a scheduling round that depends on the released jobs: tasks to place,
 * guarantees, and boosts for aged jobs.
 */
final class TaskDemand {
  private final EventLoop eventLoop;
  private final Settings settings;
  private final TermState term;
  private final JobUrgency urgency;

  TaskDemand(EventLoop eventLoop, Settings settings, TermState term) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.term = term;
    this.urgency = new JobUrgency(eventLoop, settings);
  }

  /** The sum of the CPUs that all unfinished tasks of released jobs take. */
  double cpus() {
    double total = 0;
    for (ActiveJob activeJob : term.activeJobs().all()) {
      if (activeJob.isReleased()) {
        total += activeJob.unfinishedCount() * activeJob.job().spec().cpus();
      }
    }
    return total;
  }

  /** The tasks that may be started now, at most {@code maxTasks} of each job. */
  Map<ActiveJob, IntList> startableTasks(int maxTasks) {
    long nowMs = eventLoop.nowMs();
    Map<ActiveJob, IntList> startable = new LinkedHashMap<>();
    for (ActiveJob activeJob : term.activeJobs().all()) {
      // The only place that keeps jobs with unmet dependencies out of rounds.
      if (activeJob.isReleased() && activeJob.hasIdleTasks()) {
        IntList tasks = activeJob.startableTasks(nowMs, maxTasks);
        if (!tasks.isEmpty()) {
          startable.put(activeJob, tasks);
        }
      }
    }
    return startable;
  }

  /**
   * Converts startable tasks to pending jobs of a snapshot; an aged job is boosted for its first
   * task only.
   */
  List<Snapshot.PendingJob> pendingJobs(
      Map<ActiveJob, IntList> startable, Set<String> guaranteed, Aging aging) {
    List<Snapshot.PendingJob> pendingJobs = new ArrayList<>(startable.size());
    startable.forEach(
        (activeJob, tasks) -> {
          AgingBoost boost = aging.boostOf(activeJob.id());
          if (boost == AgingBoost.NONE) {
            pendingJobs.add(pendingJob(activeJob, tasks, guaranteed, boost));
            return;
          }
          pendingJobs.add(pendingJob(activeJob, tasks.subList(0, 1), guaranteed, boost));
          // With a zone rule, the zone of the first task limits those of the other tasks, so they
          // wait for the next round, which knows it.
          if (tasks.size() > 1 && !hasZoneRule(activeJob.job().spec())) {
            pendingJobs.add(
                pendingJob(activeJob, tasks.subList(1, tasks.size()), guaranteed, AgingBoost.NONE));
          }
        });
    return pendingJobs;
  }

  private Snapshot.PendingJob pendingJob(
      ActiveJob activeJob, IntList tasks, Set<String> guaranteed, AgingBoost boost) {
    JobSpec spec = activeJob.job().spec();
    double expectedS = term.runTimes().expectedS(spec);
    double slackS = urgency.slackS(activeJob, expectedS);
    return new Snapshot.PendingJob(
        spec,
        activeJob.priority(),
        urgency.preemptionPriority(activeJob, expectedS),
        tasks,
        hasZoneRule(spec) ? tasksByZone(activeJob) : Map.of(),
        slackS >= 0 && guaranteed.contains(spec.id()),
        urgency.isLatencySensitive(spec),
        slackS < 0,
        urgency.remainingWork(activeJob, tasks.size(), expectedS),
        urgency.preemptionDelayS(spec),
        boost,
        activeJob.releaseOrder());
  }

  /** Determines which released jobs are aged, in a fleet of {@code fleetCpus} CPUs. */
  Aging aging(double fleetCpus) {
    Aging aging = new Aging(fleetCpus);
    long nowMs = eventLoop.nowMs();
    for (ActiveJob activeJob : term.activeJobs().all()) {
      long waitedMs = eventLoop.wallMs() - activeJob.releasedWallMs();
      if (waitedMs > PlanConstants.AGING_THRESHOLD_MS && isEligibleForAging(activeJob)) {
        aging.evaluateJob(agingCandidate(activeJob, waitedMs, nowMs));
      }
    }
    return aging;
  }

  private static boolean isEligibleForAging(ActiveJob activeJob) {
    // A service with several replicas keeps running while one of them is stopped.
    boolean isReplicated = activeJob.job().spec().service() && activeJob.attempts().size() > 1;
    return activeJob.isReleased()
        && (activeJob.hasIdleTasks() || !activeJob.hasFinishedTasks())
        && !isReplicated;
  }

  private Aging.EligibleJob agingCandidate(ActiveJob activeJob, long waitedMs, long nowMs) {
    JobSpec spec = activeJob.job().spec();
    Attempt longest = activeJob.longestRunningAttempt();
    boolean isRunning = longest != null && longest.runningSinceMs() >= 0;
    return new Aging.EligibleJob(
        spec.id(),
        waitedMs,
        spec.cpus(),
        activeJob.hasFinishedOrFailedTasks(),
        longest == null ? null : longest.start().attempt(),
        isRunning ? (nowMs - longest.runningSinceMs()) / 1000.0 : 0,
        spec.service() ? 0 : term.runTimes().expectedS(spec));
  }

  private static boolean hasZoneRule(JobSpec spec) {
    return spec.sameZone() || spec.spreadAcrossZones();
  }

  /**
   * The ids of the jobs that fit into their team's guarantee together with all jobs of the team
   * that were released before them.
   */
  Set<String> guaranteedJobs() {
    Set<String> guaranteed = new HashSet<>();
    Map<String, ResourceSum> demandByTeam = new HashMap<>();
    for (ActiveJob activeJob : term.activeJobs().all()) {
      JobSpec spec = activeJob.job().spec();
      Settings.Team team = settings.teams().get(spec.team());
      if (!activeJob.isReleased() || team == null || (team.cpus() <= 0 && team.cards() <= 0)) {
        continue;
      }
      ResourceSum demand = demandByTeam.computeIfAbsent(spec.team(), k -> new ResourceSum());
      int unfinished = activeJob.unfinishedCount();
      demand.add(unfinished * spec.cpus(), unfinished * spec.cards());
      if (demand.cpus() <= team.cpus() + ProtocolConstants.AMOUNT_TOLERANCE
          && demand.cards() <= team.cards() + ProtocolConstants.AMOUNT_TOLERANCE) {
        guaranteed.add(spec.id());
      }
    }
    return guaranteed;
  }

  private Map<String, Integer> tasksByZone(ActiveJob activeJob) {
    Map<String, Integer> tasks = new HashMap<>();
    for (List<Attempt> attempts : activeJob.attempts().values()) {
      for (Attempt attempt : attempts) {
        Machine machine = term.fleet().findMachine(attempt.start().machine());
        if (machine != null && attempt.mayBePresent()) {
          String zone = machine.zone() == null ? Snapshot.UNKNOWN_ZONE : machine.zone();
          tasks.merge(zone, 1, Integer::sum);
        }
      }
    }
    return tasks;
  }
}
