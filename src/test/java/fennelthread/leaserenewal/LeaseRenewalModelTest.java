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
 * Exhaustive search of the rules by which a follower renews leases in a silent leader's place: a
 * leader L, a peer S, one worker's task, and messages that arrive at any later time or never.
 * Another leader N may claim, and a controller that neither L nor S hears from may disclose to a
 * user that the job is cancelled. Neither L nor N may conclude that the task has ended while it
 * runs, and the task must never run longer than the cancel timeout after the disclosure. Times are
 * ticks.
 */
class LeaseRenewalModelTest {
  private static final int LEASE = 2;
  private static final int RENEWAL_WINDOW = 2;
  private static final int ABSTENTION = 1;
  private static final int CANCEL_TIMEOUT = RENEWAL_WINDOW + LEASE;
  private static final int TICKS = 6;

  /**
   * Maximum length of the searched sequences of steps. If a rule is omitted, the maximum is one
   * more, because the shortest counterexample then has up to 12 steps.
   */
  private static final int DEPTH = Integer.getInteger("model.depth", 11);

  private static final int NONE = -9;

  /** The rule that a search leaves out. */
  private enum OmittedRule {
    NOTHING,
    /** A controller answers reports only for a limited time after it last read the state. */
    STATE_AGE_BOUND,
    /** A read of the state counts from when it was requested, not from when it arrived. */
    READ_COUNTED_FROM_REQUEST,
    /** S renews leases only for a limited time after its last exchange with L. */
    EXCHANGE_BOUND,
    /** An exchange counts from when S sent its heartbeat, not from when L's answer arrived. */
    EXCHANGE_COUNTED_FROM_HEARTBEAT,
    /** L counts S's promise to abstain from when its heartbeat was sent. */
    PROMISE_COUNTED_FROM_HEARTBEAT,
    /** L assumes that a peer without a promise in force may renew leases. */
    UNPROMISED_PEER_MAY_RENEW,
    /** A new process of S can't say what its predecessor renewed: L assumes the latest possible. */
    RESTARTED_PEER_MAY_HAVE_RENEWED,
    /** S's statement that it renewed nothing counts only in an answer: a heartbeat may be old. */
    STATUS_ONLY_IN_ANSWERS,
    /** N waits until controllers that do not know of its claim can no longer renew leases. */
    NEW_LEADER_WAITS,
    /** S stops tasks whose job it knows to be cancelled. */
    STOP_CANCELLED_TASKS
  }

  private static final class State implements Cloneable {
    int now;

    /** The worker: when its lease was last renewed, NONE once its task has ended. */
    int leaseStart;

    /**
     * L: {@code leaderReadAt} is the time as of which it takes its last read of the state to be
     * current; it knows what was recorded before {@code leaderKnowsUntil}.
     */
    int leaderReadAt;

    int leaderKnowsUntil;
    int leaderReadRequestedAt = NONE;
    int leaderRenewedAt;
    int abstainsSince = NONE;
    int peerAnsweredAt = NONE;
    int knownPeerRenewalAt = NONE;
    int leaderHeartbeatSentAt = NONE;
    int promisedHeartbeatSentAt = NONE;
    int promiseRenewedAt = NONE;

    /** S, and its messages in flight. */
    int peerReadAt;

    int peerKnowsUntil;
    int lastExchangeAt = NONE;
    int abstainsUntil = NONE;
    int peerRenewedAt = NONE;
    int peerHeartbeatSentAt = NONE;
    int peerHeartbeatRenewedAt = NONE;
    int answeredHeartbeatSentAt = NONE;
    int peerRestarts;
    boolean isPeerIncarnationKnown = true;

    /** When the cancellation was disclosed, and when N claimed. */
    int disclosedAt = NONE;

    int claimedAt = NONE;

    State copy() {
      try {
        return (State) clone();
      } catch (CloneNotSupportedException e) {
        throw new AssertionError(e);
      }
    }

    String key() {
      StringBuilder key = new StringBuilder(32);
      for (int value :
          new int[] {
            now,
            leaseStart,
            leaderReadAt,
            leaderKnowsUntil,
            leaderReadRequestedAt,
            peerKnowsUntil,
            leaderRenewedAt,
            abstainsSince,
            peerAnsweredAt,
            knownPeerRenewalAt,
            leaderHeartbeatSentAt,
            promisedHeartbeatSentAt,
            promiseRenewedAt,
            peerReadAt,
            lastExchangeAt,
            abstainsUntil,
            peerRenewedAt,
            peerHeartbeatSentAt,
            peerHeartbeatRenewedAt,
            answeredHeartbeatSentAt,
            peerRestarts,
            disclosedAt,
            claimedAt,
            isPeerIncarnationKnown ? 1 : 0
          }) {
        key.append((char) ('J' + value));
      }
      return key.toString();
    }

    boolean isTaskRunning() {
      return leaseStart != NONE && now <= leaseStart + LEASE;
    }
  }

  private static int latestPossiblePeerRenewal(State state, OmittedRule omitted) {
    if (omitted == OmittedRule.UNPROMISED_PEER_MAY_RENEW || state.peerAnsweredAt == NONE) {
      return NONE;
    }
    return state.abstainsSince != NONE && state.now <= state.abstainsSince + ABSTENTION
        ? NONE
        : Math.min(state.now, state.peerAnsweredAt + RENEWAL_WINDOW);
  }

  private static boolean isUnsafe(State state, OmittedRule omitted) {
    if (!state.isTaskRunning()) {
      return false;
    }
    int latestRenewal =
        Math.max(
            state.leaderRenewedAt,
            Math.max(state.knownPeerRenewalAt, latestPossiblePeerRenewal(state, omitted)));
    boolean isExpiredTooEarlyByLeader =
        state.claimedAt == NONE && state.now - latestRenewal > LEASE;
    int silentFrom =
        omitted == OmittedRule.NEW_LEADER_WAITS
            ? state.claimedAt
            : state.claimedAt + RENEWAL_WINDOW;
    boolean isExpiredTooEarlyByNewLeader =
        state.claimedAt != NONE && state.now - silentFrom > LEASE;
    boolean isPastCancelDeadline =
        state.disclosedAt != NONE && state.now > state.disclosedAt + CANCEL_TIMEOUT;
    return isExpiredTooEarlyByLeader || isExpiredTooEarlyByNewLeader || isPastCancelDeadline;
  }

  private static boolean isStateCurrent(State state, int readAt, OmittedRule omitted) {
    return omitted == OmittedRule.STATE_AGE_BOUND || state.now < readAt + RENEWAL_WINDOW;
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
    addReportSteps(state, omitted, steps);
    addReadSteps(state, omitted, steps);
    addHeartbeatSteps(state, omitted, steps);
    if (state.disclosedAt == NONE) {
      State next = state.copy();
      next.disclosedAt = state.now;
      steps.add(new Search.Step<>("another controller discloses the cancellation", next));
    }
    if (state.claimedAt == NONE) {
      State next = state.copy();
      next.claimedAt = state.now;
      steps.add(new Search.Step<>("N claims", next));
    }
    if (state.peerRestarts == 0) {
      State next = state.copy();
      next.peerRestarts = 1;
      next.peerRenewedAt = NONE;
      next.lastExchangeAt = NONE;
      next.abstainsUntil = NONE;
      next.peerReadAt = state.now;
      next.peerKnowsUntil = state.now;
      next.peerHeartbeatSentAt = NONE;
      next.answeredHeartbeatSentAt = NONE;
      next.promisedHeartbeatSentAt = NONE;
      next.isPeerIncarnationKnown = false;
      steps.add(new Search.Step<>("S restarts", next));
    }
    return steps;
  }

  /**
   * L or S answers a report. Delayed answers need no steps of their own: the lease counts from when
   * the report was sent, and the latest possible sending is the worst case.
   */
  private static void addReportSteps(
      State state, OmittedRule omitted, List<Search.Step<State>> steps) {
    boolean leaderKnowsOfClaim =
        state.claimedAt != NONE && state.leaderKnowsUntil > state.claimedAt;
    if (!leaderKnowsOfClaim && isStateCurrent(state, state.leaderReadAt, omitted)) {
      State next = state.copy();
      next.leaseStart =
          state.disclosedAt != NONE && state.disclosedAt < state.leaderKnowsUntil
              ? NONE
              : state.now;
      next.leaderRenewedAt = state.now;
      steps.add(new Search.Step<>("L answers the worker", next));
    }
    boolean peerKnowsOfClaim = state.claimedAt != NONE && state.peerKnowsUntil > state.claimedAt;
    boolean isExchangeRecent =
        omitted == OmittedRule.EXCHANGE_BOUND || state.now < state.lastExchangeAt + RENEWAL_WINDOW;
    if (!peerKnowsOfClaim
        && state.lastExchangeAt != NONE
        && state.now > state.abstainsUntil
        && isExchangeRecent
        && isStateCurrent(state, state.peerReadAt, omitted)) {
      State next = state.copy();
      boolean isStopped =
          omitted != OmittedRule.STOP_CANCELLED_TASKS
              && state.disclosedAt != NONE
              && state.disclosedAt < state.peerKnowsUntil;
      next.leaseStart = isStopped ? NONE : state.now;
      next.peerRenewedAt = state.now;
      steps.add(new Search.Step<>("S renews the worker's lease", next));
    }
  }

  private static void addReadSteps(
      State state, OmittedRule omitted, List<Search.Step<State>> steps) {
    if (state.leaderReadRequestedAt == NONE && state.leaderKnowsUntil < state.now) {
      State next = state.copy();
      next.leaderReadRequestedAt = state.now;
      steps.add(new Search.Step<>("L requests the state", next));
    }
    if (state.leaderReadRequestedAt != NONE) {
      State next = state.copy();
      next.leaderReadAt =
          omitted == OmittedRule.READ_COUNTED_FROM_REQUEST
              ? state.now
              : state.leaderReadRequestedAt;
      next.leaderKnowsUntil = state.leaderReadRequestedAt;
      next.leaderReadRequestedAt = NONE;
      steps.add(new Search.Step<>("L reads the state", next));
    }
    if (state.peerKnowsUntil < state.now) {
      State next = state.copy();
      next.peerReadAt = state.now;
      next.peerKnowsUntil = state.now;
      steps.add(new Search.Step<>("S reads the state", next));
    }
  }

  private static void addHeartbeatSteps(
      State state, OmittedRule omitted, List<Search.Step<State>> steps) {
    boolean leaderKnowsOfClaim =
        state.claimedAt != NONE && state.leaderKnowsUntil > state.claimedAt;
    if (state.leaderHeartbeatSentAt == NONE && state.promisedHeartbeatSentAt == NONE) {
      State next = state.copy();
      next.leaderHeartbeatSentAt = state.now;
      steps.add(new Search.Step<>("L sends a heartbeat to S", next));
    }
    if (state.leaderHeartbeatSentAt != NONE && state.promisedHeartbeatSentAt == NONE) {
      State next = state.copy();
      next.promisedHeartbeatSentAt = state.leaderHeartbeatSentAt;
      next.promiseRenewedAt = state.peerRenewedAt;
      next.leaderHeartbeatSentAt = NONE;
      next.abstainsUntil = state.now + ABSTENTION;
      steps.add(new Search.Step<>("S promises", next));
    }
    if (state.promisedHeartbeatSentAt != NONE) {
      State next = state.copy();
      observeIncarnation(next, omitted);
      next.abstainsSince =
          Math.max(
              next.abstainsSince,
              omitted == OmittedRule.PROMISE_COUNTED_FROM_HEARTBEAT
                  ? state.now
                  : state.promisedHeartbeatSentAt);
      next.knownPeerRenewalAt = Math.max(next.knownPeerRenewalAt, state.promiseRenewedAt);
      next.promisedHeartbeatSentAt = NONE;
      next.promiseRenewedAt = NONE;
      steps.add(new Search.Step<>("L receives S's promise", next));
    }
    if (state.peerHeartbeatSentAt == NONE && state.answeredHeartbeatSentAt == NONE) {
      State next = state.copy();
      next.peerHeartbeatSentAt = state.now;
      next.peerHeartbeatRenewedAt = state.peerRenewedAt;
      steps.add(new Search.Step<>("S sends a heartbeat to L", next));
    }
    if (state.peerHeartbeatSentAt != NONE && !leaderKnowsOfClaim) {
      State next = state.copy();
      observeIncarnation(next, omitted);
      if (omitted == OmittedRule.STATUS_ONLY_IN_ANSWERS) {
        next.knownPeerRenewalAt = Math.max(next.knownPeerRenewalAt, state.peerHeartbeatRenewedAt);
        next.abstainsSince = state.now;
      }
      next.peerAnsweredAt = state.now;
      next.answeredHeartbeatSentAt = state.peerHeartbeatSentAt;
      next.peerHeartbeatSentAt = NONE;
      next.peerHeartbeatRenewedAt = NONE;
      steps.add(new Search.Step<>("L answers S", next));
    }
    if (state.answeredHeartbeatSentAt != NONE) {
      State next = state.copy();
      next.lastExchangeAt =
          omitted == OmittedRule.EXCHANGE_COUNTED_FROM_HEARTBEAT
              ? state.now
              : state.answeredHeartbeatSentAt;
      next.answeredHeartbeatSentAt = NONE;
      steps.add(new Search.Step<>("S receives L's answer", next));
    }
  }

  /** Updates what L knows when it hears from S, possibly from a new process for the first time. */
  private static void observeIncarnation(State next, OmittedRule omitted) {
    if (!next.isPeerIncarnationKnown) {
      if (omitted != OmittedRule.RESTARTED_PEER_MAY_HAVE_RENEWED) {
        next.knownPeerRenewalAt =
            Math.max(next.knownPeerRenewalAt, latestPossiblePeerRenewal(next, omitted));
      }
      next.isPeerIncarnationKnown = true;
      next.peerAnsweredAt = NONE;
      next.abstainsSince = NONE;
    }
  }

  private static Search.Result search(OmittedRule omitted, int depth) {
    return new Search<State>(
            State::key, state -> steps(state, omitted), state -> isUnsafe(state, omitted))
        .run(new State(), depth);
  }

  @Test
  void noRunningTaskIsTakenForEndedOrOutlivesItsCancelDeadline() {
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
