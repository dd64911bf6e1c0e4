package fennelthread.fleet;

import fennelthread.constants.RelayConstants;
import fennelthread.wire.WorkerReport;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which reports have come in before, whatever this controller does with them. A worker has one
 * report under way at a time: once a later one has come, nobody waits for the answer to an earlier
 * one, and one that comes a second time is a copy, seconds or leases old. Such a report is not
 * answered, passed on, counted as heard, or learnt from.
 *
 * <p>A machine that was started anew under its old name counts from the first session and report
 * again. Its worker has forgotten the tokens that it obeyed, so that a report under a lower token
 * may be either; only an answer to a question that was put to it since tells ({@link Fleet}). One
 * under a higher token is none of the old ones.
 */
public final class ReportOrder {
  private record Last(long session, long seq, long token) {}

  private final Map<String, Last> last = new LinkedHashMap<>(64, 0.75f, true);

  /** Takes note of a report; true if it, or a later one of the same machine, has come in before. */
  public boolean isCopy(WorkerReport report) {
    Last known = last.get(report.machine());
    if (known != null && report.token() <= known.token && !isLater(report, known)) {
      return true;
    }
    last.put(report.machine(), new Last(report.session(), report.seq(), report.token()));
    if (last.size() > RelayConstants.KNOWN_ADDRESSES) {
      last.remove(last.keySet().iterator().next());
    }
    return false;
  }

  private static boolean isLater(WorkerReport report, Last known) {
    return report.session() > known.session
        || (report.session() == known.session && report.seq() > known.seq);
  }
}
