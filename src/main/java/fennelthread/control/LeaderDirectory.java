package fennelthread.control;

import fennelthread.leader.LeaderLease;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.relay.KnownLeader;

/**
 * Determines which controller leads, from whichever of two sources has the higher epoch: the
 * leader's record in the replica, and the heartbeats of a peer whose claim the replica has not
 * reached yet. Used on the event loop's thread only.
 */
public final class LeaderDirectory {
  private final LeaderLease lease;
  private KnownLeader fromHeartbeats = new KnownLeader(null, 0);

  /** Creates a directory that has observed no heartbeat; {@code lease} reads the replica. */
  public LeaderDirectory(LeaderLease lease) {
    this.lease = lease;
  }

  /**
   * Records the heartbeat's sender as leader if it leads under the highest epoch of any leader's
   * heartbeat so far.
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
