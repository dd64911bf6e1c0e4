package fennelthread.emulate;

import java.util.Arrays;

/** What the hollow workers of a process have sent and met so far. */
record WorkerTraffic(
    long workers,
    long reports,
    long reportBytes,
    long failedReports,
    long commandRequests,
    long expiredLeases,
    long longestDelayMs) {
  static final WorkerTraffic NONE = new WorkerTraffic(0, 0, 0, 0, 0, 0, 0);

  WorkerTraffic(int workers, HollowWorker.Traffic t, long longestDelayMs) {
    this(
        workers,
        t.reports,
        t.reportBytes,
        t.failedReports,
        t.commandRequests,
        t.expiredLeases,
        longestDelayMs);
  }

  /** The sum of two processes' counters. */
  WorkerTraffic plus(WorkerTraffic o) {
    return new WorkerTraffic(
        workers + o.workers,
        reports + o.reports,
        reportBytes + o.reportBytes,
        failedReports + o.failedReports,
        commandRequests + o.commandRequests,
        expiredLeases + o.expiredLeases,
        Math.max(longestDelayMs, o.longestDelayMs));
  }

  /** The same of a process that has ended. */
  WorkerTraffic withoutWorkers() {
    return new WorkerTraffic(
        0, reports, reportBytes, failedReports, commandRequests, expiredLeases, longestDelayMs);
  }

  /** A line of text. */
  String line() {
    return workers
        + " "
        + reports
        + " "
        + reportBytes
        + " "
        + failedReports
        + " "
        + commandRequests
        + " "
        + expiredLeases
        + " "
        + longestDelayMs;
  }

  /** Reads such a line. */
  static WorkerTraffic read(String line) {
    long[] n = Arrays.stream(line.split(" ", -1)).mapToLong(Long::parseLong).toArray();
    return new WorkerTraffic(n[0], n[1], n[2], n[3], n[4], n[5], n[6]);
  }
}
