package fennelthread.fleet;

import fennelthread.wire.WorkerReport;

/** Receives the reports with which workers answer commands that were sent to them directly. */
@FunctionalInterface
interface WorkerResponseListener {
  /**
   * Called when a worker has answered commands.
   *
   * @param known the newest report of the machine that was known when the commands were sent
   */
  void onResponse(Machine machine, WorkerReport report, ReportPosition known);
}
