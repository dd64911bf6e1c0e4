package fennelthread.control;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.fleet.ReportOrder;
import fennelthread.leader.Lease;
import fennelthread.leaserenewal.FollowerLeaseRenewer;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.relay.CommandSender;
import fennelthread.relay.Leader;
import fennelthread.relay.LeaderReachability;
import fennelthread.relay.Relay;
import fennelthread.relay.UnreachableLeaderNotice;
import fennelthread.wire.Codec;
import fennelthread.wire.Redirect;
import fennelthread.wire.WorkerReport;
import java.util.function.Consumer;

/**
 * Answers workers' reports: as the leader, in the place of a silent leader, by passing them on to
 * the leader, or by sending the worker elsewhere. A copy of an earlier report is sent elsewhere and
 * changes nothing.
 */
public final class ReportHandler {
  private final EventLoop eventLoop;
  private final String member;
  private final Lease lease;
  private final CurrentTerm term;
  private final LeaderDirectory directory;
  private final KnownWorkers workers;
  private final PeerHeartbeats peers;
  private final FollowerLeaseRenewer renewer;
  private final Relay relay;
  private final CommandSender commands;
  private final LeaderReachability reachability;
  private final UnreachableLeaderNotice notice;
  private final Runnable considerNotice;
  private final ReportOrder order = new ReportOrder();

  /**
   * Creates it.
   *
   * @param member the name of this controller
   * @param considerNotice looks whether the leader is to be told that its workers come here
   */
  public ReportHandler(
      EventLoop eventLoop,
      String member,
      Lease lease,
      CurrentTerm term,
      LeaderDirectory directory,
      KnownWorkers workers,
      PeerHeartbeats peers,
      FollowerLeaseRenewer renewer,
      Relay relay,
      CommandSender commands,
      LeaderReachability reachability,
      UnreachableLeaderNotice notice,
      Runnable considerNotice) {
    this.eventLoop = eventLoop;
    this.member = member;
    this.lease = lease;
    this.term = term;
    this.directory = directory;
    this.workers = workers;
    this.peers = peers;
    this.renewer = renewer;
    this.relay = relay;
    this.commands = commands;
    this.reachability = reachability;
    this.notice = notice;
    this.considerNotice = considerNotice;
  }

  /** Answers a report that a worker sent here; the answer may come later. */
  public void handle(WorkerReport report, Consumer<Answer> reply) {
    if (order.isCopy(report)) {
      // Nobody waits for its answer; whatever it says was true long ago.
      reply.accept(redirectTo(null));
      return;
    }
    Answer answer = term.answer(report, member);
    if (answer != null) {
      reachability.heard(eventLoop.nowMs());
      commands.direct(report.machine());
      reply.accept(answer);
    } else {
      follow(report, reply);
    }
  }

  /**
   * Answers a report that a peer passes on to us as the leader of {@code epoch}; null if we are not
   * entitled to.
   */
  public Answer handleRelayed(WorkerReport report, long epoch, String peer) {
    lease.observeEpoch(epoch);
    boolean answered = epoch == lease.epoch() && !order.isCopy(report);
    return answered ? term.answer(report, peer) : null;
  }

  private void follow(WorkerReport report, Consumer<Answer> reply) {
    workers.reported(report, eventLoop.nowMs());
    Leader leader = directory.leader();
    boolean peerLeads = leader.member() != null && !member.equals(leader.member());
    if (peerLeads && report.token() >> ProtocolConstants.TOKEN_BITS == leader.epoch()) {
      notice.came(report.machine());
      considerNotice.run();
    }
    Answer renewed = renewer.keep(report);
    if (renewed != null) {
      reply.accept(renewed);
      return;
    }
    Relay.Decision decision =
        peerLeads ? relay.take(report, leader, reply) : Relay.Decision.TO_NEXT;
    if (decision != Relay.Decision.PASSED_ON) {
      reply.accept(redirectTo(target(leader, peerLeads, decision)));
    }
  }

  /** The controller that a worker is to report to, null for the next one in its own order. */
  private String target(Leader leader, boolean peerLeads, Relay.Decision decision) {
    boolean silent =
        !peerLeads || peers.silentMs(leader.member()) > LeaseRenewalConstants.KEEP_STILL_MS;
    String renewing = silent ? peers.anyKeeping() : null;
    if (renewing != null) {
      return renewing;
    }
    return decision == Relay.Decision.TO_LEADER ? leader.member() : null;
  }

  private static Answer redirectTo(String controller) {
    return Answer.of(421, Codec.CBOR, new Redirect(controller).write());
  }
}
