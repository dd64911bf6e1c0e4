package fennelthread.peers;

import java.util.List;
import java.util.Map;

/**
 * Changes to the workers' addresses that a leader sends to a peer, relative to those that the peer
 * has acknowledged. A large change is spread over several updates.
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
