package fennelthread.leader;

import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.LeaseGrant;
import fennelthread.state.Replica;
import fennelthread.state.RequestPriority;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import java.util.function.Consumer;

/**
 * Submits claims to the leadership. A claim creates a lease at the state service, then commits a
 * transaction that writes the leader's record, bound to that lease, and raises the epoch.
 */
final class LeadershipClaim {
  /** How a claim ended. */
  sealed interface Outcome {
    /** The transaction was applied: the claimant leads. */
    record Committed(
        long epoch, long epochRevision, long storeLeaseId, long unboundedEpoch, Txn txn)
        implements Outcome {}

    /** Nothing was written, or the lease is revoked to remove a record that may be written. */
    record Failed(String reason) implements Outcome {}
  }

  /** Supplies the epochs of a claim; called once the lease at the state service is created. */
  interface EpochSource {
    /** The epoch to claim. */
    long nextEpoch();

    /** The last earlier epoch whose leader may answer reports for an unbounded time, 0 if none. */
    long unboundedEpoch();
  }

  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final String member;
  private final String incarnation;

  LeadershipClaim(
      EventLoop eventLoop, StateClient state, Replica replica, String member, String incarnation) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.replica = replica;
    this.member = member;
    this.incarnation = incarnation;
  }

  /**
   * Claims the leadership.
   *
   * @param ttlMs the length of the lease at the state service, ms
   * @param conditions under which the claim is valid; the epoch's revision is added to them
   */
  void submit(long ttlMs, Txn conditions, EpochSource epochs, Consumer<Outcome> done) {
    state.createLease(
        ttlMs,
        grant -> {
          if (grant instanceof LeaseGrant.Granted granted) {
            commit(granted.leaseId(), conditions, epochs, done);
          } else {
            done.accept(new Outcome.Failed("no lease from the state service"));
          }
        });
  }

  private void commit(
      long storeLeaseId, Txn conditions, EpochSource epochs, Consumer<Outcome> done) {
    EpochRecord epochRecord = new EpochRecord(epochs.nextEpoch(), epochs.unboundedEpoch());
    LeaderRecord leaderRecord =
        new LeaderRecord(
            member, incarnation, epochRecord.epoch(), storeLeaseId, true, eventLoop.wallMs());
    Txn txn =
        conditions
            .requireRevision(Keys.EPOCH, replica.revisionOf(Keys.EPOCH))
            .writeWithLease(Keys.LEADER, leaderRecord.encode(), storeLeaseId)
            .write(Keys.EPOCH, epochRecord.encode());
    state.submitTxn(
        RequestPriority.INTERACTIVE,
        txn,
        result -> {
          if (result instanceof TxnResult.Applied applied) {
            done.accept(
                new Outcome.Committed(
                    epochRecord.epoch(),
                    applied.revision(),
                    storeLeaseId,
                    epochRecord.unboundedEpoch(),
                    txn));
          } else {
            // Without an answer, the claim may still be applied: revoking its lease removes the
            // leader's record.
            state.revokeLease(storeLeaseId, revocation -> {});
            done.accept(new Outcome.Failed(LeaderLease.describeRejection(result)));
          }
        });
  }
}
