package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.ArrayDeque;
import java.util.Deque;

/** When and how one leader and a machine last heard from one another. Times are in ms. */
final class MachineContact {

  private final Deque<Long> sessionRises = new ArrayDeque<>();
  private long heardAtMs = -1;
  private long contactAtMs = -1;
  private long unshownSinceMs = -1;
  private long leaseFromMs;
  private long reportAnsweredAtMs;
  private long askedWhichLifeAtMs = Long.MIN_VALUE / 2;
  private String path;
  private boolean probing;
  private long failedProbeSentAtMs = -1;
  private long askAgainAtMs = Long.MIN_VALUE;
  private long unreachableAtMs = Long.MIN_VALUE / 2;

  /** Creates the contact to a machine that is known from now on. */
  MachineContact(long nowMs) {
    this.leaseFromMs = nowMs;
    this.reportAnsweredAtMs = nowMs;
  }

  /** Notes a report; {@code confirmed} tells whether it shows that what was said has arrived. */
  void heard(long nowMs, boolean confirmed) {
    heardAtMs = nowMs;
    if (confirmed) {
      contactAtMs = nowMs;
      unshownSinceMs = -1;
    }
  }

  /** When it was last heard, or -1. */
  long heardAtMs() {
    return heardAtMs;
  }

  /** When a report last showed that what was said before had arrived, or -1. */
  long contactAtMs() {
    return contactAtMs;
  }

  /** Notes that the session of its reports has risen: no answer had arrived for a lease. */
  void sessionRose(long nowMs) {
    sessionRises.add(nowMs);
    if (sessionRises.size() > FleetConstants.RISES_REMEMBERED) {
      sessionRises.poll();
    }
  }

  /** How often its session has risen since then. */
  int sessionRisesSince(long sinceMs) {
    int count = 0;
    for (long at : sessionRises) {
      count += at >= sinceMs ? 1 : 0;
    }
    return count;
  }

  /** The machine was started anew: its sessions begin again. */
  void forgetSessions() {
    sessionRises.clear();
  }

  /** Notes that an answer is about to leave which holds a token that the machine has not shown. */
  void answeredUnshown(long nowMs) {
    if (unshownSinceMs < 0) {
      unshownSinceMs = nowMs;
    }
  }

  /** Since when answers have left without any sign that one has arrived, or -1. */
  long unshownSinceMs() {
    return unshownSinceMs;
  }

  /** Notes that a report which the machine sent by itself is about to be answered with 200. */
  void reportAnswered(long nowMs) {
    leaseFromMs = Math.max(leaseFromMs, nowMs);
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
  void leaseBegan(long nowMs) {
    leaseFromMs = Math.max(leaseFromMs, nowMs);
  }

  /**
   * Notes that a start is sent to the machine on a connection that is opened until then. It may
   * reach a life of the machine that began a moment before, of which nothing was heard and whose
   * lease counts from there: what runs in it must not be taken for ended with the life before.
   */
  void startLeaves(long connectedUntilMs) {
    leaseFromMs = Math.max(leaseFromMs, connectedUntilMs);
  }

  /** The latest time, as far as this leader's own doing goes, that its lease counts from. */
  long leaseFromMs() {
    return leaseFromMs;
  }

  /**
   * Notes by whom a report came: a worker that was answered stays with the controller that it
   * reports to.
   *
   * @return true if by somebody else than the one before
   */
  boolean cameBy(String newPath) {
    boolean changed = path != null && !path.equals(newPath);
    path = newPath;
    return changed;
  }

  /** Notes when it was asked whether it was started anew. */
  void askedWhichLife(long nowMs) {
    askedWhichLifeAtMs = nowMs;
  }

  long askedWhichLifeAtMs() {
    return askedWhichLifeAtMs;
  }

  void setProbing(boolean on) {
    probing = on;
  }

  /** True while a question to it is under way. */
  boolean isProbing() {
    return probing;
  }

  /** Notes that a question which left then was not answered. */
  void probeFailedSince(long sentAtMs) {
    failedProbeSentAtMs = sentAtMs;
  }

  /** True if it did not answer a question that was sent after we last were in contact. */
  boolean probeFailed() {
    return failedProbeSentAtMs > contactAtMs;
  }

  /** No question to it is worth a connection before then. */
  void askAgainAt(long atMs) {
    askAgainAtMs = atMs;
  }

  long askAgainAtMs() {
    return askAgainAtMs;
  }

  /** Notes that no connection to it could be had. */
  void unreachable(long nowMs) {
    unreachableAtMs = nowMs;
  }

  long unreachableAtMs() {
    return unreachableAtMs;
  }
}
