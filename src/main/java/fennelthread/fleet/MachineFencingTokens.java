package fennelthread.fleet;

import fennelthread.constants.ProtocolConstants;
import fennelthread.wire.WorkerReport;

/**
 * The tokens of one machine: the epoch in the high bits, below it a counter that rises when it is
 * not known whether what was sent before has arrived.
 */
final class MachineFencingTokens {
  private long counter;
  private long neededCounter;
  private long clearedAtMs = Long.MIN_VALUE / 2;
  private long shown = -1;

  /** The epoch of the token that a report shows. */
  static long epochOf(WorkerReport report) {
    return report.token() >> ProtocolConstants.TOKEN_BITS;
  }

  /** The token for what is sent to the machine now. */
  long current(long epoch) {
    return (epoch << ProtocolConstants.TOKEN_BITS) + counter;
  }

  /**
   * From now on only a report under a higher token counts: whatever was sent before may not have
   * arrived.
   */
  void raise() {
    counter++;
    neededCounter = counter;
  }

  /**
   * Raises the token for clears. What was started under a lower one can't be started again by a
   * command that comes a second time, which the worker would not know for one after the clear.
   * Nothing has to be waited for.
   */
  void raiseForClears(long nowMs) {
    counter++;
    clearedAtMs = nowMs;
  }

  /** When the token was last raised for clears, ms. */
  long clearedAtMs() {
    return clearedAtMs;
  }

  /** Notes the token that the newest report showed. */
  void shown(long token) {
    shown = token;
  }

  /** The token that the newest report showed, or -1. */
  long shown() {
    return shown;
  }

  /** True if the newest report showed a token of this epoch: it can't be a copy from before it. */
  boolean areOf(long epoch) {
    return shown >> ProtocolConstants.TOKEN_BITS == epoch;
  }

  /**
   * True if the worker has shown the token that it must have seen for anything to be concluded or
   * sent.
   */
  boolean isConfirmed(long epoch) {
    return shown >= (epoch << ProtocolConstants.TOKEN_BITS) + neededCounter;
  }
}
