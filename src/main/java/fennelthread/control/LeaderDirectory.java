package fennelthread.control;

import fennelthread.leader.LeaderLease;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.relay.KnownLeader;

/**
 * Determines which controller leads. There are two sources, and the one with the higher epoch
 * counts: the leader's record in the replica, and the heartbeats of a peer that leads, which may
 * arrive before the replica contains that peer's claim. Used on the event loop's thread only.
 */
public final class LeaderDirectory {
  private final LeaderLease lease;
  private KnownLeader fromHeartbeats = new KnownLeader(null, 0);

  /** Creates a directory that has observed no heartbeat; {@code lease} reads the replica. */
  public LeaderDirectory(LeaderLease lease) {
    this.lease = lease;
  }

  /**
   * Records the heartbeat's sender as leader if it leads, and no leader's heartbeat so far had a
   * higher epoch.
   */
  public void observeHeartbeat(PeerHeartbeat heartbeat) {
    if (heartbeat.leading() && heartbeat.epoch() >= fromHeartbeats.epoch()) {
      fromHeartbeats = new KnownLeader(heartbeat.member(), heartbeat.epoch());
    }
  }

  /** The leader of the highest epoch known; its member is null while nobody leads. */
  KnownLeader currentLeader() {
    return fromHeartbeats.epoch() > lease.recordedEpoch()
        ? fromHeartbeats
        : new KnownLeader(lease.leaderMember(), lease.leaderEpoch());
  }
}
