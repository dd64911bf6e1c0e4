package fennelthread.control;

import fennelthread.leader.LeaderLease;
import fennelthread.leader.Term;
import fennelthread.net.Answer;
import fennelthread.wire.WorkerReport;
import java.util.Map;

/**
 * Holds this controller's active term while it leads, and afterwards its resigned term, until a
 * later epoch is observed or this controller is elected again. A resigned term makes no scheduling
 * decisions, but it still answers reports so that the workers' leases do not expire and their tasks
 * keep running. Used on the event loop's thread only.
 */
public final class CurrentTerm {

  /** Creates the term that begins with an election. */
  @FunctionalInterface
  public interface TermFactory {
    /** Creates a term and starts it. */
    Term createTerm();
  }

  private final LeaderLease lease;
  private Term active;
  private Term resigned;
  private long electedAtMs;

  /** Creates a holder without a term; {@code lease} says whether this controller leads. */
  public CurrentTerm(LeaderLease lease) {
    this.lease = lease;
  }

  /**
   * Begins a term, after closing the resigned one if there is one.
   *
   * @param nowMs the time of the election, ms of the local clock
   */
  public void begin(long nowMs, TermFactory factory) {
    electedAtMs = nowMs;
    closeResigned();
    active = factory.createTerm();
  }

  /** Resigns the active term, which still answers reports; does nothing without one. */
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
   * Answers a report if this controller leads, or if it has resigned and no later epoch is known.
   *
   * @param receivedBy the controller that received the report
   * @return null if this controller must not answer; not an Optional, because this runs for every
   *     report
   */
  Answer answer(WorkerReport report, String receivedBy) {
    if (active != null && lease.isLeading() && lease.epoch() >= lease.highestEpoch()) {
      return active.handleReport(report, receivedBy);
    }
    if (resigned != null && resigned.epoch() < lease.highestEpoch()) {
      closeResigned();
    }
    return resigned == null ? null : resigned.handleReport(report, receivedBy);
  }

  /** True while a term is active. */
  boolean isActive() {
    return active != null;
  }

  /** The number of workers that report to the active term, 0 without one. */
  int reportingWorkers() {
    return active == null ? 0 : active.reportingWorkers();
  }

  /**
   * When a worker last reported to the active term, or when the last term began if none has, ms.
   */
  long lastReportAtMs() {
    return Math.max(electedAtMs, active == null ? 0 : active.lastReportAtMs());
  }

  /** The addresses of the active term's workers by machine name, empty without a term. */
  public Map<String, String> workerAddresses() {
    return active == null ? Map.of() : active.workerAddresses();
  }

  /**
   * Returns the active term's machine counts as key=value pairs for a log line, or leading=false.
   */
  public String memoryUsage() {
    return active == null ? "leading=false" : active.memoryUsage();
  }
}
