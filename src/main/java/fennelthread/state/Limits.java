package fennelthread.state;

import fennelthread.constants.StateConstants;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How large values and transactions may be: the one place that every writer asks. It begins with
 * the lower of the limits that the settings hold for now and for later, since the later ones come
 * without notice. If the service turns out to take even less, the limits shrink, so that what was
 * refused is built anew in smaller pieces and is not sent unchanged for ever.
 */
public final class Limits {
  private static final Logger log = LoggerFactory.getLogger(Limits.class);

  private int valueBytes;
  private int txnOps;
  private long refused;

  /** Creates the limits that the settings promise. */
  public Limits(Settings.State settings) {
    this.valueBytes = settings.valueBytes();
    this.txnOps = settings.txnOps();
  }

  /** Most bytes of a value that we write. */
  public int valueBytes() {
    return valueBytes - StateConstants.VALUE_SLACK_BYTES;
  }

  /** Most puts and deletes in a transaction. */
  public int txnOps() {
    return txnOps;
  }

  /** Most conditions in a transaction: the protocol allows four times as many. */
  public int conditions() {
    return 4 * txnOps;
  }

  /** Most bytes of all values in a transaction, well below the protocol's bound on bodies. */
  public int txnBytes() {
    return StateConstants.TXN_BYTES;
  }

  /** Transactions that were refused for their size. */
  public long refused() {
    return refused;
  }

  /** Bytes of a value as the service counts them. */
  public static int bytes(Fields value) {
    return Codec.JSON.encode(value).length;
  }

  /** A transaction was refused as malformed: whatever it was, the next ones are smaller. */
  void refused(Txn txn) {
    refused++;
    int largest = 0;
    for (Fields value : txn.writeMap().values()) {
      largest = Math.max(largest, bytes(value));
    }
    int ops = Math.max(txn.ops(), (txn.conditions() + 3) / 4);
    if (ops > StateConstants.LEAST_TXN_OPS) {
      txnOps = Math.min(txnOps, Math.max(StateConstants.LEAST_TXN_OPS, ops / 2));
    } else {
      valueBytes =
          Math.min(
              valueBytes,
              Math.max(
                  StateConstants.LEAST_VALUE_BYTES,
                  largest / 2 + StateConstants.VALUE_SLACK_BYTES));
    }
    log.error(
        "transaction of {} changes, {} conditions, values up to {} bytes refused with 400: "
            + "from now on {} changes and values of {} bytes",
        txn.ops(),
        txn.conditions(),
        largest,
        txnOps,
        valueBytes());
  }
}
