package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.ProtocolConstants;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The times at which a leader and the worker of one machine last communicated, and the member
 * through which reports arrive. All times are ms of the event loop's clock. The time of an event
 * that has not happened yet is -1 where a method says so, and otherwise in the far past.
 */
final class MachineContact {

  private final Deque<Long> sessionChanges = new ArrayDeque<>();
  private long lastReportAtMs = -1;
  private long lastContactAtMs = -1;
  private long unacknowledgedSinceMs = -1;
  private long leaseStartMs;
  private long reportAnsweredAtMs;
  private boolean reportAnswered;

  /** When a report that the worker was asked for is due; in the far future if none is. */
  private long earlyReportDueAtMs = Long.MAX_VALUE;

  private long restartQueriedAtMs = Long.MIN_VALUE / 2;
  private String reportPath;
  private boolean probing;
  private long failedProbeSentAtMs = -1;
  private long nextProbeAtMs = Long.MIN_VALUE;
  private long unreachableAtMs = Long.MIN_VALUE / 2;

  /** Creates the record for a machine that becomes known now. */
  MachineContact(long nowMs) {
    this.leaseStartMs = nowMs;
    this.reportAnsweredAtMs = nowMs;
  }

  // ---------------------------------------------------------------- reports

  /** Records a report; {@code isConfirmed} is true if it shows that what was sent has arrived. */
  void onReport(long nowMs, boolean isConfirmed) {
    lastReportAtMs = nowMs;
    if (isConfirmed) {
      lastContactAtMs = nowMs;
      unacknowledgedSinceMs = -1;
    }
  }

  /** Returns when a report last arrived, or -1. */
  long lastReportAtMs() {
    return lastReportAtMs;
  }

  /** Returns when a report last showed that what was sent before had arrived, or -1. */
  long lastContactAtMs() {
    return lastContactAtMs;
  }

  /** Records that a report names a later session: no answer has reached the worker for a lease. */
  void onSessionChange(long nowMs) {
    sessionChanges.add(nowMs);
    if (sessionChanges.size() > FleetConstants.SESSION_CHANGES_KEPT) {
      sessionChanges.poll();
    }
  }

  /** Returns how often the session has changed since a time, of the changes that are kept. */
  int sessionChangesSince(long sinceMs) {
    int count = 0;
    for (long changedAtMs : sessionChanges) {
      count += changedAtMs >= sinceMs ? 1 : 0;
    }
    return count;
  }

  /** Forgets the session changes, since the machine was restarted and its sessions begin again. */
  void clearSessionChanges() {
    sessionChanges.clear();
  }

  /**
   * Records through which member a report arrived. A worker reports to the same controller as long
   * as it is answered, so a change may mean that an answer was lost.
   *
   * @return true if the previous report arrived through another member
   */
  boolean observeReportPath(String member) {
    boolean hasChanged = reportPath != null && !reportPath.equals(member);
    reportPath = member;
    return hasChanged;
  }

  // ---------------------------------------------------------------- answers and leases

  /** Records that an answer is about to be sent while the worker has not confirmed its token. */
  void onUnacknowledgedAnswer(long nowMs) {
    if (unacknowledgedSinceMs < 0) {
      unacknowledgedSinceMs = nowMs;
    }
  }

  /** Returns since when answers have been sent without proof that one has arrived, or -1. */
  long unacknowledgedSinceMs() {
    return unacknowledgedSinceMs;
  }

  /** Records that one of the worker's own reports is about to be answered with 200. */
  void onReportAnswered(long nowMs) {
    advanceLeaseStart(nowMs);
    reportAnsweredAtMs = nowMs;
    reportAnswered = true;
    earlyReportDueAtMs = Long.MAX_VALUE;
  }

  /** Returns true if this leader has answered one of the worker's own reports. */
  boolean isReportAnswered() {
    return reportAnswered;
  }

  /**
   * Records that the worker has executed a command that makes it report by itself. The report takes
   * a connection of its own, as the command did.
   */
  void onEarlyReportCaused(long commandSentAtMs, long nowMs) {
    long roundTripMs = nowMs - commandSentAtMs;
    earlyReportDueAtMs =
        nowMs
            + ProtocolConstants.MIN_REPORT_GAP_MS
            + 2 * roundTripMs
            + FleetConstants.EARLY_REPORT_MARGIN_MS;
  }

  /** Returns true if a report was expected before now and none has arrived. */
  boolean isEarlyReportMissing(long nowMs) {
    return nowMs > earlyReportDueAtMs;
  }

  /**
   * Returns when this leader last answered one of the worker's own reports, or when the machine
   * became known. The worker's answers to commands don't count: they show that the machine runs,
   * but they don't renew its lease.
   */
  long reportAnsweredAtMs() {
    return reportAnsweredAtMs;
  }

  /** Records that the worker may have begun a new session, and with it a new lease, just now. */
  void onLeaseBegan(long nowMs) {
    advanceLeaseStart(nowMs);
  }

  private void advanceLeaseStart(long atMs) {
    leaseStartMs = Math.max(leaseStartMs, atMs);
  }

  /**
   * Returns the latest time from which the machine's lease may count, as far as this leader knows.
   */
  long leaseStartMs() {
    return leaseStartMs;
  }

  // ---------------------------------------------------------------- probes and connections

  /** Records that the machine is asked whether it was restarted. */
  void onRestartQuery(long nowMs) {
    restartQueriedAtMs = nowMs;
  }

  /** Returns when the machine was last asked whether it was restarted. */
  long restartQueriedAtMs() {
    return restartQueriedAtMs;
  }

  void setProbing(boolean isInFlight) {
    probing = isInFlight;
  }

  /** Returns true while a probe of the machine is in flight. */
  boolean isProbing() {
    return probing;
  }

  /** Records that the probe which was sent at {@code sentAtMs} was not answered. */
  void onProbeFailed(long sentAtMs) {
    failedProbeSentAtMs = sentAtMs;
  }

  /** Returns true if a probe that was sent after the last contact was not answered. */
  boolean hasProbeFailed() {
    return failedProbeSentAtMs > lastContactAtMs;
  }

  /** Suppresses probes until a time: an earlier one is not worth a connection. */
  void suppressProbesUntil(long atMs) {
    nextProbeAtMs = atMs;
  }

  /** Returns the time from which the machine may be probed again. */
  long nextProbeAtMs() {
    return nextProbeAtMs;
  }

  /** Records that no connection to the machine could be opened. */
  void onUnreachable(long nowMs) {
    unreachableAtMs = nowMs;
  }

  /** Returns when a connection to the machine last failed to open. */
  long unreachableAtMs() {
    return unreachableAtMs;
  }
}
