package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.simulation.TroubledDay.Event;
import fennelthread.simulation.TroubledDay.Occurrence;
import fennelthread.simulation.TroubledDay.Outcome;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Two troubles of the catalogue, overlapping, around starts, completions and cancellations. Looked
 * at beside the invariants: whether every class of jobs is served, by at least half.
 */
class PairsTest {
  private static final int MACHINES = 200;
  private static final int MACHINES_OF_TABLE = 40;
  private static final long[] GAPS_MS = {0, 3_000, 10_000};
  private static final int SEEDS = 7;

  private static final Event[] EVENTS = {Event.START, Event.COMPLETION, Event.CANCELLATION};

  private record Pair(String first, String second, long gapMs, Event event, long seed) {
    Outcome play(int machines) {
      return TroubledDay.play(
          seed,
          machines,
          event,
          List.of(Occurrence.usual(first, 0), Occurrence.usual(second, gapMs)));
    }

    String playForTable() {
      try {
        Outcome outcome = play(MACHINES_OF_TABLE);
        return String.format("%.2f | %s: %s", outcome.least(), this, outcome);
      } catch (AssertionError | RuntimeException e) {
        return "0.00 | " + this + ": BROKEN " + e;
      }
    }
  }

  /**
   * Every ordered pair at each distance. Each trouble begins among starts, ends and cancellations;
   * what the first begins at exactly is one of the three in turn, so that over its distances a pair
   * has them all, or all three at each distance.
   */
  private static List<Pair> allPairs(boolean allEvents) {
    List<Pair> pairs = new ArrayList<>();
    List<String> names = Troubles.all().stream().map(Troubles.Trouble::name).toList();
    for (int i = 0; i < names.size() * names.size() * GAPS_MS.length; i++) {
      int gap = i % GAPS_MS.length;
      int second = i / GAPS_MS.length % names.size();
      int first = i / GAPS_MS.length / names.size();
      for (int e = 0; e < EVENTS.length; e++) {
        if (allEvents || e == (first + second + gap) % EVENTS.length) {
          pairs.add(
              new Pair(
                  names.get(first),
                  names.get(second),
                  GAPS_MS[gap],
                  EVENTS[e],
                  1 + pairs.size() % SEEDS));
        }
      }
    }
    return pairs;
  }

  /**
   * Every ordered pair at 0, 3 and 10 s: {@code mvn test -Dtest=PairsTest -Dsim.pairs=true}, with
   * {@code -Dsim.pairs=all} each around a start, a completion and a cancellation at each distance.
   * Prints for each pair the least share of a class that was served.
   */
  @Test
  @EnabledIfSystemProperty(named = "sim.pairs", matches = "true|all")
  void table() {
    List<Pair> pairs = allPairs("all".equals(System.getProperty("sim.pairs")));
    AtomicInteger played = new AtomicInteger();
    List<String> lines =
        pairs.parallelStream()
            .map(Pair::playForTable)
            .peek(line -> report(line, played.incrementAndGet(), pairs.size()))
            .sorted()
            .toList();
    lines.forEach(line -> System.out.println("PAIR " + line));
    List<String> broken = lines.stream().filter(line -> line.contains("BROKEN")).toList();
    System.out.printf("%d pairs, %d broke a rule%n", lines.size(), broken.size());
    assertEquals(List.of(), broken);
  }

  /** Long tables are looked at while they are played. */
  private static void report(String line, int played, int all) {
    if (line.contains("BROKEN") || played % 500 == 0) {
      System.out.printf("%d of %d: %s%n", played, all, line);
    }
  }

  /** Those that once lost a whole fleet, and the worst that are left. */
  @ParameterizedTest
  @CsvSource({
    "peers cut, leader cut: workers, 3000",
    "leader cut: workers, outage, 3000",
    "outage, leader cut: workers, 0",
    "leader cut: workers, leader refused, 3000",
    "leader refused, outage, 3000",
    "leader cut: state, outage, 3000",
    "leader frozen, outage, 3000"
  })
  void everyClassIsServed(String first, String second, long gapMs) {
    Outcome outcome = new Pair(first, second, gapMs, Event.CANCELLATION, 1).play(MACHINES);
    System.out.printf("%s, %s: %s%n", first, second, outcome);
    assertTrue(outcome.least() >= 0.5, outcome.toString());
  }

  /** The troubles of the operators' second page, on small days. */
  @ParameterizedTest
  @CsvSource({
    "reports kept for the next leader, leader crashes, 3000, START, 1",
    "reports kept until the next leader acted, leader crashes, 3000, COMPLETION, 2",
    "answers lost, close looks, 0, COMPLETION, 3",
    "answers lost, leader crashes, 3000, CANCELLATION, 4",
    "leader's zone cut, cancelled and machines hang, 3000, CANCELLATION, 5",
    "a fifth mute, leader crashes, 3000, START, 6",
    "commands held, leader crashes, 3000, START, 7",
    "quick boots, a fifth dies, 0, START, 8",
    "cancelled at the end, writes late, 0, COMPLETION, 9",
    "odd requests, outage, 0, CANCELLATION, 10",
    "slow links, burst, 0, START, 11",
    "state slow, leader frozen, 0, CANCELLATION, 12",
    "outage, leader after leader, 3000, CANCELLATION, 13"
  })
  void noRuleIsBroken(String first, String second, long gapMs, Event event, long seed) {
    Outcome outcome = new Pair(first, second, gapMs, event, seed).play(MACHINES_OF_TABLE);
    assertTrue(outcome.least() >= 0.5, outcome.toString());
  }
}
