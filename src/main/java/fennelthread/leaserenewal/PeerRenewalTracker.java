package fennelthread.leaserenewal;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.constants.PeerConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.peers.PeerHeartbeat;
import java.util.HashMap;
import java.util.Map;

/**
 * Computes a leader's upper bound on when a peer may last have renewed a worker's lease in its
 * place. A peer that answers a heartbeat can promise to abstain from renewals for a while, which
 * the leader counts from when the heartbeat was sent. After that the peer may renew while its last
 * exchange with the leader is recent enough. A peer's statement about its renewals counts only in
 * such an answer, because a heartbeat may arrive late. Used on the event loop's thread only.
 */
final class PeerRenewalTracker {
  private static final class PeerRenewals {
    String incarnation;

    /** When this leader sent the latest heartbeat that the peer answered with a promise, ms. */
    long abstainsSinceMs = PeerConstants.NEVER_MS;

    /** When this leader last answered a heartbeat of the peer in this epoch, ms. */
    long answeredAtMs = PeerConstants.NEVER_MS;

    /**
     * When the peer last renewed a lease according to its answers, or when one of its earlier
     * processes may last have done so, ms.
     */
    long renewedAtMs = PeerConstants.NEVER_MS;
  }

  private final long maxPeerRenewalWindowMs;
  private final Map<String, PeerRenewals> renewalsByMember = new HashMap<>();

  /**
   * Creates a tracker without renewals.
   *
   * @param maxPeerRenewalWindowMs how long after its last exchange with the leader a peer may
   *     renew, ms
   */
  PeerRenewalTracker(Iterable<String> members, long maxPeerRenewalWindowMs) {
    this.maxPeerRenewalWindowMs = maxPeerRenewalWindowMs;
    members.forEach(member -> renewalsByMember.put(member, new PeerRenewals()));
  }

  /** Starts a term of this controller: no peer can have renewed a lease in its place yet. */
  void startTerm() {
    renewalsByMember.replaceAll((member, renewals) -> new PeerRenewals());
  }

  /** Records that this controller, as the leader, answers a peer's heartbeat. */
  void recordOwnAnswer(PeerHeartbeat heartbeat, long nowMs) {
    PeerRenewals renewals = renewalsByMember.get(heartbeat.member());
    if (renewals != null) {
      observeIncarnation(renewals, heartbeat.incarnation(), nowMs);
      renewals.answeredAtMs = nowMs;
    }
  }

  /** Records a peer's answer to the heartbeat that was sent at {@code sentAtMs}. */
  void recordPeerAnswer(String member, PeerHeartbeat reply, long epoch, long sentAtMs, long nowMs) {
    PeerRenewals renewals = renewalsByMember.get(member);
    if (renewals == null || reply.renewal() == null) {
      return;
    }
    observeIncarnation(renewals, reply.incarnation(), nowMs);
    long renewedAgoMs = reply.renewal().renewedAgoMs();
    if (renewedAgoMs != PeerConstants.NEVER_RENEWED) {
      long minRenewedAgoMs = (long) (renewedAgoMs * (1 - 2 * ProtocolConstants.MAX_CLOCK_DRIFT));
      renewals.renewedAtMs = Math.max(renewals.renewedAtMs, nowMs - minRenewedAgoMs);
    }
    if (reply.renewal().abstainingForEpoch() == epoch) {
      renewals.abstainsSinceMs = Math.max(renewals.abstainsSinceMs, sentAtMs);
    }
  }

  /** A new process can't say what its predecessor renewed: the latest possible is assumed. */
  private void observeIncarnation(PeerRenewals renewals, String incarnation, long nowMs) {
    if (renewals.incarnation != null && !renewals.incarnation.equals(incarnation)) {
      renewals.renewedAtMs =
          Math.max(renewals.renewedAtMs, latestUnreportedRenewalMs(renewals, nowMs));
      renewals.answeredAtMs = PeerConstants.NEVER_MS;
      renewals.abstainsSinceMs = PeerConstants.NEVER_MS;
    }
    renewals.incarnation = incarnation;
  }

  /**
   * The latest moment at which the peer may have renewed a lease without having reported it, ms;
   * {@link PeerConstants#NEVER_MS} while its promise to abstain is in force.
   */
  private long latestUnreportedRenewalMs(PeerRenewals renewals, long nowMs) {
    long minAbstentionMs =
        (long)
                (LeaseRenewalConstants.RENEWAL_ABSTENTION_MS
                    * (1 - 2 * ProtocolConstants.MAX_CLOCK_DRIFT))
            - ProtocolConstants.LEASE_MARGIN_MS;
    return nowMs <= renewals.abstainsSinceMs + minAbstentionMs
        ? PeerConstants.NEVER_MS
        : Math.min(nowMs, renewals.answeredAtMs + maxPeerRenewalWindowMs);
  }

  /** The latest moment at which a peer may have renewed a lease in this epoch, ms. */
  long latestPossibleRenewalMs(long nowMs) {
    long latestMs = PeerConstants.NEVER_MS;
    for (PeerRenewals renewals : renewalsByMember.values()) {
      long peerLatestMs =
          Math.max(renewals.renewedAtMs, latestUnreportedRenewalMs(renewals, nowMs));
      latestMs = Math.max(latestMs, peerLatestMs);
    }
    return latestMs;
  }
}
