package fennelthread.election;

import static fennelthread.election.TakeoverState.FOLLOWERS;
import static fennelthread.election.TakeoverState.MAX_WRITES;
import static fennelthread.election.TakeoverState.NONE;
import static fennelthread.election.TakeoverState.PROMISE;

import fennelthread.election.TakeoverState.DeclarationWrite;
import fennelthread.election.TakeoverState.Follower;
import fennelthread.simulation.Search;
import java.util.ArrayList;
import java.util.List;

/**
 * A model of failover: a leader L, two followers F and G, and the state service. Messages and
 * transactions arrive at any later time or never; one follower may restart, and the leader may
 * restart once and lead again under the next epoch while its last messages are in flight. The
 * leader's lease at the state service is left out, as if it never expired.
 */
final class TakeoverModel {
  /** The time at which the model's clock stops, ticks. */
  private static final int TICKS = Integer.getInteger("model.ticks", 2);

  /**
   * Maximum length of the searched sequences of steps. The shortest counterexample has at most 8
   * steps for each omitted rule.
   */
  static final int DEPTH = Integer.getInteger("model.depth", 11);

  /** The rule of the protocol that a search leaves out. */
  enum OmittedRule {
    NOTHING,
    /** Whoever agrees to a takeover promises nothing until the declaration is newer. */
    PROMISES_WITHHELD,
    /** A takeover is conditional on the declaration's revision that was agreed on. */
    TAKEOVER_CONDITION,
    /** The leader counts a promise from when it sent the heartbeat, not from when it arrived. */
    PROMISE_FROM_SENDING,
    /** A majority must agree. */
    MAJORITY,
    /** A restarted process counts as having agreed to a takeover. */
    RESTART_WITHHOLDS_PROMISES,
    /** A restarted process does not agree before the promises that it has forgotten expire. */
    RESTART_DELAYS_AGREEMENT,
    /** Each write of the declaration is conditional on the one before. */
    CHAINED_DECLARATIONS,
    /** What was promised, agreed or requested for one epoch counts for no other. */
    EPOCHS
  }

  private final OmittedRule omitted;
  private final boolean checksEpochs;

  private TakeoverModel(OmittedRule omitted) {
    this.omitted = omitted;
    this.checksEpochs = omitted != OmittedRule.EPOCHS;
  }

  /**
   * Searches, without one rule, for the shortest trace to a state in which a takeover was applied
   * and the previous leader may still start work.
   */
  static Search.Result search(OmittedRule omitted) {
    TakeoverModel model = new TakeoverModel(omitted);
    return new Search<TakeoverState>(
            TakeoverState::key,
            model::steps,
            state -> state.storedEpoch > state.leaderEpoch && state.mayStart())
        .run(TakeoverState.initial(), DEPTH);
  }

  private static String followerName(int follower) {
    return follower == 0 ? "F" : "G";
  }

  private List<Search.Step<TakeoverState>> steps(TakeoverState state) {
    List<Search.Step<TakeoverState>> steps = new ArrayList<>();
    if (state.now < TICKS) {
      TakeoverState next = state.copy();
      next.now++;
      steps.add(new Search.Step<>("tick " + next.now, next));
    }
    for (int i = 0; i < FOLLOWERS; i++) {
      addHeartbeatSteps(state, i, steps);
      addReadSteps(state, i, steps);
      addTakeoverSteps(state, i, steps);
    }
    addDeclarationSteps(state, steps);
    addLeaderSteps(state, steps);
    return steps;
  }

  /** A heartbeat of the leader, the follower's promise, and its arrival at the leader. */
  private void addHeartbeatSteps(
      TakeoverState state, int i, List<Search.Step<TakeoverState>> steps) {
    Follower follower = state.followers[i];
    if (state.leaderEpoch != 0
        && follower.promisedHeartbeatSentAt == NONE
        && (follower.heartbeatSentAt == NONE || follower.heartbeatEpoch != state.leaderEpoch)) {
      TakeoverState next = state.copy();
      next.followers[i].heartbeatSentAt = state.now;
      next.followers[i].heartbeatEpoch = state.leaderEpoch;
      steps.add(new Search.Step<>("L sends a heartbeat to " + followerName(i), next));
    }
    if (follower.heartbeatSentAt != NONE) {
      TakeoverState next = state.copy();
      Follower changed = next.followers[i];
      changed.heartbeatSentAt = NONE;
      boolean promises = mayPromise(follower);
      if (promises) {
        changed.agreedRevision = NONE;
        changed.promisedAt = state.now;
        changed.promisedHeartbeatSentAt = follower.heartbeatSentAt;
        changed.promiseEpoch = follower.heartbeatEpoch;
      }
      String what = promises ? " promises" : " promises nothing";
      steps.add(new Search.Step<>(followerName(i) + what, next));
    }
    if (follower.promisedHeartbeatSentAt != NONE && state.leaderEpoch != 0) {
      TakeoverState next = state.copy();
      Follower changed = next.followers[i];
      if (!checksEpochs || follower.promiseEpoch == state.leaderEpoch) {
        int from =
            omitted == OmittedRule.PROMISE_FROM_SENDING
                ? state.now
                : follower.promisedHeartbeatSentAt;
        changed.promiseCountedFrom = Math.max(follower.promiseCountedFrom, from);
      }
      changed.promisedHeartbeatSentAt = NONE;
      steps.add(new Search.Step<>("L receives " + followerName(i) + "'s promise", next));
    }
  }

  private boolean mayPromise(Follower follower) {
    boolean withheld =
        omitted != OmittedRule.PROMISES_WITHHELD
            && follower.agreedRevision != NONE
            && follower.knownRevision <= follower.agreedRevision;
    return !withheld && (!checksEpochs || follower.heartbeatEpoch == follower.knownEpoch);
  }

  /** The follower reads the state, or restarts and reads it then. */
  private void addReadSteps(TakeoverState state, int i, List<Search.Step<TakeoverState>> steps) {
    Follower follower = state.followers[i];
    if (follower.knownRevision != state.storedRevision
        || follower.knownEpoch != state.storedEpoch) {
      TakeoverState next = state.copy();
      next.read(next.followers[i]);
      steps.add(new Search.Step<>(followerName(i) + " reads the state", next));
    }
    if (state.followerRestarts == 0) {
      TakeoverState next = state.copy();
      Follower changed = next.followers[i];
      next.followerRestarts = 1;
      changed.promisedAt = NONE;
      changed.agreementRevision = NONE;
      next.read(changed);
      changed.agreedRevision =
          omitted == OmittedRule.RESTART_WITHHOLDS_PROMISES ? NONE : state.storedRevision;
      changed.agreesFrom =
          omitted == OmittedRule.RESTART_DELAYS_AGREEMENT ? state.now : state.now + PROMISE;
      steps.add(new Search.Step<>(followerName(i) + " restarts", next));
    }
  }

  /** The other follower agrees, this one sends its takeover, and the takeover is applied. */
  private void addTakeoverSteps(
      TakeoverState state, int i, List<Search.Step<TakeoverState>> steps) {
    Follower follower = state.followers[i];
    Follower other = state.followers[1 - i];
    // The other's agreement may be used at any later time.
    if (follower.agreementRevision == NONE
        && state.maySuspect(other)
        && (!checksEpochs || follower.knownEpoch == other.knownEpoch)
        && follower.knownDeclaration != follower.knownEpoch
        && other.knownDeclaration != other.knownEpoch
        && other.knownRevision <= follower.knownRevision) {
      TakeoverState next = state.copy();
      next.followers[i].agreementRevision = follower.knownRevision;
      next.followers[i].agreementEpoch = follower.knownEpoch;
      next.followers[1 - i].agreedRevision = Math.max(other.agreedRevision, follower.knownRevision);
      steps.add(new Search.Step<>(followerName(1 - i) + " agrees with " + followerName(i), next));
    }
    if (follower.takeoverRevision == NONE
        && (holdsAgreement(follower) || omitted == OmittedRule.MAJORITY)
        && follower.knownDeclaration != follower.knownEpoch
        && state.maySuspect(follower)) {
      TakeoverState next = state.copy();
      Follower changed = next.followers[i];
      changed.takeoverRevision = follower.knownRevision;
      changed.takeoverEpoch = follower.knownEpoch;
      changed.agreedRevision = Math.max(follower.agreedRevision, follower.knownRevision);
      steps.add(new Search.Step<>(followerName(i) + " sends its takeover", next));
    }
    if (follower.takeoverRevision != NONE
        && state.storedEpoch == follower.takeoverEpoch
        && (omitted == OmittedRule.TAKEOVER_CONDITION
            || follower.takeoverRevision == state.storedRevision)) {
      TakeoverState next = state.copy();
      next.storedEpoch++;
      next.followers[i].takeoverRevision = NONE;
      steps.add(new Search.Step<>(followerName(i) + "'s takeover is applied", next));
    }
  }

  private boolean holdsAgreement(Follower follower) {
    return follower.agreementRevision != NONE
        && follower.agreementRevision == follower.knownRevision
        && (!checksEpochs || follower.agreementEpoch == follower.knownEpoch);
  }

  /** The leader restarts with its messages in flight, and may lead again. */
  private static void addLeaderSteps(TakeoverState state, List<Search.Step<TakeoverState>> steps) {
    if (state.leaderRestarts == 0 && state.leaderEpoch == 1) {
      TakeoverState next = state.copy();
      next.leaderRestarts = 1;
      next.leaderEpoch = 0;
      for (Follower follower : next.followers) {
        follower.promiseCountedFrom = NONE;
      }
      next.leaderDeclared = 0;
      steps.add(new Search.Step<>("L restarts", next));
    }
    if (state.leaderEpoch == 0 && state.storedEpoch == 1) {
      TakeoverState next = state.copy();
      next.storedEpoch = 2;
      next.leaderEpoch = 2;
      next.leaderRevision = state.storedRevision;
      steps.add(new Search.Step<>("L leads again", next));
    }
  }

  /**
   * The leader writes its declaration or revokes it; each write may be applied, or its answer lost.
   */
  private void addDeclarationSteps(TakeoverState state, List<Search.Step<TakeoverState>> steps) {
    if (state.writesSent < MAX_WRITES && state.leaderEpoch != 0) {
      for (int declares = 0; declares < 2; declares++) {
        TakeoverState next = state.copy();
        DeclarationWrite write = next.writes[state.writesSent];
        write.declares = declares;
        write.condition = state.leaderRevision;
        write.epoch = state.leaderEpoch;
        next.writesSent++;
        // While a declaration is rewritten, the leader relies on the one that is recorded.
        next.leaderDeclared = declares == 1 ? state.leaderDeclared : 0;
        steps.add(new Search.Step<>("L sends its " + nameOf(write), next));
      }
    }
    for (int i = 0; i < state.writesSent; i++) {
      if (mayBeApplied(state.writes[i], state)) {
        addAppliedWrite(state, i, steps);
      }
    }
    if (state.leaderEpoch != 0 && state.leaderRevision != state.storedRevision) {
      TakeoverState next = state.copy();
      next.leaderRevision = state.storedRevision;
      steps.add(new Search.Step<>("L reads the declaration", next));
    }
  }

  private boolean mayBeApplied(DeclarationWrite write, TakeoverState state) {
    return write.condition != NONE
        && state.storedEpoch == write.epoch
        && (omitted == OmittedRule.CHAINED_DECLARATIONS || write.condition == state.storedRevision);
  }

  private static void addAppliedWrite(
      TakeoverState state, int i, List<Search.Step<TakeoverState>> steps) {
    DeclarationWrite write = state.writes[i];
    TakeoverState next = state.copy();
    next.writes[i].condition = NONE;
    next.storedRevision++;
    next.storedDeclaration = write.declares == 1 ? write.epoch : 0;
    String what = "L's " + nameOf(write) + " is applied";
    steps.add(new Search.Step<>(what + ", unanswered", next));
    if (i == state.writesSent - 1 && write.epoch == state.leaderEpoch) {
      TakeoverState answered = next.copy();
      answered.leaderDeclared = write.declares;
      answered.leaderRevision = next.storedRevision;
      steps.add(new Search.Step<>(what, answered));
    }
  }

  private static String nameOf(DeclarationWrite write) {
    return write.declares == 1 ? "declaration" : "revocation";
  }
}
