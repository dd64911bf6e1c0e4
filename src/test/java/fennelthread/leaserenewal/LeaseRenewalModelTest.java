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
 * The rules of keeping leases, searched through: a leader L, a peer S, one worker's task, and
 * messages that arrive at any later time or never. Another leader N may claim, and a user may be
 * told, by a controller that neither L nor S hears, that the job is cancelled. Never may L or N
 * take the task for gone while it runs, and never may it run longer after the user was told than it
 * is allowed to.
 */
class LeaseRenewalModelTest {
  private static final int LEASE = 2;
  private static final int KEEP = 2;
  private static final int STILL = 1;
  private static final int CANCEL = KEEP + LEASE;
  private static final int TICKS = 6;

  /** Longest sequences that are looked at; the longest that breaks a rule left out has 12. */
  private static final int DEPTH = Integer.getInteger("model.depth", 11);

  private static final int NONE = -9;

  /** What is left out. */
  private enum Without {
    NOTHING,
    /** A controller answers reports only for so long after it last read the state. */
    READ_BOUND,
    /** The same, counted from when the answer came instead of from when it was asked for. */
    READ_T0,
    /** S keeps only for so long after its last word from L. */
    EXCHANGE_BOUND,
    /** The same, counted from when L's answer came. */
    EXCHANGE_T0,
    /** L counts S's promise from before its heartbeat left. */
    STILL_T0,
    /** L takes a peer that has promised nothing for one that may be keeping. */
    LEDGER,
    /** A new process does not say what the one before it kept. */
    BORN,
    /** That S kept nothing counts only in an answer, not in a heartbeat, which may be old. */
    ANSWERS_ONLY,
    /** N waits until those that do not know of it can keep nothing any more. */
    CLAIM_BOUND,
    /** S stops what it knows to be cancelled. */
    STOPS
  }

  private static final class State implements Cloneable {
    int now;

    /** The worker: its lease counts from here, NONE once its task has ended. */
    int leaseFrom;

    /** L: what it knows is of {@code knowsL}, what it counts from is {@code readL}. */
    int readL;

    int knowsL;
    int askedL = NONE;
    int answeredByL;
    int still = NONE;
    int answeredS = NONE;
    int keptKnown = NONE;
    int heartbeat = NONE;
    int ack = NONE;
    int ackKept = NONE;

    /** S. */
    int readS;

    int knowsS;
    int exchanged = NONE;
    int stillUntil = NONE;
    int kept = NONE;
    int hail = NONE;
    int hailKept = NONE;
    int hailAnswered = NONE;
    int restarts;
    boolean bornKnown = true;

    /** The rest of the world. */
    int told = NONE;

    int claimed = NONE;

    State copy() {
      try {
        return (State) clone();
      } catch (CloneNotSupportedException e) {
        throw new AssertionError(e);
      }
    }

    String key() {
      StringBuilder b = new StringBuilder(32);
      for (int v :
          new int[] {
            now,
            leaseFrom,
            readL,
            knowsL,
            askedL,
            knowsS,
            answeredByL,
            still,
            answeredS,
            keptKnown,
            heartbeat,
            ack,
            ackKept,
            readS,
            exchanged,
            stillUntil,
            kept,
            hail,
            hailKept,
            hailAnswered,
            restarts,
            told,
            claimed,
            bornKnown ? 1 : 0
          }) {
        b.append((char) ('J' + v));
      }
      return b.toString();
    }

    boolean runs() {
      return leaseFrom != NONE && now <= leaseFrom + LEASE;
    }
  }

  private static int mayHaveKept(State s, Without w) {
    if (w == Without.LEDGER || s.answeredS == NONE) {
      return NONE;
    }
    return s.still != NONE && s.now <= s.still + STILL ? NONE : Math.min(s.now, s.answeredS + KEEP);
  }

  private static boolean isBad(State s, Without w) {
    if (!s.runs()) {
      return false;
    }
    int base = Math.max(s.answeredByL, Math.max(s.keptKnown, mayHaveKept(s, w)));
    boolean leaderErrs = s.claimed == NONE && s.now - base > LEASE;
    int bound = w == Without.CLAIM_BOUND ? s.claimed : s.claimed + KEEP;
    boolean nextErrs = s.claimed != NONE && s.now - bound > LEASE;
    boolean outlives = s.told != NONE && s.now > s.told + CANCEL;
    return leaderErrs || nextErrs || outlives;
  }

  private static boolean isCurrent(State s, int read, Without w) {
    return w == Without.READ_BOUND || s.now < read + KEEP;
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
    worker(s, w, steps);
    reads(s, w, steps);
    heartbeats(s, w, steps);
    if (s.told == NONE) {
      State t = s.copy();
      t.told = s.now;
      steps.add(new Search.Step<>("a user is told elsewhere", t));
    }
    if (s.claimed == NONE) {
      State t = s.copy();
      t.claimed = s.now;
      steps.add(new Search.Step<>("N claims", t));
    }
    if (s.restarts == 0) {
      State t = s.copy();
      t.restarts = 1;
      t.kept = NONE;
      t.exchanged = NONE;
      t.stillUntil = NONE;
      t.readS = s.now;
      t.knowsS = s.now;
      t.hail = NONE;
      t.hailAnswered = NONE;
      t.ack = NONE;
      t.bornKnown = false;
      steps.add(new Search.Step<>("S restarts", t));
    }
    return steps;
  }

  /**
   * Reports that are answered. An answer that comes late does no more than one that comes at once:
   * the lease counts from when the report was sent, and the later that was the worse for the rules.
   */
  private static void worker(State s, Without w, List<Search.Step<State>> steps) {
    boolean leaderKnowsN = s.claimed != NONE && s.knowsL > s.claimed;
    if (!leaderKnowsN && isCurrent(s, s.readL, w)) {
      State t = s.copy();
      t.leaseFrom = s.told != NONE && s.told < s.knowsL ? NONE : s.now;
      t.answeredByL = s.now;
      steps.add(new Search.Step<>("L answers W", t));
    }
    boolean peerKnowsN = s.claimed != NONE && s.knowsS > s.claimed;
    boolean bound = w == Without.EXCHANGE_BOUND || s.now < s.exchanged + KEEP;
    if (!peerKnowsN
        && s.exchanged != NONE
        && s.now > s.stillUntil
        && bound
        && isCurrent(s, s.readS, w)) {
      State t = s.copy();
      boolean stops = w != Without.STOPS && s.told != NONE && s.told < s.knowsS;
      t.leaseFrom = stops ? NONE : s.now;
      t.kept = s.now;
      steps.add(new Search.Step<>("S keeps W", t));
    }
  }

  private static void reads(State s, Without w, List<Search.Step<State>> steps) {
    if (s.askedL == NONE && s.knowsL < s.now) {
      State t = s.copy();
      t.askedL = s.now;
      steps.add(new Search.Step<>("L asks the state", t));
    }
    if (s.askedL != NONE) {
      State t = s.copy();
      t.readL = w == Without.READ_T0 ? s.now : s.askedL;
      t.knowsL = s.askedL;
      t.askedL = NONE;
      steps.add(new Search.Step<>("L reads the state", t));
    }
    if (s.knowsS < s.now) {
      State t = s.copy();
      t.readS = s.now;
      t.knowsS = s.now;
      steps.add(new Search.Step<>("S reads the state", t));
    }
  }

  private static void heartbeats(State s, Without w, List<Search.Step<State>> steps) {
    boolean leaderKnowsN = s.claimed != NONE && s.knowsL > s.claimed;
    if (s.heartbeat == NONE && s.ack == NONE) {
      State t = s.copy();
      t.heartbeat = s.now;
      steps.add(new Search.Step<>("L sends a heartbeat to S", t));
    }
    if (s.heartbeat != NONE && s.ack == NONE) {
      State t = s.copy();
      t.ack = s.heartbeat;
      t.ackKept = s.kept;
      t.heartbeat = NONE;
      t.stillUntil = s.now + STILL;
      steps.add(new Search.Step<>("S promises", t));
    }
    if (s.ack != NONE) {
      State t = s.copy();
      heardFrom(t, w);
      t.still = Math.max(t.still, w == Without.STILL_T0 ? s.now : s.ack);
      t.keptKnown = Math.max(t.keptKnown, s.ackKept);
      t.ack = NONE;
      t.ackKept = NONE;
      steps.add(new Search.Step<>("L hears S's promise", t));
    }
    if (s.hail == NONE && s.hailAnswered == NONE) {
      State t = s.copy();
      t.hail = s.now;
      t.hailKept = s.kept;
      steps.add(new Search.Step<>("S sends a heartbeat to L", t));
    }
    if (s.hail != NONE && !leaderKnowsN) {
      State t = s.copy();
      heardFrom(t, w);
      if (w == Without.ANSWERS_ONLY) {
        t.keptKnown = Math.max(t.keptKnown, s.hailKept);
        t.still = s.now;
      }
      t.answeredS = s.now;
      t.hailAnswered = s.hail;
      t.hail = NONE;
      t.hailKept = NONE;
      steps.add(new Search.Step<>("L answers S", t));
    }
    if (s.hailAnswered != NONE) {
      State t = s.copy();
      t.exchanged = w == Without.EXCHANGE_T0 ? s.now : s.hailAnswered;
      t.hailAnswered = NONE;
      steps.add(new Search.Step<>("S hears L's answer", t));
    }
  }

  /** L hears a new process of S for the first time. */
  private static void heardFrom(State t, Without w) {
    if (!t.bornKnown) {
      if (w != Without.BORN) {
        t.keptKnown = Math.max(t.keptKnown, mayHaveKept(t, w));
      }
      t.bornKnown = true;
      t.answeredS = NONE;
      t.still = NONE;
    }
  }

  private static Search.Result search(Without w, int depth) {
    return new Search<State>(State::key, s -> steps(s, w), s -> isBad(s, w))
        .run(new State(), depth);
  }

  @Test
  void nothingIsTakenForGoneThatRuns() {
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
