package fennelthread.peers;

import fennelthread.constants.PeerConstants;
import fennelthread.settings.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The state of the heartbeats with one peer: its last heartbeat, when it was last heard from, and
 * which workers' addresses it has. Used on the event loop's thread only.
 */
final class PeerConnection {
  private final Settings.Peer peer;
  private final Map<String, String> acknowledgedAddresses = new HashMap<>();

  /** The incarnation of the peer that has {@link #acknowledgedAddresses}. */
  private String addressesIncarnation = "";

  private PeerHeartbeat latest;
  private long lastHeardAtMs = PeerConstants.NEVER_MS;
  private long epochSinceMs = Long.MAX_VALUE;
  private long lastUnansweredAtMs = PeerConstants.NEVER_MS;
  private boolean isHeartbeatInFlight;

  PeerConnection(Settings.Peer peer) {
    this.peer = peer;
  }

  String member() {
    return peer.member();
  }

  String address() {
    return peer.addr();
  }

  /** The last heartbeat of the peer, or answer to one; null if it was never heard from. */
  PeerHeartbeat latest() {
    return latest;
  }

  long lastHeardAtMs() {
    return lastHeardAtMs;
  }

  /**
   * The moment since which the peer acknowledges the epoch of {@link #latest}, ms. {@code
   * Long.MAX_VALUE} if it was never heard from, or if it has restarted with a lower epoch and has
   * not acknowledged a higher one since.
   */
  long epochSinceMs() {
    return epochSinceMs;
  }

  /** True if the peer was heard from within {@link PeerConstants#PEER_SILENT_MS}. */
  boolean wasRecentlyHeard(long nowMs) {
    return latest != null && nowMs - lastHeardAtMs < PeerConstants.PEER_SILENT_MS;
  }

  /** True if the peer relays, and was heard from after the last heartbeat that got no answer. */
  boolean canRelay(long nowMs) {
    return wasRecentlyHeard(nowMs)
        && latest.features().relaying()
        && lastHeardAtMs > lastUnansweredAtMs;
  }

  /**
   * True if the peer's version renews leases for a bounded time only, and the peer knows of {@code
   * unboundedEpoch} or a later epoch.
   */
  boolean boundsRenewals(long unboundedEpoch) {
    return latest != null && latest.renewal() != null && latest.epoch() >= unboundedEpoch;
  }

  /**
   * Records a heartbeat of the peer, or an answer to one.
   *
   * @return false if it is an outdated message that was delayed
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

  /** Marks a heartbeat as in flight; false if one is in flight already. */
  boolean tryStartHeartbeat() {
    if (isHeartbeatInFlight) {
      return false;
    }
    isHeartbeatInFlight = true;
    return true;
  }

  void onHeartbeatAnswered() {
    isHeartbeatInFlight = false;
  }

  void onHeartbeatUnanswered(long nowMs) {
    isHeartbeatInFlight = false;
    lastUnansweredAtMs = nowMs;
  }

  /**
   * Prepares the changes to the workers' addresses that the peer does not have, at most {@link
   * PeerConstants#ADDRESSES_PER_HEARTBEAT} of each kind. Sending all addresses of hundreds of
   * workers in each heartbeat would take tens of kilobytes a second, and too much processor time on
   * a small machine to encode and decode them. If there are no addresses, the update is empty, and
   * the next one with addresses has all of them again.
   */
  WorkerAddressUpdate prepareAddressUpdate(Map<String, String> currentAddresses) {
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

  /** Records that a process of the peer has received an update of the workers' addresses. */
  void acknowledgeAddresses(String incarnation, WorkerAddressUpdate update) {
    if (!incarnation.equals(addressesIncarnation)) {
      // A restarted peer has only the addresses of this update.
      addressesIncarnation = incarnation;
      acknowledgedAddresses.clear();
    }
    acknowledgedAddresses.putAll(update.changed());
    update.removed().forEach(acknowledgedAddresses::remove);
  }
}
