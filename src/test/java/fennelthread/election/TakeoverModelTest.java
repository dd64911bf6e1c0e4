package fennelthread.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.simulation.Search;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The rules of taking over, searched through: a leader, two peers and the state service, with
 * messages and transactions that arrive at any later time or never, and a peer that restarts.
 * Whatever can happen in some ticks does: the leader must never think that it may start once a
 * takeover was applied. The leader may restart too, while its last messages are under way, and lead
 * again under the next epoch. The grant is left out, as if it ran for ever. Without one of the
 * rules the search prints the shortest way to two that may start.
 */
class TakeoverModelTest {
  private static final int TICKS = Integer.getInteger("model.ticks", 2);
  private static final int PROMISE = Integer.getInteger("model.promise", 1);
  private static final int MOST_WORDS = 2;

  /**
   * Longest sequences of steps that are looked at; the longest that breaks a rule left out has 8.
   */
  private static final int DEPTH = Integer.getInteger("model.depth", 11);

  /** What is left out. */
  private enum Without {
    NOTHING,
    /** Whoever agrees to a takeover promises nothing until the word is newer. */
    BINDING,
    /** A takeover is conditional on the word's revision that was agreed on. */
    CONDITION,
    /** The leader counts a promise from before its heartbeat left. */
    T0,
    /** A majority must agree. */
    MAJORITY,
    /** A new process is bound by what it may have agreed to. */
    BORN_BOUND,
    /** A new process does not agree before promises that it has forgotten are over. */
    BORN_LATE,
    /** Each word is conditional on the one before. */
    CHAIN,
    /** What was promised, agreed or asked for one epoch counts for no other. */
    EPOCHS
  }

  /** Nothing, for messages and times. */
  private static final int NONE = -1;

  /** Everything there is, as small numbers; arrays of two are per peer. */
  private static final class State {
    int now;
    int[] asked = {NONE, NONE};
    int[] heartbeat = {NONE, NONE};
    int[] ack = {NONE, NONE};
    int[] promised = {NONE, NONE};
    int[] bound = {NONE, NONE};
    int[] agreesFrom = {0, 0};
    int[] knownRevision = {0, 0};
    int[] knownWord = {0, 0};
    int[] agreed = {NONE, NONE};
    int[] takeover = {NONE, NONE};
    int alone;
    int word;
    int revision;
    int leaderRevision;
    int words;
    int restarts;
    int leaderRestarts;
    int epoch = 1;
    int leaderEpoch = 1;
    int[] known = {1, 1};
    int[] heartbeatEpoch = {0, 0};
    int[] ackOf = {0, 0};
    int[] agreedOf = {0, 0};
    int[] takeoverOf = {0, 0};
    int[] wordOf = new int[MOST_WORDS];

    /** Words under way: on or off, and the revision that each is conditional on. */
    int[] sentOn = new int[MOST_WORDS];

    int[] sentCondition = {NONE, NONE};

    State copy() {
      State s = new State();
      s.now = now;
      s.asked = asked.clone();
      s.heartbeat = heartbeat.clone();
      s.ack = ack.clone();
      s.promised = promised.clone();
      s.bound = bound.clone();
      s.agreesFrom = agreesFrom.clone();
      s.knownRevision = knownRevision.clone();
      s.knownWord = knownWord.clone();
      s.agreed = agreed.clone();
      s.takeover = takeover.clone();
      s.alone = alone;
      s.word = word;
      s.revision = revision;
      s.leaderRevision = leaderRevision;
      s.words = words;
      s.restarts = restarts;
      s.epoch = epoch;
      s.leaderRestarts = leaderRestarts;
      s.leaderEpoch = leaderEpoch;
      s.known = known.clone();
      s.heartbeatEpoch = heartbeatEpoch.clone();
      s.ackOf = ackOf.clone();
      s.agreedOf = agreedOf.clone();
      s.takeoverOf = takeoverOf.clone();
      s.wordOf = wordOf.clone();
      s.sentOn = sentOn.clone();
      s.sentCondition = sentCondition.clone();
      return s;
    }

    String key() {
      StringBuilder b = new StringBuilder(64);
      for (int[] a :
          new int[][] {
            asked, heartbeat, ack, promised, bound, agreesFrom, knownRevision, knownWord, agreed,
            takeover, sentOn, sentCondition, known, heartbeatEpoch, ackOf, agreedOf, takeoverOf,
                wordOf
          }) {
        for (int v : a) {
          b.append((char) ('0' + v));
        }
      }
      for (int v :
          new int[] {
            now,
            alone,
            word,
            revision,
            leaderRevision,
            words,
            restarts,
            epoch,
            leaderRestarts,
            leaderEpoch
          }) {
        b.append((char) ('0' + v));
      }
      return b.toString();
    }

    boolean mayStart() {
      if (leaderEpoch == 0) {
        return false;
      }
      return alone == 1
          || (asked[0] != NONE && now < asked[0] + PROMISE)
          || (asked[1] != NONE && now < asked[1] + PROMISE);
    }
  }

  private static List<Search.Step<State>> steps(State s, Without w) {
    List<Search.Step<State>> steps = new ArrayList<>();
    if (s.now < TICKS) {
      State t = s.copy();
      t.now++;
      steps.add(new Search.Step<>("tick " + t.now, t));
    }
    for (int x = 0; x < 2; x++) {
      peer(s, x, w, steps);
    }
    words(s, w, steps);
    leader(s, steps);
    return steps;
  }

  private static void peer(State s, int x, Without w, List<Search.Step<State>> steps) {
    String name = x == 0 ? "F" : "G";
    boolean epochs = w != Without.EPOCHS;
    if (s.leaderEpoch != 0
        && s.ack[x] == NONE
        && (s.heartbeat[x] == NONE || s.heartbeatEpoch[x] != s.leaderEpoch)) {
      State t = s.copy();
      t.heartbeat[x] = s.now;
      t.heartbeatEpoch[x] = s.leaderEpoch;
      steps.add(new Search.Step<>("L sends a heartbeat to " + name, t));
    }
    if (s.heartbeat[x] != NONE) {
      State t = s.copy();
      t.heartbeat[x] = NONE;
      boolean free =
          (w == Without.BINDING || s.bound[x] == NONE || s.knownRevision[x] > s.bound[x])
              && (!epochs || s.heartbeatEpoch[x] == s.known[x]);
      if (free) {
        t.bound[x] = NONE;
        t.promised[x] = s.now;
        t.ack[x] = s.heartbeat[x];
        t.ackOf[x] = s.heartbeatEpoch[x];
      }
      steps.add(new Search.Step<>(name + (free ? " promises" : " promises nothing"), t));
    }
    if (s.ack[x] != NONE && s.leaderEpoch != 0) {
      State t = s.copy();
      if (!epochs || s.ackOf[x] == s.leaderEpoch) {
        t.asked[x] = Math.max(s.asked[x], w == Without.T0 ? s.now : s.ack[x]);
      }
      t.ack[x] = NONE;
      steps.add(new Search.Step<>("L hears " + name + "'s promise", t));
    }
    if (s.knownRevision[x] != s.revision || s.known[x] != s.epoch) {
      State t = s.copy();
      reads(t, x);
      steps.add(new Search.Step<>(name + " reads the state", t));
    }
    if (s.restarts == 0) {
      State t = s.copy();
      t.restarts = 1;
      t.promised[x] = NONE;
      t.agreed[x] = NONE;
      reads(t, x);
      t.bound[x] = w == Without.BORN_BOUND ? NONE : s.revision;
      t.agreesFrom[x] = w == Without.BORN_LATE ? s.now : s.now + PROMISE;
      steps.add(new Search.Step<>(name + " restarts", t));
    }
    int other = 1 - x;
    // x asks the other, which agrees; its answer may be used at any later time.
    if (s.agreed[x] == NONE
        && maySuspect(s, other)
        && (!epochs || s.known[x] == s.known[other])
        && s.knownWord[x] != s.known[x]
        && s.knownWord[other] != s.known[other]
        && s.knownRevision[other] <= s.knownRevision[x]) {
      State t = s.copy();
      t.agreed[x] = s.knownRevision[x];
      t.agreedOf[x] = s.known[x];
      t.bound[other] = Math.max(s.bound[other], s.knownRevision[x]);
      steps.add(new Search.Step<>((other == 0 ? "F" : "G") + " agrees with " + name, t));
    }
    boolean agreed =
        s.agreed[x] != NONE
            && s.agreed[x] == s.knownRevision[x]
            && (!epochs || s.agreedOf[x] == s.known[x]);
    if (s.takeover[x] == NONE
        && (agreed || w == Without.MAJORITY)
        && s.knownWord[x] != s.known[x]
        && maySuspect(s, x)) {
      State t = s.copy();
      t.takeover[x] = s.knownRevision[x];
      t.takeoverOf[x] = s.known[x];
      t.bound[x] = Math.max(s.bound[x], s.knownRevision[x]);
      steps.add(new Search.Step<>(name + " sends its takeover", t));
    }
    if (s.takeover[x] != NONE
        && s.epoch == s.takeoverOf[x]
        && (w == Without.CONDITION || s.takeover[x] == s.revision)) {
      State t = s.copy();
      t.epoch++;
      t.takeover[x] = NONE;
      steps.add(new Search.Step<>(name + "'s takeover is applied", t));
    }
  }

  private static void reads(State t, int x) {
    t.knownRevision[x] = t.revision;
    t.knownWord[x] = t.word;
    if (t.known[x] != t.epoch) {
      t.known[x] = t.epoch;
      t.promised[x] = NONE;
      t.bound[x] = NONE;
      t.agreesFrom[x] = t.now + PROMISE;
    }
  }

  private static boolean maySuspect(State s, int x) {
    return s.now >= s.agreesFrom[x] && (s.promised[x] == NONE || s.now >= s.promised[x] + PROMISE);
  }

  /** The leader ends and is back in the next step, its messages under way; it may lead again. */
  private static void leader(State s, List<Search.Step<State>> steps) {
    if (s.leaderRestarts == 0 && s.leaderEpoch == 1) {
      State t = s.copy();
      t.leaderRestarts = 1;
      t.leaderEpoch = 0;
      t.asked = new int[] {NONE, NONE};
      t.alone = 0;
      steps.add(new Search.Step<>("L restarts", t));
    }
    if (s.leaderEpoch == 0 && s.epoch == 1) {
      State t = s.copy();
      t.epoch = 2;
      t.leaderEpoch = 2;
      t.leaderRevision = s.revision;
      steps.add(new Search.Step<>("L leads again", t));
    }
  }

  private static void words(State s, Without w, List<Search.Step<State>> steps) {
    if (s.words < MOST_WORDS && s.leaderEpoch != 0) {
      for (int on = 0; on < 2; on++) {
        State t = s.copy();
        t.sentOn[s.words] = on;
        t.sentCondition[s.words] = s.leaderRevision;
        t.wordOf[s.words] = s.leaderEpoch;
        t.words++;
        t.alone = 0;
        steps.add(new Search.Step<>("L sends the word " + (on == 1 ? "on" : "off"), t));
      }
    }
    for (int i = 0; i < s.words; i++) {
      boolean applies =
          s.sentCondition[i] != NONE
              && s.epoch == s.wordOf[i]
              && (w == Without.CHAIN || s.sentCondition[i] == s.revision);
      if (!applies) {
        continue;
      }
      State t = s.copy();
      t.sentCondition[i] = NONE;
      t.revision++;
      t.word = s.sentOn[i] == 1 ? s.wordOf[i] : 0;
      String what = "the word " + (s.sentOn[i] == 1 ? "on" : "off") + " is applied";
      steps.add(new Search.Step<>(what + ", unanswered", t));
      if (i == s.words - 1 && s.wordOf[i] == s.leaderEpoch) {
        State heard = t.copy();
        heard.alone = s.sentOn[i];
        heard.leaderRevision = t.revision;
        steps.add(new Search.Step<>(what, heard));
      }
    }
    if (s.leaderEpoch != 0 && s.leaderRevision != s.revision) {
      State t = s.copy();
      t.leaderRevision = s.revision;
      steps.add(new Search.Step<>("L reads the word", t));
    }
  }

  /** The shortest way to two that may start, if there is one. */
  private static Search.Result search(Without w) {
    return new Search<State>(
            State::key, s -> steps(s, w), s -> s.epoch > s.leaderEpoch && s.mayStart())
        .run(new State(), DEPTH);
  }

  @Test
  void neverTwoThatMayStart() {
    Search.Result result = search(Without.NOTHING);
    System.out.printf("%d states in sequences of %d steps%n", result.states(), DEPTH);
    assertNull(result.trace(), () -> String.join("; ", result.trace()));
    assertTrue(result.states() > 10_000, result.states() + " states");
  }

  @ParameterizedTest
  @EnumSource(names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
  void eachRuleIsNeeded(Without w) {
    Search.Result result = search(w);
    assertTrue(
        result.trace() != null,
        "without " + w + " nothing happens in " + result.states() + " states");
    System.out.printf(
        "without %s, %d steps: %s%n", w, result.trace().size(), String.join("; ", result.trace()));
  }

  @Test
  void promisesAndMajoritiesMeet() {
    for (int n = 2; n <= 9; n++) {
      assertTrue(
          LeadershipPromises.majority(n) + (n - LeadershipPromises.majority(n)) > n - 1,
          n + " controllers");
    }
    assertEquals(
        List.of(2, 2, 3, 3, 4),
        Arrays.asList(2, 3, 4, 5, 6).stream().map(LeadershipPromises::majority).toList());
  }
}
