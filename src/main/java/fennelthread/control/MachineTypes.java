package fennelthread.control;

import fennelthread.constants.ControlConstants;
import fennelthread.fleet.Cloud;
import fennelthread.leader.Lease;
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
 * The machine types, which every controller must know to judge submissions. They are read from the
 * cloud; a leader keeps them in the state service for starts during an outage of the cloud.
 */
public final class MachineTypes {
  private static final Logger log = LoggerFactory.getLogger(MachineTypes.class);

  private final EventLoop eventLoop;
  private final Cloud cloud;
  private final StateClient state;
  private final Replica replica;
  private final Lease lease;
  private Map<String, MachineType> byName = new LinkedHashMap<>();
  private boolean reading;

  /** Creates it without any types. */
  public MachineTypes(
      EventLoop eventLoop, Cloud cloud, StateClient state, Replica replica, Lease lease) {
    this.eventLoop = eventLoop;
    this.cloud = cloud;
    this.state = state;
    this.replica = replica;
    this.lease = lease;
  }

  /** The types by name; empty while none are known. */
  public Map<String, MachineType> byName() {
    return byName;
  }

  /** Reads the types from the cloud, as often as it takes. */
  public void read() {
    if (reading || !byName.isEmpty()) {
      return;
    }
    reading = true;
    cloud.machineTypes(
        types -> {
          reading = false;
          if (types != null && !types.isEmpty()) {
            replace(types);
          } else {
            eventLoop.after(ControlConstants.MACHINE_TYPES_RETRY_MS, this::read);
          }
        });
  }

  /** Takes over the types that the state service holds, unless some are known already. */
  public void changed(String key, Fields value) {
    if (!key.equals(Keys.MACHINE_TYPES) || value == null || !byName.isEmpty()) {
      return;
    }
    try {
      replace(MachineType.readAll(value));
    } catch (WireException e) {
      log.error("unreadable {}: {}", key, e.getMessage());
    }
  }

  private void replace(List<MachineType> types) {
    Map<String, MachineType> map = new LinkedHashMap<>();
    types.forEach(type -> map.put(type.name(), type));
    byName = map;
  }

  /** Takes over what the leader has read from the cloud, and stores it if it has changed. */
  public void update(List<MachineType> types) {
    replace(types);
    Fields value = MachineType.writeAll(types.stream().map(MachineTypes::withoutPrices).toList());
    byte[] encoded = Codec.JSON.encode(value);
    if (encoded.length > state.limits().valueBytes()) {
      log.info("machine types need {} bytes and are not kept for an outage", encoded.length);
      return;
    }
    Fields stored = replica.get(Keys.MACHINE_TYPES);
    if (stored != null && Arrays.equals(Codec.JSON.encode(stored), encoded)) {
      return;
    }
    Txn txn = new Txn().when(Keys.EPOCH, lease.epochRevision()).write(Keys.MACHINE_TYPES, value);
    state.txn(RequestPriority.MAINTENANCE, txn, result -> {});
  }

  /** Prices move all the time; what is stored for starts need not follow them. */
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
