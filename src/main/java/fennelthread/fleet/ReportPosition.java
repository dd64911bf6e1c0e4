package fennelthread.fleet;

import fennelthread.wire.WorkerReport;

/**
 * The position of a report in the order of a machine's reports: by session, and by sequence number
 * within a session.
 *
 * @param session the number of the worker's session, 0 if no report is known
 * @param seq the report's sequence number, 0 if no report is known
 */
record ReportPosition(long session, long seq) {

  /** Returns the position of the newest known report of a machine. */
  static ReportPosition of(Machine machine) {
    return new ReportPosition(machine.session(), machine.seq());
  }

  /**
   * Returns true if a report is newer than this position, provided that both are of the same
   * incarnation of the machine.
   */
  boolean isBefore(WorkerReport report) {
    return report.session() > session || (report.session() == session && report.seq() > seq);
  }
}
