package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;

/**
 * The stored record of the highest epoch that was ever claimed. It is bound to no lease and never
 * expires; its revision is the fencing condition of all of a leader's transactions.
 *
 * @param epoch the highest epoch claimed
 * @param unboundedEpoch the last epoch, at or before this one, whose leader may answer workers'
 *     reports for an unbounded time after it was replaced; 0 if there is none, {@link
 *     LeaderConstants#UNKNOWN_EPOCH} if the stored fields for it can't be read
 */
record EpochRecord(long epoch, long unboundedEpoch) {
  /**
   * The stored form. Its {@code keeps} flag states that the leader of this epoch stops answering
   * reports within a bounded time after it is replaced.
   */
  Fields encode() {
    return Fields.create()
        .with("epoch", epoch)
        .with("keeps", true)
        .with("unbounded", unboundedEpoch);
  }

  /** Reads the stored form; fails only if the epoch itself is missing or not a number. */
  static EpochRecord decode(Fields stored) throws WireException {
    return new EpochRecord(stored.count("epoch"), unboundedEpochOf(stored));
  }

  private static long unboundedEpochOf(Fields stored) {
    try {
      return stored.optFlag("keeps") ? stored.count("unbounded", 0) : stored.count("epoch");
    } catch (WireException e) {
      return LeaderConstants.UNKNOWN_EPOCH;
    }
  }
}
