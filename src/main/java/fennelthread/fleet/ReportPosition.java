package fennelthread.fleet;

import fennelthread.wire.WorkerReport;

/**
 * The position of a report in the order of a machine's reports: by session first, by sequence
 * number within it.
 *
 * @param session the session of the worker, 0 if no report is known
 * @param seq the report's number within the session
 */
record ReportPosition(long session, long seq) {

  /** Returns the position of the newest report that is known of a machine. */
  static ReportPosition of(Machine machine) {
    return new ReportPosition(machine.session(), machine.seq());
  }

  /** Returns true if a report of the same incarnation of the machine is newer than this one. */
  boolean isBefore(WorkerReport report) {
    return report.session() > session || (report.session() == session && report.seq() > seq);
  }
}
