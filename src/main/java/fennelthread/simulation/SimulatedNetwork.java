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

/** Simulated time, processes and a network that delays, loses, holds back and delivers late. */
final class SimulatedNetwork {
  private static final com.sun.management.ThreadMXBean MEMORY =
      (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();

  private final EventQueue events = new EventQueue();
  private final Map<String, SimulatedProcess> byAddress = new HashMap<>();
  private final NetworkCuts cuts = new NetworkCuts(this);
  private final List<Held> holds = new ArrayList<>();

  /** What is copied at the moment. */
  final List<Copies> copies = new ArrayList<>();

  /** How many copies were delivered. */
  int copied;

  /** How many requests or answers were delivered late on purpose. */
  int deliveredLate;

  /** Observes the requests and answers of all processes. */
  interface TrafficObserver {
    /** A process sends a request, which may never arrive. */
    void onRequest(long nowMs, String from, String address, Call call);

    /** A process has answered a request; the answer may never arrive. */
    void onAnswer(long nowMs, String from, String address, Call call, Answer answer);
  }

  /** Told of all traffic; null if nobody observes it. */
  TrafficObserver trafficObserver;

  private final List<Runnable> afterEach = new ArrayList<>();
  final SplittableRandom random;
  private final SplittableRandom connections;

  /** Chance for troubles that few tests have: drawing here changes nothing for the others. */
  final SplittableRandom faults;

  /** Faults of single requests. */
  final RequestFaults requestFaults = new RequestFaults(this);

  /** Share of the packets that are lost. */
  double loss = 0.002;

  /** Share of the packets that arrive 3 to 63 s late. */
  double late = 0.001;

  /** Share of the requests of controllers to workers for which no socket is to be had. */
  double shortOfSockets;

  private long now;

  /** What handling one kind of event has cost in a process, in real time. */
  static final class Cost {
    long events;
    long nanos;
    long bytes;
    long slowestNanos;
  }

  /** Costs by process and kind of event, if they are to be measured; null otherwise. */
  Map<String, Cost> costs;

  SimulatedNetwork(long seed) {
    random = new SplittableRandom(seed);
    connections = new SplittableRandom(~seed);
    faults = new SplittableRandom(seed * 31 + 17);
  }

  /** Simulated time, ms. */
  long now() {
    return now;
  }

  /** Runs a task at that time, or at once if it has passed. */
  void at(long time, Runnable task) {
    events.add(Math.max(now, time), task);
  }

  /** Runs a task after so many milliseconds. */
  void after(long delay, Runnable task) {
    at(now + delay, task);
  }

  /** Called after each event: where the rules are checked. */
  void afterEach(Runnable check) {
    afterEach.add(check);
  }

  /** Runs all that happens until then. */
  void runUntil(long time) {
    while (events.nextMs() <= time) {
      now = events.nextMs();
      events.poll().run();
      afterEach.forEach(Runnable::run);
    }
    now = time;
  }

  /**
   * Requests that are delivered again later, their answers going nowhere.
   *
   * @param path what the paths of such requests begin with
   * @param share of those requests, each time anew: a copy may be copied again
   */
  record Copies(String path, double share, long leastMs, long mostMs) {}

  /**
   * Requests, or answers to them, that are held up and delivered when their senders have long given
   * up.
   *
   * @param path what the paths of such requests begin with
   * @param answers true if the requests arrive at once and their answers are held up
   * @param share of those requests
   */
  record Held(String path, boolean answers, double share, long leastMs, long mostMs) {}

  /** For so long requests are copied. */
  void copy(Copies what, long forMs) {
    copies.add(what);
    after(forMs, () -> copies.remove(what));
  }

  /** For so long requests or answers are held up. */
  void hold(Held what, long forMs) {
    holds.add(what);
    after(forMs, () -> holds.remove(what));
  }

  private void copyPerhaps(String path, Runnable deliver) {
    for (Copies c : copies) {
      if (path.startsWith(c.path) && connections.nextDouble() < c.share) {
        after(
            c.leastMs + connections.nextLong(c.mostMs - c.leastMs + 1),
            () -> {
              copied++;
              deliver.run();
              copyPerhaps(path, deliver);
            });
      }
    }
  }

  /**
   * Carries a packet of a request, or holds it up. What is held up belongs to a connection with the
   * process that is there now: a later one at the same address never gets it.
   */
  private void carryOrHold(
      String path, boolean answer, String from, String to, String address, Runnable deliver) {
    for (Held h : holds) {
      if (h.answers == answer && path.startsWith(h.path) && faults.nextDouble() < h.share) {
        SimulatedProcess now = byAddress.get(address);
        after(
            h.leastMs + faults.nextLong(h.mostMs - h.leastMs + 1),
            () -> {
              if (now != null && byAddress.get(address) == now) {
                deliveredLate++;
                deliver.run();
              }
            });
        return;
      }
    }
    carry(from, to, deliver);
  }

  /** Which packets a cut-off zone loses. */
  enum Way {
    BOTH,
    /** Only those from the zone to elsewhere. */
    OUT,
    /** Only those into it. */
    IN
  }

  /** Cuts the network between two groups of names, given by prefixes, both ways. */
  void cut(String a, String b, long forMs) {
    cuts.cut(a, b, forMs);
  }

  /** What one side says does not reach the other, for so long; what that one says does. */
  void cutOneWay(String from, String to, long forMs) {
    cuts.cutOneWay(from, to, forMs);
  }

  /** Says in which zone something is; what is in none is reached from all zones not cut off. */
  void place(String name, String zone) {
    cuts.place(name, zone);
  }

  /** Cuts a zone off from all that is not in it; inside it everything goes on. */
  void cutZone(String zone, long forMs) {
    cuts.cutZone(zone, forMs);
  }

  /** The same for one way, or for a share of what is in the zone: always the same ones. */
  void cutZone(String zone, long forMs, Way way, double share) {
    cuts.cutZone(zone, forMs, way, share);
  }

  /** Carries one packet; those on a cut link are mostly held back and delivered after it. */
  void carry(String from, String to, Runnable deliver) {
    String cut = cuts.between(from, to);
    if (cut != null) {
      if (random.nextDouble() < 0.7) {
        cuts.holdBack(cut, deliver);
      }
      return;
    }
    double chance = random.nextDouble();
    if (chance < loss) {
      return;
    }
    long delay = 1L + random.nextInt(4);
    if (chance > 1 - late) {
      delay = 3_000L + random.nextInt(60_000);
    }
    after(delay + requestFaults.extraMs(from, to), deliver);
  }

  /**
   * Requests from those to those get no connection; what the others ask them, and the answers to
   * it, pass.
   */
  void muteRequests(String fromPrefix, String toPrefix, long forMs) {
    requestFaults.mute(fromPrefix, toPrefix, forMs);
  }

  /** Messages to and from those take so much longer. */
  void slowLinks(String prefix, long extraMs, long forMs) {
    requestFaults.slowLinks(prefix, extraMs, forMs);
  }

  /**
   * Delivers a request now, its answer going nowhere.
   *
   * @return false if no process listens there
   */
  boolean deliver(String from, String address, Call call) {
    SimulatedProcess target = byAddress.get(address);
    if (target != null) {
      target.serve(from, address, call, answer -> {});
    }
    return target != null;
  }

  /** One process on a machine of its own; a restart is a new process under the same name. */
  final class SimulatedProcess implements EventLoop {
    final String name;
    private final double drift;
    private final long born;
    private final List<String> addresses = new ArrayList<>();
    private final SplittableRandom own;
    boolean alive = true;
    private long pausedUntil;

    SimulatedProcess(String name) {
      this.name = name;
      this.drift = random.nextDouble() * 0.0005;
      this.born = now - random.nextInt(100_000);
      this.own = random.split();
    }

    void listen(String address, Service service) {
      addresses.add(address);
      byAddress.put(address, this);
      services.put(address, service);
    }

    private final Map<String, Service> services = new HashMap<>();

    void kill() {
      alive = false;
      addresses.forEach(a -> byAddress.remove(a, this));
    }

    /** Nothing happens in the process until then; its clocks go on. */
    void pause(long forMs) {
      pausedUntil = Math.max(pausedUntil, now + forMs);
    }

    private void enter(String kind, Runnable task) {
      if (!alive) {
        return;
      }
      if (now < pausedUntil) {
        at(pausedUntil, () -> enter(kind, task));
        return;
      }
      if (costs == null) {
        task.run();
        return;
      }
      long bytes = MEMORY.getCurrentThreadAllocatedBytes();
      long start = System.nanoTime();
      task.run();
      Cost cost = costs.computeIfAbsent(name + " " + kind, k -> new Cost());
      cost.events++;
      long took = System.nanoTime() - start;
      cost.nanos += took;
      cost.slowestNanos = Math.max(cost.slowestNanos, took);
      cost.bytes += MEMORY.getCurrentThreadAllocatedBytes() - bytes;
    }

    @Override
    public long nowMs() {
      return (long) ((now - born) * (1 + drift));
    }

    @Override
    public long wallMs() {
      return 1_800_000_000_000L + now;
    }

    @Override
    public Cancellable after(long delayMs, Runnable task) {
      boolean[] off = new boolean[1];
      SimulatedNetwork.this.after(
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
      if (trafficObserver != null) {
        trafficObserver.onRequest(SimulatedNetwork.this.now, name, address, call);
      }
      requestFaults.sent(name, nameOf(address), call);
      if (requestFaults.takesConnection(name, nameOf(address))) {
        long giveUpMs = faults.nextBoolean() ? 1 : timeoutMs;
        after(giveUpMs, () -> unsent.over(true));
        return;
      }
      if (shortOfSockets > 0
          && nameOf(address).startsWith("n-")
          && connections.nextDouble() < shortOfSockets) {
        after(0, () -> unsent.over(false));
        return;
      }
      if (connections.nextDouble() < loss) {
        // No socket was free, or the connection attempt was given up.
        boolean tried = connections.nextBoolean();
        after(timeoutMs, () -> unsent.over(tried));
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
      String to = nameOf(address);
      copyPerhaps(call.path(), () -> deliver(name, address, call));
      long holdMs = requestFaults.holdMs(call.path());
      if (holdMs > 0) {
        deliverLate(address, call, holdMs);
        return;
      }
      carryOrHold(
          call.path(),
          false,
          name,
          to,
          address,
          () -> {
            SimulatedProcess target = byAddress.get(address);
            if (target == null) {
              if (random.nextBoolean()) {
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
                    carryOrHold(
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
      SimulatedProcess target = byAddress.get(address);
      SimulatedNetwork.this.after(
          holdMs,
          () -> {
            if (target != null && byAddress.get(address) == target) {
              requestFaults.commandsDelivered++;
              target.serve(name, address, call, answer -> {});
            }
          });
    }

    private void serve(String from, String address, Call call, Consumer<Answer> reply) {
      enter(
          call.path(),
          () -> {
            caller = from;
            services
                .get(address)
                .handle(
                    new Request(call.method(), call.path(), call.body()),
                    answer -> {
                      if (trafficObserver != null) {
                        trafficObserver.onAnswer(now, from, address, call, answer);
                      }
                      reply.accept(answer);
                    });
          });
    }

    /** What lives on its heap, as a share; garbage is never made. */
    double heapLive = 0.3;

    @Override
    public Heap heap() {
      return new Heap() {
        @Override
        public long usedBytes() {
          return (long) (heapLive * mostBytes());
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
  }

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

  private final Map<String, String> names = new HashMap<>();

  /** Gives an address its owner's name, for cuts; it stays when the process ends. */
  void name(String address, String owner) {
    names.put(address, owner);
  }

  private String nameOf(String address) {
    return names.getOrDefault(address, address);
  }
}
