package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import fennelthread.simulation.TripleCase.Failure;
import fennelthread.simulation.TroubledDay.Event;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A seeded random search over three troubles around one event. A failing case is shortened to the
 * least that still breaks the same rule, and printed as a row of {@link #replay}.
 */
class TripleSearchTest {
  private static final int MOST_SHORTENED = 12;
  private static final int MOST_REPLAYS = 120;
  private static final int PROGRESS_EVERY = 200;

  private record Found(TripleCase first, TripleCase least, Failure failure) {
    String line() {
      return String.format(
          "TRIPLE seed %d broke %s: %s%n  paste into replay: %s",
          first.seed(), failure.rule(), failure.message(), least.row());
    }
  }

  /** Cases that once broke a rule, or did so with a guard taken out, shortened. */
  @ParameterizedTest
  @CsvSource({
    "126, COMPLETION, 'writes late at 0 for 1000 by 0.5'",
    "143, CANCELLATION, 'writes late at 0 for 3000 by 0.4'",
    "19, CLAIM, 'commands and answers held at 0 for 12000 by 0.58; leader crashes at 440 for 2130 by 1.0'",
    "107, LEADER_END, 'leader cut: workers at 700 for 800 by 1.0'",
    "39, LEADER_END, 'burst at 0 for 1600 by 1.0'",
    "1020, CLAIM, 'commands held at -1000 for 1000 by 0.8'",
    "1025, CANCELLATION, 'all crash at 0 for 1050 by 1.0'",
    "535, CANCELLATION, 'a fifth restarts at 0 for 70 by 1.0; cloud down at 0 for 10000 by 1.0; a fifth hears nothing at 0 for 10000 by 1.0'",
    "11, CANCELLATION, 'a fifth restarts at 0 for 2000 by 1.0; cloud down at 0 for 20000 by 1.0; a fifth hears nothing at 2300 for 8000 by 1.0'",
    "1517, COMPLETION, 'leader refused at 0 for 500 by 1.0; leader cut: state at -9 for 3000 by 1.0; another zone cut at 80 for 33000 by 1.0'"
  })
  void replay(long seed, Event event, String troubles) {
    assertNull(TripleCase.read(seed, event, troubles).play());
  }

  /** A row is the whole case. */
  @Test
  void rowsAreReadAsTheyWereWritten() {
    for (long seed = 1; seed <= 200; seed++) {
      TripleCase drawn = TripleCase.draw(seed);
      String[] fields = drawn.row().replace("\"", "").split(", ", 3);
      String troubles = fields[2].substring(1, fields[2].length() - 1);
      assertEquals(
          drawn, TripleCase.read(Long.parseLong(fields[0]), Event.valueOf(fields[1]), troubles));
    }
  }

  /**
   * So many triples on demand: {@code mvn test -Dtest=TripleSearchTest -Dsim.triples=2000
   * -Dsim.from=1}.
   */
  @Test
  @EnabledIfSystemProperty(named = "sim.triples", matches = "[0-9]+")
  void search() {
    long from = Long.getLong("sim.from", 1);
    int count = Integer.getInteger("sim.triples");
    AtomicInteger played = new AtomicInteger();
    AtomicInteger shortened = new AtomicInteger();
    List<Found> found =
        LongStream.range(from, from + count)
            .parallel()
            .mapToObj(seed -> play(TripleCase.draw(seed), played, shortened))
            .filter(f -> f != null)
            .toList();
    Map<String, Integer> byRule = new TreeMap<>();
    found.forEach(f -> byRule.merge(f.failure.rule(), 1, Integer::sum));
    System.out.printf("%d triples from seed %d, broken: %s%n", count, from, byRule);
    assertEquals(List.of(), found.stream().map(Found::line).toList());
  }

  private static Found play(TripleCase drawn, AtomicInteger played, AtomicInteger shortened) {
    Failure failure = drawn.play();
    int number = played.incrementAndGet();
    if (number % PROGRESS_EVERY == 0) {
      System.out.printf("%d played%n", number);
    }
    if (failure == null) {
      return null;
    }
    TripleCase least =
        shortened.incrementAndGet() > MOST_SHORTENED ? drawn : shorten(drawn, failure);
    Found found = new Found(drawn, least, least.play());
    System.out.println(found.line());
    return found;
  }

  /** Takes each simplification that still breaks the same rule until none is left. */
  private static TripleCase shorten(TripleCase drawn, Failure failure) {
    TripleCase least = drawn;
    int replays = 0;
    boolean simpler = true;
    while (simpler && replays < MOST_REPLAYS) {
      simpler = false;
      for (TripleCase next : least.simpler()) {
        Failure again = next.play();
        replays++;
        if (again != null && again.rule().equals(failure.rule())) {
          least = next;
          simpler = true;
          break;
        }
      }
    }
    return least;
  }
}
