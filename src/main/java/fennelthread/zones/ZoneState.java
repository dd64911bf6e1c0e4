package fennelthread.zones;

import fennelthread.constants.ZoneConstants;
import java.util.ArrayDeque;

/**
 * The state machine of one zone, driven by what the leader observes. The leader cannot distinguish
 * a zone that is partitioned off from one that has failed, so its actions in each phase must be
 * safe in both cases (docs/zones.md).
 *
 * <p>Reads no clock: evidence and time are passed in. Not thread-safe.
 */
final class ZoneState {

  /** The phases of a zone. */
  enum Phase {
    /** Its machines are in contact, apart from single ones. */
    HEALTHY,
    /**
     * Many machines are silent, but not most: for example, a rack has failed, or the network is
     * partially partitioned.
     */
    DEGRADED,
    /** Most or all machines are silent at once; contact may return at any moment. */
    UNREACHABLE,
    /**
     * Unreachable for longer than its machines' leases last: workers kill their tasks when their
     * lease expires, so the tasks there count as lost.
     */
    LOST,
    /**
     * Most machines are in contact again; the zone counts as healthy once almost all have been for
     * some time.
     */
    RECOVERING
  }

  /**
   * What is observed of a zone at one moment, as evidence for or against an outage.
   *
   * @param machines number of its machines that are counted
   * @param silentMachines number of those that are silent
   * @param zoneSilenceMs for how long there has been no contact with any of its machines, ms, or 0
   *     if that may be chance
   * @param areOthersInContact whether the machines of other zones are in contact
   */
  record Evidence(
      int machines, int silentMachines, long zoneSilenceMs, boolean areOthersInContact) {
    double silentShare() {
      return machines == 0 ? 0 : silentMachines / (double) machines;
    }

    /**
     * Returns true if the silence of machines can be attributed to the zone: there are enough
     * machines, and the fault is not on this controller's side.
     */
    boolean isConclusive() {
      return machines >= ZoneConstants.MIN_MACHINES && areOthersInContact;
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

  /** When the recent outages began, ms. */
  private final ArrayDeque<Long> outageStartsMs = new ArrayDeque<>();

  private Phase phase = Phase.HEALTHY;
  private long phaseSinceMs;
  private long silentSinceMs;
  private long lastUnreachableAtMs = Long.MIN_VALUE / 2;
  private long stableSinceMs = -1;

  /** Applies what is observed at {@code nowMs}; returns true if the phase has changed. */
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
      outageStartsMs.add(nowMs);
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
   * Returns how long a recovering zone must be stable to count as healthy, ms; doubles with each
   * further recent outage. Drops outages that are older than {@link
   * ZoneConstants#OUTAGE_MEMORY_MS}.
   */
  private long requiredStableMs(long nowMs) {
    outageStartsMs.removeIf(atMs -> nowMs - atMs > ZoneConstants.OUTAGE_MEMORY_MS);
    long requiredMs = ZoneConstants.MIN_STABLE_MS;
    for (int i = 1; i < outageStartsMs.size() && requiredMs < ZoneConstants.MAX_STABLE_MS; i++) {
      requiredMs *= 2;
    }
    return Math.min(requiredMs, ZoneConstants.MAX_STABLE_MS);
  }

  /** Changes the phase; no other method does. */
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

  /** Returns true if the silence of its machines is attributed to the zone as a whole. */
  boolean isUnreachable() {
    return phase == Phase.UNREACHABLE || phase == Phase.LOST;
  }

  /** Returns when the zone was last observed unreachable, ms; in the far past if it never was. */
  long lastUnreachableAtMs() {
    return lastUnreachableAtMs;
  }

  /**
   * Returns from when the zone's silence is counted, ms: from the start of its complete silence,
   * or, if some of its machines were still in contact, from when it was observed to be unreachable.
   * Valid only while it is unreachable.
   */
  long silentSinceMs() {
    return silentSinceMs;
  }

  /** Returns when the zone entered its current phase, ms. */
  long phaseSinceMs() {
    return phaseSinceMs;
  }
}
