package fennelthread.zones;

import fennelthread.constants.ZoneConstants;
import java.util.ArrayDeque;

/**
 * The state machine of one zone as the leader sees it. A zone that is cut off and one that is dead
 * look alike from outside; what is done in each phase must be right for both (docs/zones.md).
 *
 * <p>Holds no clock: evidence and time are passed in.
 */
final class ZoneState {

  /** The phases of a zone. */
  enum Phase {
    /** Its machines are in contact. */
    HEALTHY,
    /** Many machines are silent, but not most: a rack, or a partial cut. */
    DEGRADED,
    /** Most or all machines are silent at once; they may be back at any moment. */
    UNREACHABLE,
    /**
     * Unreachable for longer than its machines' leases can have lasted: what was there has ended or
     * will be ended.
     */
    LOST,
    /** Most machines are in contact again; trusted once that has been stable for a while. */
    RECOVERING
  }

  /**
   * What is observed of a zone at one moment.
   *
   * @param known number of machines that are judged
   * @param silent number of those that are silent
   * @param zoneSilenceMs for how long nothing at all has arrived from the zone, ms, or 0 if that
   *     may be chance
   * @param othersInContact whether the machines of other zones are in contact
   */
  record Evidence(int known, int silent, long zoneSilenceMs, boolean othersInContact) {
    double silentShare() {
      return known == 0 ? 0 : silent / (double) known;
    }

    /** Returns true if the machines' silence means anything. */
    boolean isConclusive() {
      return known >= ZoneConstants.MIN_MACHINES && othersInContact;
    }

    boolean showsUnreachable() {
      return isConclusive()
          && (silentShare() >= ZoneConstants.UNREACHABLE_SHARE || zoneSilenceMs > 0);
    }

    boolean showsDegraded() {
      return isConclusive() && silentShare() > ZoneConstants.DEGRADED_SHARE;
    }

    boolean showsRecovery() {
      return silentShare() < ZoneConstants.RECOVERY_SHARE && zoneSilenceMs <= 0;
    }
  }

  private final ArrayDeque<Long> outagesAtMs = new ArrayDeque<>();
  private Phase phase = Phase.HEALTHY;
  private long phaseSinceMs;
  private long silentSinceMs;
  private long lastUnreachableAtMs = Long.MIN_VALUE / 2;
  private long stableSinceMs = -1;

  /** Applies what is observed; returns true if the phase has changed. */
  boolean observe(Evidence evidence, long leaseMs, long nowMs) {
    Phase before = phase;
    switch (phase) {
      case HEALTHY, DEGRADED, RECOVERING -> observeReachable(evidence, nowMs);
      case UNREACHABLE, LOST -> observeUnreachable(evidence, leaseMs, nowMs);
    }
    if (isUnreachable()) {
      lastUnreachableAtMs = nowMs;
    }
    return before != phase;
  }

  private void observeReachable(Evidence evidence, long nowMs) {
    if (evidence.showsUnreachable()) {
      silentSinceMs = nowMs - Math.max(0, evidence.zoneSilenceMs);
      outagesAtMs.add(nowMs);
      transitionTo(Phase.UNREACHABLE, nowMs);
    } else if (phase == Phase.RECOVERING) {
      observeRecovering(evidence, nowMs);
    } else {
      transitionTo(evidence.showsDegraded() ? Phase.DEGRADED : Phase.HEALTHY, nowMs);
    }
  }

  private void observeUnreachable(Evidence evidence, long leaseMs, long nowMs) {
    if (evidence.showsRecovery()) {
      stableSinceMs = -1;
      transitionTo(Phase.RECOVERING, nowMs);
    } else if (nowMs - silentSinceMs > leaseMs * ZoneConstants.LOST_LEASES) {
      transitionTo(Phase.LOST, nowMs);
    }
  }

  private void observeRecovering(Evidence evidence, long nowMs) {
    if (evidence.silentShare() > ZoneConstants.STABLE_SHARE) {
      stableSinceMs = -1;
    } else if (stableSinceMs < 0) {
      stableSinceMs = nowMs;
    } else if (nowMs - stableSinceMs > requiredStableMs(nowMs)) {
      transitionTo(Phase.HEALTHY, nowMs);
    }
  }

  /**
   * Returns how long a zone that is back must be stable to be trusted, ms: twice as long for each
   * further outage that is remembered.
   */
  private long requiredStableMs(long nowMs) {
    outagesAtMs.removeIf(atMs -> nowMs - atMs > ZoneConstants.OUTAGE_MEMORY_MS);
    long requiredMs = ZoneConstants.MIN_STABLE_MS;
    for (int i = 1; i < outagesAtMs.size() && requiredMs < ZoneConstants.MAX_STABLE_MS; i++) {
      requiredMs *= 2;
    }
    return Math.min(requiredMs, ZoneConstants.MAX_STABLE_MS);
  }

  /** Changes the phase; the only place that does. */
  private void transitionTo(Phase next, long nowMs) {
    if (next != phase) {
      phase = next;
      phaseSinceMs = nowMs;
    }
  }

  /** Returns the current phase. */
  Phase phase() {
    return phase;
  }

  /** Returns true if its machines' silence is the zone's. */
  boolean isUnreachable() {
    return phase == Phase.UNREACHABLE || phase == Phase.LOST;
  }

  /** Returns when it was last seen unreachable, ms; in the far past if it never was. */
  long lastUnreachableAtMs() {
    return lastUnreachableAtMs;
  }

  /** Returns since when it has been silent, ms; only meaningful while it is unreachable. */
  long silentSinceMs() {
    return silentSinceMs;
  }

  /** Returns since when it has been in its phase, ms. */
  long phaseSinceMs() {
    return phaseSinceMs;
  }
}
