package fennelthread.control;

import fennelthread.leader.Lease;
import fennelthread.leader.Term;
import fennelthread.net.Answer;
import fennelthread.wire.WorkerReport;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The term of this controller while it leads, and its last one until another controller leads: a
 * resigned term decides nothing, but goes on answering reports so that tasks live.
 */
public final class CurrentTerm {
  private final Lease lease;
  private Term active;
  private Term resigned;
  private long ledSinceMs;

  /** Creates it before the first term. */
  public CurrentTerm(Lease lease) {
    this.lease = lease;
  }

  /** Begins a term in place of a resigned one. */
  public void begin(long nowMs, Supplier<Term> newTerm) {
    ledSinceMs = nowMs;
    closeResigned();
    active = newTerm.get();
  }

  /** The active term resigns; does nothing without one. */
  public void resign() {
    if (active != null) {
      active.resign();
      resigned = active;
      active = null;
    }
  }

  private void closeResigned() {
    if (resigned != null) {
      resigned.close();
      resigned = null;
    }
  }

  /**
   * Answers a report if this controller leads, or led and nobody else has since, as far as anyone
   * has told us; null otherwise.
   *
   * @param by the controller that the report came to
   */
  Answer answer(WorkerReport report, String by) {
    if (active != null && lease.isLeading() && lease.epoch() >= lease.highestEpoch()) {
      return active.handleReport(report, by);
    }
    if (resigned != null && resigned.epoch() < lease.highestEpoch()) {
      closeResigned();
    }
    return resigned == null ? null : resigned.handleReport(report, by);
  }

  /** True while a term is active. */
  boolean isActive() {
    return active != null;
  }

  /** The number of workers that report to the active term, 0 without one. */
  int reporting() {
    return active == null ? 0 : active.reporting();
  }

  /** When a worker last reported to the active term, or when it began if none has, ms. */
  long lastReportAtMs() {
    return Math.max(ledSinceMs, active == null ? 0 : active.lastReportAtMs());
  }

  /** The addresses of the active term's workers by machine, empty without a term. */
  public Map<String, String> workers() {
    return active == null ? Map.of() : active.addresses();
  }

  /** Describes what is held in memory, for a line of the log. */
  public String memoryUsage() {
    return active == null ? "not leading" : active.memoryUsage();
  }
}
