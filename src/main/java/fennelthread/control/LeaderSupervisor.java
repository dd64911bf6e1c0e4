package fennelthread.control;

import fennelthread.constants.ControlConstants;
import fennelthread.constants.RelayConstants;
import fennelthread.handover.Handover;
import fennelthread.leader.LeaderLease;
import fennelthread.net.EventLoop;

/**
 * Checks periodically whether this controller should lead. A follower claims the lease if nobody
 * leads. A leader steps down when the state service refuses requests of this controller only, or
 * when workers reach only its peers. Used on the event loop's thread only.
 */
public final class LeaderSupervisor {
  private final EventLoop eventLoop;
  private final LeaderLease lease;
  private final KnownWorkers workers;
  private final Handover handover;
  private final StateServiceCheck stateService;
  private final WorkerReachabilityCheck reachability;
  private final UnreachableLeaderPublisher unreachableLeaderPublisher;

  /** Creates a supervisor; the caller schedules {@link #runChecks}. */
  public LeaderSupervisor(
      EventLoop eventLoop,
      LeaderLease lease,
      KnownWorkers workers,
      Handover handover,
      StateServiceCheck stateService,
      WorkerReachabilityCheck reachability,
      UnreachableLeaderPublisher unreachableLeaderPublisher) {
    this.eventLoop = eventLoop;
    this.lease = lease;
    this.workers = workers;
    this.handover = handover;
    this.stateService = stateService;
    this.reachability = reachability;
    this.unreachableLeaderPublisher = unreachableLeaderPublisher;
  }

  /** Runs all checks once; to be called every {@link RelayConstants#CHECK_INTERVAL_MS}. */
  public void runChecks() {
    workers.forgetOldReports(eventLoop.nowMs());
    stateService.confirmReplicaIfDue();
    if (lease.isLeading()) {
      checkLeader();
    } else {
      lease.claimIfVacant();
      unreachableLeaderPublisher.publishIfDue();
    }
  }

  private void checkLeader() {
    reachability.checkWorkerReports();
    if (stateService.isRefusedOnlyHere()) {
      lease.stepDown(
          "the state service refuses only this controller", ControlConstants.STEP_DOWN_PAUSE_MS);
      handover.revokeThroughPeers(lease.storeLeaseId());
      return;
    }
    if (reachability.workersReachOnlyPeers()) {
      lease.stepDown("workers reach only peers", ControlConstants.STEP_DOWN_PAUSE_MS);
    }
  }
}
