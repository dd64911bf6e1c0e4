package fennelthread.zones;

import fennelthread.constants.ZoneConstants;
import java.util.ArrayDeque;

/**
 * One zone as the leader sees it. Pure: evidence and time are told. A zone that is cut off and one
 * that is dead look alike from outside; what is done in each phase must be right for both
 * (docs/zones.md).
 */
final class Zone {

  /** How the zone looks. */
  enum Phase {
    /** Its machines are heard. */
    WHOLE,
    /** Many are silent, but not most: a rack, or a cut in part. */
    PARTLY,
    /** Most or all are silent at once: it is away, and may be back at any moment. */
    SILENT,
    /**
     * Away for longer than its machines' leases can have run: what was there is gone or will be
     * ended.
     */
    LOST,
    /** Most are heard again: trusted after a while. */
    RETURNING
  }

  /** What is seen at one moment. */
  record Evidence(int known, int silent, long silentForMs, boolean othersHeard) {
    double share() {
      return known == 0 ? 0 : silent / (double) known;
    }
  }

  private final ArrayDeque<Long> losses = new ArrayDeque<>();
  private Phase phase = Phase.WHOLE;
  private long sinceMs;
  private long silentSinceMs;
  private long lastUnreachableAtMs = Long.MIN_VALUE / 2;
  private long calmSinceMs = -1;

  /** Takes note of what is seen; true if the phase has changed. */
  boolean look(Evidence e, long leaseMs, long nowMs) {
    Phase before = phase;
    boolean judged = e.known >= ZoneConstants.LEAST_MACHINES && e.othersHeard;
    boolean silent = judged && (e.share() >= ZoneConstants.SILENT_SHARE || e.silentForMs > 0);
    switch (phase) {
      case WHOLE, PARTLY, RETURNING -> {
        if (silent) {
          silentSinceMs = nowMs - Math.max(0, e.silentForMs);
          losses.add(nowMs);
          transitionTo(Phase.SILENT, nowMs);
        } else if (phase == Phase.RETURNING) {
          settle(e, nowMs);
        } else {
          boolean partly = judged && e.share() > ZoneConstants.PARTLY_SHARE;
          transitionTo(partly ? Phase.PARTLY : Phase.WHOLE, nowMs);
        }
      }
      case SILENT, LOST -> {
        if (e.share() < ZoneConstants.BACK_SHARE && e.silentForMs <= 0) {
          calmSinceMs = -1;
          transitionTo(Phase.RETURNING, nowMs);
        } else if (nowMs - silentSinceMs > leaseMs * ZoneConstants.LOST_LEASES) {
          transitionTo(Phase.LOST, nowMs);
        }
      }
    }
    if (isUnreachable()) {
      lastUnreachableAtMs = nowMs;
    }
    return before != phase;
  }

  private void settle(Evidence e, long nowMs) {
    if (e.share() > ZoneConstants.CALM_SHARE) {
      calmSinceMs = -1;
    } else if (calmSinceMs < 0) {
      calmSinceMs = nowMs;
    } else if (nowMs - calmSinceMs > trustMs(nowMs)) {
      transitionTo(Phase.WHOLE, nowMs);
    }
  }

  /** How long a zone that is back must be calm: longer each time that it was away lately, ms. */
  long trustMs(long nowMs) {
    losses.removeIf(at -> nowMs - at > ZoneConstants.MEMORY_MS);
    long trust = ZoneConstants.TRUST_MS;
    for (int i = 1; i < losses.size() && trust < ZoneConstants.TRUST_MOST_MS; i++) {
      trust *= 2;
    }
    return Math.min(trust, ZoneConstants.TRUST_MOST_MS);
  }

  /** The only place where the phase changes. */
  private void transitionTo(Phase next, long nowMs) {
    if (next != phase) {
      phase = next;
      sinceMs = nowMs;
    }
  }

  Phase phase() {
    return phase;
  }

  /** True if its machines' silence is the zone's. */
  boolean isUnreachable() {
    return phase == Phase.SILENT || phase == Phase.LOST;
  }

  /** When it was last seen away, ms. */
  long lastUnreachableAtMs() {
    return lastUnreachableAtMs;
  }

  /** Since when nothing is heard of it, ms; only meaningful while it is away. */
  long silentSinceMs() {
    return silentSinceMs;
  }

  /** Since when it is in its phase, ms. */
  long sinceMs() {
    return sinceMs;
  }
}
