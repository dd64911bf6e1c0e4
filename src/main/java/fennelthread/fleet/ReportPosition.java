package fennelthread.fleet;

import fennelthread.wire.WorkerReport;

/**
 * The newest report of a machine that was known at some moment.
 *
 * @param session its session, 0 if none was known
 * @param seq its number within the session
 */
record ReportPosition(long session, long seq) {

  /** What is known of a machine now. */
  static ReportPosition of(Machine machine) {
    return new ReportPosition(machine.session(), machine.seq());
  }

  /** True if a report of the same life of the machine is newer than this one. */
  boolean isBefore(WorkerReport report) {
    return report.session() > session || (report.session() == session && report.seq() > seq);
  }
}
