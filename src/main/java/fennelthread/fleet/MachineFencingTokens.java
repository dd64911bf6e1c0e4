package fennelthread.fleet;

import fennelthread.constants.ProtocolConstants;
import fennelthread.wire.WorkerReport;

/**
 * The fencing tokens of one machine. A token holds the epoch in its high bits and below them a
 * counter, which is raised when it is unknown whether what was sent before has arrived, or to make
 * the worker report early. A worker refuses commands under a lower token than it has seen.
 */
final class MachineFencingTokens {
  private long counter;
  private long requiredCounter;
  private long raisedAtMs;
  private long lastReported = -1;

  /**
   * Creates the tokens of a machine that becomes known now. Its worker is about to learn a token of
   * this epoch, which is higher than any that it has seen.
   */
  MachineFencingTokens(long nowMs) {
    this.raisedAtMs = nowMs;
  }

  /** Returns the epoch of a token. */
  private static long epochOf(long token) {
    return token >> ProtocolConstants.TOKEN_BITS;
  }

  /** Returns the epoch of the token that a report names. */
  static long epochOf(WorkerReport report) {
    return epochOf(report.token());
  }

  /** Returns the lowest token of an epoch. */
  static long firstOf(long epoch) {
    return epoch << ProtocolConstants.TOKEN_BITS;
  }

  /** Returns the token under which a term of that epoch sends to the machine now. */
  long current(long epoch) {
    return firstOf(epoch) + counter;
  }

  /**
   * Raises the token, since what was sent before may not have arrived or may arrive later. The
   * worker counts as unconfirmed until a report names the raised token.
   */
  void raise(long nowMs) {
    counter++;
    requiredCounter = counter;
    raisedAtMs = nowMs;
  }

  /**
   * Raises the token so that the worker reports early once it learns of it. The worker stays
   * confirmed, since nothing depends on when the token arrives.
   */
  void raiseForReport(long nowMs) {
    counter++;
    raisedAtMs = nowMs;
  }

  /** Returns when the token was last raised, ms. */
  long raisedAtMs() {
    return raisedAtMs;
  }

  /** Returns true if the worker would report early for a raised token, as far as is known here. */
  boolean wouldRaiseCauseReport(long nowMs, long leaseMs) {
    return nowMs - raisedAtMs >= leaseMs * ProtocolConstants.TOKEN_REPORT_LEASE_SHARE;
  }

  /** Sets the token that the newest report names. */
  void setLastReported(long token) {
    lastReported = token;
  }

  /** Forgets the reported token, since the machine was restarted. */
  void clearLastReported() {
    lastReported = -1;
  }

  /** Returns the token that the newest report names, or -1 if there is none. */
  long lastReported() {
    return lastReported;
  }

  /** Returns true if the newest report names a token of an epoch, so was sent in that term. */
  boolean isLastReportedOf(long epoch) {
    return epochOf(lastReported) == epoch;
  }

  /**
   * Returns true if the newest report names at least the token that is required: that of the last
   * {@link #raise}, or without one the lowest of the epoch.
   */
  boolean isConfirmed(long epoch) {
    return lastReported >= firstOf(epoch) + requiredCounter;
  }
}
