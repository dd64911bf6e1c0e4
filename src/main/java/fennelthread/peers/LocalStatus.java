package fennelthread.peers;

import java.util.Map;

/** Supplies what this controller sends in heartbeats, and handles those of its peers. */
public interface LocalStatus {
  /** The current state of this controller. */
  HeartbeatSender sender();

  /**
   * The workers' addresses by name, which a peer needs if it becomes the leader; empty while
   * another controller leads.
   */
  Map<String, String> workerAddresses();

  /** Handles a peer's heartbeat or answer after it was recorded. */
  void onHeartbeat(PeerHeartbeat heartbeat);
}
