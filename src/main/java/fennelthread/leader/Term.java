package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.CloudClient;
import fennelthread.fleet.CommandTransport;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.FleetListener;
import fennelthread.fleet.HeartbeatResponder;
import fennelthread.fleet.Machine;
import fennelthread.fleet.MachineProvisioner;
import fennelthread.fleet.ProvisioningContext;
import fennelthread.fleet.WorkerLink;
import fennelthread.fleet.ZoneHealth;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;
import fennelthread.jobs.StartRecord;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.net.StallDetector;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.wire.MachineType;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One leader's term: everything the leader knows beyond the state service, made anew at each claim
 * and thrown away when leading ends.
 */
public final class Term implements FleetListener {
  private static final Logger log = LoggerFactory.getLogger(Term.class);

  /** How far the term is. */
  private enum Phase {
    /** The replica has not reached the claim: a predecessor's records may be missing. */
    CATCHING_UP,
    /** Rounds are made. */
    ACTIVE,
    /** Nothing is decided any more, but reports are answered until another leads: tasks live on. */
    RESIGNED,
    /** Over. */
    CLOSED
  }

  private final EventLoop eventLoop;
  private final Replica replica;
  private final JobTable table;
  private final JobStore store;
  private final Lease lease;
  private final long epoch;
  private final Fleet fleet;
  private final MachineProvisioner provisioner;
  private final ActiveJobs activeJobs;
  private final WorkerCommands commands;
  private final SchedulingLoop scheduling;
  private final Completions completions;
  private final RecordCollector collector;
  private final JobUpdates jobUpdates;
  private final Predicate<String> isJobOver;
  private Phase phase = Phase.CATCHING_UP;

  /**
   * Begins a term; {@code addresses} are workers that peers or predecessors knew, {@code isJobOver}
   * says which jobs are known to be over although no record says so yet, {@code responder} lets
   * answers to reports out.
   */
  public Term(
      EventLoop eventLoop,
      Settings settings,
      Options options,
      StateClient state,
      Replica replica,
      JobTable table,
      JobStore store,
      Lease lease,
      CloudClient cloud,
      Supplier<Map<String, MachineType>> machineTypes,
      Consumer<List<MachineType>> onMachineTypes,
      LongSupplier othersSilentSince,
      CommandTransport transport,
      ZoneHealth zones,
      StallDetector stalls,
      Predicate<String> isJobOver,
      HeartbeatResponder responder,
      Map<String, String> addresses) {
    this.eventLoop = eventLoop;
    this.replica = replica;
    this.table = table;
    this.store = store;
    this.lease = lease;
    this.epoch = lease.epoch();
    this.isJobOver = isJobOver;
    this.fleet =
        new Fleet(
            eventLoop,
            settings,
            epoch,
            this,
            othersSilentSince,
            machineTypes,
            zones,
            new WorkerLink(transport, responder, stalls));
    this.provisioner =
        new MachineProvisioner(
            new ProvisioningContext(eventLoop, settings, options, cloud, fleet, zones, stalls),
            "r-" + epoch + "-" + settings.member(),
            machineTypes.get(),
            onMachineTypes);
    RunTimes runTimes = new RunTimes();
    this.activeJobs = new ActiveJobs(store.dependencies().graph());
    Demand demand = new Demand(eventLoop, settings, fleet, activeJobs, runTimes);
    this.commands = new WorkerCommands(eventLoop, fleet, activeJobs, runTimes, isJobOver);
    SpareKeys spare = new SpareKeys();
    this.scheduling =
        new SchedulingLoop(
            eventLoop,
            settings,
            options,
            state,
            replica,
            lease,
            fleet,
            activeJobs,
            demand,
            runTimes,
            provisioner::recordDemand,
            machineTypes,
            spare);
    this.completions =
        new Completions(
            eventLoop,
            state,
            replica,
            store,
            lease,
            fleet,
            activeJobs,
            runTimes,
            scheduling::changed);
    this.collector =
        new RecordCollector(eventLoop, state, replica, table, lease, fleet, scheduling, spare);
    this.jobUpdates = new JobUpdates(table, store, fleet, activeJobs, completions, scheduling);
    addresses.forEach((name, address) -> fleet.probe(fleet.getOrAdd(name, address)));
    awaitReplica();
    provisioner.start();
    tick();
    rentTick();
  }

  /** The workers' addresses, for peers to keep warm. */
  public Map<String, String> addresses() {
    Map<String, String> known = new LinkedHashMap<>();
    for (Machine m : fleet.machines()) {
      if (m.phase() == Machine.Phase.REPORTING && m.address() != null) {
        known.put(m.name(), m.address());
      }
    }
    return known;
  }

  /** How much is held, for a line of the log. */
  public String memoryUsage() {
    int attempts = 0;
    for (Machine m : fleet.machines()) {
      attempts += m.isEmpty() ? 0 : 1;
    }
    return fleet.machines().size() + " machines, " + attempts + " of them with tasks";
  }

  /** How many workers report, by whatever way. */
  public int reporting() {
    int reporting = 0;
    for (Machine m : fleet.machines()) {
      reporting += m.phase() == Machine.Phase.REPORTING ? 1 : 0;
    }
    return reporting;
  }

  /** When a worker last reported, or -1. */
  public long lastReportAtMs() {
    return fleet.lastReportAtMs();
  }

  /**
   * Decides nothing any more, and goes on answering reports. A leader that yields once answered
   * none from then on; with an outage of the state service right after it, nobody could claim, and
   * all tasks ended with their workers' leases.
   */
  public void resign() {
    moveTo(Phase.RESIGNED);
    scheduling.close();
    completions.close();
    provisioner.close();
    jobUpdates.end();
  }

  /** Ends the term. */
  public void close() {
    if (phase != Phase.RESIGNED) {
      resign();
    }
    moveTo(Phase.CLOSED);
    fleet.close();
  }

  /** The epoch that it is a term of. */
  public long epoch() {
    return epoch;
  }

  private void moveTo(Phase next) {
    if (phase == Phase.CLOSED || (phase == Phase.RESIGNED && next != Phase.CLOSED)) {
      throw new IllegalStateException("term " + epoch + ": " + phase + " -> " + next);
    }
    log.info("term {}: {} -> {}", epoch, phase, next);
    phase = next;
  }

  private void awaitReplica() {
    if (phase != Phase.CATCHING_UP) {
      return;
    }
    if (replica.revision() < lease.epochRevision()) {
      replica.onAdvance(this::awaitReplica);
      return;
    }
    for (StartRecord record : table.startRecords().values()) {
      record.starts().forEach(fleet::restoreAttempt);
    }
    table.all().forEach(activeJobs::begin);
    for (Machine m : fleet.machines()) {
      for (Attempt a : m.attempts()) {
        activeJobs.attach(a);
      }
    }
    jobUpdates.begin();
    moveTo(Phase.ACTIVE);
    for (Machine m : List.copyOf(fleet.machines())) {
      fleet.probe(m);
      for (Attempt a : m.attempts()) {
        if (a.phase() == Attempt.Phase.ENDED) {
          completions.ended(m, a);
        }
      }
    }
    scheduling.begin();
  }

  private void tick() {
    if (isOver()) {
      return;
    }
    fleet.tick();
    if (phase == Phase.ACTIVE) {
      commands.stopBeforeNotices();
      completions.tick();
      store.cancelDependentJobs();
      scheduling.tick();
      collector.tick();
    }
    eventLoop.after(LeaderConstants.TERM_TICK_MS, this::tick);
  }

  private boolean isOver() {
    return phase == Phase.RESIGNED || phase == Phase.CLOSED;
  }

  private void rentTick() {
    if (isOver()) {
      return;
    }
    if (phase == Phase.ACTIVE && lease.mayStartTasks()) {
      provisioner.tick(scheduling.unplaced());
    }
    eventLoop.after(LeaderConstants.PROVISIONING_INTERVAL_MS, this::rentTick);
  }

  /** Answers a report that came by a peer or directly; null if we are not entitled to. */
  public Answer handleReport(WorkerReport report, String by) {
    Answer answer = fleet.handleReport(report, by);
    return phase == Phase.CLOSED ? null : answer;
  }

  // ---------------------------------------------------------------- fleet

  @Override
  public void onFleetChanged() {
    scheduling.changed();
  }

  @Override
  public void onHigherEpochObserved(long other) {
    lease.observeEpoch(other);
  }

  @Override
  public StartRecord.Start startOfDiscoveredTask(Machine m, WorkerReport.Task task) {
    Job job = table.get(task.ref().job());
    if (job != null && task.ref().index() < job.spec().tasks()) {
      return StartRecord.Start.of(
          job.spec(), task.ref().index(), task.attempt(), m.name(), m.session());
    }
    // A cancelled job's task: its round record still says what it takes.
    StartRecord.Start recorded = table.recordedStart(task.ref(), task.attempt(), m.name());
    return recorded != null
        ? recorded
        : new StartRecord.Start(task.ref(), task.attempt(), m.name(), m.session(), "", 0, 0, 0);
  }

  @Override
  public void onAttemptDiscovered(Attempt a) {
    activeJobs.attach(a);
  }

  @Override
  public void onAttemptEnded(Machine m, Attempt a) {
    if (phase == Phase.ACTIVE) {
      completions.ended(m, a);
    }
  }

  @Override
  public boolean mayStart(Attempt a) {
    return phase == Phase.ACTIVE
        && lease.mayStartTasks()
        && activeJobs.of(a) != null
        && !isJobOver.test(a.start().task().job());
  }

  @Override
  public List<WorkerCommand> commandsFor(Machine m) {
    return switch (phase) {
      case ACTIVE -> commands.of(m);
      // What is known to be over is stopped all the same: by whatever lets the answers out.
      case CATCHING_UP, RESIGNED, CLOSED -> List.of();
    };
  }
}
