package fennelthread.leader;

import fennelthread.Constants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Cloud;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.fleet.MachineProvisioner;
import fennelthread.fleet.ZoneHealth;
import fennelthread.jobs.DependencyGraph;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;
import fennelthread.jobs.StartRecord;
import fennelthread.net.Answer;
import fennelthread.net.Host;
import fennelthread.net.StallDetector;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.wire.MachineType;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
public final class Term implements Fleet.Listener, JobTable.Listener, DependencyGraph.Listener {
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

  private final Host host;
  private final Replica replica;
  private final JobTable table;
  private final JobStore store;
  private final Lease lease;
  private final long epoch;
  private final Fleet fleet;
  private final MachineProvisioner rentals;
  private final ActiveJobs runs;
  private final WorkerCommands instructions;
  private final SchedulingLoop rounds;
  private final Completions completions;
  private final RecordCollector sweeper;
  private final Predicate<String> over;
  private Phase phase = Phase.CATCHING_UP;

  /**
   * Begins a term; {@code addresses} are workers that siblings or predecessors knew, {@code over}
   * says which jobs are known to be over although no record says so yet, {@code gate} lets answers
   * to reports out.
   */
  public Term(
      Host host,
      Settings settings,
      Options options,
      StateClient state,
      Replica replica,
      JobTable table,
      JobStore store,
      Lease lease,
      Cloud cloud,
      Supplier<Map<String, MachineType>> flavors,
      Consumer<List<MachineType>> onFlavors,
      LongSupplier othersSilentSince,
      Fleet.Paths paths,
      ZoneHealth zones,
      StallDetector wake,
      Predicate<String> over,
      Fleet.Gate gate,
      Map<String, String> addresses) {
    this.host = host;
    this.replica = replica;
    this.table = table;
    this.store = store;
    this.lease = lease;
    this.epoch = lease.epoch();
    this.over = over;
    this.fleet =
        new Fleet(
            host, settings, epoch, this, othersSilentSince, flavors, paths, zones, wake, gate);
    this.rentals =
        new MachineProvisioner(
            host,
            settings,
            options,
            cloud,
            fleet,
            zones,
            wake,
            "r-" + epoch + "-" + settings.member(),
            flavors.get(),
            onFlavors);
    RunTimes runTimes = new RunTimes();
    this.runs = new ActiveJobs(store.waits().graph());
    Demand demand = new Demand(host, settings, fleet, runs, runTimes);
    this.instructions = new WorkerCommands(host, fleet, runs, runTimes, over);
    SpareKeys spare = new SpareKeys();
    this.rounds =
        new SchedulingLoop(
            host,
            settings,
            options,
            state,
            replica,
            lease,
            fleet,
            runs,
            demand,
            runTimes,
            rentals::demand,
            flavors,
            spare);
    this.completions =
        new Completions(host, state, replica, store, lease, fleet, runs, runTimes, rounds::changed);
    this.sweeper = new RecordCollector(host, state, replica, table, lease, fleet, rounds, spare);
    addresses.forEach((name, address) -> fleet.probe(fleet.learn(name, address)));
    awaitReplica();
    rentals.start();
    tick();
    rentTick();
  }

  /** The workers' addresses, for siblings to keep warm. */
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
  public String census() {
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
  public long lastBeatAt() {
    return fleet.lastBeatAt();
  }

  /**
   * Decides nothing any more, and goes on answering reports. A leader that yields once answered
   * none from then on; with an outage of the state service right after it, nobody could claim, and
   * all tasks ended with their workers' leases.
   */
  public void resign() {
    moveTo(Phase.RESIGNED);
    rounds.close();
    completions.close();
    rentals.close();
    table.ignore(this);
    store.waits().ignore(this);
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
    for (StartRecord record : table.rounds().values()) {
      record.starts().forEach(fleet::inherit);
    }
    table.all().forEach(runs::begin);
    for (Machine m : fleet.machines()) {
      for (Attempt a : m.attempts()) {
        runs.attach(a);
      }
    }
    table.listen(this);
    store.waits().listen(this);
    moveTo(Phase.ACTIVE);
    for (Machine m : List.copyOf(fleet.machines())) {
      fleet.probe(m);
      for (Attempt a : m.attempts()) {
        if (a.phase() == Attempt.Phase.ENDED) {
          completions.ended(m, a);
        }
      }
    }
    rounds.begin();
  }

  private void tick() {
    if (isOver()) {
      return;
    }
    fleet.tick();
    if (phase == Phase.ACTIVE) {
      instructions.stopBeforeNotices();
      completions.tick();
      store.cascade();
      rounds.tick();
      sweeper.tick();
    }
    host.after(Constants.TERM_TICK_MS, this::tick);
  }

  private boolean isOver() {
    return phase == Phase.RESIGNED || phase == Phase.CLOSED;
  }

  private void rentTick() {
    if (isOver()) {
      return;
    }
    if (phase == Phase.ACTIVE && lease.mayStart()) {
      rentals.tick(rounds.unplaced());
    }
    host.after(Constants.RENT_EVERY_MS, this::rentTick);
  }

  /** Answers a report that came by a sibling or directly; null if we are not entitled to. */
  public Answer beat(WorkerReport beat, String by) {
    Answer answer = fleet.beat(beat, by);
    return phase == Phase.CLOSED ? null : answer;
  }

  // ---------------------------------------------------------------- jobs

  @Override
  public void added(Job job) {
    runs.begin(job);
    log.debug(
        "{} of {} is new: {} tasks of image {}",
        job.spec().id(),
        job.spec().jobClass(),
        job.spec().tasks(),
        job.spec().image());
    rounds.changed();
  }

  @Override
  public void moved(Job job, DependencyGraph.Phase to) {
    ActiveJob run = runs.get(job.spec().id());
    if (to == DependencyGraph.Phase.DOOMED) {
      store.cascade();
    } else if (run != null) {
      runs.release(run);
      rounds.changed();
    }
  }

  @Override
  public void lent(String id) {
    ActiveJob run = runs.get(id);
    if (run == null) {
      return;
    }
    runs.lend(run);
    // What a machine carries is added up anew only if the machine has changed.
    machinesOf(run).forEach(Machine::touch);
    rounds.changed();
  }

  @Override
  public void removed(Job job) {
    ActiveJob run = runs.remove(job.spec().id());
    if (run != null) {
      completions.forget(run);
      for (Machine m : machinesOf(run)) {
        m.touch();
        if (m.phase() == Machine.Phase.REPORTING) {
          fleet.sendOrders(m);
        }
      }
    }
    rounds.changed();
  }

  /** The machines that a job's tasks may be on. */
  private Set<Machine> machinesOf(ActiveJob run) {
    Set<Machine> machines = new LinkedHashSet<>();
    for (List<Attempt> attempts : run.attempts().values()) {
      for (Attempt a : attempts) {
        Machine m = fleet.get(a.start().machine());
        if (m != null) {
          machines.add(m);
        }
      }
    }
    return machines;
  }

  // ---------------------------------------------------------------- fleet

  @Override
  public void changed() {
    rounds.changed();
  }

  @Override
  public void higherToken(long other) {
    lease.heardOf(other);
  }

  @Override
  public StartRecord.Start describe(Machine m, WorkerReport.Task task) {
    Job job = table.get(task.ref().job());
    if (job != null && task.ref().index() < job.spec().tasks()) {
      return StartRecord.Start.of(
          job.spec(), task.ref().index(), task.attempt(), m.name(), m.session());
    }
    // A withdrawn job's task: its round record still says what it takes.
    StartRecord.Start recorded = table.startOf(task.ref(), task.attempt(), m.name());
    return recorded != null
        ? recorded
        : new StartRecord.Start(task.ref(), task.attempt(), m.name(), m.session(), "", 0, 0, 0);
  }

  @Override
  public void adopted(Attempt a) {
    runs.attach(a);
  }

  @Override
  public void ended(Machine m, Attempt a) {
    if (phase == Phase.ACTIVE) {
      completions.ended(m, a);
    }
  }

  @Override
  public boolean mayStart(Attempt a) {
    return phase == Phase.ACTIVE
        && lease.mayStart()
        && runs.of(a) != null
        && !over.test(a.start().task().job());
  }

  @Override
  public List<WorkerCommand> ordersFor(Machine m) {
    return switch (phase) {
      case ACTIVE -> instructions.of(m);
      // What is known to be over is stopped all the same: by whatever lets the answers out.
      case CATCHING_UP, RESIGNED, CLOSED -> List.of();
    };
  }
}
