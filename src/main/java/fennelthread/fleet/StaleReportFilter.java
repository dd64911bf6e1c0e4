package fennelthread.fleet;

import fennelthread.constants.RelayConstants;
import fennelthread.wire.WorkerReport;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Rejects stale reports: those that arrive a second time, or after a later one of the same machine.
 * A worker has only one report in flight, so it does not wait for the answer to a stale report,
 * which may be older than a lease. Such a report must not be answered, relayed, counted as contact,
 * or applied. This holds whether the controller leads or follows.
 *
 * <p>A machine that is restarted under its name counts sessions and reports from the start again,
 * and has forgotten the tokens that its worker has seen. The first reports after a restart can't be
 * told from old copies and may be rejected here if their token is not higher. If one passes under a
 * lower token than the machine has reported before, {@link Fleet} probes the machine to find out. A
 * report under a higher token is never stale.
 */
public final class StaleReportFilter {
  private record NewestReport(long session, long seq, long token) {
    boolean isAtOrAfter(WorkerReport report) {
      boolean isLater =
          report.session() > session || (report.session() == session && report.seq() > seq);
      return report.token() <= token && !isLater;
    }
  }

  /** The newest report of each machine, the one least recently looked up or recorded first. */
  private final Map<String, NewestReport> newestByMachine = new LinkedHashMap<>(64, 0.75f, true);

  /**
   * Checks a report, and records it unless it is stale.
   *
   * @return true if it is stale: it, or a later one of the same machine, has arrived before
   */
  public boolean rejects(WorkerReport report) {
    NewestReport known = newestByMachine.get(report.machine());
    if (known != null && known.isAtOrAfter(report)) {
      return true;
    }
    newestByMachine.put(
        report.machine(), new NewestReport(report.session(), report.seq(), report.token()));
    if (newestByMachine.size() > RelayConstants.MAX_KNOWN_WORKERS) {
      newestByMachine.remove(newestByMachine.keySet().iterator().next());
    }
    return false;
  }
}
