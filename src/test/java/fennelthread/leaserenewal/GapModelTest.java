package fennelthread.leaserenewal;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.simulation.Search;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The rules by which an answer to a report is let out, searched through: L answers reports, F tells
 * a user that the job is cancelled, each may be unable to read the state at any time, and what they
 * say to one another arrives at any later time or never. F may end and be back at once, knowing
 * nothing of what it told. Never may the task be there longer after the user was told than it is
 * allowed to.
 */
class GapModelTest {
  private static final int LEASE = 2;
  private static final int KEEP = 2;
  private static final int CANCEL = KEEP + LEASE;
  private static final int TICKS = 9;
  private static final int DEPTH = 16;
  private static final int NONE = -9;

  /** What is left out. */
  private enum Without {
    NOTHING,
    /** An answer stops what is known to be cancelled, in whatever phase the term is. */
    STOPS,
    /** Without word from the state service or F, reports are answered only for so long. */
    BOUND,
    /** What L read counts from when it was asked for, not from when it came. */
    READ_T0,
    /** F's word counts from when it was asked for, not from when it came. */
    WORD_T0,
    /** F's word counts only if it named all that it told. */
    ALL_NAMED,
    /**
     * A new process of F says nothing of what the one before it told: the state has to be read
     * after it.
     */
    BORN
  }

  private static final class State implements Cloneable {
    int now;
    int leaseFrom;

    /**
     * L: until when it knows everything by reading, by F's word, and whether it knows of the
     * cancellation.
     */
    int readL;

    int wordL;
    int bornL;
    int asked = NONE;
    boolean knows;
    int incarnationHeard;
    int heartbeat = NONE;
    int reply = NONE;
    boolean replyNames;
    boolean replyAll;
    int replyIncarnation;

    /** F. */
    int told = NONE;

    boolean inLog;
    int incarnation;

    State copy() {
      try {
        return (State) clone();
      } catch (CloneNotSupportedException e) {
        throw new AssertionError(e);
      }
    }

    String key() {
      StringBuilder b = new StringBuilder(24);
      for (int v :
          new int[] {
            now,
            leaseFrom,
            readL,
            wordL,
            bornL,
            asked,
            knows ? 1 : 0,
            incarnationHeard,
            heartbeat,
            reply,
            replyNames ? 1 : 0,
            replyAll ? 1 : 0,
            replyIncarnation,
            told,
            inLog ? 1 : 0,
            incarnation
          }) {
        b.append((char) ('J' + v));
      }
      return b.toString();
    }

    boolean runs() {
      return leaseFrom != NONE && now <= leaseFrom + LEASE;
    }
  }

  private static boolean isBad(State s) {
    return s.runs() && s.told != NONE && s.now > s.told + CANCEL;
  }

  private static List<Search.Step<State>> steps(State s, Without w) {
    List<Search.Step<State>> steps = new ArrayList<>();
    if (s.now < TICKS) {
      State t = s.copy();
      t.now++;
      steps.add(new Search.Step<>("tick " + t.now, t));
    }
    if (!s.runs()) {
      return steps;
    }
    int word = w == Without.BORN || s.bornL < s.readL ? s.wordL : NONE;
    if (w == Without.BOUND || s.now < Math.max(s.readL, word) + KEEP) {
      State t = s.copy();
      t.leaseFrom = s.knows && w != Without.STOPS ? NONE : s.now;
      steps.add(new Search.Step<>("L answers W", t));
    }
    if (s.told == NONE) {
      State t = s.copy();
      t.told = s.now;
      t.inLog = true;
      steps.add(new Search.Step<>("F tells a user", t));
    }
    if (s.incarnation == 0) {
      State t = s.copy();
      t.incarnation = 1;
      t.inLog = false;
      steps.add(new Search.Step<>("F ends and is back", t));
    }
    reads(s, w, steps);
    words(s, w, steps);
    return steps;
  }

  private static void reads(State s, Without w, List<Search.Step<State>> steps) {
    if (s.asked == NONE && s.readL < s.now) {
      State t = s.copy();
      t.asked = s.now;
      // What was told at the very moment may or may not be in it: it counts as known from the next
      // on.
      t.knows = s.knows;
      steps.add(new Search.Step<>("L asks the state", t));
    }
    if (s.asked != NONE) {
      State t = s.copy();
      t.readL = w == Without.READ_T0 ? s.now : s.asked;
      t.knows = s.knows || (s.told != NONE && s.told < s.asked);
      t.asked = NONE;
      steps.add(new Search.Step<>("L reads the state", t));
    }
  }

  private static void words(State s, Without w, List<Search.Step<State>> steps) {
    if (s.heartbeat == NONE && s.reply == NONE) {
      State t = s.copy();
      t.heartbeat = s.now;
      steps.add(new Search.Step<>("L sends a heartbeat to F", t));
    }
    if (s.heartbeat != NONE && s.reply == NONE) {
      for (boolean all : new boolean[] {true, false}) {
        State t = s.copy();
        t.reply = s.heartbeat;
        t.heartbeat = NONE;
        t.replyAll = all;
        t.replyNames = all && s.inLog;
        t.replyIncarnation = s.incarnation;
        steps.add(new Search.Step<>(all ? "F names all" : "F names a part", t));
      }
    }
    if (s.reply != NONE) {
      State t = s.copy();
      t.knows = s.knows || s.replyNames;
      if (s.replyIncarnation != s.incarnationHeard) {
        t.incarnationHeard = s.replyIncarnation;
        t.bornL = s.now;
        t.wordL = w == Without.BORN ? s.reply : NONE;
      } else if (s.replyAll || w == Without.ALL_NAMED) {
        t.wordL = Math.max(s.wordL, w == Without.WORD_T0 ? s.now : s.reply);
      }
      t.reply = NONE;
      t.replyNames = false;
      t.replyAll = false;
      t.replyIncarnation = 0;
      steps.add(new Search.Step<>("L hears F's word", t));
    }
  }

  private static Search.Result search(Without w, int depth) {
    return new Search<State>(State::key, s -> steps(s, w), GapModelTest::isBad)
        .run(new State(), depth);
  }

  @Test
  void nothingOutlivesItsCancellation() {
    Search.Result result = search(Without.NOTHING, DEPTH);
    System.out.printf("%d states in sequences of %d steps%n", result.states(), DEPTH);
    assertNull(result.trace(), () -> String.join("; ", result.trace()));
    assertTrue(result.states() > 10_000, result.states() + " states");
  }

  @ParameterizedTest
  @EnumSource(names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
  void eachRuleIsNeeded(Without w) {
    Search.Result result = search(w, DEPTH + 1);
    assertTrue(
        result.trace() != null,
        "without " + w + " nothing happens in " + result.states() + " states");
    System.out.printf(
        "without %s, %d steps: %s%n", w, result.trace().size(), String.join("; ", result.trace()));
  }
}
