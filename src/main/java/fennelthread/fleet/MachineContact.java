package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * When one leader and a machine's worker last communicated, and by which path. All times are in ms;
 * they are in the far past where something has not happened yet, or -1 where a method says so.
 */
final class MachineContact {

  private final Deque<Long> sessionChanges = new ArrayDeque<>();
  private long lastReportAtMs = -1;
  private long lastContactAtMs = -1;
  private long unacknowledgedSinceMs = -1;
  private long leaseStartMs;
  private long reportAnsweredAtMs;
  private long restartQueriedAtMs = Long.MIN_VALUE / 2;
  private String reportPath;
  private boolean probing;
  private long failedProbeSentAtMs = -1;
  private long nextProbeAtMs = Long.MIN_VALUE;
  private long unreachableAtMs = Long.MIN_VALUE / 2;

  /** Creates the contact to a machine that is known from now on. */
  MachineContact(long nowMs) {
    this.leaseStartMs = nowMs;
    this.reportAnsweredAtMs = nowMs;
  }

  // ---------------------------------------------------------------- reports

  /** Records a report; {@code confirmed} says whether it shows that what was sent has arrived. */
  void onReport(long nowMs, boolean confirmed) {
    lastReportAtMs = nowMs;
    if (confirmed) {
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

  /** Records that a report shows a later session: no answer had arrived for a lease. */
  void onSessionChange(long nowMs) {
    sessionChanges.add(nowMs);
    if (sessionChanges.size() > FleetConstants.SESSION_CHANGES_KEPT) {
      sessionChanges.poll();
    }
  }

  /** Returns how often the session has changed since that time. */
  int sessionChangesSince(long sinceMs) {
    int count = 0;
    for (long changedAtMs : sessionChanges) {
      count += changedAtMs >= sinceMs ? 1 : 0;
    }
    return count;
  }

  /** Forgets the session changes of a machine that was restarted: its sessions begin again. */
  void clearSessionChanges() {
    sessionChanges.clear();
  }

  /**
   * Records through which member a report arrived: a worker that was answered stays with the
   * controller that it reports to.
   *
   * @return true if it is another one than before
   */
  boolean observeReportPath(String member) {
    boolean changed = reportPath != null && !reportPath.equals(member);
    reportPath = member;
    return changed;
  }

  // ---------------------------------------------------------------- answers and leases

  /** Records that an answer is about to leave under a token that the worker has not shown. */
  void onUnacknowledgedAnswer(long nowMs) {
    if (unacknowledgedSinceMs < 0) {
      unacknowledgedSinceMs = nowMs;
    }
  }

  /** Returns since when answers have left without any sign that one has arrived, or -1. */
  long unacknowledgedSinceMs() {
    return unacknowledgedSinceMs;
  }

  /** Records that a report which the machine sent by itself is about to be answered with 200. */
  void onReportAnswered(long nowMs) {
    extendLeaseStart(nowMs);
    reportAnsweredAtMs = nowMs;
  }

  /**
   * Returns when this leader last answered a report that the machine sent by itself, or first knew
   * the machine. Answers to commands don't count: they show that the machine runs, not that its
   * lease is renewed.
   */
  long reportAnsweredAtMs() {
    return reportAnsweredAtMs;
  }

  /** Records that a lease may have begun just now, with a new session. */
  void onLeaseBegan(long nowMs) {
    extendLeaseStart(nowMs);
  }

  /**
   * Records that a start is sent to the machine on a connection that is opened until then. The
   * start may reach an incarnation that began a moment before, of which no report has arrived and
   * whose lease counts from there: what runs in it must not be taken for ended with the one before.
   */
  void onStartSent(long connectedUntilMs) {
    extendLeaseStart(connectedUntilMs);
  }

  private void extendLeaseStart(long atMs) {
    leaseStartMs = Math.max(leaseStartMs, atMs);
  }

  /** Returns the latest time that its lease counts from, as far as this leader's acts go. */
  long leaseStartMs() {
    return leaseStartMs;
  }

  // ---------------------------------------------------------------- probes and connections

  /** Records that it was asked whether it was restarted. */
  void onRestartQuery(long nowMs) {
    restartQueriedAtMs = nowMs;
  }

  /** Returns when it was last asked whether it was restarted. */
  long restartQueriedAtMs() {
    return restartQueriedAtMs;
  }

  void setProbing(boolean underWay) {
    probing = underWay;
  }

  /** Returns true while a probe of it is under way. */
  boolean isProbing() {
    return probing;
  }

  /** Records that a probe which was sent then was not answered. */
  void onProbeFailed(long sentAtMs) {
    failedProbeSentAtMs = sentAtMs;
  }

  /** Returns true if a probe that was sent after the last contact was not answered. */
  boolean probeFailed() {
    return failedProbeSentAtMs > lastContactAtMs;
  }

  /** Suppresses probes until then: none is worth a connection before. */
  void suppressProbesUntil(long atMs) {
    nextProbeAtMs = atMs;
  }

  /** Returns the time from which on it may be probed. */
  long nextProbeAtMs() {
    return nextProbeAtMs;
  }

  /** Records that no connection to it could be opened. */
  void onUnreachable(long nowMs) {
    unreachableAtMs = nowMs;
  }

  /** Returns when a connection to it last failed to open. */
  long unreachableAtMs() {
    return unreachableAtMs;
  }
}
