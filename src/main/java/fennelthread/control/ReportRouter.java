package fennelthread.control;

import fennelthread.fleet.StaleReportFilter;
import fennelthread.leader.LeaderLease;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.relay.CommandSender;
import fennelthread.relay.WorkerReachability;
import fennelthread.wire.WorkerReport;
import java.util.function.Consumer;

/**
 * Routes workers' reports: to the active or resigned term of this controller if that may answer,
 * and to {@link FollowerReportHandler} otherwise. A stale report, which is a duplicate or older
 * than the newest one of its machine, has no effect: it gets a redirect, or no answer if a peer
 * relayed it. Used on the event loop's thread only.
 */
public final class ReportRouter {
  private final EventLoop eventLoop;
  private final String member;
  private final LeaderLease lease;
  private final CurrentTerm term;
  private final WorkerReachability reachability;
  private final CommandSender commands;
  private final FollowerReportHandler followerHandler;
  private final StaleReportFilter staleReports = new StaleReportFilter();

  /**
   * Creates the router of one controller.
   *
   * @param member the name of this controller
   * @param followerHandler handles the reports that the term does not answer
   */
  public ReportRouter(
      EventLoop eventLoop,
      String member,
      LeaderLease lease,
      CurrentTerm term,
      WorkerReachability reachability,
      CommandSender commands,
      FollowerReportHandler followerHandler) {
    this.eventLoop = eventLoop;
    this.member = member;
    this.lease = lease;
    this.term = term;
    this.reachability = reachability;
    this.commands = commands;
    this.followerHandler = followerHandler;
  }

  /** Answers a report that a worker sent to this controller; {@code reply} may be called later. */
  public void handle(WorkerReport report, Consumer<Answer> reply) {
    if (staleReports.rejects(report)) {
      // The worker no longer waits for this answer, and the report's content is out of date.
      reply.accept(FollowerReportHandler.redirectToNext());
      return;
    }
    Answer answer = term.answer(report, member);
    if (answer != null) {
      reachability.onReport(eventLoop.nowMs());
      commands.onDirectReport(report.machine());
      reply.accept(answer);
    } else {
      followerHandler.handle(report, reply);
    }
  }

  /**
   * Answers a report that a peer relays to this controller as the leader of {@code epoch}.
   *
   * @return null if this controller must not answer; not an Optional, because this runs for every
   *     report
   */
  public Answer handleRelayed(WorkerReport report, long epoch, String peer) {
    lease.observeEpoch(epoch);
    boolean isAccepted = epoch == lease.epoch() && !staleReports.rejects(report);
    return isAccepted ? term.answer(report, peer) : null;
  }
}
