package fennelthread;

import fennelthread.api.Api;
import fennelthread.constants.RelayConstants;
import fennelthread.control.CurrentTerm;
import fennelthread.control.KnownWorkers;
import fennelthread.control.LeaderDirectory;
import fennelthread.control.LeaderSupervisor;
import fennelthread.control.MachineTypes;
import fennelthread.control.ReportHandler;
import fennelthread.election.Membership;
import fennelthread.fleet.Cloud;
import fennelthread.handover.Handover;
import fennelthread.health.HeapGuard;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;
import fennelthread.leader.Lease;
import fennelthread.leader.Term;
import fennelthread.leaserenewal.CancellationLog;
import fennelthread.leaserenewal.FollowerLeaseRenewer;
import fennelthread.leaserenewal.RenewalBounds;
import fennelthread.net.EventLoop;
import fennelthread.net.Service;
import fennelthread.net.StallDetector;
import fennelthread.peers.PeerHeartbeat;
import fennelthread.peers.PeerHeartbeats;
import fennelthread.relay.CommandSender;
import fennelthread.relay.LeaderReachability;
import fennelthread.relay.Relay;
import fennelthread.relay.UnreachableLeaderNotice;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.zones.Zones;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: puts the parts together. Everything here runs on the event loop's thread. */
public final class Controller {
  private static final Logger log = LoggerFactory.getLogger(Controller.class);

  private final EventLoop eventLoop;
  private final Settings settings;
  private final Options options;
  private final String incarnation;
  private final StateClient state;
  private final Replica replica;
  private final JobTable table = new JobTable();
  private final CancellationLog cancellations;
  private final JobStore store;
  private final Cloud cloud;
  private final MachineTypes machineTypes;
  private final Lease lease;
  private final CurrentTerm currentTerm;
  private final LeaderDirectory directory;
  private final KnownWorkers workers = new KnownWorkers();
  private final PeerHeartbeats peers;
  private final LeaderReachability reachability;
  private final CommandSender commands;
  private final HeapGuard heap;
  private final Membership membership;
  private final FollowerLeaseRenewer renewer;
  private final Zones zones;
  private final StallDetector stalls;
  private final LeaderSupervisor supervisor;
  private final ReportHandler reports;
  private final Api api;

  /** Creates a controller; {@link #start} sets it going. */
  public Controller(EventLoop eventLoop, Settings settings, Options options) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.options = options;
    this.incarnation = Long.toHexString(eventLoop.random().nextLong());
    this.state = new StateClient(eventLoop, settings);
    this.replica = new Replica(eventLoop, state);
    replica.listen(table);
    Settings.Workers limits = settings.workers();
    this.cancellations = new CancellationLog(eventLoop, 2 * (limits.cancelMs() + limits.leaseMs()));
    table.listen(new EndedJobs());
    this.store = new JobStore(eventLoop, state, replica, table, settings, cancellations::mayTell);
    this.cloud = new Cloud(eventLoop, settings);
    this.lease =
        new Lease(
            eventLoop,
            state,
            replica,
            settings,
            options,
            incarnation,
            new PeerState(),
            new Elections());
    this.machineTypes = new MachineTypes(eventLoop, cloud, state, replica, lease);
    replica.listen((key, value, revision) -> machineTypes.changed(key, value));
    this.currentTerm = new CurrentTerm(lease);
    this.directory = new LeaderDirectory(lease);
    this.peers =
        new PeerHeartbeats(eventLoop, settings, this::heartbeat, this::workers, this::heard);
    this.reachability = new LeaderReachability(limits.reportMs());
    Relay relay = new Relay(eventLoop, settings, peers);
    this.commands =
        new CommandSender(eventLoop, settings, peers, reachability, lease::highestEpoch);
    UnreachableLeaderNotice notice =
        new UnreachableLeaderNotice(eventLoop, state, replica, settings.member(), this::noticed);
    this.heap = new HeapGuard(eventLoop, this::memoryUsage, store::shed);
    this.membership = new Membership(eventLoop, settings, peers, state, replica, lease);
    Handover handover = new Handover(state, peers);
    this.renewer =
        new FollowerLeaseRenewer(
            eventLoop,
            settings,
            peers,
            cancellations,
            replica,
            lease::isLeading,
            lease::epoch,
            lease::highestEpoch);
    this.zones = new Zones(settings);
    this.stalls = new StallDetector(eventLoop);
    this.supervisor =
        new LeaderSupervisor(
            eventLoop,
            settings,
            state,
            replica,
            lease,
            currentTerm,
            directory,
            workers,
            peers,
            handover,
            reachability,
            notice);
    this.reports =
        new ReportHandler(
            eventLoop,
            settings.member(),
            lease,
            currentTerm,
            directory,
            workers,
            peers,
            renewer,
            relay,
            commands,
            reachability,
            notice,
            supervisor::considerNotice);
    peers.serve("/relay/", commands.service(reports::handleRelayed));
    this.api =
        new Api(
            eventLoop,
            settings,
            store,
            table,
            machineTypes::byName,
            this::isUp,
            peers::hasHeardOutdatedPeer,
            heap::isTight,
            reports::handle);
  }

  /** Sets it going. */
  public void start() {
    log.info("{} starts, incarnation {}", settings.member(), incarnation);
    warnOfShortfall();
    replica.start();
    replica.onAdvance(this::loaded);
    stalls.start();
    peers.start();
    membership.start();
    machineTypes.read();
    supervise();
  }

  private void warnOfShortfall() {
    long shortfallMs = RenewalBounds.shortfallMs(settings.workers());
    if (shortfallMs > 0) {
      log.warn(
          "cancel_s of {} ms leaves too little room beside lease_s of {} ms: a cut-off task may outlive its"
              + " withdrawal by {} ms",
          settings.workers().cancelMs(),
          settings.workers().leaseMs(),
          shortfallMs);
    }
  }

  private void supervise() {
    eventLoop.after(RelayConstants.SUPERVISE_MS, this::supervise);
    heap.look();
    supervisor.look();
  }

  /** What users, workers and health checks talk to. */
  public Service api() {
    return api;
  }

  /** What peers talk to. */
  public Service peerService() {
    return peers;
  }

  /** True while this controller leads; for tests and logs. */
  public boolean isLeading() {
    return lease.isLeading();
  }

  private boolean isUp() {
    return replica.isReady() && !supervisor.isRefusedAlone();
  }

  private void noticed() {
    supervisor.yieldIfNoticed();
  }

  private String memoryUsage() {
    return table.memoryUsage()
        + ", "
        + store.memoryUsage()
        + ", "
        + workers.size()
        + " addresses, "
        + currentTerm.memoryUsage();
  }

  private void loaded() {
    log.info("{} has read the state, revision {}", settings.member(), replica.revision());
    lease.claimIfVacant();
  }

  /** Remembers jobs whose records are gone as over. */
  private final class EndedJobs implements JobTable.Listener {
    @Override
    public void added(Job job) {}

    @Override
    public void removed(Job job) {
      cancellations.over(job.spec().id());
    }
  }

  // ---------------------------------------------------------------- leading

  /** Answers the lease's questions about the peers. */
  private final class PeerState implements Lease.PeerAssurance {
    @Override
    public boolean excludesOtherLeader() {
      return membership.backs();
    }

    @Override
    public long stillUnbounded(long epoch) {
      return peers.allBound(epoch) ? 0 : epoch;
    }
  }

  /** Begins and ends terms as the lease is won and lost. */
  private final class Elections implements Lease.Listener {
    @Override
    public void onElected(long epoch) {
      log.info("{} leads, epoch {}", settings.member(), epoch);
      long now = eventLoop.nowMs();
      reachability.begin(now);
      commands.begin(epoch);
      membership.elected(epoch);
      renewer.elected();
      zones.begin(now);
      currentTerm.begin(now, () -> newTerm(epoch, now));
      peers.sendHeartbeats();
    }

    @Override
    public void onDeposed() {
      log.info("{} no longer leads", settings.member());
      currentTerm.resign();
    }
  }

  private Term newTerm(long epoch, long ledSinceMs) {
    return new Term(
        eventLoop,
        settings,
        options,
        state,
        replica,
        table,
        store,
        lease,
        cloud,
        machineTypes::byName,
        machineTypes::update,
        () -> othersSilentSinceMs(epoch, ledSinceMs),
        commands,
        zones,
        stalls,
        cancellations::isOver,
        renewer.gate(),
        workers.addresses());
  }

  /** Since when nobody but us can have answered a report, as far as that is known, ms. */
  private long othersSilentSinceMs(long epoch, long ledSinceMs) {
    return Math.max(
        renewer.othersSilentSinceMs(epoch, ledSinceMs, lease.unboundedEpoch()),
        renewer.lastKeptMs());
  }

  // ---------------------------------------------------------------- peers

  private PeerHeartbeat heartbeat() {
    return new PeerHeartbeat(
        settings.member(),
        incarnation,
        lease.highestEpoch(),
        lease.isLeading(),
        eventLoop.nowMs() - state.servedAtMs(),
        workers.reporting(),
        lease.isLeading() && reachability.isDeaf());
  }

  /** The workers' addresses that peers should know in case they have to lead. */
  private Map<String, String> workers() {
    return currentTerm.workers();
  }

  private void heard(PeerHeartbeat heartbeat) {
    lease.observeEpoch(heartbeat.epoch());
    directory.heard(heartbeat);
    if (heartbeat.leading() && heartbeat.epoch() >= lease.highestEpoch()) {
      workers.update(heartbeat.workers(), heartbeat.gone());
    }
  }
}
