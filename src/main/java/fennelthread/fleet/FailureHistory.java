package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.LeaderConstants;
import java.util.ArrayList;
import java.util.List;

/** The tasks that failed on a machine lately. */
final class FailureHistory {

  private record Failure(long atMs, String job) {}

  private final List<Failure> failures = new ArrayList<>();
  private long lastFailureAtMs = Long.MIN_VALUE / 2;

  /** Records a failed task; returns true if the machine, not the job, must be at fault. */
  boolean recordFailure(String job, long nowMs) {
    lastFailureAtMs = nowMs;
    failures.removeIf(failure -> failure.atMs < nowMs - LeaderConstants.FAILURE_WINDOW_MS);
    failures.add(new Failure(nowMs, job));
    long jobs = failures.stream().map(Failure::job).distinct().count();
    return jobs >= FleetConstants.FAULTY_MACHINE_JOBS
        || failures.size() >= FleetConstants.FAULTY_MACHINE_TASKS;
  }

  /** Returns when a task last failed there, ms; in the far past if none has. */
  long lastFailureAtMs() {
    return lastFailureAtMs;
  }

  /** Forgets the failures, since a task has completed there: the machine is healthy. */
  void clear() {
    failures.clear();
  }
}
