package fennelthread.control;

import fennelthread.leader.Lease;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.relay.Leader;

/** Who leads: the state service says so, or a peer whose claim our copy has not reached yet. */
public final class LeaderDirectory {
  private final Lease lease;
  private Leader heard = new Leader(null, 0);

  /** Creates it before any heartbeat has come in. */
  public LeaderDirectory(Lease lease) {
    this.lease = lease;
  }

  /** Takes note of a peer's heartbeat. */
  public void heard(PeerHeartbeat heartbeat) {
    if (heartbeat.leading() && heartbeat.epoch() >= heard.epoch()) {
      heard = new Leader(heartbeat.member(), heartbeat.epoch());
    }
  }

  /** The leader of the highest epoch that is known to be claimed; its member may be null. */
  Leader leader() {
    return heard.epoch() > lease.recordedEpoch()
        ? heard
        : new Leader(lease.leaderMember(), lease.leaderEpoch());
  }
}
