package fennelthread.fleet;

import fennelthread.constants.RelayConstants;
import fennelthread.wire.WorkerReport;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects copies of reports, independent of what this controller does with a report. A worker has
 * one report under way at a time: once a later one has arrived, nobody waits for the answer to an
 * earlier one, and one that arrives a second time is a copy, seconds or leases old. Such a report
 * is not answered, relayed, counted as contact, or learnt from.
 *
 * <p>A machine that was restarted under its old name counts from the first session and report
 * again. Its worker has forgotten the tokens that it obeyed, so that a report under a lower token
 * may be a copy or a first report; only the answer to a probe that was sent since then decides
 * ({@link Fleet}). A report under a higher token is no copy.
 */
public final class StaleReportFilter {
  private record Newest(long session, long seq, long token) {
    boolean isAtOrAfter(WorkerReport report) {
      boolean later =
          report.session() > session || (report.session() == session && report.seq() > seq);
      return report.token() <= token && !later;
    }
  }

  /** The newest report of each machine, the least recently updated machine first. */
  private final Map<String, Newest> newestByMachine = new LinkedHashMap<>(64, 0.75f, true);

  /**
   * Records a report.
   *
   * @return true if it is a copy: it, or a later one of the same machine, has arrived before
   */
  public boolean rejects(WorkerReport report) {
    Newest known = newestByMachine.get(report.machine());
    if (known != null && known.isAtOrAfter(report)) {
      return true;
    }
    newestByMachine.put(
        report.machine(), new Newest(report.session(), report.seq(), report.token()));
    if (newestByMachine.size() > RelayConstants.KNOWN_ADDRESSES) {
      newestByMachine.remove(newestByMachine.keySet().iterator().next());
    }
    return false;
  }
}
