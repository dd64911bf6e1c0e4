package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.Optional;

/**
 * Reads the current leader and epoch from the replica. The replica may be behind; claims are
 * therefore conditional on the revisions that were read. Used on the event loop's thread.
 */
final class LeaderRecordReader {
  private final Replica replica;

  LeaderRecordReader(Replica replica) {
    this.replica = replica;
  }

  /** True if the replica holds a leader's record, readable or not. */
  boolean hasLeader() {
    return replica.get(Keys.LEADER) != null;
  }

  /** The current leader's record; empty if nobody leads or it can't be read. */
  Optional<LeaderRecord> leader() {
    Fields stored = replica.get(Keys.LEADER);
    try {
      return stored == null ? Optional.empty() : Optional.of(LeaderRecord.decode(stored));
    } catch (WireException e) {
      return Optional.empty();
    }
  }

  /** The highest epoch that was ever claimed; 0 before the first or if it can't be read. */
  long recordedEpoch() {
    Fields stored = replica.get(Keys.EPOCH);
    try {
      return stored == null ? 0 : EpochRecord.decode(stored).epoch();
    } catch (WireException e) {
      return 0;
    }
  }

  /**
   * The last epoch whose leader may answer reports for an unbounded time after it was replaced; 0
   * if there is none, {@link LeaderConstants#UNKNOWN_EPOCH} if it can't be read.
   */
  long unboundedEpoch() {
    Fields stored = replica.get(Keys.EPOCH);
    try {
      return stored == null ? 0 : EpochRecord.decode(stored).unboundedEpoch();
    } catch (WireException e) {
      return LeaderConstants.UNKNOWN_EPOCH;
    }
  }
}
