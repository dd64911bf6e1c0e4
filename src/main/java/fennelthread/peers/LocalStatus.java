package fennelthread.peers;

import java.util.Map;

/** What this controller shares with its peers in heartbeats, and does with what they say. */
public interface LocalStatus {
  /** What this controller says of itself now. */
  HeartbeatSender sender();

  /**
   * The workers' addresses by worker that peers should have in case they have to lead; none while
   * another controller leads.
   */
  Map<String, String> workerAddresses();

  /** Handles a peer's heartbeat or answer after it was recorded. */
  void onHeartbeat(PeerHeartbeat heartbeat);
}
