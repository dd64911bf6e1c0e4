package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.ArrayDeque;
import java.util.Deque;

/** When and how one leader and a machine last heard from one another. Times are in ms. */
final class MachineContact {

  private final Deque<Long> incarnationChanges = new ArrayDeque<>();
  private long lastReportAtMs = -1;
  private long lastContactAtMs = -1;
  private long unacknowledgedSinceMs = -1;
  private long leaseStartMs;
  private long reportAnsweredAtMs;
  private long restartQueriedAtMs = Long.MIN_VALUE / 2;
  private String path;
  private boolean probing;
  private long failedProbeSentAtMs = -1;
  private long nextProbeAtMs = Long.MIN_VALUE;
  private long unreachableAtMs = Long.MIN_VALUE / 2;

  /** Creates the contact to a machine that is known from now on. */
  MachineContact(long nowMs) {
    this.leaseStartMs = nowMs;
    this.reportAnsweredAtMs = nowMs;
  }

  /** Notes a report; {@code confirmed} tells whether it shows that what was said has arrived. */
  void heard(long nowMs, boolean confirmed) {
    lastReportAtMs = nowMs;
    if (confirmed) {
      lastContactAtMs = nowMs;
      unacknowledgedSinceMs = -1;
    }
  }

  /** When it was last heard, or -1. */
  long lastReportAtMs() {
    return lastReportAtMs;
  }

  /** When a report last showed that what was said before had arrived, or -1. */
  long lastContactAtMs() {
    return lastContactAtMs;
  }

  /** Notes that the session of its reports has risen: no answer had arrived for a lease. */
  void onIncarnationChange(long nowMs) {
    incarnationChanges.add(nowMs);
    if (incarnationChanges.size() > FleetConstants.RISES_REMEMBERED) {
      incarnationChanges.poll();
    }
  }

  /** How often its session has risen since then. */
  int incarnationChangesSince(long sinceMs) {
    int count = 0;
    for (long at : incarnationChanges) {
      count += at >= sinceMs ? 1 : 0;
    }
    return count;
  }

  /** The machine was started anew: its sessions begin again. */
  void clearIncarnationChanges() {
    incarnationChanges.clear();
  }

  /** Notes that an answer is about to leave which holds a token that the machine has not shown. */
  void onUnacknowledgedAnswer(long nowMs) {
    if (unacknowledgedSinceMs < 0) {
      unacknowledgedSinceMs = nowMs;
    }
  }

  /** Since when answers have left without any sign that one has arrived, or -1. */
  long unacknowledgedSinceMs() {
    return unacknowledgedSinceMs;
  }

  /** Notes that a report which the machine sent by itself is about to be answered with 200. */
  void onReportAnswered(long nowMs) {
    leaseStartMs = Math.max(leaseStartMs, nowMs);
    reportAnsweredAtMs = nowMs;
  }

  /**
   * When this leader last answered a report that the machine sent by itself, or first knew the
   * machine. Answers to commands don't count: they show that the machine lives, not that its lease
   * is renewed.
   */
  long reportAnsweredAtMs() {
    return reportAnsweredAtMs;
  }

  /** Notes that a lease may have begun just now, by a new session. */
  void onLeaseBegan(long nowMs) {
    leaseStartMs = Math.max(leaseStartMs, nowMs);
  }

  /**
   * Notes that a start is sent to the machine on a connection that is opened until then. It may
   * reach a life of the machine that began a moment before, of which nothing was heard and whose
   * lease counts from there: what runs in it must not be taken for ended with the life before.
   */
  void onStartSent(long connectedUntilMs) {
    leaseStartMs = Math.max(leaseStartMs, connectedUntilMs);
  }

  /** The latest time, as far as this leader's own doing goes, that its lease counts from. */
  long leaseStartMs() {
    return leaseStartMs;
  }

  /**
   * Notes by whom a report came: a worker that was answered stays with the controller that it
   * reports to.
   *
   * @return true if by somebody else than the one before
   */
  boolean observeReportPath(String newPath) {
    boolean changed = path != null && !path.equals(newPath);
    path = newPath;
    return changed;
  }

  /** Notes when it was asked whether it was started anew. */
  void onRestartQuery(long nowMs) {
    restartQueriedAtMs = nowMs;
  }

  long restartQueriedAtMs() {
    return restartQueriedAtMs;
  }

  void setProbing(boolean on) {
    probing = on;
  }

  /** True while a question to it is under way. */
  boolean isProbing() {
    return probing;
  }

  /** Notes that a question which left then was not answered. */
  void onProbeFailed(long sentAtMs) {
    failedProbeSentAtMs = sentAtMs;
  }

  /** True if it did not answer a question that was sent after we last were in contact. */
  boolean probeFailed() {
    return failedProbeSentAtMs > lastContactAtMs;
  }

  /** No question to it is worth a connection before then. */
  void suppressProbesUntil(long atMs) {
    nextProbeAtMs = atMs;
  }

  long nextProbeAtMs() {
    return nextProbeAtMs;
  }

  /** Notes that no connection to it could be had. */
  void onUnreachable(long nowMs) {
    unreachableAtMs = nowMs;
  }

  long unreachableAtMs() {
    return unreachableAtMs;
  }
}
