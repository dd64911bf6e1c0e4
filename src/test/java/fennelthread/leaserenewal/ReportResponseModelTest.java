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
 * Exhaustive search of the rules in {@link ReportResponseGate} and {@link CancellationWatermark}.
 * Controller L answers the worker's reports, which renews its lease; controller F discloses to a
 * user that the job is cancelled. L may be unable to read the state at any time, and messages
 * arrive at any later time or never. F may restart once, at any time, and then knows nothing of
 * what its predecessor disclosed. The task must never run longer than the cancel timeout after the
 * disclosure. Times are ticks.
 */
class ReportResponseModelTest {
  private static final int LEASE = 2;
  private static final int RENEWAL_WINDOW = 2;
  private static final int CANCEL_TIMEOUT = RENEWAL_WINDOW + LEASE;
  private static final int TICKS = 9;
  private static final int DEPTH = 16;
  private static final int NONE = -9;

  /** The rule that a search leaves out. */
  private enum OmittedRule {
    NOTHING,
    /** An answer stops every task whose job is known to be cancelled, whoever gives it. */
    STOP_CANCELLED_TASKS,
    /**
     * Reports are answered only for a limited time after L last heard from the state service or F.
     */
    RESPONSE_WINDOW,
    /** A read of the state counts from when it was requested, not from when it arrived. */
    READ_COUNTED_FROM_REQUEST,
    /** F's answer counts from when the heartbeat was sent, not from when the answer arrived. */
    ANSWER_COUNTED_FROM_HEARTBEAT,
    /** F's answer counts only if it lists all cancellations that F disclosed. */
    ONLY_COMPLETE_LISTS,
    /**
     * A new process of F can't list what its predecessor disclosed: its answers count only once the
     * state was read after it was first heard from.
     */
    STATE_READ_AFTER_RESTART
  }

  private static final class State implements Cloneable {
    int now;
    int leaseStart;

    /** L: up to when it knows all cancellations, by reading the state and by F's answers. */
    int replicaCurrentAsOf;

    int peerCompleteUntil;
    int incarnationFirstHeardAt;
    int readRequestedAt = NONE;
    boolean knowsCancellation;
    int knownIncarnation;
    int heartbeatSentAt = NONE;
    int answeredHeartbeatSentAt = NONE;
    boolean isJobInAnswer;
    boolean isAnswerComplete;
    int answerIncarnation;

    /** F: when it disclosed the cancellation, what its log holds, and which process it is. */
    int disclosedAt = NONE;

    boolean isInPeerLog;
    int peerIncarnation;

    State copy() {
      try {
        return (State) clone();
      } catch (CloneNotSupportedException e) {
        throw new AssertionError(e);
      }
    }

    String key() {
      StringBuilder key = new StringBuilder(24);
      for (int value :
          new int[] {
            now,
            leaseStart,
            replicaCurrentAsOf,
            peerCompleteUntil,
            incarnationFirstHeardAt,
            readRequestedAt,
            knowsCancellation ? 1 : 0,
            knownIncarnation,
            heartbeatSentAt,
            answeredHeartbeatSentAt,
            isJobInAnswer ? 1 : 0,
            isAnswerComplete ? 1 : 0,
            answerIncarnation,
            disclosedAt,
            isInPeerLog ? 1 : 0,
            peerIncarnation
          }) {
        key.append((char) ('J' + value));
      }
      return key.toString();
    }

    boolean isTaskRunning() {
      return leaseStart != NONE && now <= leaseStart + LEASE;
    }
  }

  private static boolean outlivesDeadline(State state) {
    return state.isTaskRunning()
        && state.disclosedAt != NONE
        && state.now > state.disclosedAt + CANCEL_TIMEOUT;
  }

  private static List<Search.Step<State>> steps(State state, OmittedRule omitted) {
    List<Search.Step<State>> steps = new ArrayList<>();
    if (state.now < TICKS) {
      State next = state.copy();
      next.now++;
      steps.add(new Search.Step<>("tick " + next.now, next));
    }
    if (!state.isTaskRunning()) {
      return steps;
    }
    int peerKnownUntil =
        omitted == OmittedRule.STATE_READ_AFTER_RESTART
                || state.incarnationFirstHeardAt < state.replicaCurrentAsOf
            ? state.peerCompleteUntil
            : NONE;
    if (omitted == OmittedRule.RESPONSE_WINDOW
        || state.now < Math.max(state.replicaCurrentAsOf, peerKnownUntil) + RENEWAL_WINDOW) {
      State next = state.copy();
      next.leaseStart =
          state.knowsCancellation && omitted != OmittedRule.STOP_CANCELLED_TASKS ? NONE : state.now;
      steps.add(new Search.Step<>("L answers the worker", next));
    }
    if (state.disclosedAt == NONE) {
      State next = state.copy();
      next.disclosedAt = state.now;
      next.isInPeerLog = true;
      steps.add(new Search.Step<>("F discloses the cancellation", next));
    }
    if (state.peerIncarnation == 0) {
      State next = state.copy();
      next.peerIncarnation = 1;
      next.isInPeerLog = false;
      steps.add(new Search.Step<>("F restarts", next));
    }
    addReadSteps(state, omitted, steps);
    addHeartbeatSteps(state, omitted, steps);
    return steps;
  }

  private static void addReadSteps(
      State state, OmittedRule omitted, List<Search.Step<State>> steps) {
    if (state.readRequestedAt == NONE && state.replicaCurrentAsOf < state.now) {
      State next = state.copy();
      next.readRequestedAt = state.now;
      next.knowsCancellation = state.knowsCancellation;
      steps.add(new Search.Step<>("L requests the state", next));
    }
    if (state.readRequestedAt != NONE) {
      State next = state.copy();
      next.replicaCurrentAsOf =
          omitted == OmittedRule.READ_COUNTED_FROM_REQUEST ? state.now : state.readRequestedAt;
      // A read may miss a disclosure within the same tick: only earlier ones count as known.
      next.knowsCancellation =
          state.knowsCancellation
              || (state.disclosedAt != NONE && state.disclosedAt < state.readRequestedAt);
      next.readRequestedAt = NONE;
      steps.add(new Search.Step<>("L reads the state", next));
    }
  }

  private static void addHeartbeatSteps(
      State state, OmittedRule omitted, List<Search.Step<State>> steps) {
    if (state.heartbeatSentAt == NONE && state.answeredHeartbeatSentAt == NONE) {
      State next = state.copy();
      next.heartbeatSentAt = state.now;
      steps.add(new Search.Step<>("L sends a heartbeat to F", next));
    }
    if (state.heartbeatSentAt != NONE && state.answeredHeartbeatSentAt == NONE) {
      for (boolean isComplete : new boolean[] {true, false}) {
        State next = state.copy();
        next.answeredHeartbeatSentAt = state.heartbeatSentAt;
        next.heartbeatSentAt = NONE;
        next.isAnswerComplete = isComplete;
        next.isJobInAnswer = isComplete && state.isInPeerLog;
        next.answerIncarnation = state.peerIncarnation;
        steps.add(
            new Search.Step<>(
                isComplete ? "F lists all cancellations" : "F lists some cancellations", next));
      }
    }
    if (state.answeredHeartbeatSentAt != NONE) {
      State next = state.copy();
      next.knowsCancellation = state.knowsCancellation || state.isJobInAnswer;
      if (state.answerIncarnation != state.knownIncarnation) {
        next.knownIncarnation = state.answerIncarnation;
        next.incarnationFirstHeardAt = state.now;
        next.peerCompleteUntil =
            omitted == OmittedRule.STATE_READ_AFTER_RESTART ? state.answeredHeartbeatSentAt : NONE;
      } else if (state.isAnswerComplete || omitted == OmittedRule.ONLY_COMPLETE_LISTS) {
        next.peerCompleteUntil =
            Math.max(
                state.peerCompleteUntil,
                omitted == OmittedRule.ANSWER_COUNTED_FROM_HEARTBEAT
                    ? state.now
                    : state.answeredHeartbeatSentAt);
      }
      next.answeredHeartbeatSentAt = NONE;
      next.isJobInAnswer = false;
      next.isAnswerComplete = false;
      next.answerIncarnation = 0;
      steps.add(new Search.Step<>("L receives F's answer", next));
    }
  }

  private static Search.Result search(OmittedRule omitted, int depth) {
    return new Search<State>(
            State::key, state -> steps(state, omitted), ReportResponseModelTest::outlivesDeadline)
        .run(new State(), depth);
  }

  @Test
  void noTaskOutlivesItsCancelDeadline() {
    Search.Result result = search(OmittedRule.NOTHING, DEPTH);
    System.out.printf("%d states in sequences of at most %d steps%n", result.states(), DEPTH);
    assertNull(result.trace(), () -> String.join("; ", result.trace()));
    assertTrue(result.states() > 10_000, result.states() + " states");
  }

  @ParameterizedTest
  @EnumSource(names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
  void eachRuleIsNeeded(OmittedRule omitted) {
    Search.Result result = search(omitted, DEPTH + 1);
    assertTrue(
        result.trace() != null,
        "without " + omitted + " no violation is found in " + result.states() + " states");
    System.out.printf(
        "without %s, %d steps: %s%n",
        omitted, result.trace().size(), String.join("; ", result.trace()));
  }
}
