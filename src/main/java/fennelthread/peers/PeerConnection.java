package fennelthread.peers;

import fennelthread.constants.PeerConstants;
import fennelthread.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state of the exchange with one peer: what it last said, when it was last heard from, and
 * which workers' addresses it has. Used on the event loop's thread only.
 */
final class PeerConnection {
  private final Settings.Peer peer;
  private final Map<String, String> acknowledgedAddresses = new HashMap<>();
  private String acknowledgingIncarnation = "";
  private PeerHeartbeat latest;
  private long lastHeardAtMs = PeerConstants.NEVER_MS;
  private long epochSinceMs = Long.MAX_VALUE;
  private long lastUnansweredAtMs = PeerConstants.NEVER_MS;
  private boolean heartbeatOutstanding;

  PeerConnection(Settings.Peer peer) {
    this.peer = peer;
  }

  String member() {
    return peer.member();
  }

  String address() {
    return peer.addr();
  }

  /** What the peer said last, in a heartbeat or an answer; null if it was never heard from. */
  PeerHeartbeat latest() {
    return latest;
  }

  long lastHeardAtMs() {
    return lastHeardAtMs;
  }

  /** The moment since which the peer acknowledges the epoch of {@link #latest}, ms. */
  long epochSinceMs() {
    return epochSinceMs;
  }

  /** True if the peer was heard from lately. */
  boolean isHeard(long nowMs) {
    return latest != null && nowMs - lastHeardAtMs < PeerConstants.PEER_SILENT_MS;
  }

  /** True if the peer relays, and answered or was heard from since a heartbeat was unanswered. */
  boolean canRelay(long nowMs) {
    return isHeard(nowMs) && latest.features().relaying() && lastHeardAtMs > lastUnansweredAtMs;
  }

  /** True if the peer bounds its renewals, and knows of an epoch no older than this one. */
  boolean boundsRenewals(long unboundedEpoch) {
    return latest != null && latest.renewal() != null && latest.epoch() >= unboundedEpoch;
  }

  /**
   * Records what the peer says.
   *
   * @return false if it is outdated, a message that was delayed
   */
  boolean record(PeerHeartbeat heartbeat, long nowMs) {
    if (latest == null || heartbeat.epoch() > latest.epoch()) {
      epochSinceMs = nowMs;
    } else if (heartbeat.epoch() < latest.epoch()) {
      if (heartbeat.incarnation().equals(latest.incarnation())) {
        return false;
      }
      epochSinceMs = Long.MAX_VALUE;
    }
    latest = heartbeat;
    lastHeardAtMs = nowMs;
    return true;
  }

  // ---------------------------------------------------------------- sending

  /** Starts a heartbeat unless one is under way, which the return value says. */
  boolean tryStartHeartbeat() {
    if (heartbeatOutstanding) {
      return false;
    }
    heartbeatOutstanding = true;
    return true;
  }

  void onHeartbeatAnswered() {
    heartbeatOutstanding = false;
  }

  void onHeartbeatUnanswered(long nowMs) {
    heartbeatOutstanding = false;
    lastUnansweredAtMs = nowMs;
  }

  /**
   * The changes to the workers' addresses that the peer does not have. All addresses of hundreds of
   * workers in each heartbeat would be tens of kilobytes a second, to be encoded and decoded on a
   * small processor.
   */
  WorkerAddressUpdate addressUpdate(Map<String, String> currentAddresses) {
    if (currentAddresses.isEmpty()) {
      acknowledgedAddresses.clear();
      return WorkerAddressUpdate.none();
    }
    Map<String, String> changed = new LinkedHashMap<>();
    for (Map.Entry<String, String> entry : currentAddresses.entrySet()) {
      if (changed.size() >= PeerConstants.ADDRESSES_PER_HEARTBEAT) {
        break;
      }
      if (!entry.getValue().equals(acknowledgedAddresses.get(entry.getKey()))) {
        changed.put(entry.getKey(), entry.getValue());
      }
    }
    List<String> removed = new ArrayList<>();
    for (String worker : acknowledgedAddresses.keySet()) {
      if (!currentAddresses.containsKey(worker)
          && removed.size() < PeerConstants.ADDRESSES_PER_HEARTBEAT) {
        removed.add(worker);
      }
    }
    return new WorkerAddressUpdate(changed, removed);
  }

  /** Records that this process of the peer has received an update of the workers' addresses. */
  void acknowledgeAddresses(String incarnation, WorkerAddressUpdate update) {
    if (!incarnation.equals(acknowledgingIncarnation)) {
      // A new process has no addresses but those of this update.
      acknowledgingIncarnation = incarnation;
      acknowledgedAddresses.clear();
    }
    acknowledgedAddresses.putAll(update.changed());
    update.removed().forEach(acknowledgedAddresses::remove);
  }
}
