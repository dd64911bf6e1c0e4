package fennelthread.simulation;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The catalogue of troubles that simulated days can meet. Each is a named function of the cluster,
 * a strength (a share, a factor or a count, as its comment says) and a length.
 */
final class Troubles {
  private static final int EVERY_FIFTH = 5;
  private static final long RESTART_EVERY_MS = 6_000;
  private static final long LEADER_RESTART_EVERY_MS = 5_000;
  private static final long AFTER_CLAIM_MS = 2_000;
  private static final long LOOK_EVERY_MS = 20;
  private static final int LOOKS_FOR_LEADER = 250;
  private static final double SLOW_FETCH_FACTOR = 5;

  /**
   * What begins a trouble. The leader is the one that leads when the trouble begins, or the next
   * one.
   */
  @FunctionalInterface
  interface Effect {
    void begin(SimulatedCluster cluster, double strength, long lengthMs);
  }

  /** The values that a parameter may take, and the one that it usually has. */
  record Range(double least, double usual, double most) {
    static final Range UNUSED = new Range(1, 1, 1);
  }

  /** A trouble with the ranges of its strength and of its length, ms. */
  record Trouble(String name, Range strength, Range lengthMs, Effect effect) {}

  private static final Map<String, Trouble> CATALOGUE = new LinkedHashMap<>();

  private Troubles() {}

  static List<Trouble> all() {
    return List.copyOf(CATALOGUE.values());
  }

  /** The trouble of that name; an unknown name is an error of the test. */
  static Trouble named(String name) {
    Trouble trouble = CATALOGUE.get(name);
    if (trouble == null) {
      throw new IllegalArgumentException("no such trouble: " + name);
    }
    return trouble;
  }

  private static void add(String name, Range strength, Range lengthMs, Effect effect) {
    CATALOGUE.put(name, new Trouble(name, strength, lengthMs, effect));
  }

  private static void add(String name, Range lengthMs, Effect effect) {
    add(name, Range.UNUSED, lengthMs, effect);
  }

  private static Range ms(double least, double usual, double most) {
    return new Range(least, usual, most);
  }

  static {
    addControllers();
    addLinks();
    addMachines();
    addStateService();
    addCommandsAndReports();
    addUsersAndCloud();
  }

  /** Controllers end, stand still or lose some of those that they talk to. */
  private static void addControllers() {
    add("leader crashes", ms(50, 4_000, 15_000), (c, s, ms) -> withLeader(c, m -> c.crash(m, ms)));
    add("all crash", ms(50, 4_000, 15_000), (c, s, ms) -> members(c).forEach(m -> c.crash(m, ms)));
    add("rolling restart", ms(50, 2_500, 5_000), Troubles::restartInTurn);
    add("leader after leader", ms(5_000, 20_000, 40_000), Troubles::leaderAfterLeader);
    add(
        "leader frozen",
        ms(500, 10_000, 25_000),
        (c, s, ms) -> withLeader(c, m -> c.processes.get(m).pause(ms)));
    add(
        "leader refused",
        ms(500, 15_000, 40_000),
        (c, s, ms) -> withLeader(c, m -> c.state.refuseCaller(m, ms)));
  }

  private static void addLinks() {
    Range cut = ms(500, 15_000, 40_000);
    add("leader cut: state", cut, (c, s, ms) -> withLeader(c, m -> c.world.cut(m, "state", ms)));
    add("leader cut: workers", cut, (c, s, ms) -> withLeader(c, m -> c.world.cut(m, "n-", ms)));
    add("leader cut: all", cut, (c, s, ms) -> withLeader(c, m -> cutFromAll(c, m, ms)));
    add(
        "leader partitioned",
        cut,
        (c, s, ms) -> withLeader(c, m -> c.isolateFromPeersAndState(m, ms)));
    add("peers cut", ms(500, 18_000, 40_000), (c, s, ms) -> c.cutPeerLinks(ms));
    add("leader's zone cut", cut, (c, s, ms) -> withLeader(c, m -> cutZone(c, m, ms)));
    add("another zone cut", cut, (c, s, ms) -> withFollowerElsewhere(c, m -> cutZone(c, m, ms)));
    add(
        "slow links",
        new Range(50, 400, 1_500),
        ms(1_000, 15_000, 30_000),
        Troubles::slowLinksAndFetches);
  }

  private static void addMachines() {
    add(
        "a fifth cut off",
        ms(500, 18_000, 30_000),
        (c, s, ms) -> fifth(c, w -> c.world.cut(w.name(), "nodo", ms)));
    add("a fifth dies", ms(0, 0, 0), (c, s, ms) -> fifth(c, w -> c.cloud.terminate(w, true)));
    add("a fifth hangs", ms(500, 8_000, 12_000), (c, s, ms) -> fifth(c, w -> w.hang(ms)));
    add("a fifth restarts", ms(50, 2_000, 12_000), (c, s, ms) -> fifth(c, w -> w.reboot(ms)));
    add(
        "a fifth hears nothing",
        ms(500, 18_000, 30_000),
        (c, s, ms) -> fifth(c, w -> c.world.cutOneWay("nodo", w.name(), ms)));
    add(
        "a fifth mute",
        ms(500, 18_000, 30_000),
        (c, s, ms) -> fifth(c, w -> c.blockRequests(w, ms)));
    add("a fifth noticed", ms(1_000, 4_000, 10_000), Troubles::noticeAndEnd);
  }

  private static void addStateService() {
    add("outage", ms(500, 12_000, 40_000), (c, s, ms) -> c.state.outage(ms));
    add(
        "writes late",
        new Range(0.05, 0.3, 0.6),
        ms(1_000, 15_000, 25_000),
        (c, s, ms) -> c.state.delayTransactions(s, ms));
    add(
        "answers lost",
        new Range(0.05, 0.3, 0.6),
        ms(1_000, 15_000, 25_000),
        (c, s, ms) -> c.state.loseAnswers(s, ms));
    add(
        "state slow",
        new Range(50, 800, 3_000),
        ms(1_000, 15_000, 25_000),
        (c, s, ms) -> c.state.delayAnswers((long) s, ms));
  }

  private static void addCommandsAndReports() {
    Range share = new Range(0.05, 0.3, 0.9);
    Range length = ms(1_000, 15_000, 25_000);
    add("reports copied", share, ms(1_000, 20_000, 25_000), Troubles::copyReports);
    add(
        "reports kept for the next leader",
        share,
        length,
        (c, s, ms) -> c.replayReportsToNextLeader(s, ms, 0));
    add(
        "reports kept until the next leader acted",
        share,
        length,
        (c, s, ms) -> c.replayReportsToNextLeader(s, ms, AFTER_CLAIM_MS));
    add("commands and answers held", new Range(0.05, 0.2, 0.6), length, Troubles::holdBothWays);
    add("commands held", share, length, (c, s, ms) -> c.holdCommands(s, ms));
  }

  private static void addUsersAndCloud() {
    add("cloud down", ms(1_000, 15_000, 40_000), (c, s, ms) -> c.cloud.outage(ms));
    add("quick boots", ms(5_000, 20_000, 40_000), (c, s, ms) -> c.cloud.bootQuickly(ms));
    add("burst", ms(1_000, 6_000, 12_000), Troubles::burst);
    add(
        "cancelled and machines hang",
        new Range(1, 4, 12),
        ms(500, 8_000, 12_000),
        (c, s, ms) -> c.cancelRunningJobs((int) s, ms));
    add(
        "cancelled at the end",
        new Range(0.1, 0.5, 1),
        ms(1_000, 15_000, 25_000),
        (c, s, ms) -> c.cancelAtCompletion(s, ms));
    add("close looks", ms(1_000, 15_000, 25_000), (c, s, ms) -> c.beginRepeatedQueries(ms));
    add("odd requests", ms(1_000, 15_000, 25_000), (c, s, ms) -> c.beginOddRequests(ms));
  }

  // ---------------------------------------------------------------- effects of several steps

  private static void restartInTurn(SimulatedCluster c, double strength, long downMs) {
    long after = 0;
    for (String member : members(c)) {
      c.world.after(after, () -> c.crash(member, downMs));
      after += RESTART_EVERY_MS;
    }
  }

  private static void leaderAfterLeader(SimulatedCluster c, double strength, long lengthMs) {
    for (long after = 0; after < lengthMs; after += LEADER_RESTART_EVERY_MS) {
      c.world.after(after, () -> withLeader(c, m -> c.crash(m, LEADER_RESTART_EVERY_MS / 2)));
    }
  }

  private static void cutFromAll(SimulatedCluster c, String member, long lengthMs) {
    c.world.cut(member, "n-", lengthMs);
    c.isolateFromPeersAndState(member, lengthMs);
  }

  private static void cutZone(SimulatedCluster c, String member, long lengthMs) {
    c.cutZoneWithControllers(c.zoneOf(member), lengthMs);
  }

  /** Messages to and from machines take {@code extraMs} longer, and images are slow to fetch. */
  private static void slowLinksAndFetches(SimulatedCluster c, double extraMs, long lengthMs) {
    c.world.slowLinks("n-", (long) extraMs, lengthMs);
    c.cloud.machines().values().forEach(w -> w.slowFetches(SLOW_FETCH_FACTOR, lengthMs));
  }

  /** The cloud takes a fifth of the machines back, with notice. */
  private static void noticeAndEnd(SimulatedCluster c, double strength, long noticeMs) {
    fifth(
        c,
        w -> {
          w.announceTermination(noticeMs);
          c.world.after(noticeMs, () -> c.cloud.terminate(w, false));
        });
  }

  private static void copyReports(SimulatedCluster c, double share, long lengthMs) {
    for (String path : List.of("/agent/beat", "/relay/report")) {
      c.world.copyRequests(
          new SimulatedNetwork.RequestCopies(path, share, 1_000, 30_000), lengthMs);
    }
  }

  private static void holdBothWays(SimulatedCluster c, double share, long lengthMs) {
    for (boolean answers : new boolean[] {false, true}) {
      c.world.holdMessages(
          new SimulatedNetwork.HeldMessages("/commands", answers, share, 2_000, 40_000), lengthMs);
    }
  }

  private static void burst(SimulatedCluster c, double strength, long lengthMs) {
    for (long after = 0; after < lengthMs; after += 100) {
      c.world.after(after, () -> c.submit(c.plainJob(false, 10)));
    }
  }

  // ---------------------------------------------------------------- whom a trouble meets

  /** Meets the leader, or the next one if nobody leads at the moment. */
  private static void withLeader(SimulatedCluster c, Consumer<String> effect) {
    withLeader(c, effect, LOOKS_FOR_LEADER);
  }

  private static void withLeader(SimulatedCluster c, Consumer<String> effect, int looks) {
    if (c.leader() != null) {
      effect.accept(c.leader());
    } else if (looks > 0) {
      c.world.after(LOOK_EVERY_MS, () -> withLeader(c, effect, looks - 1));
    }
  }

  /** A controller in another zone than the leader's. */
  private static void withFollowerElsewhere(SimulatedCluster c, Consumer<String> effect) {
    withLeader(
        c,
        leader ->
            members(c).stream()
                .filter(m -> !c.zoneOf(m).equals(c.zoneOf(leader)))
                .findFirst()
                .ifPresent(effect));
  }

  private static List<String> members(SimulatedCluster c) {
    return List.copyOf(c.controllers.keySet());
  }

  private static void fifth(SimulatedCluster c, Consumer<WorkerEmulator> effect) {
    List<WorkerEmulator> machines = List.copyOf(c.cloud.machines().values());
    for (int i = 0; i < machines.size(); i += EVERY_FIFTH) {
      effect.accept(machines.get(i));
    }
  }
}
