package fennelthread.election;

import fennelthread.constants.ElectionConstants;
import fennelthread.constants.ProtocolConstants;

/**
 * One follower's view of the leader of one epoch: what it has promised, and whether it may help to
 * take over. Pure: time is told.
 */
public final class LeaderView {

  /** How the leader looks from here. */
  public enum Phase {
    /** Heartbeats come in, and a promise is in force. */
    HEARD,
    /** None has come in for longer than they ever take: worth asking the others. */
    SUSPECTED,
    /**
     * We have agreed to a takeover, or may have before this process began: nothing is promised
     * until the leader has written {@link UnilateralLeadership} anew, which makes void whatever was
     * agreed on before.
     */
    BOUND
  }

  private final long[] gapsMs = new long[ElectionConstants.HEARTBEAT_GAPS];
  private Phase phase = Phase.BOUND;
  private long epoch = -1;
  private long boundRevision = Long.MAX_VALUE;
  private long sinceMs;
  private long promisedUntilMs = Long.MIN_VALUE;
  private long heardAtMs;
  private long lookedAtMs = Long.MIN_VALUE / 2;
  private long awakeSinceMs;
  private int gaps;
  private long suspicions;
  private long refuted;

  /**
   * The process has begun, in the middle of an epoch: what it agreed to or promised before its end
   * it has forgotten.
   */
  public void born(long inEpoch, long atRevision, long nowMs) {
    begin(inEpoch, nowMs);
    boundRevision = atRevision;
    moveTo(Phase.BOUND);
  }

  /** A later epoch has begun: nothing of earlier ones counts any more. */
  public void begin(long newEpoch, long nowMs) {
    epoch = newEpoch;
    sinceMs = nowMs;
    heardAtMs = nowMs;
    promisedUntilMs = Long.MIN_VALUE;
    gaps = 0;
    moveTo(Phase.HEARD);
  }

  /**
   * The leader has onHeartbeat us: promises for a while not to help anyone take over from it.
   *
   * @param soloRevision the revision of the leader's word, as far as our copy of the state goes
   * @return the epoch that the promise is for, 0 if none is given
   */
  public long onHeartbeat(long byEpoch, long soloRevision, long nowMs) {
    if (byEpoch != epoch) {
      return 0;
    }
    gapsMs[gaps++ % gapsMs.length] = nowMs - heardAtMs;
    heardAtMs = nowMs;
    if (phase == Phase.BOUND && soloRevision <= boundRevision) {
      return 0;
    }
    if (phase == Phase.SUSPECTED) {
      refuted++;
    }
    moveTo(Phase.HEARD);
    promisedUntilMs =
        nowMs
            + (long) (ElectionConstants.PROMISE_MS * (1 + 2 * ProtocolConstants.CLOCK_DRIFT))
            + ProtocolConstants.LEASE_MARGIN_MS;
    return epoch;
  }

  /**
   * Looks; to be called every {@link ElectionConstants#VIEW_MS}. While our own timers run late we
   * were not listening: what came in meanwhile waits to be read, and suspicion begins anew.
   *
   * @return true if the leader is suspect
   */
  public boolean look(long nowMs) {
    if (nowMs - lookedAtMs > ElectionConstants.VIEW_LATE_MS) {
      awakeSinceMs = nowMs;
    }
    lookedAtMs = nowMs;
    boolean silent = isSilent(nowMs);
    if (phase == Phase.HEARD && silent) {
      suspicions++;
      moveTo(Phase.SUSPECTED);
    }
    return silent;
  }

  /** True if the leader is silent for longer than it ever was, and our last promise is over. */
  private boolean isSilent(long nowMs) {
    long longest = 0;
    for (int i = 0; i < Math.min(gaps, gapsMs.length); i++) {
      longest = Math.max(longest, gapsMs[i]);
    }
    long patience =
        Math.max(
            ElectionConstants.PROMISE_MS,
            (long) (longest * ElectionConstants.HEARTBEAT_GAPS_MISSED));
    return nowMs > promisedUntilMs
        && nowMs - Math.max(heardAtMs, awakeSinceMs) > patience
        && nowMs - sinceMs > ElectionConstants.TAKEOVER_GAP_MS;
  }

  /**
   * Agrees to a takeover from the leader of an epoch, if it is silent here too. That binds us:
   * nothing is promised any more until the leader's word is newer than {@code soloRevision}, on
   * which the takeover is conditional.
   */
  public boolean agree(long ofEpoch, long soloRevision, long nowMs) {
    if (ofEpoch != epoch || !isSilent(nowMs)) {
      return false;
    }
    boundRevision = phase == Phase.BOUND ? Math.max(boundRevision, soloRevision) : soloRevision;
    moveTo(Phase.BOUND);
    return true;
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next) {
    phase = next;
  }

  /** How the leader looks. */
  public Phase phase() {
    return phase;
  }

  /** The epoch that this is the view of. */
  public long epoch() {
    return epoch;
  }

  /** For how long nothing was heard of the leader, ms. */
  public long silentMs(long nowMs) {
    return nowMs - heardAtMs;
  }

  /** How often a leader was suspected. */
  public long suspicions() {
    return suspicions;
  }

  /** How often one that was suspected onHeartbeat again. */
  public long refuted() {
    return refuted;
  }
}
