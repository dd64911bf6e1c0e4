package fennelthread.state;

import fennelthread.constants.StateConstants;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The limits on the sizes of values and transactions that all writers keep to. They start at the
 * lower of the present and the future limits in the settings, since the future ones take effect
 * without notice. If the service turns out to accept even less, the limits shrink, so that a
 * rejected transaction is rebuilt in smaller pieces and is not sent unchanged for ever. Used on the
 * event loop's thread only.
 */
public final class SizeLimits {
  private static final Logger log = LoggerFactory.getLogger(SizeLimits.class);

  private int valueBytes;
  private int txnChanges;

  /** Creates the limits that the settings give. */
  public SizeLimits(Settings.StateLimits settings) {
    this.valueBytes = settings.valueBytes();
    this.txnChanges = settings.txnOps();
  }

  /** The largest value to write, bytes as {@link #encodedBytes} counts them. */
  public int maxValueBytes() {
    return valueBytes - StateConstants.VALUE_OVERHEAD_BYTES;
  }

  /** The largest number of changes, puts and deletes, in a transaction. */
  public int maxTxnChanges() {
    return txnChanges;
  }

  /** The largest number of conditions in a transaction. */
  public int maxTxnConditions() {
    return StateConstants.CONDITIONS_PER_CHANGE * txnChanges;
  }

  /** The largest sum of the sizes of all values in a transaction, bytes. */
  public int maxTxnBytes() {
    return StateConstants.MAX_TXN_BYTES;
  }

  /** The size of a value as the service counts it, bytes. */
  public static int encodedBytes(Fields value) {
    return Codec.JSON.encode(value).length;
  }

  /**
   * Shrinks the limits after the service has rejected a transaction as malformed, which is its
   * answer to one that is too large. Shrinks the number of changes first, and the size of values
   * once a transaction holds no more than {@link StateConstants#MIN_TXN_CHANGES} changes.
   */
  void shrinkAfterRejection(Txn txn) {
    int largestBytes = 0;
    for (Fields value : txn.writesByKey().values()) {
      largestBytes = Math.max(largestBytes, encodedBytes(value));
    }
    int conditionsPerChange = StateConstants.CONDITIONS_PER_CHANGE;
    int usedChanges =
        Math.max(
            txn.changeCount(),
            (txn.conditionCount() + conditionsPerChange - 1) / conditionsPerChange);
    if (usedChanges > StateConstants.MIN_TXN_CHANGES) {
      txnChanges = Math.min(txnChanges, Math.max(StateConstants.MIN_TXN_CHANGES, usedChanges / 2));
    } else {
      int halfOfLargest = largestBytes / 2 + StateConstants.VALUE_OVERHEAD_BYTES;
      valueBytes = Math.min(valueBytes, Math.max(StateConstants.MIN_VALUE_BYTES, halfOfLargest));
    }
    log.error(
        "transaction rejected as too large changes={} conditions={} largestValueBytes={} "
            + "newMaxChanges={} newMaxValueBytes={}",
        txn.changeCount(),
        txn.conditionCount(),
        largestBytes,
        txnChanges,
        maxValueBytes());
  }
}
