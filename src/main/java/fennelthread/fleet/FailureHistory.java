package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.LeaderConstants;
import java.util.ArrayList;
import java.util.List;

/** The tasks that failed on a machine recently. */
final class FailureHistory {

  private record TaskFailure(long atMs, String job) {}

  private final List<TaskFailure> failures = new ArrayList<>();
  private long lastFailureAtMs = Long.MIN_VALUE / 2;

  /**
   * Records a failed task; returns true if tasks of several jobs, or many tasks, have failed, so
   * that the machine and not the job is presumed faulty.
   */
  boolean recordFailure(String job, long nowMs) {
    lastFailureAtMs = nowMs;
    failures.removeIf(failure -> failure.atMs < nowMs - LeaderConstants.FAILURE_WINDOW_MS);
    failures.add(new TaskFailure(nowMs, job));
    long jobs = failures.stream().map(TaskFailure::job).distinct().count();
    return jobs >= FleetConstants.FAULTY_MACHINE_JOBS
        || failures.size() >= FleetConstants.FAULTY_MACHINE_TASKS;
  }

  /** Returns when a task last failed there, ms; in the far past if none has. */
  long lastFailureAtMs() {
    return lastFailureAtMs;
  }

  /** Forgets the failures, except for the time of the last one. */
  void clear() {
    failures.clear();
  }
}
