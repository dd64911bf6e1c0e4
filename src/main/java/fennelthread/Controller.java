package fennelthread;

import fennelthread.admission.BacklogSize;
import fennelthread.admission.MemoryBudget;
import fennelthread.api.Api;
import fennelthread.constants.RelayConstants;
import fennelthread.control.CurrentTerm;
import fennelthread.control.FollowerReportHandler;
import fennelthread.control.KnownWorkers;
import fennelthread.control.LeaderDirectory;
import fennelthread.control.LeaderSupervisor;
import fennelthread.control.MachineTypes;
import fennelthread.control.ReportRouter;
import fennelthread.control.StateServiceCheck;
import fennelthread.control.UnreachableLeaderPublisher;
import fennelthread.control.WorkerReachabilityCheck;
import fennelthread.election.LeaderElection;
import fennelthread.fleet.CloudClient;
import fennelthread.fleet.WorkerLink;
import fennelthread.handover.Handover;
import fennelthread.health.MemoryPressureMonitor;
import fennelthread.leader.FleetEnvironment;
import fennelthread.leader.JobRecords;
import fennelthread.leader.LeaderContext;
import fennelthread.leader.LeaderLease;
import fennelthread.leader.PeerKnowledge;
import fennelthread.leader.Term;
import fennelthread.leaserenewal.FollowerLeaseRenewer;
import fennelthread.leaserenewal.LeadershipStatus;
import fennelthread.leaserenewal.RenewalBounds;
import fennelthread.net.EventLoop;
import fennelthread.net.Service;
import fennelthread.net.StallDetector;
import fennelthread.peers.HeartbeatSender;
import fennelthread.peers.LocalStatus;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.relay.CommandSender;
import fennelthread.relay.Relay;
import fennelthread.relay.UnreachableLeaderNotice;
import fennelthread.relay.WorkerReachability;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.zones.ZoneMonitor;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller process: creates the subsystems, connects them to one another and starts them.
 * Everything runs on the event loop's thread.
 */
public final class Controller {
  private static final Logger log = LoggerFactory.getLogger(Controller.class);

  private final EventLoop eventLoop;
  private final Settings settings;
  private final Options options;
  private final String incarnation;
  private final ReplicatedRecords records;
  private final CloudClient cloud;
  private final MachineTypes machineTypes;
  private final LeaderLease lease;
  private final CurrentTerm currentTerm;
  private final LeaderDirectory directory;
  private final KnownWorkers workers = new KnownWorkers();
  private final PeerHeartbeats peers;
  private final WorkerReachability reachability;
  private final CommandSender commands;
  private final MemoryPressureMonitor memory;
  private final MemoryBudget memoryBudget;
  private final LeaderElection election;
  private final FollowerLeaseRenewer renewer;
  private final ZoneMonitor zones;
  private final StallDetector stalls;
  private final StateServiceCheck stateServiceCheck;
  private final WorkerReachabilityCheck reachabilityCheck;
  private final UnreachableLeaderPublisher unreachableLeader;
  private final LeaderSupervisor supervisor;
  private final ReportRouter reports;
  private final Api api;

  /**
   * Creates the controller's subsystems; nothing is sent before {@link #start}. The order of the
   * statements is part of the behaviour: subsystems register listeners as they are created, and are
   * notified in that order.
   */
  public Controller(EventLoop eventLoop, Settings settings, Options options) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.options = options;
    this.incarnation = Long.toHexString(eventLoop.random().nextLong());
    this.records = new ReplicatedRecords(eventLoop, settings);
    this.cloud = new CloudClient(eventLoop, settings);
    this.lease = createLease();
    this.machineTypes = createMachineTypes();
    this.currentTerm = new CurrentTerm(lease);
    this.directory = new LeaderDirectory(lease);
    this.peers = new PeerHeartbeats(eventLoop, settings, new HeartbeatStatus());
    this.reachability = new WorkerReachability(settings.workers().reportMs());
    Relay relay = new Relay(eventLoop, settings, peers);
    this.commands =
        new CommandSender(eventLoop, settings, peers, reachability, lease::highestEpoch);
    UnreachableLeaderNotice notice = createUnreachableLeaderNotice();
    this.memory =
        new MemoryPressureMonitor(eventLoop, new ControllerMemory(records, workers, currentTerm));
    this.election =
        new LeaderElection(eventLoop, settings, peers, records.state(), records.replica(), lease);
    this.memoryBudget = createMemoryBudget();
    Handover handover = new Handover(records.state(), peers);
    this.renewer = createLeaseRenewer();
    this.zones = new ZoneMonitor(settings);
    this.stalls = new StallDetector(eventLoop);
    this.stateServiceCheck =
        new StateServiceCheck(eventLoop, records.state(), records.replica(), peers);
    this.reachabilityCheck = createReachabilityCheck(notice);
    this.unreachableLeader =
        new UnreachableLeaderPublisher(settings.member(), directory, workers, peers, notice);
    this.supervisor = createSupervisor(handover);
    this.reports = createReportRouter(relay);
    peers.addService("/relay/", commands.peerService(reports::handleRelayed));
    this.api = createApi();
  }

  private LeaderLease createLease() {
    return new LeaderLease(
        eventLoop,
        records.state(),
        records.replica(),
        settings,
        options,
        incarnation,
        new PeerHeartbeatKnowledge(),
        new LeadershipListener());
  }

  private MachineTypes createMachineTypes() {
    MachineTypes types =
        new MachineTypes(eventLoop, cloud, records.state(), records.replica(), lease);
    records.replica().addListener((key, value, revision) -> types.onRecordChanged(key, value));
    return types;
  }

  private UnreachableLeaderNotice createUnreachableLeaderNotice() {
    return new UnreachableLeaderNotice(
        eventLoop,
        records.state(),
        records.replica(),
        settings.member(),
        this::onUnreachableLeaderNotice);
  }

  private MemoryBudget createMemoryBudget() {
    BacklogSize backlog = new BacklogSize(records.table());
    return new MemoryBudget(eventLoop, memory, backlog, peers, settings.maxConnections());
  }

  private FollowerLeaseRenewer createLeaseRenewer() {
    return new FollowerLeaseRenewer(
        eventLoop,
        settings,
        peers,
        records.cancellations(),
        records.replica(),
        new LeaderLeaseStatus());
  }

  private WorkerReachabilityCheck createReachabilityCheck(UnreachableLeaderNotice notice) {
    return new WorkerReachabilityCheck(
        eventLoop, lease, currentTerm, peers, reachability, notice, settings.workers().reportMs());
  }

  private LeaderSupervisor createSupervisor(Handover handover) {
    return new LeaderSupervisor(
        eventLoop,
        lease,
        workers,
        handover,
        stateServiceCheck,
        reachabilityCheck,
        unreachableLeader);
  }

  private ReportRouter createReportRouter(Relay relay) {
    FollowerReportHandler follower =
        new FollowerReportHandler(
            eventLoop,
            settings.member(),
            directory,
            workers,
            peers,
            renewer,
            relay,
            unreachableLeader);
    return new ReportRouter(
        eventLoop, settings.member(), lease, currentTerm, reachability, commands, follower);
  }

  private Api createApi() {
    return new Api(
        eventLoop,
        settings,
        records.store(),
        records.table(),
        new ControllerConditions(records.replica(), stateServiceCheck, peers, machineTypes),
        memoryBudget,
        reports::handle);
  }

  /** Starts reading the state, sending heartbeats and the periodic checks; call it once. */
  public void start() {
    log.info("controller started member={} incarnation={}", settings.member(), incarnation);
    warnIfCancelTimeoutTooShort();
    records.replica().start();
    records.replica().onNextAdvance(this::onReplicaLoaded);
    stalls.start();
    peers.start();
    election.start();
    machineTypes.fetchFromCloud();
    runPeriodicChecks();
  }

  private void warnIfCancelTimeoutTooShort() {
    long shortfallMs = RenewalBounds.shortfallMs(settings.workers());
    if (shortfallMs > 0) {
      log.warn(
          "cancel timeout too short to end every unreachable task in time cancelMs={} leaseMs={}"
              + " shortfallMs={}",
          settings.workers().cancelMs(),
          settings.workers().leaseMs(),
          shortfallMs);
    }
  }

  private void runPeriodicChecks() {
    eventLoop.after(RelayConstants.CHECK_INTERVAL_MS, this::runPeriodicChecks);
    memory.check();
    supervisor.runChecks();
  }

  /** The HTTP service for users, workers and health checks. */
  public Service api() {
    return api;
  }

  /** The HTTP service for the other controllers. */
  public Service peerService() {
    return peers;
  }

  /** True while this controller is the leader. */
  public boolean isLeading() {
    return lease.isLeading();
  }

  private void onUnreachableLeaderNotice() {
    reachabilityCheck.stepDownOnNotice();
  }

  private void onReplicaLoaded() {
    log.info(
        "replica loaded member={} revision={}", settings.member(), records.replica().revision());
    lease.claimIfVacant();
  }

  // ---------------------------------------------------------------- leadership

  /** Derives from the peers' heartbeats and promises what the leader lease depends on. */
  private final class PeerHeartbeatKnowledge implements PeerKnowledge {
    @Override
    public boolean excludesOtherLeader() {
      return election.excludesTakeover();
    }

    @Override
    public long epochIfUnbounded(long epoch) {
      return peers.doAllPeersBoundRenewals(epoch) ? 0 : epoch;
    }
  }

  /**
   * Begins a term when this controller is elected; the term resigns when the controller steps down.
   */
  private final class LeadershipListener implements LeaderLease.Listener {
    @Override
    public void onElected(long epoch) {
      log.info("leader elected epoch={} member={}", epoch, settings.member());
      long now = eventLoop.nowMs();
      reachability.beginTerm(now);
      commands.beginTerm(epoch);
      election.beginTerm(epoch);
      renewer.onElected();
      zones.beginTerm(now);
      currentTerm.begin(now, () -> newTerm(epoch, now));
      peers.sendHeartbeats();
    }

    @Override
    public void onSteppedDown(String reason) {
      log.info("leader stepped down member={} reason={}", settings.member(), reason);
      currentTerm.resign();
    }
  }

  private Term newTerm(long epoch, long electedAtMs) {
    return new Term(
        new LeaderContext(eventLoop, settings, options, records.state(), records.replica(), lease),
        new JobRecords(records.table(), records.store(), records.cancellations()::hasEnded),
        new FleetEnvironment(
            cloud,
            machineTypes,
            zones,
            new WorkerLink(commands, renewer.responseGate(), stalls),
            () -> othersSilentSinceMs(epoch, electedAtMs),
            workers.addresses()));
  }

  /**
   * The time since which no other controller can have answered a worker's report, ms of the local
   * clock; {@code Long.MAX_VALUE} while one may still answer.
   */
  private long othersSilentSinceMs(long epoch, long electedAtMs) {
    return Math.max(
        renewer.olderEpochsSilentSinceMs(epoch, electedAtMs, lease.unboundedEpoch()),
        renewer.latestPossiblePeerRenewalMs());
  }

  // ---------------------------------------------------------------- peers

  /** Supplies the content of this controller's heartbeats and applies those of its peers. */
  private final class HeartbeatStatus implements LocalStatus {
    @Override
    public HeartbeatSender sender() {
      return new HeartbeatSender(
          settings.member(),
          incarnation,
          lease.highestEpoch(),
          lease.isLeading(),
          eventLoop.nowMs() - records.state().lastServedAtMs(),
          workers.recentReporterCount(),
          lease.isLeading() && reachability.areWorkersUnreachable());
    }

    @Override
    public Map<String, String> workerAddresses() {
      return currentTerm.workerAddresses();
    }

    @Override
    public void onHeartbeat(PeerHeartbeat heartbeat) {
      lease.observeEpoch(heartbeat.epoch());
      directory.observeHeartbeat(heartbeat);
      if (heartbeat.leading() && heartbeat.epoch() >= lease.highestEpoch()) {
        workers.updateFromLeader(heartbeat.addresses().changed(), heartbeat.addresses().removed());
      }
    }
  }

  /** Supplies the leadership state and the epochs that the follower's lease renewal depends on. */
  private final class LeaderLeaseStatus implements LeadershipStatus {
    @Override
    public boolean isLeading() {
      return lease.isLeading();
    }

    @Override
    public long ownEpoch() {
      return lease.epoch();
    }

    @Override
    public long highestEpoch() {
      return lease.highestEpoch();
    }
  }
}
