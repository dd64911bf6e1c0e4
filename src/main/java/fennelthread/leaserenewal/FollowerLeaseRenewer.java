package fennelthread.leaserenewal;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.constants.PeerConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.peers.HeartbeatExtension;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.peers.RenewalStatus;
import fennelthread.settings.Settings;
import fennelthread.state.Replica;
import fennelthread.wire.WorkerReport;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Renews workers' leases as a follower while the leader is silent: in a zone that is cut off, or
 * between a leader's failure and the next claim while the state service is down. It answers
 * workers' reports under the fencing token that they already obey, and stops tasks of jobs that are
 * known to have ended; it starts none. {@link RenewalBounds} and {@link CancellationWatermark}
 * limit for how long. {@link PeerRenewalTracker} bounds, on the leader, when a follower may last
 * have renewed. docs/lease-renewal.md has the reasons. Used on the event loop's thread only.
 */
public final class FollowerLeaseRenewer implements HeartbeatExtension {
  private static final Logger log = LoggerFactory.getLogger(FollowerLeaseRenewer.class);

  /** Whether this controller renews leases in place of another controller that leads. */
  private enum Phase {
    /**
     * It renews none: the leader is heard from, renewal is not allowed, or no report has arrived.
     */
    STANDBY,
    /** It answers reports in place of the silent leader. */
    RENEWING
  }

  private final EventLoop eventLoop;
  private final PeerHeartbeats peers;
  private final LeadershipStatus leadership;
  private final CancellationLog cancellations;
  private final CancellationWatermark watermark;
  private final ReportResponseGate responseGate;
  private final PeerRenewalTracker peerRenewals;
  private final long renewalWindowMs;
  private final long maxPeerRenewalWindowMs;
  private Phase phase = Phase.STANDBY;
  private long leaderEpoch;
  private long lastExchangeAtMs = PeerConstants.NEVER_MS;
  private long abstainUntilMs = PeerConstants.NEVER_MS;
  private long lastRenewalAtMs = PeerConstants.NEVER_MS;
  private long renewalCount;

  /** Creates the renewer of one controller and adds it to the heartbeats between controllers. */
  public FollowerLeaseRenewer(
      EventLoop eventLoop,
      Settings settings,
      PeerHeartbeats peers,
      CancellationLog cancellations,
      Replica replica,
      LeadershipStatus leadership) {
    this.eventLoop = eventLoop;
    this.peers = peers;
    this.leadership = leadership;
    this.cancellations = cancellations;
    List<String> members = settings.peers().stream().map(Settings.Peer::member).toList();
    this.watermark = new CancellationWatermark(replica, members, cancellations);
    this.renewalWindowMs = RenewalBounds.renewalWindowMs(settings.workers());
    this.maxPeerRenewalWindowMs = RenewalBounds.maxPeerRenewalWindowMs(settings.workers());
    this.responseGate =
        new ReportResponseGate(eventLoop, watermark, cancellations, renewalWindowMs);
    this.peerRenewals = new PeerRenewalTracker(members, maxPeerRenewalWindowMs);
    peers.addExtension(this);
  }

  /** The gate for all of this process's answers to reports, whether it leads or follows. */
  public ReportResponseGate responseGate() {
    return responseGate;
  }

  // ---------------------------------------------------------------- as the leader

  /** Starts a term of this controller: peers' renewals are tracked anew. */
  public void onElected() {
    peerRenewals.startTerm();
    transitionTo(Phase.STANDBY);
  }

  /** The latest moment at which a peer may have renewed a lease in this leader's epoch, ms. */
  public long latestPossiblePeerRenewalMs() {
    return peerRenewals.latestPossibleRenewalMs(eventLoop.nowMs());
  }

  /**
   * The moment since which no controller answers reports for an epoch older than {@code epoch}, ms;
   * {@code Long.MAX_VALUE} while one may do so without a time limit.
   *
   * @param unboundedEpoch the last epoch whose leader may be of a version that answers without a
   *     time limit, 0 for none
   */
  public long olderEpochsSilentSinceMs(long epoch, long electedAtMs, long unboundedEpoch) {
    return peers.acknowledgedSinceMs(epoch, electedAtMs + maxPeerRenewalWindowMs, unboundedEpoch);
  }

  // ---------------------------------------------------------------- heartbeats

  @Override
  public PeerHeartbeat extendHeartbeat(String member, PeerHeartbeat heartbeat) {
    boolean receiverHeard = peers.silentMs(member) < PeerConstants.PEER_SILENT_MS;
    return heartbeat.withRenewal(
        createStatus(receiverHeard, watermark.logPosition(member), 0, CancellationLog.Page.none()));
  }

  @Override
  public PeerHeartbeat extendAnswer(PeerHeartbeat heartbeat, PeerHeartbeat answer) {
    RenewalStatus request = heartbeat.renewal();
    if (request == null) {
      return answer.withRenewal(createStatus(true, 0, 0, CancellationLog.Page.none()));
    }
    if (leadership.isLeading()) {
      peerRenewals.recordOwnAnswer(heartbeat, eventLoop.nowMs());
    }
    long abstainingForEpoch = promiseToAbstain(heartbeat);
    return answer.withRenewal(
        createStatus(
            true, 0, abstainingForEpoch, cancellations.entriesAfter(request.logPosition())));
  }

  /**
   * Promises a leader that hears from this controller to renew no lease in its place for {@link
   * LeaseRenewalConstants#RENEWAL_ABSTENTION_MS}.
   *
   * @return the epoch whose leader gets the promise, 0 for none
   */
  private long promiseToAbstain(PeerHeartbeat heartbeat) {
    if (!heartbeat.leading() || heartbeat.epoch() < leaderEpoch) {
      return 0;
    }
    followEpoch(heartbeat.epoch());
    if (!heartbeat.renewal().receiverHeard()) {
      // The leader will not receive this answer either: abstaining would only let the leases of
      // workers that reach only this controller expire.
      return 0;
    }
    abstainUntilMs =
        eventLoop.nowMs()
            + (long)
                (LeaseRenewalConstants.RENEWAL_ABSTENTION_MS
                    * (1 + 2 * ProtocolConstants.MAX_CLOCK_DRIFT))
            + ProtocolConstants.LEASE_MARGIN_MS;
    transitionTo(Phase.STANDBY);
    return leaderEpoch;
  }

  private RenewalStatus createStatus(
      boolean receiverHeard,
      long logPosition,
      long abstainingForEpoch,
      CancellationLog.Page cancellationPage) {
    return new RenewalStatus(
        receiverHeard,
        logPosition,
        abstainingForEpoch,
        cancellationPage.jobIds(),
        cancellationPage.lastNumber(),
        cancellationPage.complete(),
        phase == Phase.RENEWING,
        renewalCount > 0 ? eventLoop.nowMs() - lastRenewalAtMs : PeerConstants.NEVER_RENEWED);
  }

  @Override
  public void onAnswer(String member, PeerHeartbeat answer, long sentAtMs) {
    long nowMs = eventLoop.nowMs();
    watermark.recordAnswer(member, answer, sentAtMs, nowMs);
    if (leadership.isLeading()) {
      peerRenewals.recordPeerAnswer(member, answer, leadership.ownEpoch(), sentAtMs, nowMs);
    } else if (answer.leading() && answer.renewal() != null && answer.epoch() >= leaderEpoch) {
      followEpoch(answer.epoch());
      lastExchangeAtMs = Math.max(lastExchangeAtMs, sentAtMs);
    }
  }

  private void followEpoch(long epoch) {
    if (epoch > leaderEpoch) {
      leaderEpoch = epoch;
      lastExchangeAtMs = PeerConstants.NEVER_MS;
      transitionTo(Phase.STANDBY);
    }
  }

  // ---------------------------------------------------------------- as a follower

  /**
   * Answers a report in place of a silent leader, which renews the worker's lease. The answer
   * carries the worker's own fencing token, which a worker obeys from any controller, and only stop
   * commands.
   *
   * @return the answer, or null if this controller may not renew the lease now
   */
  public Answer renewLease(WorkerReport report) {
    long nowMs = eventLoop.nowMs();
    if (!mayActForLeader(report, nowMs)) {
      return null;
    }
    if (nowMs >= lastExchangeAtMs + renewalWindowMs || !responseGate.mayRespond()) {
      transitionTo(Phase.STANDBY);
      return null;
    }
    transitionTo(Phase.RENEWING);
    lastRenewalAtMs = nowMs;
    renewalCount++;
    return responseGate.respond(report, report.token(), List.of());
  }

  /**
   * True if this controller does not lead, the worker obeys the leader that it follows, no promise
   * to that leader is in force, and no later epoch is known.
   */
  private boolean mayActForLeader(WorkerReport report, long nowMs) {
    boolean obeysLeader =
        leaderEpoch > 0 && report.token() >> ProtocolConstants.TOKEN_BITS == leaderEpoch;
    return obeysLeader
        && !leadership.isLeading()
        && leadership.highestEpoch() <= leaderEpoch
        && nowMs > abstainUntilMs;
  }

  /** The only place where the phase changes. */
  private void transitionTo(Phase next) {
    if (next != phase) {
      log.info(
          "follower lease renewal phase changed from={} to={} epoch={} renewals={}",
          phase,
          next,
          leaderEpoch,
          renewalCount);
    }
    phase = next;
  }
}
