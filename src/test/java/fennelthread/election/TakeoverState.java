package fennelthread.election;

/**
 * A state of {@link TakeoverModel}. All values are small numbers: times are ticks, flags are 0 or
 * 1, and {@link #NONE} stands for a value that does not exist.
 */
final class TakeoverState {
  static final int NONE = -1;
  static final int FOLLOWERS = 2;

  /** How long a promise lasts, ticks. */
  static final int PROMISE = Integer.getInteger("model.promise", 1);

  /** Maximum number of writes of the {@link UnilateralLeadership} declaration by the leader. */
  static final int MAX_WRITES = 2;

  /** One follower, and the messages in flight between it and the leader. */
  static final class Follower {
    /** When the leader sent the heartbeat in flight, and under which epoch. */
    int heartbeatSentAt = NONE;

    int heartbeatEpoch;

    /** When the heartbeat was sent that the promise in flight answers, and for which epoch. */
    int promisedHeartbeatSentAt = NONE;

    int promiseEpoch;

    /** From when the leader counts this follower's promise. */
    int promiseCountedFrom = NONE;

    /** When the follower promised last. */
    int promisedAt = NONE;

    /** The declaration's revision at which the follower agreed to a takeover. */
    int agreedRevision = NONE;

    /** The first tick at which the follower may agree to a takeover in the epoch it knows. */
    int agreesFrom;

    int knownRevision;
    int knownDeclaration;
    int knownEpoch = 1;

    /** The other follower's agreement in hand: the declaration's revision, and the epoch. */
    int agreementRevision = NONE;

    int agreementEpoch;

    /** The takeover in flight: the revision that it is conditional on, and the epoch. */
    int takeoverRevision = NONE;

    int takeoverEpoch;

    Follower copy() {
      Follower copy = new Follower();
      copy.heartbeatSentAt = heartbeatSentAt;
      copy.heartbeatEpoch = heartbeatEpoch;
      copy.promisedHeartbeatSentAt = promisedHeartbeatSentAt;
      copy.promiseEpoch = promiseEpoch;
      copy.promiseCountedFrom = promiseCountedFrom;
      copy.promisedAt = promisedAt;
      copy.agreedRevision = agreedRevision;
      copy.agreesFrom = agreesFrom;
      copy.knownRevision = knownRevision;
      copy.knownDeclaration = knownDeclaration;
      copy.knownEpoch = knownEpoch;
      copy.agreementRevision = agreementRevision;
      copy.agreementEpoch = agreementEpoch;
      copy.takeoverRevision = takeoverRevision;
      copy.takeoverEpoch = takeoverEpoch;
      return copy;
    }

    void appendKey(StringBuilder key) {
      append(key, heartbeatSentAt, heartbeatEpoch, promisedHeartbeatSentAt, promiseEpoch);
      append(key, promiseCountedFrom, promisedAt, agreedRevision, agreesFrom);
      append(key, knownRevision, knownDeclaration, knownEpoch);
      append(key, agreementRevision, agreementEpoch, takeoverRevision, takeoverEpoch);
    }
  }

  /**
   * One write of the {@link UnilateralLeadership} declaration, or its revocation, by the leader.
   */
  static final class DeclarationWrite {
    int declares;

    /** The declaration's revision that it is conditional on; NONE once it was applied. */
    int condition = NONE;

    int epoch;

    DeclarationWrite copy() {
      DeclarationWrite copy = new DeclarationWrite();
      copy.declares = declares;
      copy.condition = condition;
      copy.epoch = epoch;
      return copy;
    }
  }

  int now;
  final Follower[] followers = new Follower[FOLLOWERS];
  final DeclarationWrite[] writes = new DeclarationWrite[MAX_WRITES];
  int writesSent;
  int followerRestarts;
  int leaderRestarts;

  /** The epoch that the leader leads, 0 for none, and what it knows of its declaration. */
  int leaderEpoch = 1;

  int leaderRevision;
  int leaderDeclared;

  /** What the state service holds. */
  int storedEpoch = 1;

  int storedDeclaration;
  int storedRevision;

  static TakeoverState initial() {
    TakeoverState state = new TakeoverState();
    for (int i = 0; i < FOLLOWERS; i++) {
      state.followers[i] = new Follower();
    }
    for (int i = 0; i < MAX_WRITES; i++) {
      state.writes[i] = new DeclarationWrite();
    }
    return state;
  }

  TakeoverState copy() {
    TakeoverState copy = new TakeoverState();
    copy.now = now;
    for (int i = 0; i < FOLLOWERS; i++) {
      copy.followers[i] = followers[i].copy();
    }
    for (int i = 0; i < MAX_WRITES; i++) {
      copy.writes[i] = writes[i].copy();
    }
    copy.writesSent = writesSent;
    copy.followerRestarts = followerRestarts;
    copy.leaderRestarts = leaderRestarts;
    copy.leaderEpoch = leaderEpoch;
    copy.leaderRevision = leaderRevision;
    copy.leaderDeclared = leaderDeclared;
    copy.storedEpoch = storedEpoch;
    copy.storedDeclaration = storedDeclaration;
    copy.storedRevision = storedRevision;
    return copy;
  }

  String key() {
    StringBuilder key = new StringBuilder(64);
    for (Follower follower : followers) {
      follower.appendKey(key);
    }
    for (DeclarationWrite write : writes) {
      append(key, write.declares, write.condition, write.epoch);
    }
    append(key, now, writesSent, followerRestarts, leaderRestarts);
    append(key, leaderEpoch, leaderRevision, leaderDeclared);
    append(key, storedEpoch, storedDeclaration, storedRevision);
    return key.toString();
  }

  /** True if the leader concludes that it may start work. */
  boolean mayStart() {
    if (leaderEpoch == 0) {
      return false;
    }
    return leaderDeclared == 1 || isPromiseInForce(followers[0]) || isPromiseInForce(followers[1]);
  }

  private boolean isPromiseInForce(Follower follower) {
    return follower.promiseCountedFrom != NONE && now < follower.promiseCountedFrom + PROMISE;
  }

  boolean maySuspect(Follower follower) {
    return now >= follower.agreesFrom
        && (follower.promisedAt == NONE || now >= follower.promisedAt + PROMISE);
  }

  /** The follower reads what the state service holds. */
  void read(Follower follower) {
    follower.knownRevision = storedRevision;
    follower.knownDeclaration = storedDeclaration;
    if (follower.knownEpoch != storedEpoch) {
      follower.knownEpoch = storedEpoch;
      follower.promisedAt = NONE;
      follower.agreedRevision = NONE;
      follower.agreesFrom = now + PROMISE;
    }
  }

  private static void append(StringBuilder key, int... values) {
    for (int value : values) {
      key.append((char) ('0' + value));
    }
  }
}
