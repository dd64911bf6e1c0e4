package fennelthread.election;

import fennelthread.constants.ElectionConstants;
import fennelthread.leader.LeaderLease;
import fennelthread.net.EventLoop;
import fennelthread.peers.HeartbeatExtension;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;

/**
 * Fast failover of the leader. Once a majority of the controllers agrees that the leader is silent,
 * a follower takes over with one transaction, before the leader's lease at the state service
 * expires. {@link LeaderProtection} is the leader's part, {@link TakeoverCoordinator} the
 * follower's; {@link LeadershipPromises} explains why that is safe.
 */
public final class LeaderElection {
  private final EventLoop eventLoop;
  private final LeaderLease lease;
  private final LeaderProtection protection;
  private final TakeoverCoordinator takeover;

  /** Creates one controller's part in elections, and registers with its heartbeats and replica. */
  public LeaderElection(
      EventLoop eventLoop,
      Settings settings,
      PeerHeartbeats peers,
      StateClient state,
      Replica replica,
      LeaderLease lease) {
    this.eventLoop = eventLoop;
    this.lease = lease;
    UnilateralLeadership declaration = new UnilateralLeadership(eventLoop, state, replica, lease);
    LeadershipPromises promises = new LeadershipPromises(settings.peers().size() + 1);
    this.protection = new LeaderProtection(eventLoop, lease, promises, declaration);
    this.takeover =
        new TakeoverCoordinator(eventLoop, settings, peers, state, replica, lease, declaration);
    peers.addService("/member/", takeover::handleAgreementRequest);
    peers.addExtension(new PromiseExtension());
    replica.addListener(
        (key, value, revision) -> {
          if (key.equals(Keys.EPOCH) && takeover.isReady()) {
            takeover.followRecordedEpoch();
          }
        });
  }

  /**
   * Runs the checks and repeats them every {@link ElectionConstants#CHECK_INTERVAL_MS}; call once.
   */
  public void start() {
    eventLoop.after(ElectionConstants.CHECK_INTERVAL_MS, this::start);
    if (!takeover.isReady()) {
      takeover.beginIfReplicaLoaded();
      return;
    }
    takeover.followRecordedEpoch();
    if (lease.isLeading()) {
      protection.updateDeclaration(eventLoop.nowMs());
    } else {
      takeover.checkLeader(eventLoop.nowMs());
    }
  }

  /** Begins a term that this controller leads under {@code epoch}. */
  public void beginTerm(long epoch) {
    protection.beginTerm(epoch);
  }

  /**
   * True if, while the local lease is valid, no other controller can have taken over. Says nothing
   * once that has expired, since the vacancy may then be claimed. Only meaningful while leading.
   */
  public boolean excludesTakeover() {
    return protection.excludesTakeover();
  }

  /** Adds promises to this follower's answers, and records those that this leader receives. */
  private final class PromiseExtension implements HeartbeatExtension {
    @Override
    public PeerHeartbeat extendAnswer(PeerHeartbeat heartbeat, PeerHeartbeat answer) {
      return answer.withPromise(takeover.promiseOnHeartbeat(heartbeat));
    }

    @Override
    public void onAnswer(String member, PeerHeartbeat answer, long sentAtMs) {
      protection.recordAnswer(member, answer, sentAtMs);
    }
  }
}
