package fennelthread.simulation;

import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.net.Request;
import fennelthread.net.Service;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/** One process on a machine of its own; a restart is a new process under the same name. */
final class SimulatedProcess implements EventLoop {
  private static final com.sun.management.ThreadMXBean MEMORY =
      (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final SimulatedNetwork network;
  final String name;
  private final double drift;
  private final long born;
  private final List<String> addresses = new ArrayList<>();
  private final SplittableRandom own;
  private final Map<String, Service> services = new HashMap<>();
  boolean alive = true;
  private long pausedUntil;

  SimulatedProcess(SimulatedNetwork network, String name) {
    this.network = network;
    this.name = name;
    this.drift = network.random.nextDouble() * 0.0005;
    this.born = network.now() - network.random.nextInt(100_000);
    this.own = network.random.split();
  }

  void listen(String address, Service service) {
    addresses.add(address);
    network.byAddress.put(address, this);
    services.put(address, service);
  }

  void kill() {
    alive = false;
    addresses.forEach(a -> network.byAddress.remove(a, this));
  }

  /** Nothing happens in the process until then; its clocks go on. */
  void pause(long forMs) {
    pausedUntil = Math.max(pausedUntil, network.now() + forMs);
  }

  private void enter(String kind, Runnable task) {
    if (!alive) {
      return;
    }
    if (network.now() < pausedUntil) {
      network.at(pausedUntil, () -> enter(kind, task));
      return;
    }
    if (network.costs == null) {
      task.run();
      return;
    }
    long bytes = MEMORY.getCurrentThreadAllocatedBytes();
    long start = System.nanoTime();
    task.run();
    SimulatedNetwork.Cost cost =
        network.costs.computeIfAbsent(name + " " + kind, k -> new SimulatedNetwork.Cost());
    cost.events++;
    long took = System.nanoTime() - start;
    cost.nanos += took;
    cost.slowestNanos = Math.max(cost.slowestNanos, took);
    cost.bytes += MEMORY.getCurrentThreadAllocatedBytes() - bytes;
  }

  @Override
  public long nowMs() {
    return (long) ((network.now() - born) * (1 + drift));
  }

  @Override
  public long wallMs() {
    return 1_800_000_000_000L + network.now();
  }

  @Override
  public Cancellable after(long delayMs, Runnable task) {
    boolean[] off = new boolean[1];
    network.after(
        Math.max(0, delayMs),
        () ->
            enter(
                "timer",
                () -> {
                  if (!off[0]) {
                    task.run();
                  }
                }));
    return () -> off[0] = true;
  }

  @Override
  public RandomGenerator random() {
    return own;
  }

  @Override
  public void call(
      String address, Call call, long timeoutMs, Consumer<Answer> done, Unsent unsent) {
    if (network.trafficObserver != null) {
      network.trafficObserver.onRequest(network.now(), name, address, call);
    }
    network.requestFaults.sent(name, network.nameOf(address), call);
    if (failsToConnect(address, timeoutMs, unsent)) {
      return;
    }
    boolean[] over = new boolean[1];
    after(
        timeoutMs,
        () -> {
          if (!over[0]) {
            over[0] = true;
            done.accept(null);
          }
        });
    network.maybeCopy(call.path(), () -> network.deliver(name, address, call));
    long holdMs = network.requestFaults.holdMs(call.path());
    if (holdMs > 0) {
      deliverLate(address, call, holdMs);
      return;
    }
    send(address, call, over, done);
  }

  /** Draws whether a connection can be had; if not, reports the request as unsent later. */
  private boolean failsToConnect(String address, long timeoutMs, Unsent unsent) {
    if (network.requestFaults.blocksConnection(name, network.nameOf(address))) {
      long giveUpMs = network.faults.nextBoolean() ? 1 : timeoutMs;
      after(giveUpMs, () -> unsent.over(true));
      return true;
    }
    if (network.unavailableSocketShare > 0
        && network.nameOf(address).startsWith("n-")
        && network.connections.nextDouble() < network.unavailableSocketShare) {
      after(0, () -> unsent.over(false));
      return true;
    }
    if (network.connections.nextDouble() < network.loss) {
      // No socket was free, or the connection attempt was given up.
      boolean tried = network.connections.nextBoolean();
      after(timeoutMs, () -> unsent.over(tried));
      return true;
    }
    return false;
  }

  private void send(String address, Call call, boolean[] over, Consumer<Answer> done) {
    String to = network.nameOf(address);
    network.carryOrHoldMessage(
        call.path(),
        false,
        name,
        to,
        address,
        () -> {
          SimulatedProcess target = network.byAddress.get(address);
          if (target == null) {
            if (network.random.nextBoolean()) {
              // Refused; the other half of the time, a machine without power stays silent.
              enter("answer", () -> finish(over, done, null));
            }
            return;
          }
          target.serve(
              name,
              address,
              call,
              answer ->
                  network.carryOrHoldMessage(
                      call.path(),
                      true,
                      to,
                      name,
                      address,
                      () -> enter("answer", () -> finish(over, done, received(answer, call)))));
        });
  }

  /** Delivers a request to the process that listens there now, unanswered, if it still does. */
  private void deliverLate(String address, Call call, long holdMs) {
    SimulatedProcess target = network.byAddress.get(address);
    network.after(
        holdMs,
        () -> {
          if (target != null && network.byAddress.get(address) == target) {
            network.requestFaults.commandsDelivered++;
            target.serve(name, address, call, answer -> {});
          }
        });
  }

  void serve(String from, String address, Call call, Consumer<Answer> reply) {
    enter(
        call.path(),
        () -> {
          caller = from;
          services
              .get(address)
              .handle(
                  new Request(call.method(), call.path(), call.body()),
                  answer -> {
                    if (network.trafficObserver != null) {
                      network.trafficObserver.onAnswer(network.now(), from, address, call, answer);
                    }
                    reply.accept(answer);
                  });
        });
  }

  /** What lives on its heap, as a share; garbage is never made. */
  double liveHeapShare = 0.3;

  @Override
  public Heap heap() {
    return new Heap() {
      @Override
      public long usedBytes() {
        return (long) (liveHeapShare * mostBytes());
      }

      @Override
      public long mostBytes() {
        return 64 << 20;
      }

      @Override
      public void collect() {}
    };
  }

  /** Who sent the request that is being handled, for emulators that treat callers differently. */
  String caller = "";

  private static Answer received(Answer answer, Call call) {
    return answer == null
        ? null
        : new Answer(
            answer.status(),
            answer.body(),
            call.codec(),
            answer.retryAfterS(),
            answer.afterwards());
  }

  private static void finish(boolean[] over, Consumer<Answer> done, Answer answer) {
    if (!over[0]) {
      over[0] = true;
      done.accept(answer);
    }
  }
}
