package fennelthread.simulation;

import fennelthread.net.Answer;
import fennelthread.net.Call;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** Simulated time, processes and a network that delays, loses, holds back and delivers late. */
final class SimulatedNetwork {
  private final EventQueue events = new EventQueue();
  final Map<String, SimulatedProcess> byAddress = new HashMap<>();
  private final NetworkCuts cuts = new NetworkCuts(this);
  private final List<HeldMessages> holds = new ArrayList<>();

  /** What is copied at the moment. */
  final List<RequestCopies> copies = new ArrayList<>();

  /** How many copies were delivered. */
  int copiesDelivered;

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
  final SplittableRandom connections;

  /** Chance for troubles that few tests have: drawing here changes nothing for the others. */
  final SplittableRandom faults;

  /** Faults of single requests. */
  final RequestFaults requestFaults = new RequestFaults(this);

  /** Share of the packets that are lost. */
  double loss = 0.002;

  /** Share of the packets that arrive 3 to 63 s late. */
  double late = 0.001;

  /** Share of the requests of controllers to workers for which no socket is to be had. */
  double unavailableSocketShare;

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
  record RequestCopies(String path, double share, long leastMs, long mostMs) {}

  /**
   * Requests, or answers to them, that are held up and delivered when their senders have long given
   * up.
   *
   * @param path what the paths of such requests begin with
   * @param answers true if the requests arrive at once and their answers are held up
   * @param share of those requests
   */
  record HeldMessages(String path, boolean answers, double share, long leastMs, long mostMs) {}

  /** For so long requests are copied. */
  void copyRequests(RequestCopies what, long forMs) {
    copies.add(what);
    after(forMs, () -> copies.remove(what));
  }

  /** For so long requests or answers are held up. */
  void holdMessages(HeldMessages what, long forMs) {
    holds.add(what);
    after(forMs, () -> holds.remove(what));
  }

  void maybeCopy(String path, Runnable deliver) {
    for (RequestCopies c : copies) {
      if (path.startsWith(c.path) && connections.nextDouble() < c.share) {
        after(
            c.leastMs + connections.nextLong(c.mostMs - c.leastMs + 1),
            () -> {
              copiesDelivered++;
              deliver.run();
              maybeCopy(path, deliver);
            });
      }
    }
  }

  /**
   * Carries a packet of a request, or holds it up. What is held up belongs to a connection with the
   * process that is there now: a later one at the same address never gets it.
   */
  void carryOrHoldMessage(
      String path, boolean answer, String from, String to, String address, Runnable deliver) {
    for (HeldMessages h : holds) {
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
  enum CutDirection {
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
  void setZone(String name, String zone) {
    cuts.setZone(name, zone);
  }

  /** Cuts a zone off from all that is not in it; inside it everything goes on. */
  void cutZone(String zone, long forMs) {
    cuts.cutZone(zone, forMs);
  }

  /** The same for one way, or for a share of what is in the zone: always the same ones. */
  void cutZone(String zone, long forMs, CutDirection way, double share) {
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
  void blockRequests(String fromPrefix, String toPrefix, long forMs) {
    requestFaults.blockRequests(fromPrefix, toPrefix, forMs);
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

  private final Map<String, String> names = new HashMap<>();

  /** Gives an address its owner's name, for cuts; it stays when the process ends. */
  void name(String address, String owner) {
    names.put(address, owner);
  }

  String nameOf(String address) {
    return names.getOrDefault(address, address);
  }
}
