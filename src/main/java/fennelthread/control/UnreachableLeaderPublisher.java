package fennelthread.control;

import fennelthread.constants.ControlConstants;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.relay.KnownLeader;
import fennelthread.relay.UnreachableLeaderNotice;

/**
 * Publishes, through the state service, that the leader's workers report to this follower. It does
 * so only while the leader is silent on the peer network; otherwise heartbeats tell the leader.
 * Used on the event loop's thread only.
 */
public final class UnreachableLeaderPublisher {
  private final String member;
  private final LeaderDirectory directory;
  private final KnownWorkers workers;
  private final PeerHeartbeats peers;
  private final UnreachableLeaderNotice notice;

  /**
   * Creates a publisher of one follower.
   *
   * @param member the name of this controller
   */
  public UnreachableLeaderPublisher(
      String member,
      LeaderDirectory directory,
      KnownWorkers workers,
      PeerHeartbeats peers,
      UnreachableLeaderNotice notice) {
    this.member = member;
    this.directory = directory;
    this.workers = workers;
    this.peers = peers;
    this.notice = notice;
  }

  /** Records that a worker under the current leader's epoch reported here, and publishes if due. */
  void recordWorkerOfLeader(String machine) {
    notice.recordWorkerReport(machine);
    publishIfDue();
  }

  /** Publishes if a peer leads and is silent on the peer network; otherwise clears the record. */
  void publishIfDue() {
    KnownLeader leader = directory.currentLeader();
    boolean peerLeads = leader.member() != null && !leader.member().equals(member);
    if (peerLeads && peers.silentMs(leader.member()) >= ControlConstants.LEADER_UNREACHABLE_MS) {
      notice.publishIfDue(leader.epoch(), workers.addressCount());
    } else {
      notice.forgetWorkers();
    }
  }
}
