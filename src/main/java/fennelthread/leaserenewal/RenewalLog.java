package fennelthread.leaserenewal;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.constants.PeerConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.peers.PeerHeartbeat;
import java.util.HashMap;
import java.util.Map;

/**
 * What a leader knows of its peers' keeping: the last moment at which one of them may have answered
 * a report in its place. A peer that answers a heartbeat promises to keep nothing for a while,
 * which the leader counts from before the heartbeat left; beyond that it may, until its own last
 * word from us is too old. Its word that it kept nothing counts only in such an answer, since a
 * heartbeat may arrive late.
 */
final class RenewalLog {
  private static final class Peer {
    String incarnation;

    /** Before our last heartbeat that it answered with a promise left, ms. */
    long stillSinceMs = Long.MIN_VALUE / 2;

    /** When we last answered it as the leader of this epoch, ms. */
    long answeredAtMs = Long.MIN_VALUE / 2;

    /** When it last kept a lease alive, as far as it has said or may have, ms. */
    long keptAtMs = Long.MIN_VALUE / 2;
  }

  private final long keptAtMostMs;
  private final Map<String, Peer> peers = new HashMap<>();

  /**
   * Creates an empty one.
   *
   * @param keptAtMostMs for how long after our last word to it a peer may keep, ms
   */
  RenewalLog(Iterable<String> members, long keptAtMostMs) {
    this.keptAtMostMs = keptAtMostMs;
    members.forEach(m -> peers.put(m, new Peer()));
  }

  /** A term of ours begins: nobody can have kept anything for its leader yet. */
  void begin() {
    peers.replaceAll((member, s) -> new Peer());
  }

  /** We answer a peer's heartbeat as the leader. */
  void weAnswer(PeerHeartbeat asked, long nowMs) {
    Peer s = peers.get(asked.member());
    if (s != null) {
      born(s, asked.incarnation(), nowMs);
      s.answeredAtMs = nowMs;
    }
  }

  /** A peer has answered the heartbeat that left at {@code sentAtMs}. */
  void answered(String member, PeerHeartbeat reply, long epoch, long sentAtMs, long nowMs) {
    Peer s = peers.get(member);
    if (s == null || reply.keep() == null) {
      return;
    }
    born(s, reply.incarnation(), nowMs);
    long ago = reply.keep().keptMsAgo();
    if (ago != PeerConstants.KEPT_NEVER) {
      s.keptAtMs =
          Math.max(s.keptAtMs, nowMs - (long) (ago * (1 - 2 * ProtocolConstants.CLOCK_DRIFT)));
    }
    if (reply.keep().still() == epoch) {
      s.stillSinceMs = Math.max(s.stillSinceMs, sentAtMs);
    }
  }

  /** A new process can't say what the one before it kept. */
  private void born(Peer s, String incarnation, long nowMs) {
    if (s.incarnation != null && !s.incarnation.equals(incarnation)) {
      s.keptAtMs = Math.max(s.keptAtMs, mayHaveKept(s, nowMs));
      s.answeredAtMs = Long.MIN_VALUE / 2;
      s.stillSinceMs = Long.MIN_VALUE / 2;
    }
    s.incarnation = incarnation;
  }

  private long mayHaveKept(Peer s, long nowMs) {
    long still =
        (long) (LeaseRenewalConstants.KEEP_STILL_MS * (1 - 2 * ProtocolConstants.CLOCK_DRIFT))
            - ProtocolConstants.LEASE_MARGIN_MS;
    return nowMs <= s.stillSinceMs + still
        ? Long.MIN_VALUE / 2
        : Math.min(nowMs, s.answeredAtMs + keptAtMostMs);
  }

  /** The last moment at which a peer may have answered a report for this epoch, ms. */
  long lastKeptMs(long nowMs) {
    long latest = Long.MIN_VALUE / 2;
    for (Peer s : peers.values()) {
      latest = Math.max(latest, Math.max(s.keptAtMs, mayHaveKept(s, nowMs)));
    }
    return latest;
  }
}
