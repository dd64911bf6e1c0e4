package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Storms in which the troubles of the operators' second page come one after another, several at
 * once, beside those of {@link RandomFaults}; in the end everything that was accepted is served.
 */
class TroubleStormTest {
  private static final long UNTIL_MS = 280_000;
  private static final long LONGEST_MS = 20_000;

  /** A trouble of so many milliseconds. */
  @FunctionalInterface
  private interface Trouble {
    void begin(SimulatedCluster c, long forMs);
  }

  private static final Map<String, Trouble> TROUBLES = new LinkedHashMap<>();

  static {
    TROUBLES.put("answers lost", (c, ms) -> c.state.loseAnswers(0.3, ms));
    TROUBLES.put("writes late", (c, ms) -> c.state.delayTransactions(0.2, ms));
    TROUBLES.put("state slow", (c, ms) -> c.state.delayAnswers(400, ms));
    TROUBLES.put("copies kept", (c, ms) -> c.replayReportsToNextLeader(0.3, ms, delay(c)));
    TROUBLES.put("machine mute", (c, ms) -> withMachine(c, w -> c.blockRequests(w, ms)));
    TROUBLES.put("commands held", (c, ms) -> c.holdCommands(0.3, ms));
    TROUBLES.put(
        "many cancelled", (c, ms) -> c.cancelRunningJobs(3, c.world.faults.nextInt(9_000)));
    TROUBLES.put("cancelled at end", (c, ms) -> c.cancelAtCompletion(0.5, ms));
    TROUBLES.put("close looks", (c, ms) -> c.beginRepeatedQueries(ms));
    TROUBLES.put("odd requests", (c, ms) -> c.beginOddRequests(ms));
    TROUBLES.put("quick boots", (c, ms) -> c.cloud.bootQuickly(ms));
    TROUBLES.put("zone cut", (c, ms) -> c.cutZoneWithControllers("sur", ms));
    TROUBLES.put("links slow", (c, ms) -> c.world.slowLinks("nodo-0", 250, ms));
    TROUBLES.put(
        "images slow", (c, ms) -> c.cloud.machines().values().forEach(w -> w.slowFetches(4, ms)));
  }

  private static long delay(SimulatedCluster c) {
    return c.world.faults.nextInt(3) * 1_500L;
  }

  private static void withMachine(SimulatedCluster c, Consumer<WorkerEmulator> trouble) {
    List<WorkerEmulator> all = List.copyOf(c.cloud.machines().values());
    if (!all.isEmpty()) {
      trouble.accept(all.get(c.world.faults.nextInt(all.size())));
    }
  }

  /** Begins troubles one after another, each once before any comes again. */
  private static void next(SimulatedCluster c, Deque<Trouble> drawn) {
    c.world.after(
        500 + c.world.faults.nextInt(5_000),
        () -> {
          if (c.world.now() < UNTIL_MS) {
            long forMs = 1_000 + c.world.faults.nextLong(LONGEST_MS - 1_000);
            draw(c, drawn).begin(c, forMs);
            next(c, drawn);
          }
        });
  }

  private static Trouble draw(SimulatedCluster c, Deque<Trouble> drawn) {
    if (drawn.isEmpty()) {
      List<Trouble> all = new ArrayList<>(TROUBLES.values());
      while (!all.isEmpty()) {
        drawn.add(all.remove(c.world.faults.nextInt(all.size())));
      }
    }
    return drawn.poll();
  }

  /** Plays the whole storm on a cluster. */
  static void play(SimulatedCluster c) {
    next(c, new ArrayDeque<>());
    c.addRandomUsersAndFaults(300_000);
    SimulationTest.settle(c);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void storm(long seed) {
    SimulatedCluster c = new SimulatedCluster(seed);
    play(c);
    System.out.printf(
        "seed %d: %d starts, %d after a user was told of the cancellation%n",
        seed, c.checker.starts, c.checker.startsAfterCancel);
    assertTrue(c.repeatedQueries.queriesSent > 0 && c.state.answersLost > 0);
  }

  /** More of it: {@code mvn test -Dtest=TroubleStormTest#soak -Dsim.from=100 -Dsim.to=140}. */
  @Test
  @EnabledIfSystemProperty(named = "sim.from", matches = "[0-9]+")
  void soak() {
    List<String> broken = new ArrayList<>();
    for (long seed = Long.getLong("sim.from"); seed <= Long.getLong("sim.to"); seed++) {
      try {
        storm(seed);
      } catch (AssertionError | RuntimeException e) {
        broken.add("seed " + seed + ": " + e);
      }
    }
    assertEquals(List.of(), broken);
  }
}
