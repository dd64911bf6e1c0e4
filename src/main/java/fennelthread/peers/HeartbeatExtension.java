package fennelthread.peers;

/**
 * A subsystem that adds to heartbeats and their answers, and handles what peers add. Called on the
 * event loop's thread, in the order in which extensions were added.
 */
public interface HeartbeatExtension {
  /** Returns a heartbeat that is about to be sent to a peer, with what this subsystem adds. */
  default PeerHeartbeat extendHeartbeat(String member, PeerHeartbeat heartbeat) {
    return heartbeat;
  }

  /**
   * Returns the answer to a heartbeat with what this subsystem adds. The heartbeat has been
   * recorded already.
   */
  PeerHeartbeat extendAnswer(PeerHeartbeat heartbeat, PeerHeartbeat answer);

  /** Handles a peer's answer to the heartbeat that was sent at {@code sentAtMs}. */
  void onAnswer(String member, PeerHeartbeat answer, long sentAtMs);
}
