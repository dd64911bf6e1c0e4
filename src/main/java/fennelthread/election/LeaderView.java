package fennelthread.election;

import fennelthread.constants.ElectionConstants;
import fennelthread.constants.ProtocolConstants;

/**
 * One follower's failure detector for the leader of one epoch: what the follower has promised that
 * leader, and whether it may agree to a takeover. Has no clock of its own: each call passes the
 * time, ms of the local clock.
 */
public final class LeaderView {

  /** What the follower concludes about the leader. */
  public enum Phase {
    /**
     * The leader counts as alive: since the epoch began, or since the last promise, no check has
     * found it silent.
     */
    TRUSTED,
    /**
     * No heartbeat has arrived for the silence timeout and no promise is in force: the follower
     * asks the others for agreement to a takeover.
     */
    SUSPECTED,
    /**
     * The follower has agreed to a takeover, or may have done so before this process started. It
     * makes no promise until the leader has rewritten its {@link UnilateralLeadership} declaration,
     * after which no takeover that was agreed on before can be applied.
     */
    AGREED_TO_TAKEOVER
  }

  private final long[] heartbeatGapsMs = new long[ElectionConstants.HEARTBEAT_GAPS];
  private Phase phase = Phase.AGREED_TO_TAKEOVER;
  private long epoch = -1;
  private long agreedRevision = Long.MAX_VALUE;
  private long epochSinceMs;
  private long promisedUntilMs = Long.MIN_VALUE;
  private long lastHeartbeatAtMs;
  private long lastCheckAtMs = Long.MIN_VALUE / 2;
  private long lateCheckAtMs;
  private int gapCount;

  /**
   * Begins the view of a new process, possibly in the middle of an epoch. The process can't know
   * what its predecessor promised or agreed to, so it counts as having agreed to a takeover.
   *
   * @param stateRevision the revision of the state that this process has read
   */
  public void beginAfterRestart(long currentEpoch, long stateRevision, long nowMs) {
    beginEpoch(currentEpoch, nowMs);
    agreedRevision = stateRevision;
    transitionTo(Phase.AGREED_TO_TAKEOVER);
  }

  /** Begins a later epoch: promises and agreements of earlier ones no longer count. */
  public void beginEpoch(long newEpoch, long nowMs) {
    epoch = newEpoch;
    epochSinceMs = nowMs;
    lastHeartbeatAtMs = nowMs;
    promisedUntilMs = Long.MIN_VALUE;
    gapCount = 0;
    transitionTo(Phase.TRUSTED);
  }

  /**
   * Records a heartbeat of the leader. Promises not to agree to a takeover for at least {@link
   * ElectionConstants#PROMISE_MS}, unless a takeover agreed on earlier may still be applied.
   *
   * @param declarationRevision the revision of the leader's declaration in the local replica
   * @return the epoch that the promise is for, 0 if none is given
   */
  public long promiseOnHeartbeat(long leaderEpoch, long declarationRevision, long nowMs) {
    if (leaderEpoch != epoch) {
      return 0;
    }
    heartbeatGapsMs[gapCount++ % heartbeatGapsMs.length] = nowMs - lastHeartbeatAtMs;
    lastHeartbeatAtMs = nowMs;
    if (phase == Phase.AGREED_TO_TAKEOVER && declarationRevision <= agreedRevision) {
      return 0;
    }
    transitionTo(Phase.TRUSTED);
    promisedUntilMs =
        nowMs
            + (long) (ElectionConstants.PROMISE_MS * (1 + 2 * ProtocolConstants.MAX_CLOCK_DRIFT))
            + ProtocolConstants.LEASE_MARGIN_MS;
    return epoch;
  }

  /**
   * Checks whether the leader is silent; to be called every {@link
   * ElectionConstants#CHECK_INTERVAL_MS}. A late check means that this process was stalled and may
   * have unread heartbeats: silence then counts from that check.
   *
   * @return true if the leader is silent, whatever the phase
   */
  public boolean checkSilence(long nowMs) {
    if (nowMs - lastCheckAtMs > ElectionConstants.CHECK_LATE_MS) {
      lateCheckAtMs = nowMs;
    }
    lastCheckAtMs = nowMs;
    boolean isLeaderSilent = isSilent(nowMs);
    if (phase == Phase.TRUSTED && isLeaderSilent) {
      transitionTo(Phase.SUSPECTED);
    }
    return isLeaderSilent;
  }

  /**
   * True if the last promise has expired, the epoch is old enough, and no heartbeat has arrived for
   * the silence timeout: a multiple of the longest recent gap, but no less than a promise lasts.
   */
  private boolean isSilent(long nowMs) {
    long longestGapMs = 0;
    for (int i = 0; i < Math.min(gapCount, heartbeatGapsMs.length); i++) {
      longestGapMs = Math.max(longestGapMs, heartbeatGapsMs[i]);
    }
    long timeoutMs =
        Math.max(
            ElectionConstants.PROMISE_MS,
            (long) (longestGapMs * ElectionConstants.SILENCE_GAP_FACTOR));
    return nowMs > promisedUntilMs
        && nowMs - Math.max(lastHeartbeatAtMs, lateCheckAtMs) > timeoutMs
        && nowMs - epochSinceMs > ElectionConstants.MIN_EPOCH_MS;
  }

  /**
   * Agrees to a takeover from the leader of an epoch, if that leader is silent for this follower
   * too. From then on it makes no promise until the leader's declaration is newer than {@code
   * declarationRevision}, on which the takeover is conditional.
   *
   * @return true if this follower agrees
   */
  public boolean agreeToTakeover(long fromEpoch, long declarationRevision, long nowMs) {
    if (fromEpoch != epoch || !isSilent(nowMs)) {
      return false;
    }
    agreedRevision =
        phase == Phase.AGREED_TO_TAKEOVER
            ? Math.max(agreedRevision, declarationRevision)
            : declarationRevision;
    transitionTo(Phase.AGREED_TO_TAKEOVER);
    return true;
  }

  /** The only place where the phase changes. */
  private void transitionTo(Phase next) {
    phase = next;
  }

  /** What the follower concludes about the leader. */
  public Phase phase() {
    return phase;
  }

  /** The epoch of the observed leader, -1 before the first. */
  public long epoch() {
    return epoch;
  }

  /** The time since the leader's last heartbeat, ms. */
  public long silentMs(long nowMs) {
    return nowMs - lastHeartbeatAtMs;
  }
}
