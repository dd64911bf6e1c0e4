package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.LeaderConstants;
import java.util.ArrayList;
import java.util.List;

/** The tasks that failed on a machine lately. */
final class FailureHistory {

  private record Failure(long atMs, String job) {}

  private final List<Failure> failures = new ArrayList<>();
  private long lastAtMs = Long.MIN_VALUE / 2;

  /** Notes a failed task; true if the machine, not the job, must be at fault. */
  boolean failed(String job, long nowMs) {
    lastAtMs = nowMs;
    failures.removeIf(f -> f.atMs < nowMs - LeaderConstants.FAILURE_WINDOW_MS);
    failures.add(new Failure(nowMs, job));
    long jobs = failures.stream().map(Failure::job).distinct().count();
    return jobs >= FleetConstants.BAD_MACHINE_JOBS
        || failures.size() >= FleetConstants.BAD_MACHINE_TASKS;
  }

  /** When a task last failed there, ms. */
  long lastAtMs() {
    return lastAtMs;
  }

  /** Notes a task that completed: the machine is in order. */
  void succeeded() {
    failures.clear();
  }
}
