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

/** The cloud as its protocol describes it: lists are late, some machines never come up. */
final class CloudEmulator implements Service {
  private final List<MachineType> machineTypes;
  private final SimulatedNetwork world;
  private final Consumer<WorkerEmulator> onWorker;
  private final WorkerEmulator.Environment surroundings;
  private final TreeMap<String, WorkerEmulator> machines = new TreeMap<>();
  private final Map<String, List<Object>> requests = new HashMap<>();
  private final Map<String, Integer> left = new HashMap<>();
  private final Map<String, Long> rentedAt = new HashMap<>();
  private final List<List<Object>> snapshots = new ArrayList<>();
  private final Set<String> exhausted = new HashSet<>();
  private boolean down;
  private int seq;

  CloudEmulator(
      SimulatedNetwork world,
      WorkerEmulator.Environment surroundings,
      Consumer<WorkerEmulator> onWorker,
      Deployment deployment) {
    this.world = world;
    this.surroundings = surroundings;
    this.onWorker = onWorker;
    List<String> zones = deployment.zones();
    this.machineTypes =
        List.of(
            new MachineType("mesa", 4, 0, 16, 20, 0.5, 0.3, 0.1, 6, zones),
            new MachineType("torre", 16, 1, 64, 40, 1, 1.5, 0.5, 9, zones));
    for (String zone : zones) {
      left.put("mesa" + zone + false, deployment.small());
      left.put("mesa" + zone + true, deployment.small() / 2);
      left.put("torre" + zone + false, deployment.big());
      left.put("torre" + zone + true, deployment.big() / 2);
    }
    bootMs =
        () -> {
          double chance = world.random.nextDouble();
          return chance < 0.05 ? -1 : chance < 0.2 ? 200 : 4_000 + world.random.nextInt(9_000);
        };
    listAgeSnapshots = () -> 2 + world.random.nextInt(5);
    snapshot();
  }

  /** How long the next machine takes to come up, ms; less than 0 if it never does. */
  LongSupplier bootMs;

  /** How many half seconds the next list is late. */
  IntSupplier listAgeSnapshots;

  /** How many machines were rented since the start of the day, by type. */
  final Map<String, Integer> rented = new HashMap<>();

  /** The machines that controllers have returned. */
  final List<String> returned = new ArrayList<>();

  private boolean bootsQuickly;

  /** Nothing more can be rented in a zone for so long. */
  void exhaustZone(String zone, long forMs) {
    exhausted.add(zone);
    world.after(forMs, () -> exhausted.remove(zone));
  }

  /** Machines rented meanwhile are up within 0.1 to 2 s; the list shows them late as ever. */
  void bootQuickly(long forMs) {
    bootsQuickly = true;
    world.after(forMs, () -> bootsQuickly = false);
  }

  private long nextBootMs() {
    return bootsQuickly ? 100 + world.faults.nextInt(1_901) : bootMs.getAsLong();
  }

  /** The machine types on offer. */
  List<MachineType> types() {
    return machineTypes;
  }

  void outage(long forMs) {
    down = true;
    world.after(forMs, () -> down = false);
  }

  /** The machines that are rented, by name; failed ones stay until they are returned. */
  NavigableMap<String, WorkerEmulator> machines() {
    return machines;
  }

  WorkerEmulator rent(String type, String zone, boolean spot, long bootMs) {
    String name = String.format("n-%06d", ++seq);
    MachineType machineType =
        machineTypes.stream().filter(f -> f.name().equals(type)).findFirst().orElseThrow();
    WorkerEmulator worker =
        new WorkerEmulator(
            world, surroundings, name, "10.1.0." + seq + ":9000", machineType, zone, spot);
    world.setZone(name, zone);
    machines.put(name, worker);
    rentedAt.put(name, world.now());
    onWorker.accept(worker);
    if (bootMs >= 0) {
      world.after(bootMs, worker::boot);
    }
    return worker;
  }

  /** A machine is taken back, or dies. */
  void terminate(WorkerEmulator worker, boolean failed) {
    worker.terminate(failed);
    if (!failed) {
      machines.remove(worker.name());
      left.merge(worker.machineType().name() + worker.zone() + worker.spot(), 1, Integer::sum);
    }
  }

  private void snapshot() {
    List<Object> list = new ArrayList<>();
    for (WorkerEmulator w : machines.values()) {
      list.add(
          Fields.create()
              .with("name_id", w.name())
              .with("address", w.address())
              .with("modelo", w.machineType().name())
              .with("zona", w.zone())
              .with("prestadas", w.spot())
              .with(
                  "estado",
                  w.isFailed() ? MachineEntry.FAILED : w.isUp() ? "running" : MachineEntry.STARTING)
              .with("held_s", (world.now() - rentedAt.get(w.name())) / 1000.0)
              .map());
    }
    snapshots.add(list);
    if (snapshots.size() > 60) {
      snapshots.remove(0);
    }
    world.after(500, this::snapshot);
  }

  @Override
  public void handle(Request request, Consumer<Answer> reply) {
    if (down) {
      reply.accept(Answer.error(503, "trouble"));
      return;
    }
    try {
      String path = request.path();
      if (path.equals("/flavors")) {
        reply.accept(Answer.of(200, Codec.CBOR, MachineType.writeAll(machineTypes)));
      } else if (path.startsWith("/hosts?")) {
        int age = listAgeSnapshots.getAsInt();
        List<Object> old = snapshots.get(Math.max(0, snapshots.size() - age));
        reply.accept(
            Answer.of(200, Codec.CBOR, Fields.create().with("equipos", old).with("more", false)));
      } else if (path.equals("/hosts/return")) {
        for (String name : Codec.CBOR.decode(request.body()).optTexts("equipos")) {
          WorkerEmulator w = machines.get(name);
          if (w != null) {
            returned.add(name);
            terminate(w, false);
          }
        }
        reply.accept(Answer.of(200, Codec.CBOR, Fields.create()));
      } else {
        order(Codec.CBOR.decode(request.body()), reply);
      }
    } catch (WireException e) {
      reply.accept(Answer.error(400, e.getMessage()));
    }
  }

  private void order(Fields body, Consumer<Answer> reply) throws WireException {
    String name = body.text("pedido");
    List<Object> known = requests.get(name);
    if (known == null) {
      String kind = body.text("modelo") + body.text("zona") + body.optFlag("prestadas");
      int available = exhausted.contains(body.text("zona")) ? 0 : left.getOrDefault(kind, 0);
      int many = (int) Math.min(body.count("how_many"), available);
      if (many == 0) {
        reply.accept(Answer.error(503, "no capacity"));
        return;
      }
      left.merge(kind, -many, Integer::sum);
      rented.merge(body.text("modelo"), many, Integer::sum);
      known = new ArrayList<>();
      for (int i = 0; i < many; i++) {
        known.add(
            rent(body.text("modelo"), body.text("zona"), body.optFlag("prestadas"), nextBootMs())
                .name());
      }
      requests.put(name, known);
    }
    reply.accept(Answer.of(200, Codec.CBOR, Fields.create().with("equipos", known)));
  }
}
