package fennelthread.control;

import fennelthread.constants.ControlConstants;
import fennelthread.leader.LeaderLease;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.relay.UnreachableLeaderNotice;
import fennelthread.relay.WorkerReachability;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Checks whether workers' reports still reach this leader. While they do not, it probes some
 * workers directly, and steps down if a peer publishes that the workers report to the peer. Used on
 * the event loop's thread only.
 */
public final class WorkerReachabilityCheck {
  private static final Logger log = LoggerFactory.getLogger(WorkerReachabilityCheck.class);

  private final EventLoop eventLoop;
  private final LeaderLease lease;
  private final CurrentTerm term;
  private final PeerHeartbeats peers;
  private final WorkerReachability reachability;
  private final UnreachableLeaderNotice notice;
  private final long noReportsLimitMs;

  /**
   * Creates a check of one leader.
   *
   * @param reportMs the interval of the workers' reports, ms
   */
  public WorkerReachabilityCheck(
      EventLoop eventLoop,
      LeaderLease lease,
      CurrentTerm term,
      PeerHeartbeats peers,
      WorkerReachability reachability,
      UnreachableLeaderNotice notice,
      long reportMs) {
    this.eventLoop = eventLoop;
    this.lease = lease;
    this.term = term;
    this.peers = peers;
    this.reachability = reachability;
    this.notice = notice;
    this.noReportsLimitMs =
        (long)
            Math.max(
                ControlConstants.NO_REPORTS_MIN_MS,
                reportMs * ControlConstants.NO_REPORTS_INTERVALS);
  }

  /**
   * Checks whether reports still reach this leader. When they cease to, it notifies the peers;
   * while none arrive, it steps down if a peer has published that the workers report to that peer,
   * and otherwise probes some workers.
   */
  void checkWorkerReports() {
    if (!term.isActive()) {
      return;
    }
    if (reachability.check(eventLoop.nowMs(), term.reportingWorkers())) {
      log.info(
          "leader receives no worker reports and sends commands through peers epoch={}",
          lease.epoch());
      peers.sendHeartbeats();
    }
    if (!reachability.areWorkersUnreachable()) {
      return;
    }
    stepDownOnNotice();
    if (term.isActive()) {
      probeSomeWorkers();
    }
  }

  private void probeSomeWorkers() {
    List<String> addresses = List.copyOf(term.workerAddresses().values());
    int probes = Math.min(addresses.size(), ControlConstants.PROBES_PER_CHECK);
    for (int i = 0; i < probes; i++) {
      eventLoop.call(
          addresses.get(eventLoop.random().nextInt(addresses.size())),
          Call.get("/show").asSpare(),
          ControlConstants.PROBE_TIMEOUT_MS,
          answer -> {
            if (answer != null) {
              reachability.onProbeAnswered(eventLoop.nowMs());
            }
          });
    }
  }

  /**
   * Steps down if no report reaches this leader, and a peer that can't reach it on the peer network
   * publishes through the state service that workers report to the peer.
   */
  public void stepDownOnNotice() {
    if (lease.isLeading()
        && reachability.areWorkersUnreachable()
        && notice.hasFreshNotice(lease.epoch())) {
      lease.stepDown(
          "a peer reports through the state service that workers reach only peers",
          ControlConstants.STEP_DOWN_PAUSE_MS);
    }
  }

  /**
   * True if workers report to peers, and no report has reached this leader, directly or through a
   * peer, within the limit.
   */
  boolean workersReachOnlyPeers() {
    return eventLoop.nowMs() - term.lastReportAtMs() > noReportsLimitMs
        && peers.workersReportingToPeers() > 0;
  }
}
