package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.jobs.InheritedPriority;
import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.List;

/**
 * Computes how urgent a released job is: its slack, its remaining work, and when and with which
 * priority it may preempt. The parameter {@code expectedS} is the expected run time of one of its
 * tasks, s.
 */
final class JobUrgency {
  private final EventLoop eventLoop;
  private final Settings settings;

  JobUrgency(EventLoop eventLoop, Settings settings) {
    this.eventLoop = eventLoop;
    this.settings = settings;
  }

  /** True for a service, and for a job whose class has an objective on the time to start. */
  boolean isLatencySensitive(JobSpec spec) {
    return spec.service() || settings.hasWaitObjective(spec.jobClass());
  }

  /**
   * The work of {@code tasks} pending tasks, CPU seconds, halved for every {@link
   * LeaderConstants#WORK_HALF_LIFE_MS} that the job waits beyond {@link
   * LeaderConstants#WORK_DECAY_DELAY_MS}. The decay prevents starvation: the work of a waiting job
   * eventually falls below that of any new one, so that smaller jobs do not overtake it forever.
   */
  double remainingWork(ActiveJob activeJob, int tasks, double expectedS) {
    double work = tasks * Math.max(0.1, activeJob.job().spec().cpus()) * Math.max(1, expectedS);
    long waitedMs = eventLoop.wallMs() - activeJob.releasedWallMs();
    long decayMs = Math.max(0, waitedMs - LeaderConstants.WORK_DECAY_DELAY_MS);
    return work * Math.pow(0.5, decayMs / LeaderConstants.WORK_HALF_LIFE_MS);
  }

  /** How long a task waits for capacity that becomes free by itself before it may preempt, s. */
  double preemptionDelayS(JobSpec spec) {
    if (spec.service()) {
      return 0;
    }
    return settings.hasWaitObjective(spec.jobClass())
        ? LeaderConstants.OBJECTIVE_PREEMPTION_DELAY_S
        : LeaderConstants.PREEMPTION_DELAY_S;
  }

  /**
   * The priority with which a job may preempt others. If the job's dependents have a deadline,
   * their priority counts only after the job has used {@link
   * LeaderConstants#INHERITED_PRIORITY_SLACK_SHARE} of the slack that it had at its release.
   */
  Priority preemptionPriority(ActiveJob activeJob, double expectedS) {
    InheritedPriority inherited = activeJob.inheritedPriority();
    if (inherited == null || inherited.dueMs() == 0) {
      return activeJob.priority();
    }
    double latestStartMs = inherited.dueMs() - expectedS * 1000;
    double slackWhenReleasedMs = latestStartMs - activeJob.releasedWallMs();
    boolean hasEnoughSlack =
        latestStartMs - eventLoop.wallMs()
            > slackWhenReleasedMs * (1 - LeaderConstants.INHERITED_PRIORITY_SLACK_SHARE);
    return hasEnoughSlack ? activeJob.job().spec().priority() : activeJob.priority();
  }

  /**
   * The time, s, until a task must start for the job to be done by the next due time it can still
   * meet; due times follow from its deadline, the objectives and its dependents' deadlines.
   * Negative if it is too late for all of them: late jobs are placed after others. A job whose age
   * is more than {@link LeaderConstants#MAX_LATENESS_FACTOR} times its last due time has unlimited
   * slack and no longer counts as late, so that it does not wait forever.
   */
  double slackS(ActiveJob activeJob, double expectedS) {
    if (activeJob.job().spec().service()) {
      return Double.MAX_VALUE;
    }
    double ageS = (eventLoop.wallMs() - activeJob.job().acceptedWallMs()) / 1000.0;
    double lastDueS = 0;
    double nextDueS = Double.MAX_VALUE;
    for (double dueS : dueTimesS(activeJob)) {
      lastDueS = Math.max(lastDueS, dueS);
      if (dueS - ageS - expectedS >= 0) {
        nextDueS = Math.min(nextDueS, dueS);
      }
    }
    if (nextDueS != Double.MAX_VALUE) {
      return nextDueS - ageS - expectedS;
    }
    return lastDueS == 0 || ageS > lastDueS * LeaderConstants.MAX_LATENESS_FACTOR
        ? Double.MAX_VALUE
        : lastDueS - ageS - expectedS;
  }

  /** The times by which the job should be done, s after it was accepted. */
  private List<Double> dueTimesS(ActiveJob activeJob) {
    JobSpec spec = activeJob.job().spec();
    long acceptedMs = activeJob.job().acceptedWallMs();
    double dependencyWaitS = (activeJob.releasedWallMs() - acceptedMs) / 1000.0;
    List<Double> dueTimesS =
        settings.completionTargetsS(spec.jobClass(), spec.deadlineS(), dependencyWaitS);
    InheritedPriority inherited = activeJob.inheritedPriority();
    if (inherited != null && inherited.dueMs() > 0) {
      dueTimesS.add((inherited.dueMs() - acceptedMs) / 1000.0);
      dueTimesS.add((inherited.lastDueMs() - acceptedMs) / 1000.0);
    }
    return dueTimesS;
  }
}
