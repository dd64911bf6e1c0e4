package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.FleetListener;
import fennelthread.fleet.Machine;
import fennelthread.fleet.MachineProvisioner;
import fennelthread.fleet.ProvisioningContext;
import fennelthread.jobs.Job;
import fennelthread.jobs.StartRecord;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One leader's term: the components of a leader and its state in memory. It is created at each
 * election; after the controller steps down, it still answers reports until it is closed. Used on
 * the event loop's thread. Start reading at {@link #onReplicaAdvanced} and {@link #tick}.
 */
public final class Term implements FleetListener {
  private static final Logger log = LoggerFactory.getLogger(Term.class);

  /** The stages of a term. */
  private enum Phase {
    /** The replica is behind the claim's revision: records of earlier terms may be missing. */
    CATCHING_UP,
    /** Scheduling rounds run. */
    ACTIVE,
    /** Makes no decisions, but still answers reports, so that workers' leases are renewed. */
    RESIGNED,
    /** The term has ended: reports are not answered. */
    CLOSED
  }

  private final LeaderContext context;
  private final EventLoop eventLoop;
  private final JobRecords records;
  private final LeaderLease lease;
  private final long epoch;
  private final Fleet fleet;
  private final MachineProvisioner provisioner;
  private final ActiveJobs activeJobs;
  private final WorkerCommands commands;
  private final SchedulingLoop scheduling;
  private final CompletionWriter completions;
  private final AttemptEndHandler attemptEnds;
  private final RecordGarbageCollector collector;
  private final JobUpdates jobUpdates;
  private Phase phase = Phase.CATCHING_UP;

  /** Begins the term of the epoch that the lease has just claimed. */
  public Term(LeaderContext context, JobRecords records, FleetEnvironment environment) {
    this.context = context;
    this.eventLoop = context.eventLoop();
    this.records = records;
    this.lease = context.lease();
    this.epoch = lease.epoch();
    this.fleet = createFleet(environment);
    this.provisioner = createProvisioner(environment);
    this.activeJobs = new ActiveJobs(records.store().dependencyTracker().graph());
    TermState state = new TermState(fleet, activeJobs, new RunTimeEstimator());
    StartRecordKeys startRecordKeys = new StartRecordKeys(epoch);
    this.commands = new WorkerCommands(eventLoop, state, records.endedJobs());
    this.scheduling =
        new SchedulingLoop(
            context, state, environment.machineTypes(), startRecordKeys, provisioner::recordDemand);
    this.completions = new CompletionWriter(context, records.store(), activeJobs, scheduling);
    this.attemptEnds = new AttemptEndHandler(eventLoop, state, completions);
    this.collector = new RecordGarbageCollector(context, records.table(), fleet, startRecordKeys);
    this.jobUpdates = new JobUpdates(records, state, completions, scheduling);
    environment
        .workerAddresses()
        .forEach((name, address) -> fleet.probe(fleet.getOrAddMachine(name, address)));
    onReplicaAdvanced();
    provisioner.start();
    tick();
    tickProvisioning();
  }

  private Fleet createFleet(FleetEnvironment environment) {
    return new Fleet(
        eventLoop,
        context.settings(),
        epoch,
        this,
        environment.othersSilentSinceMs(),
        environment.machineTypes()::byName,
        environment.zoneHealth(),
        environment.workerLink());
  }

  private MachineProvisioner createProvisioner(FleetEnvironment environment) {
    MachineTypeCatalog machineTypes = environment.machineTypes();
    return new MachineProvisioner(
        new ProvisioningContext(
            eventLoop,
            context.settings(),
            context.options(),
            environment.cloud(),
            fleet,
            environment.zoneHealth(),
            environment.workerLink().stalls()),
        "r-" + epoch + "-" + context.settings().member(),
        machineTypes.byName(),
        machineTypes::replaceAndStore);
  }

  // ---------------------------------------------------------------- queries

  /** The epoch of this term. */
  public long epoch() {
    return epoch;
  }

  /** The addresses of the workers that report, by name; peers keep them for a failover. */
  public Map<String, String> workerAddresses() {
    Map<String, String> known = new LinkedHashMap<>();
    for (Machine machine : fleet.machines()) {
      if (machine.phase() == Machine.Phase.REPORTING && machine.address() != null) {
        known.put(machine.name(), machine.address());
      }
    }
    return known;
  }

  /** Describes the memory use as key=value pairs for a log line. */
  public String memoryUsage() {
    int machinesWithTasks = 0;
    for (Machine machine : fleet.machines()) {
      machinesWithTasks += machine.isEmpty() ? 0 : 1;
    }
    return "machines=" + fleet.machines().size() + " machinesWithTasks=" + machinesWithTasks;
  }

  /** The number of workers that report, directly or through a peer. */
  public int reportingWorkers() {
    int reporting = 0;
    for (Machine machine : fleet.machines()) {
      reporting += machine.phase() == Machine.Phase.REPORTING ? 1 : 0;
    }
    return reporting;
  }

  /** When a worker last reported, ms of the local clock; -1 if none has. */
  public long lastReportAtMs() {
    return fleet.lastReportAtMs();
  }

  // ---------------------------------------------------------------- life cycle

  /**
   * Stops making decisions but keeps answering reports. If reports went unanswered and the state
   * service failed right after the step-down, nobody could claim the leadership, and all tasks
   * would end as their workers' leases expire.
   */
  public void resign() {
    transitionTo(Phase.RESIGNED);
    scheduling.close();
    completions.close();
    provisioner.close();
    jobUpdates.stopListening();
  }

  /** Ends the term. */
  public void close() {
    if (phase != Phase.RESIGNED) {
      resign();
    }
    transitionTo(Phase.CLOSED);
    fleet.close();
  }

  /** The only place where the phase changes. */
  private void transitionTo(Phase next) {
    if (phase == Phase.CLOSED || (phase == Phase.RESIGNED && next != Phase.CLOSED)) {
      throw new IllegalStateException(
          "illegal transition of term " + epoch + ": " + phase + " -> " + next);
    }
    log.info("term changed epoch={} from={} to={}", epoch, phase, next);
    phase = next;
  }

  private boolean isOver() {
    return phase == Phase.RESIGNED || phase == Phase.CLOSED;
  }

  /** Activates the term once the replica holds all that was written before the claim. */
  private void onReplicaAdvanced() {
    if (phase != Phase.CATCHING_UP) {
      return;
    }
    if (context.replica().revision() < lease.epochRevision()) {
      context.replica().onNextAdvance(this::onReplicaAdvanced);
      return;
    }
    restoreFromRecords();
    jobUpdates.startListening();
    transitionTo(Phase.ACTIVE);
    for (Machine machine : List.copyOf(fleet.machines())) {
      fleet.probe(machine);
      for (Attempt attempt : machine.attempts()) {
        if (attempt.phase() == Attempt.Phase.ENDED) {
          attemptEnds.onAttemptEnded(machine, attempt);
        }
      }
    }
    scheduling.start();
  }

  private void restoreFromRecords() {
    for (StartRecord record : records.table().startRecords().values()) {
      record.starts().forEach(fleet::restoreAttempt);
    }
    records.table().all().forEach(activeJobs::add);
    for (Machine machine : fleet.machines()) {
      for (Attempt attempt : machine.attempts()) {
        activeJobs.attach(attempt);
      }
    }
  }

  private void tick() {
    if (isOver()) {
      return;
    }
    fleet.tick();
    if (phase == Phase.ACTIVE) {
      commands.stopBeforeInterruptions();
      completions.writeIfIdle();
      records.store().cancelDependentJobs();
      scheduling.requestRoundIfOverdue();
      collector.collectIfDue();
    }
    eventLoop.after(LeaderConstants.TERM_TICK_MS, this::tick);
  }

  private void tickProvisioning() {
    if (isOver()) {
      return;
    }
    if (phase == Phase.ACTIVE && lease.mayStartTasks()) {
      provisioner.tick(scheduling.unplaced());
    }
    eventLoop.after(LeaderConstants.PROVISIONING_INTERVAL_MS, this::tickProvisioning);
  }

  // ---------------------------------------------------------------- workers

  /**
   * Processes a worker's report.
   *
   * @param relayingPeer the peer that relayed it, or null if it came directly
   * @return the answer, or null if this controller must not answer
   */
  public Answer handleReport(WorkerReport report, String relayingPeer) {
    Answer answer = fleet.handleReport(report, relayingPeer);
    return phase == Phase.CLOSED ? null : answer;
  }

  @Override
  public void onFleetChanged() {
    scheduling.requestRound();
  }

  @Override
  public void onHigherEpochObserved(long observed) {
    lease.observeEpoch(observed);
  }

  @Override
  public StartRecord.Start startOfDiscoveredTask(Machine machine, WorkerReport.Task task) {
    Job job = records.table().get(task.ref().job());
    if (job != null && task.ref().index() < job.spec().tasks()) {
      return StartRecord.Start.of(
          job.spec(), task.ref().index(), task.attempt(), machine.name(), machine.session());
    }
    // The job's record is gone, after a cancellation for instance: the start record still holds the
    // resources that the task takes.
    StartRecord.Start recorded =
        records.table().recordedStart(task.ref(), task.attempt(), machine.name());
    return recorded != null
        ? recorded
        : new StartRecord.Start(
            task.ref(), task.attempt(), machine.name(), machine.session(), "", 0, 0, 0);
  }

  @Override
  public void onAttemptDiscovered(Attempt attempt) {
    activeJobs.attach(attempt);
  }

  @Override
  public void onAttemptEnded(Machine machine, Attempt attempt) {
    if (phase == Phase.ACTIVE) {
      attemptEnds.onAttemptEnded(machine, attempt);
    }
  }

  @Override
  public boolean mayStart(Attempt attempt) {
    return phase == Phase.ACTIVE
        && lease.mayStartTasks()
        && activeJobs.jobOf(attempt) != null
        && !records.endedJobs().hasEnded(attempt.start().task().job());
  }

  @Override
  public List<WorkerCommand> commandsFor(Machine machine) {
    return switch (phase) {
      case ACTIVE -> commands.commandsFor(machine);
      // ReportResponseGate, which all answers pass, still stops tasks of jobs known to be over.
      case CATCHING_UP, RESIGNED, CLOSED -> List.of();
    };
  }
}
