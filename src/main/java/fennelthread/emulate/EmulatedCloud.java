package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.emulate.EmulationConfig.FleetPart;
import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.MachineEntry;
import fennelthread.wire.MachineType;
import fennelthread.wire.WireException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * The cloud as its protocol describes it, over real sockets: it rents machines while there are any,
 * its list is late, and a machine that dies is listed as running for a while. Runs on its loop's
 * thread.
 */
final class EmulatedCloud implements Service {
  private static final String RUNNING = "running";

  /** Where machines really run. */
  interface MachineHost {
    /** Sets a machine up; its worker begins to report. */
    void boot(MachineId machine);

    /** Ends a machine with all that is on it, and then tells so. */
    void end(String machine, Runnable gone);
  }

  /** What a worker says of itself. */
  record MachineId(
      String name, int number, String address, MachineType type, String zone, boolean spot) {}

  private static final class Machine {
    final MachineId id;
    final long rentedAtMs = SelectorLoop.nowMs();
    String state = MachineEntry.STARTING;
    boolean up;

    Machine(MachineId id) {
      this.id = id;
    }
  }

  private record Snapshot(long atMs, List<Object> entries) {}

  private final SelectorLoop loop;
  private final EmulationConfig config;
  private final Addresses addresses;
  private final MachineHost host;
  private final TokenBucket budget;
  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<Object>> rentals = new HashMap<>();
  private final ArrayDeque<Snapshot> snapshots = new ArrayDeque<>();
  private int lastNumber;
  private int spare;
  private boolean out;

  /** Machines that controllers have rented so far. */
  final AtomicInteger rented = new AtomicInteger();

  /** Machines that controllers have returned so far. */
  final AtomicInteger returned = new AtomicInteger();

  /** Machines that are up. */
  final AtomicInteger running = new AtomicInteger();

  EmulatedCloud(SelectorLoop loop, EmulationConfig config, Addresses addresses, MachineHost host) {
    this.loop = loop;
    this.config = config;
    this.addresses = addresses;
    this.host = host;
    this.spare = config.spareMachines();
    double rps = config.cloud().rps();
    this.budget = new TokenBucket(rps, 2 * rps);
  }

  /** Sets the first machines going, spread over the boot time; on the loop's thread. */
  void start() {
    loop.every(EmulationConstants.LIST_SNAPSHOT_INTERVAL_MS, this::takeSnapshot);
    double shares = config.machineTypes().stream().mapToDouble(FleetPart::share).sum();
    double target = 0;
    int made = 0;
    for (FleetPart part : config.machineTypes()) {
      target += config.workers() * part.share() / shares;
      for (int ofType = 0; made < Math.round(target); made++, ofType++) {
        boolean spot = (int) (ofType * part.spotShare()) < (int) ((ofType + 1) * part.spotShare());
        String zone = config.zones().get(made % config.zones().size());
        make(part.type(), zone, spot, config.bootMs() * made / config.workers());
      }
    }
    takeSnapshot();
  }

  private String make(MachineType type, String zone, boolean spot, long bootMs) {
    int number = lastNumber++;
    String name = String.format("n-%06d", number + 1);
    MachineId id = new MachineId(name, number, addresses.machine(number), type, zone, spot);
    Machine machine = new Machine(id);
    machines.put(name, machine);
    loop.after(
        bootMs,
        () -> {
          if (machines.get(name) == machine) {
            machine.state = RUNNING;
            machine.up = true;
            running.incrementAndGet();
            host.boot(id);
          }
        });
    return name;
  }

  /** Refuses everybody for so long. */
  void outage(long forMs) {
    out = true;
    loop.after(forMs, () -> out = false);
  }

  /** Machines have died by themselves; they go on being listed as running for a while. */
  void died(List<String> names) {
    for (String name : names) {
      Machine machine = machines.get(name);
      if (machine != null && machine.up) {
        machine.up = false;
        running.decrementAndGet();
        loop.after(
            EmulationConstants.FAILURE_LISTING_DELAY_MS, () -> machine.state = MachineEntry.FAILED);
      }
    }
  }

  private void takeSnapshot() {
    long now = SelectorLoop.nowMs();
    List<Object> entries = new ArrayList<>(machines.size());
    for (Machine machine : machines.values()) {
      entries.add(
          Fields.create()
              .with("name_id", machine.id.name)
              .with("address", machine.id.address)
              .with("modelo", machine.id.type.name())
              .with("zona", machine.id.zone)
              .with("prestadas", machine.id.spot)
              .with("estado", machine.state)
              .with("held_s", (now - machine.rentedAtMs) / 1000.0)
              .map());
    }
    snapshots.add(new Snapshot(now, entries));
    while (snapshots.size() > 2 && snapshots.peek().atMs < now - 2 * config.cloud().listLagMs()) {
      snapshots.poll();
    }
  }

  @Override
  public void handle(Request request, Consumer<Answer> reply) {
    if (out) {
      reply.accept(Answer.error(503, "trouble"));
      return;
    }
    if (!budget.take(1)) {
      reply.accept(Answer.error(429, "too many requests"));
      return;
    }
    try {
      String path = request.path();
      if (path.equals("/flavors")) {
        List<MachineType> types = config.machineTypes().stream().map(FleetPart::type).toList();
        reply.accept(Answer.of(200, Codec.CBOR, MachineType.writeAll(types)));
      } else if (path.equals("/hosts/return")) {
        giveBack(Codec.CBOR.decode(request.body()).optTexts("equipos"), reply);
      } else if (path.startsWith("/hosts?")) {
        reply.accept(list(path));
      } else {
        reply.accept(rent(Codec.CBOR.decode(request.body())));
      }
    } catch (WireException e) {
      reply.accept(Answer.error(400, e.getMessage()));
    }
  }

  private Answer list(String path) throws WireException {
    String since = "";
    for (String part : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      if (part.startsWith("since=")) {
        since = part.substring("since=".length());
      }
    }
    long wanted = SelectorLoop.nowMs() - config.cloud().listLagMs();
    Snapshot shown = snapshots.peek();
    for (Snapshot snapshot : snapshots) {
      if (snapshot.atMs <= wanted) {
        shown = snapshot;
      }
    }
    List<Object> page = new ArrayList<>();
    boolean more = false;
    for (Object entry : shown.entries) {
      String name = (String) ((Map<?, ?>) entry).get("name_id");
      if (name.compareTo(since) > 0) {
        if (page.size() == EmulationConstants.MAX_MACHINES_PER_PAGE) {
          more = true;
          break;
        }
        page.add(entry);
      }
    }
    return Answer.of(200, Codec.CBOR, Fields.create().with("equipos", page).with("more", more));
  }

  private Answer rent(Fields body) throws WireException {
    String name = body.text("pedido");
    List<Object> known = rentals.get(name);
    if (known == null) {
      int count = (int) Math.min(body.count("how_many"), spare);
      FleetPart part = null;
      for (FleetPart p : config.machineTypes()) {
        part = p.type().name().equals(body.text("modelo")) ? p : part;
      }
      if (count == 0 || part == null || !config.zones().contains(body.text("zona"))) {
        return Answer.error(503, "no capacity");
      }
      known = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        known.add(make(part.type(), body.text("zona"), body.optFlag("prestadas"), part.bootMs()));
      }
      spare -= count;
      rented.addAndGet(count);
      rentals.put(name, known);
    }
    return Answer.of(200, Codec.CBOR, Fields.create().with("equipos", known));
  }

  private void giveBack(List<String> names, Consumer<Answer> reply) {
    List<String> known = names.stream().filter(machines::containsKey).toList();
    int[] left = {known.size()};
    Runnable done = () -> reply.accept(Answer.of(200, Codec.CBOR, Fields.create()));
    if (known.isEmpty()) {
      done.run();
      return;
    }
    for (String name : known) {
      Machine machine = machines.remove(name);
      running.addAndGet(-(machine.up ? 1 : 0));
      spare++;
      returned.incrementAndGet();
      host.end(
          name,
          () ->
              loop.execute(
                  () -> {
                    if (--left[0] == 0) {
                      done.run();
                    }
                  }));
    }
  }
}
