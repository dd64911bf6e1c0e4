package fennelthread.control;

import fennelthread.constants.ControlConstants;
import fennelthread.fleet.CloudClient;
import fennelthread.leader.LeaderLease;
import fennelthread.leader.MachineTypeCatalog;
import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.RequestPriority;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.MachineType;
import fennelthread.wire.WireException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The cloud's machine types, which every controller needs to validate submissions. They are fetched
 * from the cloud; the leader also stores them in the state service, for controllers that start
 * during a cloud outage. Used on the event loop's thread only.
 */
public final class MachineTypes implements MachineTypeCatalog {
  private static final Logger log = LoggerFactory.getLogger(MachineTypes.class);

  private final EventLoop eventLoop;
  private final CloudClient cloud;
  private final StateClient state;
  private final Replica replica;
  private final LeaderLease lease;
  private Map<String, MachineType> byName = new LinkedHashMap<>();
  private boolean fetching;

  /** Creates an empty catalog, which {@link #fetchFromCloud} and the replica fill. */
  public MachineTypes(
      EventLoop eventLoop,
      CloudClient cloud,
      StateClient state,
      Replica replica,
      LeaderLease lease) {
    this.eventLoop = eventLoop;
    this.cloud = cloud;
    this.state = state;
    this.replica = replica;
    this.lease = lease;
  }

  /** The types by name; empty until they are known. */
  @Override
  public Map<String, MachineType> byName() {
    return byName;
  }

  /**
   * Fetches the types from the cloud, and retries until it answers. Does nothing once the types are
   * known, or while a fetch is in flight.
   */
  public void fetchFromCloud() {
    if (fetching || !byName.isEmpty()) {
      return;
    }
    fetching = true;
    cloud.fetchMachineTypes(
        types -> {
          fetching = false;
          if (types.isPresent() && !types.get().isEmpty()) {
            replace(types.get());
          } else {
            eventLoop.after(ControlConstants.MACHINE_TYPES_RETRY_MS, this::fetchFromCloud);
          }
        });
  }

  /** Applies the types stored in the state service, unless types are known already. */
  public void onRecordChanged(String key, Fields value) {
    if (!key.equals(Keys.MACHINE_TYPES) || value == null || !byName.isEmpty()) {
      return;
    }
    try {
      replace(MachineType.readAll(value));
    } catch (WireException e) {
      log.error("record unreadable key={} reason={}", key, e.getMessage());
    }
  }

  private void replace(List<MachineType> types) {
    Map<String, MachineType> replacement = new LinkedHashMap<>();
    types.forEach(type -> replacement.put(type.name(), type));
    byName = replacement;
  }

  /**
   * Replaces the types by those that this controller, as leader, has fetched from the cloud, and
   * stores them without their prices if that differs from the stored value and is not too large.
   */
  @Override
  public void replaceAndStore(List<MachineType> types) {
    replace(types);
    Fields value = MachineType.writeAll(types.stream().map(MachineTypes::withoutPrices).toList());
    byte[] encoded = Codec.JSON.encode(value);
    if (encoded.length > state.limits().maxValueBytes()) {
      log.info(
          "machine types too large to store bytes={} limitBytes={}",
          encoded.length,
          state.limits().maxValueBytes());
      return;
    }
    Fields stored = replica.get(Keys.MACHINE_TYPES);
    if (stored != null && Arrays.equals(Codec.JSON.encode(stored), encoded)) {
      return;
    }
    Txn txn =
        new Txn()
            .requireRevision(Keys.EPOCH, lease.epochRevision())
            .write(Keys.MACHINE_TYPES, value);
    state.submitTxn(RequestPriority.MAINTENANCE, txn, result -> {});
  }

  /** Omits the prices, which change often: each change would cause another write. */
  private static MachineType withoutPrices(MachineType type) {
    return new MachineType(
        type.name(),
        type.cpus(),
        type.cards(),
        type.memGb(),
        type.cacheGb(),
        type.fetchGbPerS(),
        0,
        0,
        type.bootS(),
        type.zones());
  }
}
