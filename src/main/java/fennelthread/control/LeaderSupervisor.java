package fennelthread.control;

import fennelthread.constants.ControlConstants;
import fennelthread.constants.RelayConstants;
import fennelthread.handover.Handover;
import fennelthread.leader.Lease;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.relay.Leader;
import fennelthread.relay.LeaderReachability;
import fennelthread.relay.UnreachableLeaderNotice;
import fennelthread.settings.Settings;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Looks twice a second whether this controller is of use as leader. It yields when the state
 * service refuses only it, or when workers reach only its peers. A follower claims if nobody leads,
 * and tells a leader that it can't reach that the leader's workers come here.
 */
public final class LeaderSupervisor {
  private static final Logger log = LoggerFactory.getLogger(LeaderSupervisor.class);

  private final EventLoop eventLoop;
  private final Settings settings;
  private final StateClient state;
  private final Replica replica;
  private final Lease lease;
  private final CurrentTerm term;
  private final LeaderDirectory directory;
  private final KnownWorkers workers;
  private final PeerHeartbeats peers;
  private final Handover handover;
  private final LeaderReachability reachability;
  private final UnreachableLeaderNotice notice;

  /** Creates it; {@link #look} is to be called every {@link RelayConstants#SUPERVISE_MS}. */
  public LeaderSupervisor(
      EventLoop eventLoop,
      Settings settings,
      StateClient state,
      Replica replica,
      Lease lease,
      CurrentTerm term,
      LeaderDirectory directory,
      KnownWorkers workers,
      PeerHeartbeats peers,
      Handover handover,
      LeaderReachability reachability,
      UnreachableLeaderNotice notice) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.state = state;
    this.replica = replica;
    this.lease = lease;
    this.term = term;
    this.directory = directory;
    this.workers = workers;
    this.peers = peers;
    this.handover = handover;
    this.reachability = reachability;
    this.notice = notice;
  }

  /** Looks once. */
  public void look() {
    long now = eventLoop.nowMs();
    workers.forgetOldReports(now);
    confirmReplica(now);
    if (!lease.isLeading()) {
      lease.claimIfVacant();
      considerNotice();
      return;
    }
    checkReachability(now);
    if (isRefusedAlone()) {
      lease.stepDown("the state service refuses only us", ControlConstants.YIELD_PAUSE_MS);
      handover.endThroughPeers(lease.storeLeaseId());
      return;
    }
    if (now - term.lastReportAtMs() > unheardMs() && peers.peersHearWorkers() > 0) {
      lease.stepDown("workers reach only the others", ControlConstants.YIELD_PAUSE_MS);
    }
  }

  /** How long a leader may go without a report while peers get some, ms. */
  private long unheardMs() {
    return (long)
        Math.max(
            ControlConstants.UNHEARD_LEAST_MS,
            settings.workers().reportMs() * ControlConstants.UNHEARD_REPORTS);
  }

  /**
   * Asks the state service how far it is if it was silent for a while. An open watch stays silent
   * in an outage, and while nothing changes: peers rely on the answer to tell an outage from a
   * refusal that only they get, and how current our copy is decides how long leases may be renewed.
   */
  private void confirmReplica(long now) {
    boolean silent =
        now - Math.min(state.servedAtMs(), replica.readAtMs()) > ControlConstants.SERVED_CHECK_MS;
    if (replica.isReady() && silent) {
      state.changes(
          changes -> {
            if (changes >= 0) {
              replica.confirmed(changes, now);
            }
          });
    }
  }

  /** True if the state service refuses this controller and has served a peer since. */
  public boolean isRefusedAlone() {
    return state.refusedForMs() > ControlConstants.REFUSED_ALONE_MS
        && peers.peerServedAfter(state.servedAtMs() + ControlConstants.REFUSED_ALONE_MS / 2);
  }

  /** Checks whether this leader still hears its workers itself, and asks some if it does not. */
  private void checkReachability(long now) {
    if (!term.isActive()) {
      return;
    }
    if (reachability.look(now, term.reporting())) {
      log.info("no report reaches us any more: workers are reached through siblings from now on");
      peers.sendHeartbeats();
    }
    if (!reachability.isDeaf()) {
      return;
    }
    yieldIfNoticed();
    if (term.isActive()) {
      askSomeWorkers();
    }
  }

  private void askSomeWorkers() {
    List<String> all = List.copyOf(term.workers().values());
    for (int i = 0; i < Math.min(all.size(), ControlConstants.DEAF_QUESTIONS); i++) {
      eventLoop.call(
          all.get(eventLoop.random().nextInt(all.size())),
          Call.get("/show").asSpare(),
          ControlConstants.PROBE_TIMEOUT_MS,
          answer -> {
            if (answer != null) {
              reachability.reached(eventLoop.nowMs());
            }
          });
    }
  }

  /**
   * Yields if no worker reaches this leader and a peer that can't reach it says, through the state
   * service, that they come to the peer.
   */
  public void yieldIfNoticed() {
    if (lease.isLeading() && reachability.isDeaf() && notice.wasRead(lease.epoch())) {
      lease.stepDown(
          "workers reach only the others, the state service says", ControlConstants.YIELD_PAUSE_MS);
    }
  }

  /** Tells a leader that can't be reached by heartbeats that its workers come here, if they do. */
  public void considerNotice() {
    Leader leader = directory.leader();
    boolean peerLeads = leader.member() != null && !leader.member().equals(settings.member());
    if (peerLeads && peers.silentMs(leader.member()) >= ControlConstants.PETITION_SILENT_MS) {
      notice.consider(leader.epoch(), workers.size());
    } else {
      notice.clear();
    }
  }
}
