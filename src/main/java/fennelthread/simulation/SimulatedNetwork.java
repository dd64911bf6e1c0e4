package fennelthread.simulation;

import fennelthread.net.Answer;
import fennelthread.net.Call;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Simulated time and a network with faults: it delays, loses, holds, copies and cuts off messages.
 * All events run on one thread, in the order of their simulated times.
 */
final class SimulatedNetwork {
  private final EventQueue events = new EventQueue();
  final Map<String, SimulatedProcess> byAddress = new HashMap<>();
  private final NetworkCuts cuts = new NetworkCuts(this);
  private final List<HeldMessages> holdRules = new ArrayList<>();

  /** The active rules for copying requests. */
  final List<RequestCopies> copyRules = new ArrayList<>();

  /** Number of copies delivered. */
  int copiesDelivered;

  /** Number of held requests and answers that were delivered after all. */
  int deliveredLate;

  /** Observes the requests and answers of all processes. */
  interface TrafficObserver {
    /** Called when a process sends a request, which may never arrive. */
    void onRequest(long nowMs, String from, String address, Call call);

    /** Called when a process answers a request; the answer may never arrive. */
    void onAnswer(long nowMs, String from, String address, Call call, Answer answer);
  }

  /** Observes all traffic; null if there is no observer. */
  TrafficObserver trafficObserver;

  private final List<Runnable> checksAfterEvents = new ArrayList<>();

  /** The main random generator. */
  final SplittableRandom random;

  /** Random generator for connection failures and copies of requests. */
  final SplittableRandom connections;

  /**
   * Random generator for faults that few tests use; it is separate, so that a draw for such a fault
   * does not change the other random choices of a run.
   */
  final SplittableRandom faults;

  /** Faults of single requests, by sender and recipient. */
  final RequestFaults requestFaults = new RequestFaults(this);

  /**
   * Share of the packets that are lost on links that are not cut, and share of the requests whose
   * connection fails.
   */
  double loss = 0.002;

  /** Share of the packets that arrive 3 to 63 s late. */
  double late = 0.001;

  /** Share of the requests to workers that fail because no socket is free. */
  double unavailableSocketShare;

  private long now;

  /** Accumulated cost of handling one kind of event in a process: real time, ns, and allocation. */
  static final class Cost {
    long events;
    long nanos;
    long bytes;
    long slowestNanos;
  }

  /** Costs by process and kind of event; null unless they are measured. */
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

  /** Schedules a task at a simulated time, ms, or now if that has passed. */
  void at(long timeMs, Runnable task) {
    events.add(Math.max(now, timeMs), task);
  }

  /** Schedules a task after a delay, ms. */
  void after(long delayMs, Runnable task) {
    at(now + delayMs, task);
  }

  /** Adds a check that runs after each event. */
  void afterEach(Runnable check) {
    checksAfterEvents.add(check);
  }

  /** Runs all events up to and including a simulated time, ms. */
  void runUntil(long timeMs) {
    while (events.nextMs() <= timeMs) {
      now = events.nextMs();
      events.poll().run();
      checksAfterEvents.forEach(Runnable::run);
    }
    now = timeMs;
  }

  /**
   * A rule for delivering requests again later; the answers to the copies are dropped.
   *
   * @param path prefix of the paths of these requests
   * @param share share of these requests that is copied; a copy may be copied again
   * @param leastMs shortest delay of a copy, ms
   * @param mostMs longest delay of a copy, ms
   */
  record RequestCopies(String path, double share, long leastMs, long mostMs) {}

  /**
   * A rule for holding requests or answers and delivering them late, even after their senders have
   * timed out.
   *
   * @param path prefix of the paths of these requests
   * @param answers true if answers are held, false if requests are
   * @param share share of these messages that is held
   * @param leastMs shortest delay, ms
   * @param mostMs longest delay, ms
   */
  record HeldMessages(String path, boolean answers, double share, long leastMs, long mostMs) {}

  /** Copies requests by this rule for {@code forMs}. */
  void copyRequests(RequestCopies rule, long forMs) {
    copyRules.add(rule);
    after(forMs, () -> copyRules.remove(rule));
  }

  /** Holds requests or answers by this rule for {@code forMs}. */
  void holdMessages(HeldMessages rule, long forMs) {
    holdRules.add(rule);
    after(forMs, () -> holdRules.remove(rule));
  }

  /**
   * Schedules copies of a request: one for each active rule whose path matches, with the
   * probability {@link RequestCopies#share}.
   */
  void maybeCopy(String path, Runnable deliver) {
    for (RequestCopies rule : copyRules) {
      if (path.startsWith(rule.path) && connections.nextDouble() < rule.share) {
        after(
            rule.leastMs + connections.nextLong(rule.mostMs - rule.leastMs + 1),
            () -> {
              copiesDelivered++;
              deliver.run();
              maybeCopy(path, deliver);
            });
      }
    }
  }

  /**
   * Carries a request or answer, or holds it. A held message belongs to a connection with the
   * process that listens at the address now; a later process at the same address never gets it.
   */
  void carryOrHoldMessage(
      String path, boolean isAnswer, String from, String to, String address, Runnable deliver) {
    for (HeldMessages rule : holdRules) {
      if (rule.answers == isAnswer
          && path.startsWith(rule.path)
          && faults.nextDouble() < rule.share) {
        SimulatedProcess listener = byAddress.get(address);
        after(
            rule.leastMs + faults.nextLong(rule.mostMs - rule.leastMs + 1),
            () -> {
              if (listener != null && byAddress.get(address) == listener) {
                deliveredLate++;
                deliver.run();
              }
            });
        return;
      }
    }
    carry(from, to, deliver);
  }

  /** The direction of the packets that a cut-off zone loses. */
  enum CutDirection {
    BOTH,
    /** Only packets that leave the zone. */
    OUT,
    /** Only packets that enter the zone. */
    IN
  }

  /** Cuts the links between two groups of names, given by prefixes, in both directions. */
  void cut(String prefixA, String prefixB, long forMs) {
    cuts.cut(prefixA, prefixB, forMs);
  }

  /**
   * Cuts the links from one group of names to another, given by prefixes, in that direction only.
   */
  void cutOneWay(String from, String to, long forMs) {
    cuts.cutOneWay(from, to, forMs);
  }

  /** Assigns a name to a zone; a name without a zone is outside every zone that is cut off. */
  void setZone(String name, String zone) {
    cuts.setZone(name, zone);
  }

  /** Cuts a zone off from everything outside it; links inside the zone stay up. */
  void cutZone(String zone, long forMs) {
    cuts.cutZone(zone, forMs);
  }

  /**
   * Cuts a zone off in the given direction, for a share of its names. A hash of the name selects
   * them, so that every cut with this share affects the same ones.
   */
  void cutZone(String zone, long forMs, CutDirection direction, double share) {
    cuts.cutZone(zone, forMs, direction, share);
  }

  /**
   * Carries one packet; on a cut link, 70 % are held until the cut ends and the others are lost.
   */
  void carry(String from, String to, Runnable deliver) {
    String cut = cuts.findCut(from, to);
    if (cut != null) {
      if (random.nextDouble() < 0.7) {
        cuts.holdPacket(cut, deliver);
      }
      return;
    }
    double draw = random.nextDouble();
    if (draw < loss) {
      return;
    }
    long delayMs = 1L + random.nextInt(4);
    if (draw > 1 - late) {
      delayMs = 3_000L + random.nextInt(60_000);
    }
    after(delayMs + requestFaults.extraMs(from, to), deliver);
  }

  /**
   * Blocks connections from one group of names to another, given by prefixes, for {@code forMs}.
   * Requests in the other direction and their answers pass.
   */
  void blockRequests(String fromPrefix, String toPrefix, long forMs) {
    requestFaults.blockRequests(fromPrefix, toPrefix, forMs);
  }

  /** Delays messages to and from names with this prefix by {@code extraMs} for {@code forMs}. */
  void slowLinks(String prefix, long extraMs, long forMs) {
    requestFaults.slowLinks(prefix, extraMs, forMs);
  }

  /**
   * Delivers a request now and drops its answer.
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

  /** Gives an address its owner's name, used for cuts; it remains after the process ends. */
  void name(String address, String owner) {
    names.put(address, owner);
  }

  /** The name of an address's owner, or the address itself if it has no name. */
  String nameOf(String address) {
    return names.getOrDefault(address, address);
  }
}
