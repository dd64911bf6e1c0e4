package fennelthread.peers;

/**
 * A subsystem that adds fields to heartbeats and their answers, and handles those of peers. Called
 * on the event loop's thread, in the order in which extensions were added.
 */
public interface HeartbeatExtension {
  /** Returns a heartbeat that is about to be sent to a peer, with this subsystem's additions. */
  default PeerHeartbeat extendHeartbeat(String member, PeerHeartbeat heartbeat) {
    return heartbeat;
  }

  /**
   * Returns the answer to a heartbeat, with this subsystem's additions. Called after the heartbeat
   * was recorded.
   */
  PeerHeartbeat extendAnswer(PeerHeartbeat heartbeat, PeerHeartbeat answer);

  /**
   * Handles a peer's answer to a heartbeat; {@code sentAtMs} is when the heartbeat was sent, ms.
   */
  void onAnswer(String member, PeerHeartbeat answer, long sentAtMs);
}
