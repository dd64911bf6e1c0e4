package fennelthread.fleet;

import fennelthread.constants.ProtocolConstants;
import fennelthread.wire.WorkerReport;

/**
 * The fencing tokens of one machine: the epoch in the high bits, below it a counter that is raised
 * when it is not known whether what was sent before has arrived. A worker refuses commands under a
 * lower token than it has seen.
 */
final class MachineFencingTokens {
  private long counter;
  private long requiredCounter;
  private long raisedForClearsAtMs = Long.MIN_VALUE / 2;
  private long lastShown = -1;

  /** Returns the epoch of a token. */
  private static long epochOf(long token) {
    return token >> ProtocolConstants.TOKEN_BITS;
  }

  /** Returns the epoch of the token that a report shows. */
  static long epochOf(WorkerReport report) {
    return epochOf(report.token());
  }

  /** Returns the lowest token of an epoch. */
  static long firstOf(long epoch) {
    return epoch << ProtocolConstants.TOKEN_BITS;
  }

  /** Returns the token for what is sent to the machine now. */
  long current(long epoch) {
    return firstOf(epoch) + counter;
  }

  /**
   * Raises the token, since what was sent before may not have arrived: from now on only a report
   * under the raised token counts.
   */
  void raise() {
    counter++;
    requiredCounter = counter;
  }

  /**
   * Raises the token for clears. What was started under a lower one can't be started again by a
   * command that arrives a second time, which the worker would not know for one after the clear.
   * Nothing has to be awaited.
   */
  void raiseForClears(long nowMs) {
    counter++;
    raisedForClearsAtMs = nowMs;
  }

  /** Returns when the token was last raised for clears, ms. */
  long raisedForClearsAtMs() {
    return raisedForClearsAtMs;
  }

  /** Sets the token that the newest report showed. */
  void setLastShown(long token) {
    lastShown = token;
  }

  /** Forgets what was shown, since the machine was restarted. */
  void clearLastShown() {
    lastShown = -1;
  }

  /** Returns the token that the newest report showed, or -1. */
  long lastShown() {
    return lastShown;
  }

  /** Returns true if the newest report showed a token of this epoch: it is no copy from before. */
  boolean areOf(long epoch) {
    return epochOf(lastShown) == epoch;
  }

  /** Returns true if the worker has shown the token without which nothing is concluded or sent. */
  boolean isConfirmed(long epoch) {
    return lastShown >= firstOf(epoch) + requiredCounter;
  }
}
