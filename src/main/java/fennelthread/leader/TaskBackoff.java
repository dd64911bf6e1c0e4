package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import java.util.HashSet;
import java.util.Set;

/**
 * Decides when the tasks of one job may be tried again: with exponential backoff and jitter after
 * refusals and failures of a faulty job, and after a short fixed delay if the machine counts as
 * faulty. All times are ms of the local clock; {@code jitter} is a random number from 0 to 1.
 */
final class TaskBackoff {
  private final Int2LongOpenHashMap retryAtMs =
      new Int2LongOpenHashMap(LeaderConstants.INITIAL_TASK_ENTRIES);
  private final Int2IntOpenHashMap refusals =
      new Int2IntOpenHashMap(LeaderConstants.INITIAL_TASK_ENTRIES);
  private final Set<String> failedMachines = new HashSet<>();
  private int failures;
  private long lastIncidentMs = Long.MIN_VALUE / 2;

  /** True if the task may be tried at that time. */
  boolean mayTry(int task, long nowMs) {
    return retryAtMs.get(task) <= nowMs;
  }

  /** True if a task of the job has failed, at any time. */
  boolean hasFailures() {
    return failures > 0;
  }

  /** Lets the task be tried again at once. */
  void reset(int task) {
    retryAtMs.put(task, 0);
  }

  /** Delays a task that a worker has refused, longer each time. */
  void onRefused(int task, long nowMs, double jitter) {
    recordIncident(nowMs);
    int earlierRefusals = refusals.addTo(task, 1);
    retryAtMs.put(task, nowMs + backoffMs(earlierRefusals, jitter));
  }

  /**
   * Delays a task that has failed.
   *
   * @return true if none of the job's tasks has finished and they have failed on so many machines
   *     that the job rather than a machine counts as faulty; then its delays grow
   */
  boolean onFailed(int task, String machine, boolean hasFinishedTasks, long nowMs, double jitter) {
    recordIncident(nowMs);
    failedMachines.add(machine);
    failures++;
    boolean isJobFaulty =
        failedMachines.size() >= LeaderConstants.FAULTY_JOB_MACHINES && !hasFinishedTasks;
    long delayMs =
        isJobFaulty ? backoffMs(failures, jitter) : LeaderConstants.MIN_TASK_BACKOFF_MS / 3;
    retryAtMs.put(task, nowMs + delayMs);
    return isJobFaulty;
  }

  /**
   * Records the time of a failure or refusal. Resets the counts first if the last one is longer ago
   * than {@link LeaderConstants#FAILURE_WINDOW_MS}: a service that fails on three faulty machines
   * in the course of a day is not faulty itself. {@link #hasFailures} is not reset.
   */
  private void recordIncident(long nowMs) {
    if (nowMs - lastIncidentMs > LeaderConstants.FAILURE_WINDOW_MS) {
      failedMachines.clear();
      refusals.clear();
      failures = Math.min(failures, 1);
    }
    lastIncidentMs = nowMs;
  }

  private static long backoffMs(int doublings, double jitter) {
    long delayMs = LeaderConstants.MIN_TASK_BACKOFF_MS << Math.min(doublings, 10);
    return (long)
        (Math.min(LeaderConstants.MAX_TASK_BACKOFF_MS, delayMs)
            * (1 + ProtocolConstants.PAUSE_JITTER_SHARE * jitter));
  }
}
