package fennelthread.control;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.leaserenewal.FollowerLeaseRenewer;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.relay.KnownLeader;
import fennelthread.relay.Relay;
import fennelthread.wire.Codec;
import fennelthread.wire.Redirect;
import fennelthread.wire.WorkerReport;
import java.util.function.Consumer;

/**
 * Handles workers' reports on a follower: renews the worker's lease in place of a silent leader,
 * relays the report to the leader, or redirects the worker to another controller. Used on the event
 * loop's thread only.
 */
public final class FollowerReportHandler {
  private final EventLoop eventLoop;
  private final String member;
  private final LeaderDirectory directory;
  private final KnownWorkers workers;
  private final PeerHeartbeats peers;
  private final FollowerLeaseRenewer renewer;
  private final Relay relay;
  private final UnreachableLeaderPublisher unreachableLeaderPublisher;

  /**
   * Creates the handler of one follower.
   *
   * @param member the name of this controller
   */
  public FollowerReportHandler(
      EventLoop eventLoop,
      String member,
      LeaderDirectory directory,
      KnownWorkers workers,
      PeerHeartbeats peers,
      FollowerLeaseRenewer renewer,
      Relay relay,
      UnreachableLeaderPublisher unreachableLeaderPublisher) {
    this.eventLoop = eventLoop;
    this.member = member;
    this.directory = directory;
    this.workers = workers;
    this.peers = peers;
    this.renewer = renewer;
    this.relay = relay;
    this.unreachableLeaderPublisher = unreachableLeaderPublisher;
  }

  /** Handles one report; {@code reply} is called later if the report is relayed. */
  void handle(WorkerReport report, Consumer<Answer> reply) {
    workers.recordReport(report, eventLoop.nowMs());
    KnownLeader leader = directory.currentLeader();
    boolean peerLeads = leader.member() != null && !member.equals(leader.member());
    if (peerLeads && report.token() >> ProtocolConstants.TOKEN_BITS == leader.epoch()) {
      unreachableLeaderPublisher.recordWorkerOfLeader(report.machine());
    }
    Answer renewalAnswer = renewer.renewLease(report);
    if (renewalAnswer != null) {
      reply.accept(renewalAnswer);
      return;
    }
    Relay.Decision decision =
        peerLeads ? relay.relayOrRedirect(report, leader, reply) : Relay.Decision.REDIRECT_TO_NEXT;
    if (decision != Relay.Decision.RELAYED) {
      reply.accept(redirectTo(redirectTarget(leader, peerLeads, decision)));
    }
  }

  /**
   * Returns the controller to redirect a worker to, null for the next in the worker's own order.
   */
  private String redirectTarget(KnownLeader leader, boolean peerLeads, Relay.Decision decision) {
    boolean isLeaderUnknownOrSilent =
        !peerLeads || peers.silentMs(leader.member()) > LeaseRenewalConstants.RENEWAL_ABSTENTION_MS;
    String renewingPeer = isLeaderUnknownOrSilent ? peers.findRenewingPeer() : null;
    if (renewingPeer != null) {
      return renewingPeer;
    }
    return decision == Relay.Decision.REDIRECT_TO_LEADER ? leader.member() : null;
  }

  /** Returns the answer that redirects to the next controller in the worker's own order. */
  static Answer redirectToNext() {
    return redirectTo(null);
  }

  private static Answer redirectTo(String controller) {
    return Answer.of(421, Codec.CBOR, new Redirect(controller).write());
  }
}
