package fennelthread.simulation;

import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.MachineEntry;
import fennelthread.wire.MachineType;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/** Emulates the cloud: machine lists are stale, some machines never boot, capacity is limited. */
final class CloudEmulator implements Service {
  private final List<MachineType> machineTypes;
  private final SimulatedNetwork network;
  private final Consumer<WorkerEmulator> onMachineRented;
  private final WorkerEmulator.Environment environment;
  private final TreeMap<String, WorkerEmulator> machines = new TreeMap<>();
  private final Map<String, List<Object>> machinesByRequest = new HashMap<>();
  private final Map<String, Integer> capacityLeft = new HashMap<>();
  private final Map<String, Long> rentedAt = new HashMap<>();
  private final List<List<Object>> snapshots = new ArrayList<>();
  private final Set<String> exhaustedZones = new HashSet<>();
  private boolean isDown;
  private int lastMachineNumber;

  CloudEmulator(
      SimulatedNetwork network,
      WorkerEmulator.Environment environment,
      Consumer<WorkerEmulator> onMachineRented,
      Deployment deployment) {
    this.network = network;
    this.environment = environment;
    this.onMachineRented = onMachineRented;
    List<String> zones = deployment.zones();
    this.machineTypes =
        List.of(
            new MachineType("mesa", 4, 0, 16, 20, 0.5, 0.3, 0.1, 6, zones),
            new MachineType("torre", 16, 1, 64, 40, 1, 1.5, 0.5, 9, zones));
    for (String zone : zones) {
      capacityLeft.put("mesa" + zone + false, deployment.smallPerZone());
      capacityLeft.put("mesa" + zone + true, deployment.smallPerZone() / 2);
      capacityLeft.put("torre" + zone + false, deployment.largePerZone());
      capacityLeft.put("torre" + zone + true, deployment.largePerZone() / 2);
    }
    bootMs =
        () -> {
          double chance = network.random.nextDouble();
          return chance < 0.05 ? -1 : chance < 0.2 ? 200 : 4_000 + network.random.nextInt(9_000);
        };
    listAgeSnapshots = () -> 2 + network.random.nextInt(5);
    takeSnapshot();
  }

  /** Boot time of the next machine, ms; negative if it never boots. */
  LongSupplier bootMs;

  /**
   * Age of the next machine list in snapshots, which are taken every 500 ms; 1 means the latest,
   * and at most 60 are kept.
   */
  IntSupplier listAgeSnapshots;

  /** Number of machines rented through rent requests, by type. */
  final Map<String, Integer> rented = new HashMap<>();

  /** Names of the machines that controllers have returned. */
  final List<String> returned = new ArrayList<>();

  private boolean isBootingQuickly;

  /** Refuses rent requests in a zone for lack of capacity for {@code forMs}. */
  void exhaustZone(String zone, long forMs) {
    exhaustedZones.add(zone);
    network.after(forMs, () -> exhaustedZones.remove(zone));
  }

  /** For {@code forMs}, rented machines boot within 0.1 to 2 s; machine lists stay stale. */
  void bootQuickly(long forMs) {
    isBootingQuickly = true;
    network.after(forMs, () -> isBootingQuickly = false);
  }

  private long nextBootMs() {
    return isBootingQuickly ? 100 + network.faults.nextInt(1_901) : bootMs.getAsLong();
  }

  /** The machine types on offer. */
  List<MachineType> types() {
    return machineTypes;
  }

  /** Answers every request with status 503 for {@code forMs}. */
  void outage(long forMs) {
    isDown = true;
    network.after(forMs, () -> isDown = false);
  }

  /** The rented machines by name; failed ones stay until they are returned. */
  NavigableMap<String, WorkerEmulator> machines() {
    return machines;
  }

  /** Adds a machine that boots after {@code bootMs}, or never if that is negative. */
  WorkerEmulator rent(String type, String zone, boolean spot, long bootMs) {
    String name = String.format("n-%06d", ++lastMachineNumber);
    MachineType machineType =
        machineTypes.stream()
            .filter(offered -> offered.name().equals(type))
            .findFirst()
            .orElseThrow();
    WorkerEmulator worker =
        new WorkerEmulator(
            network,
            environment,
            name,
            "10.1.0." + lastMachineNumber + ":9000",
            machineType,
            zone,
            spot);
    network.setZone(name, zone);
    machines.put(name, worker);
    rentedAt.put(name, network.now());
    onMachineRented.accept(worker);
    if (bootMs >= 0) {
      network.after(bootMs, worker::boot);
    }
    return worker;
  }

  /**
   * Ends a machine. If it has {@code failed}, it stays listed as failed; otherwise it leaves the
   * list and can be rented again.
   */
  void terminate(WorkerEmulator worker, boolean failed) {
    worker.terminate(failed);
    if (!failed) {
      machines.remove(worker.name());
      capacityLeft.merge(
          worker.machineType().name() + worker.zone() + worker.spot(), 1, Integer::sum);
    }
  }

  private void takeSnapshot() {
    List<Object> list = new ArrayList<>();
    for (WorkerEmulator worker : machines.values()) {
      list.add(
          Fields.create()
              .with("name_id", worker.name())
              .with("address", worker.address())
              .with("modelo", worker.machineType().name())
              .with("zona", worker.zone())
              .with("prestadas", worker.spot())
              .with(
                  "estado",
                  worker.isFailed()
                      ? MachineEntry.FAILED
                      : worker.isUp() ? "running" : MachineEntry.STARTING)
              .with("held_s", (network.now() - rentedAt.get(worker.name())) / 1000.0)
              .map());
    }
    snapshots.add(list);
    if (snapshots.size() > 60) {
      snapshots.remove(0);
    }
    network.after(500, this::takeSnapshot);
  }

  @Override
  public void handle(Request request, Consumer<Answer> reply) {
    if (isDown) {
      reply.accept(Answer.error(503, "trouble"));
      return;
    }
    try {
      String path = request.path();
      if (path.equals("/flavors")) {
        reply.accept(Answer.of(200, Codec.CBOR, MachineType.writeAll(machineTypes)));
      } else if (path.startsWith("/hosts?")) {
        int age = listAgeSnapshots.getAsInt();
        List<Object> staleList = snapshots.get(Math.max(0, snapshots.size() - age));
        reply.accept(
            Answer.of(
                200, Codec.CBOR, Fields.create().with("equipos", staleList).with("more", false)));
      } else if (path.equals("/hosts/return")) {
        for (String name : Codec.CBOR.decode(request.body()).optTexts("equipos")) {
          WorkerEmulator worker = machines.get(name);
          if (worker != null) {
            returned.add(name);
            terminate(worker, false);
          }
        }
        reply.accept(Answer.of(200, Codec.CBOR, Fields.create()));
      } else {
        rentMachines(Codec.CBOR.decode(request.body()), reply);
      }
    } catch (WireException e) {
      reply.accept(Answer.error(400, e.getMessage()));
    }
  }

  private void rentMachines(Fields body, Consumer<Answer> reply) throws WireException {
    String requestId = body.text("pedido");
    List<Object> machineNames = machinesByRequest.get(requestId);
    if (machineNames == null) {
      String capacityKey = body.text("modelo") + body.text("zona") + body.optFlag("prestadas");
      int available =
          exhaustedZones.contains(body.text("zona"))
              ? 0
              : capacityLeft.getOrDefault(capacityKey, 0);
      int count = (int) Math.min(body.count("how_many"), available);
      if (count == 0) {
        reply.accept(Answer.error(503, "no capacity"));
        return;
      }
      capacityLeft.merge(capacityKey, -count, Integer::sum);
      rented.merge(body.text("modelo"), count, Integer::sum);
      machineNames = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        machineNames.add(
            rent(body.text("modelo"), body.text("zona"), body.optFlag("prestadas"), nextBootMs())
                .name());
      }
      machinesByRequest.put(requestId, machineNames);
    }
    reply.accept(Answer.of(200, Codec.CBOR, Fields.create().with("equipos", machineNames)));
  }
}
