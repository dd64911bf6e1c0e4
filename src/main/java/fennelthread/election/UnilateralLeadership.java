package fennelthread.election;

import fennelthread.constants.ElectionConstants;
import fennelthread.leader.LeaderLease;
import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.RequestPriority;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's declaration, recorded in the state service, that it acts without its peers'
 * promises. Every takeover is conditional on the revision that the declaration had when the peers
 * agreed: once it is rewritten, no takeover that was agreed on before can be applied. While it is
 * in force, peers agree to none.
 */
final class UnilateralLeadership {
  private static final Logger log = LoggerFactory.getLogger(UnilateralLeadership.class);
  private static final String EPOCH_FIELD = "epoch";

  /**
   * The state of the declaration. Only DECLARED and REWRITING let the leader start tasks without
   * promises.
   */
  enum Phase {
    /** Not recorded, or possibly recorded because a write or a revocation got no answer. */
    NOT_DECLARED,
    /** A write is in flight; without an answer it may be applied or not. */
    DECLARING,
    /** Recorded. */
    DECLARED,
    /**
     * Recorded, and a write of the same declaration is in flight: whether it is applied or not, a
     * declaration of this epoch is recorded, and no takeover agreed on before it can be applied.
     */
    REWRITING,
    /**
     * A revocation is in flight: from its sending on, the leader does not rely on the declaration.
     */
    REVOKING
  }

  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final LeaderLease lease;
  private Phase phase = Phase.NOT_DECLARED;
  private long term;
  private long lastWriteAtMs = Long.MIN_VALUE / 2;

  /** Creates the declaration of one controller; nothing is written before the first term. */
  UnilateralLeadership(EventLoop eventLoop, StateClient state, Replica replica, LeaderLease lease) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.replica = replica;
    this.lease = lease;
  }

  /** Begins a term. Declarations recorded in earlier terms name another epoch and do not count. */
  void beginTerm() {
    term++;
    phase = Phase.NOT_DECLARED;
    lastWriteAtMs = Long.MIN_VALUE / 2;
  }

  /** True if the declaration is known to be recorded, and no revocation was sent since. */
  boolean isDeclared() {
    return phase == Phase.DECLARED || phase == Phase.REWRITING;
  }

  /** The revision of the declaration in the local replica, 0 if there is none. */
  long recordedRevision() {
    return replica.revisionOf(Keys.UNILATERAL_LEADERSHIP);
  }

  /** True if the local replica holds a declaration for this epoch, or an unreadable one. */
  boolean isRecordedFor(long epoch) {
    try {
      Fields declaration = replica.get(Keys.UNILATERAL_LEADERSHIP);
      return declaration != null && declaration.count(EPOCH_FIELD) == epoch;
    } catch (WireException e) {
      return true;
    }
  }

  /** Writes the declaration, unless it is recorded, or a write is in flight or was just made. */
  void declare() {
    if (phase == Phase.NOT_DECLARED) {
      write(Phase.DECLARING);
    }
  }

  /**
   * Writes the recorded declaration once more: peers that may have agreed to a takeover are then
   * free to promise again. Does nothing while a write is in flight or was just made.
   */
  void rewrite() {
    if (phase == Phase.DECLARED) {
      write(Phase.REWRITING);
    }
  }

  /**
   * Revokes the declaration, or rewrites its revocation: peers that may have agreed to a takeover
   * are then free to promise again. Does nothing while a write is in flight or was just made.
   */
  void revoke() {
    if (phase == Phase.NOT_DECLARED || phase == Phase.DECLARED) {
      write(Phase.REVOKING);
    }
  }

  /**
   * Writes the declaration or its revocation. The write is conditional on the revision in the
   * replica, so that an earlier write without an answer can't be applied after this one.
   *
   * @param inFlight the phase until the answer comes: DECLARING, REWRITING or REVOKING
   */
  private void write(Phase inFlight) {
    if (eventLoop.nowMs() - lastWriteAtMs < ElectionConstants.MIN_DECLARATION_INTERVAL_MS) {
      return;
    }
    lastWriteAtMs = eventLoop.nowMs();
    long termOfWrite = term;
    long epoch = lease.epoch();
    boolean declared = inFlight != Phase.REVOKING;
    transitionTo(inFlight, epoch);
    Fields declaration = Fields.create().with(EPOCH_FIELD, declared ? epoch : 0L);
    Txn txn =
        lease
            .fencedTxn()
            .requireRevision(Keys.UNILATERAL_LEADERSHIP, recordedRevision())
            .write(Keys.UNILATERAL_LEADERSHIP, declaration);
    state.submitTxn(
        RequestPriority.INTERACTIVE,
        txn,
        result -> {
          if (termOfWrite != term) {
            return;
          }
          boolean applied = result instanceof TxnResult.Applied;
          transitionTo(declared && applied ? Phase.DECLARED : Phase.NOT_DECLARED, epoch);
          if (result instanceof TxnResult.Applied success) {
            replica.applyCommitted(txn, success.revision());
          }
        });
  }

  /** The only place where the phase changes within a term. */
  private void transitionTo(Phase next, long epoch) {
    if (next == Phase.DECLARED || phase == Phase.DECLARED) {
      log.info("unilateral leadership changed epoch={} from={} to={}", epoch, phase, next);
    }
    phase = next;
  }
}
