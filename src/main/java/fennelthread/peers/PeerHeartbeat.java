package fennelthread.peers;

import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A heartbeat between controllers, or the answer to one.
 *
 * @param sender the state of the sender
 * @param features what its version supports
 * @param promisedEpoch in an answer: the epoch whose leader is promised that the sender helps
 *     nobody take over, 0 for none
 * @param renewal about the renewal of leases; null from a version that never renews leases in place
 *     of a silent leader
 * @param addresses changes to the workers' addresses
 * @param memory about the sender's heap; null from a version that does not tell
 */
public record PeerHeartbeat(
    HeartbeatSender sender,
    PeerFeatures features,
    long promisedEpoch,
    RenewalStatus renewal,
    WorkerAddressUpdate addresses,
    MemoryStatus memory) {

  /** A heartbeat of this version without the parts that subsystems add. */
  public static PeerHeartbeat of(HeartbeatSender sender) {
    return new PeerHeartbeat(
        sender, PeerFeatures.current(), 0, null, WorkerAddressUpdate.none(), null);
  }

  /** The name of the controller that sends it. */
  public String member() {
    return sender.member();
  }

  /** Identifies the sender's process: a restart changes it. */
  public String incarnation() {
    return sender.incarnation();
  }

  /** The highest epoch that the sender knows of. */
  public long epoch() {
    return sender.epoch();
  }

  /** True if the sender leads its {@link #epoch}. */
  public boolean leading() {
    return sender.leading();
  }

  /** A copy with a promise to help nobody take over from the leader of {@code epoch}. */
  public PeerHeartbeat withPromise(long epoch) {
    return new PeerHeartbeat(sender, features, epoch, renewal, addresses, memory);
  }

  /** A copy with a status of the renewal of leases. */
  public PeerHeartbeat withRenewal(RenewalStatus status) {
    return new PeerHeartbeat(sender, features, promisedEpoch, status, addresses, memory);
  }

  PeerHeartbeat withAddresses(WorkerAddressUpdate update) {
    return new PeerHeartbeat(sender, features, promisedEpoch, renewal, update, memory);
  }

  /** A copy with a status of the sender's heap. */
  public PeerHeartbeat withMemory(MemoryStatus status) {
    return new PeerHeartbeat(sender, features, promisedEpoch, renewal, addresses, status);
  }

  Fields write() {
    Fields fields =
        Fields.create()
            .with("member", sender.member())
            .with("incarnation", sender.incarnation())
            .with("epoch", sender.epoch())
            .with("leading", sender.leading())
            .with("served_ago_ms", sender.servedAgoMs())
            .with("beats_heard", sender.reportingWorkers())
            .with("chains", features.dependencies())
            .with("relays", features.relaying())
            .with("deaf", sender.workersUnreachable())
            .with("promises", features.promises())
            .with("promised", promisedEpoch);
    if (renewal != null) {
      fields.with("keep", renewal.write());
    }
    if (memory != null) {
      fields.with("memory", memory.write());
    }
    return fields.with("workers", addresses.changed()).with("gone", addresses.removed());
  }

  static PeerHeartbeat read(Fields fields) throws WireException {
    Map<String, String> changedAddresses = readChangedAddresses(fields);
    HeartbeatSender sender =
        new HeartbeatSender(
            fields.text("member"),
            fields.text("incarnation"),
            fields.count("epoch"),
            fields.flag("leading"),
            fields.count("served_ago_ms"),
            fields.count("beats_heard"),
            fields.optFlag("deaf"));
    PeerFeatures features =
        new PeerFeatures(
            fields.optFlag("chains"), fields.optFlag("relays"), fields.optFlag("promises"));
    return new PeerHeartbeat(
        sender,
        features,
        fields.count("promised", 0),
        fields.has("keep") ? RenewalStatus.read(fields.inner("keep")) : null,
        new WorkerAddressUpdate(
            changedAddresses,
            fields.optTexts("gone") == null ? List.of() : fields.optTexts("gone")),
        fields.has("memory") ? MemoryStatus.read(fields.inner("memory")) : null);
  }

  private static Map<String, String> readChangedAddresses(Fields fields) throws WireException {
    Map<String, String> changed = new LinkedHashMap<>();
    if (fields.has("workers")) {
      for (Map.Entry<String, Object> entry : fields.inner("workers").map().entrySet()) {
        if (entry.getValue() instanceof String address) {
          changed.put(entry.getKey(), address);
        }
      }
    }
    return changed;
  }
}
