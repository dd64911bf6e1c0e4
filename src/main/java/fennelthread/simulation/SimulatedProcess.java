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

/**
 * A simulated process with its own clocks, timers and random generator. A restart creates a new
 * process under the same name.
 */
final class SimulatedProcess implements EventLoop {
  private static final com.sun.management.ThreadMXBean THREADS =
      (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final SimulatedNetwork network;
  final String name;
  private final double drift;
  private final long clockOriginMs;
  private final List<String> addresses = new ArrayList<>();
  private final SplittableRandom random;
  private final Map<String, Service> services = new HashMap<>();
  boolean isAlive = true;
  private long pausedUntil;

  SimulatedProcess(SimulatedNetwork network, String name) {
    this.network = network;
    this.name = name;
    this.drift = network.random.nextDouble() * 0.0005;
    this.clockOriginMs = network.now() - network.random.nextInt(100_000);
    this.random = network.random.split();
  }

  void listen(String address, Service service) {
    addresses.add(address);
    network.byAddress.put(address, this);
    services.put(address, service);
  }

  void kill() {
    isAlive = false;
    addresses.forEach(a -> network.byAddress.remove(a, this));
  }

  /** Delays all events of the process for {@code forMs}; its clocks go on. */
  void pause(long forMs) {
    pausedUntil = Math.max(pausedUntil, network.now() + forMs);
  }

  private void runEvent(String kind, Runnable task) {
    if (!isAlive) {
      return;
    }
    if (network.now() < pausedUntil) {
      network.at(pausedUntil, () -> runEvent(kind, task));
      return;
    }
    if (network.costs == null) {
      task.run();
      return;
    }
    long bytes = THREADS.getCurrentThreadAllocatedBytes();
    long start = System.nanoTime();
    task.run();
    SimulatedNetwork.Cost cost =
        network.costs.computeIfAbsent(name + " " + kind, k -> new SimulatedNetwork.Cost());
    cost.events++;
    long durationNanos = System.nanoTime() - start;
    cost.nanos += durationNanos;
    cost.slowestNanos = Math.max(cost.slowestNanos, durationNanos);
    cost.bytes += THREADS.getCurrentThreadAllocatedBytes() - bytes;
  }

  @Override
  public long nowMs() {
    return (long) ((network.now() - clockOriginMs) * (1 + drift));
  }

  @Override
  public long wallMs() {
    return 1_800_000_000_000L + network.now();
  }

  @Override
  public Cancellable after(long delayMs, Runnable task) {
    boolean[] isCancelled = new boolean[1];
    network.after(
        Math.max(0, delayMs),
        () ->
            runEvent(
                "timer",
                () -> {
                  if (!isCancelled[0]) {
                    task.run();
                  }
                }));
    return () -> isCancelled[0] = true;
  }

  @Override
  public RandomGenerator random() {
    return random;
  }

  @Override
  public void call(
      String address, Call call, long timeoutMs, Consumer<Answer> done, Unsent unsent) {
    if (network.trafficObserver != null) {
      network.trafficObserver.onRequest(network.now(), name, address, call);
    }
    network.requestFaults.notifySent(name, network.nameOf(address), call);
    if (failsToConnect(address, timeoutMs, unsent)) {
      return;
    }
    boolean[] isOver = new boolean[1];
    after(
        timeoutMs,
        () -> {
          if (!isOver[0]) {
            isOver[0] = true;
            done.accept(null);
          }
        });
    network.maybeCopy(call.path(), () -> network.deliver(name, address, call));
    long holdMs = network.requestFaults.holdMs(call.path());
    if (holdMs > 0) {
      deliverLate(address, call, holdMs);
      return;
    }
    send(address, call, isOver, done);
  }

  /** Determines whether the connection fails; if so, schedules the report of an unsent request. */
  private boolean failsToConnect(String address, long timeoutMs, Unsent unsent) {
    if (network.requestFaults.blocksConnection(name, network.nameOf(address))) {
      long reportDelayMs = network.faults.nextBoolean() ? 1 : timeoutMs;
      after(reportDelayMs, () -> unsent.over(true));
      return true;
    }
    if (network.unavailableSocketShare > 0
        && network.nameOf(address).startsWith("n-")
        && network.connections.nextDouble() < network.unavailableSocketShare) {
      after(0, () -> unsent.over(false));
      return true;
    }
    if (network.connections.nextDouble() < network.loss) {
      // No socket was free, or the connection attempt timed out.
      boolean wasTried = network.connections.nextBoolean();
      after(timeoutMs, () -> unsent.over(wasTried));
      return true;
    }
    return false;
  }

  private void send(String address, Call call, boolean[] isOver, Consumer<Answer> done) {
    String recipient = network.nameOf(address);
    network.carryOrHoldMessage(
        call.path(),
        false,
        name,
        recipient,
        address,
        () -> {
          SimulatedProcess target = network.byAddress.get(address);
          if (target == null) {
            if (network.random.nextBoolean()) {
              // The connection is refused; in the other half of the cases the host does not answer
              // at all.
              runEvent("answer", () -> completeCall(isOver, done, null));
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
                      recipient,
                      name,
                      address,
                      () ->
                          runEvent(
                              "answer", () -> completeCall(isOver, done, received(answer, call)))));
        });
  }

  /** Delivers a request late and unanswered, if the same process still listens at the address. */
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
    runEvent(
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

  /** Live share of the heap; garbage is not simulated. */
  double liveHeapShare = 0.3;

  /** The size of the heap, bytes; the member's next process takes it over. */
  long heapBytes = 64 << 20;

  @Override
  public Heap heap() {
    return new Heap() {
      @Override
      public long usedBytes() {
        return (long) (liveHeapShare * mostBytes());
      }

      @Override
      public long mostBytes() {
        return heapBytes;
      }

      @Override
      public void collect() {}
    };
  }

  /** Name of the sender of the request being handled, for emulators that distinguish callers. */
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

  private static void completeCall(boolean[] isOver, Consumer<Answer> done, Answer answer) {
    if (!isOver[0]) {
      isOver[0] = true;
      done.accept(answer);
    }
  }
}
