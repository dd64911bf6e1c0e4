package fennelthread.peers;

import java.util.List;
import java.util.Map;

/**
 * The changes to the workers' addresses that a leader shares with a peer, since the last heartbeat
 * that the peer has answered.
 *
 * @param changed new and changed addresses by worker
 * @param removed workers that have no address any more
 */
public record WorkerAddressUpdate(Map<String, String> changed, List<String> removed) {
  /** An update without changes. */
  static WorkerAddressUpdate none() {
    return new WorkerAddressUpdate(Map.of(), List.of());
  }
}
