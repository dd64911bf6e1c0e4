package fennelthread.election;

import fennelthread.constants.ElectionConstants;
import fennelthread.leader.LeaderLease;
import fennelthread.net.EventLoop;
import fennelthread.peers.PeerHeartbeat;

/**
 * The leader's part of failover: ensures that no takeover can be applied while it starts tasks, by
 * its followers' {@link LeadershipPromises} or else by a {@link UnilateralLeadership} declaration.
 */
final class LeaderProtection {

  private final EventLoop eventLoop;
  private final LeaderLease lease;
  private final LeadershipPromises promises;
  private final UnilateralLeadership declaration;
  private long promiseWithheldSinceMs = ElectionConstants.NEVER;
  private long enoughPromisesSinceMs = ElectionConstants.NEVER;

  /** Creates the protection of one controller, for whenever it leads. */
  LeaderProtection(
      EventLoop eventLoop,
      LeaderLease lease,
      LeadershipPromises promises,
      UnilateralLeadership declaration) {
    this.eventLoop = eventLoop;
    this.lease = lease;
    this.promises = promises;
    this.declaration = declaration;
  }

  /** Begins a term that this controller leads under {@code epoch}. */
  void beginTerm(long epoch) {
    promises.beginEpoch(epoch);
    declaration.beginTerm();
    promiseWithheldSinceMs = ElectionConstants.NEVER;
    enoughPromisesSinceMs = ElectionConstants.NEVER;
    // No promise is in force yet: peers give promises only in answers to heartbeats, and only
    // for an epoch that they have observed.
    declaration.declare();
  }

  /** True if no takeover can have been applied yet. */
  boolean excludesTakeover() {
    return declaration.isDeclared() || eventLoop.nowMs() < promises.protectedUntilMs();
  }

  /**
   * Records a follower's answer to a heartbeat.
   *
   * @param sentAtMs when the heartbeat was sent, ms of the local clock
   */
  void recordAnswer(String member, PeerHeartbeat reply, long sentAtMs) {
    if (!lease.isLeading()) {
      return;
    }
    promises.recordPromise(member, reply.promisedEpoch(), sentAtMs);
    if (reply.promisedEpoch() == lease.epoch()) {
      promiseWithheldSinceMs = ElectionConstants.NEVER;
    } else if (reply.features().promises()
        && reply.epoch() == lease.epoch()
        && promiseWithheldSinceMs == ElectionConstants.NEVER) {
      promiseWithheldSinceMs = eventLoop.nowMs();
    }
  }

  /** Declares or revokes unilateral leadership as the promises in force require. */
  void updateDeclaration(long nowMs) {
    // The end of the promises may be the smallest or largest number, which subtracting overflows.
    boolean hasEnoughPromises =
        promises.protectedUntilMs() > nowMs + ElectionConstants.PROMISE_REMAINING_MS;
    if (!hasEnoughPromises) {
      enoughPromisesSinceMs = ElectionConstants.NEVER;
      declaration.declare();
      if (isPromiseWithheldTooLong(nowMs)) {
        // The follower may have agreed to a takeover, or have forgotten what it agreed to: it
        // promises again once the declaration's record has been rewritten.
        promiseWithheldSinceMs = ElectionConstants.NEVER;
        declaration.rewrite();
      }
      return;
    }
    if (enoughPromisesSinceMs == ElectionConstants.NEVER) {
      enoughPromisesSinceMs = nowMs;
    }
    if (mayBeDeclared()
        && nowMs - enoughPromisesSinceMs > ElectionConstants.REVOKE_DECLARATION_AFTER_MS) {
      declaration.revoke();
    } else if (!declaration.isDeclared() && isPromiseWithheldTooLong(nowMs)) {
      // Another follower promises, so the revocation is rewritten, for the same reason.
      promiseWithheldSinceMs = ElectionConstants.NEVER;
      declaration.revoke();
    }
  }

  private boolean isPromiseWithheldTooLong(long nowMs) {
    return promiseWithheldSinceMs != ElectionConstants.NEVER
        && nowMs - promiseWithheldSinceMs > ElectionConstants.PROMISE_WITHHELD_MS;
  }

  /**
   * True if the declaration is known to be recorded, or is in the replica because the answer to its
   * write or its revocation was lost. While it is recorded, nobody can take over if this leader
   * fails.
   */
  private boolean mayBeDeclared() {
    return declaration.isDeclared() || declaration.isRecordedFor(lease.epoch());
  }
}
