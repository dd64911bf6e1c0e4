package fennelthread.leaserenewal;

import fennelthread.constants.PeerConstants;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.peers.RenewalStatus;
import fennelthread.state.Replica;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the moment up to which this controller knows every cancellation disclosed to a user. The
 * replica of the state gives one such moment. During an outage of the state service no new
 * cancellation is recorded, and the peers together give another: each lists the cancellations that
 * it may have disclosed, and it can't disclose one that it does not know.
 *
 * <p>A new process of a peer can't list what its predecessor disclosed. Its list counts only once
 * the replica is current as of a moment after that process was first heard from. Used on the event
 * loop's thread only.
 */
final class CancellationWatermark {
  private static final class PeerProgress {
    String incarnation;

    /** When this incarnation was first heard from, ms. */
    long firstHeardAtMs = Long.MAX_VALUE;

    /** The number of the last entry received from its log. */
    long logPosition;

    /** The moment up to which all entries of its log have been received, ms. */
    long completeUntilMs = PeerConstants.NEVER_MS;
  }

  private final Replica replica;
  private final CancellationLog cancellations;
  private final Map<String, PeerProgress> progressByMember = new HashMap<>();

  CancellationWatermark(Replica replica, Iterable<String> members, CancellationLog cancellations) {
    this.replica = replica;
    this.cancellations = cancellations;
    members.forEach(member -> progressByMember.put(member, new PeerProgress()));
  }

  /** The moment up to which all disclosed cancellations are known, ms of the local clock. */
  long completeUntilMs() {
    long replicaMs = replica.currentAsOfMs();
    // Without peers, only this controller discloses cancellations.
    long peersMs = Long.MAX_VALUE / 2;
    for (PeerProgress progress : progressByMember.values()) {
      boolean isListValid = progress.firstHeardAtMs < replicaMs;
      peersMs = Math.min(peersMs, isListValid ? progress.completeUntilMs : PeerConstants.NEVER_MS);
    }
    return Math.max(replicaMs, peersMs);
  }

  /** The number in a peer's log after which further entries are to be requested. */
  long logPosition(String member) {
    return progressByMember.get(member).logPosition;
  }

  /**
   * Records a peer's answer to the heartbeat that was sent at {@code sentAtMs} and requested the
   * entries after {@link #logPosition}.
   */
  void recordAnswer(String member, PeerHeartbeat reply, long sentAtMs, long nowMs) {
    PeerProgress progress = progressByMember.get(member);
    RenewalStatus status = reply.renewal();
    if (progress == null || status == null) {
      return;
    }
    status.cancelledJobIds().forEach(cancellations::recordEnded);
    boolean hasMissingEntries = !status.complete() && status.cancelledJobIds().isEmpty();
    if (hasMissingEntries || !reply.incarnation().equals(progress.incarnation)) {
      // Entries may be missing: only the replica covers what came before this answer.
      progress.incarnation = reply.incarnation();
      progress.firstHeardAtMs = nowMs;
      progress.logPosition = status.lastNumber();
      progress.completeUntilMs = PeerConstants.NEVER_MS;
    } else if (status.lastNumber() >= progress.logPosition) {
      progress.logPosition = status.lastNumber();
      if (status.complete()) {
        progress.completeUntilMs = Math.max(progress.completeUntilMs, sentAtMs);
      }
    }
  }
}
