package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.jobs.StartRecord;
import fennelthread.jobs.StartRecordPacker;
import fennelthread.net.EventLoop;
import fennelthread.plan.Aging;
import fennelthread.plan.Plan;
import fennelthread.plan.Planner;
import fennelthread.plan.Snapshot;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.state.Limits;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.wire.MachineType;
import fennelthread.wire.TaskRef;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rounds: a snapshot, a plan, its fenced record, the check of the local lease, and the starts. */
final class SchedulingLoop {
  private static final Logger log = LoggerFactory.getLogger(SchedulingLoop.class);

  /** Where the rounds stand. */
  private enum Phase {
    /** None may be made yet: a predecessor's records may be missing. */
    OFF,
    /** Nothing has happened since the last one. */
    IDLE,
    /** The next one is due soon. */
    PLANNED,
    /** A record is being written: nothing is placed before its fate is known. */
    WRITING,
    /** Over. */
    CLOSED
  }

  private final EventLoop eventLoop;
  private final Settings settings;
  private final Options options;
  private final StateClient state;
  private final Replica replica;
  private final Limits limits;
  private final Lease lease;
  private final Fleet fleet;
  private final ActiveJobs runs;
  private final Demand demand;
  private final RunTimes runTimes;
  private final DoubleConsumer cpusWanted;
  private final Supplier<Map<String, MachineType>> machineTypes;
  private final SpareKeys spare;
  private final Set<String> writing = new HashSet<>();
  private final IdentityHashMap<Machine, MachineLoad> loads = new IdentityHashMap<>();
  private Phase phase = Phase.OFF;
  private long lastAt;
  private long pausedUntil;
  private long seq;
  private final PassedOverJobs passedOver = new PassedOverJobs();
  private List<Plan.Unplaced> unplaced = List.of();

  /** Creates the rounds of a term; {@code cpusWanted} is told the demand seen by each. */
  SchedulingLoop(
      EventLoop eventLoop,
      Settings settings,
      Options options,
      StateClient state,
      Replica replica,
      Lease lease,
      Fleet fleet,
      ActiveJobs runs,
      Demand demand,
      RunTimes runTimes,
      DoubleConsumer cpusWanted,
      Supplier<Map<String, MachineType>> machineTypes,
      SpareKeys spare) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.options = options;
    this.state = state;
    this.replica = replica;
    this.limits = state.limits();
    this.lease = lease;
    this.fleet = fleet;
    this.runs = runs;
    this.demand = demand;
    this.runTimes = runTimes;
    this.cpusWanted = cpusWanted;
    this.machineTypes = machineTypes;
    this.spare = spare;
  }

  /** All records of predecessors are known: rounds may be made. */
  void begin() {
    moveTo(Phase.IDLE);
    changed();
  }

  /** No more rounds, and no more starts of the one that is being written. */
  void close() {
    moveTo(Phase.CLOSED);
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next) {
    boolean allowed =
        switch (phase) {
          case OFF -> next == Phase.IDLE || next == Phase.CLOSED;
          case IDLE -> next == Phase.PLANNED || next == Phase.CLOSED;
          case PLANNED -> next == Phase.IDLE || next == Phase.WRITING || next == Phase.CLOSED;
          case WRITING -> next == Phase.IDLE || next == Phase.CLOSED;
          case CLOSED -> false;
        };
    if (!allowed) {
      throw new IllegalStateException("rounds: " + phase + " -> " + next);
    }
    phase = next;
  }

  /** True while a record is being written there: its attempts are not sent, or were dropped. */
  boolean isWriting(String key) {
    return writing.contains(key);
  }

  /** A key for a record of this term that was never used. */
  String nextKey() {
    return Keys.round(lease.epoch(), ++seq);
  }

  /** What found no place in the last round. */
  List<Plan.Unplaced> unplaced() {
    return unplaced;
  }

  /** Makes a round if none was made for long: for what no event announced. */
  void tick() {
    if (eventLoop.nowMs() - lastAt >= LeaderConstants.MAX_ROUND_INTERVAL_MS) {
      changed();
    }
  }

  /** Something has changed that a round may want to know; those in between share one. */
  void changed() {
    if (phase != Phase.IDLE) {
      return;
    }
    moveTo(Phase.PLANNED);
    long at = Math.max(lastAt + options.roundGapMs(), pausedUntil);
    eventLoop.after(
        Math.max(1, at - eventLoop.nowMs()),
        () -> {
          if (phase == Phase.PLANNED) {
            make();
          }
        });
  }

  private void make() {
    lastAt = eventLoop.nowMs();
    if (!lease.mayStartTasks()) {
      moveTo(Phase.IDLE);
      return;
    }
    Snapshot snapshot = snapshot();
    if (snapshot == null) {
      unplaced = List.of();
      passedOver.update(Set.of(), eventLoop.nowMs());
      moveTo(Phase.IDLE);
      return;
    }
    Plan plan = Planner.plan(snapshot);
    unplaced = plan.unplaced();
    passedOver.update(plan.passedOver(), eventLoop.nowMs());
    if (log.isDebugEnabled() && !unplaced.isEmpty()) {
      log.debug(
          "{} jobs have tasks without a place, {} starts, use {}",
          unplaced.size(),
          plan.starts().size(),
          snapshot.teams());
    }
    sendStops(plan.preemptions());
    if (plan.starts().isEmpty()) {
      moveTo(Phase.IDLE);
    } else {
      write(plan.starts());
    }
  }

  private void sendStops(List<Snapshot.RunningTask> stops) {
    Set<Machine> on = new LinkedHashSet<>();
    for (Snapshot.RunningTask r : stops) {
      Attempt a = fleet.findAttempt(r.machine(), new TaskRef(r.spec().id(), r.task()), r.attempt());
      if (a != null) {
        a.requestStop();
        on.add(fleet.machine(r.machine()));
      }
    }
    on.forEach(fleet::sendCommands);
  }

  private void write(List<Plan.Start> starts) {
    Txn txn = lease.fencedTxn();
    Map<Machine, List<Attempt>> byMachine = new LinkedHashMap<>();
    StartRecordPacker records = new StartRecordPacker(limits.valueBytes(), limits.txnOps());
    Set<String> jobs = new HashSet<>();
    for (Plan.Start s : starts) {
      String id = s.spec().id();
      ActiveJob run = runs.get(id);
      Machine m = fleet.machine(s.machine());
      if ((!jobs.contains(id) && txn.conditions() + limits.txnOps() >= limits.conditions())
          || !records.tryReserve(s.spec(), s.task(), m.name(), m.session())) {
        // The next round's turn.
        continue;
      }
      if (jobs.add(id)) {
        // A job that was cancelled meanwhile fails the whole record.
        txn.when(Keys.job(id), run.job().revision());
      }
      Attempt a = fleet.createAttempt(m, s.spec(), s.task());
      run.attach(a);
      byMachine.computeIfAbsent(m, k -> new ArrayList<>()).add(a);
      records.add(a.start());
    }
    for (StartRecord record : records.records()) {
      String key = spare.take();
      if (key == null) {
        key = nextKey();
      } else {
        // An earlier round's transaction that got no answer may be applied late: not over this one.
        txn.when(key, replica.revisionOf(key));
      }
      writing.add(key);
      txn.write(key, record.write());
    }
    moveTo(Phase.WRITING);
    state.txn(StateClient.Lane.ROUND, txn, result -> written(txn, byMachine, result));
  }

  private void written(Txn txn, Map<Machine, List<Attempt>> byMachine, TxnResult result) {
    if (phase == Phase.CLOSED) {
      return;
    }
    moveTo(Phase.IDLE);
    writing.clear();
    if (result instanceof TxnResult.Applied applied) {
      replica.applied(txn, applied.revision());
      sendStarts(byMachine);
    } else {
      log.info("round abandoned: {}", result);
      byMachine.forEach(this::drop);
      lease.onTxnRejected(result);
      pausedUntil = eventLoop.nowMs() + ProtocolConstants.RETRY_MS;
    }
    changed();
  }

  private void sendStarts(Map<Machine, List<Attempt>> byMachine) {
    // The check that the paper's first counterexample is about: between the claim, or the last
    // renewal, and this moment the lease may have run out, however well the write went.
    if (!lease.mayStartTasks()) {
      log.info("round abandoned: the local lease is over");
      byMachine.forEach(this::drop);
      return;
    }
    byMachine.forEach(
        (m, attempts) -> {
          attempts.removeIf(a -> a.phase() != Attempt.Phase.RECORDED);
          for (Attempt a : List.copyOf(attempts)) {
            if (runs.of(a) == null) {
              fleet.discardUnsent(m, a);
              attempts.remove(a);
            }
          }
          if (!attempts.isEmpty()
              && m.session() == attempts.get(0).start().session()
              && m.phase() == Machine.Phase.REPORTING) {
            fleet.sendStarts(m, attempts);
          } else {
            drop(m, attempts);
          }
        });
  }

  private void drop(Machine m, List<Attempt> attempts) {
    for (Attempt a : attempts) {
      fleet.discardUnsent(m, a);
      ActiveJob run = runs.of(a);
      if (run != null) {
        run.detach(a);
      }
    }
  }

  /** What a round may look at; null if no task waits for a place. */
  private Snapshot snapshot() {
    int mostStarts = mostStarts();
    cpusWanted.accept(demand.cpus());
    Map<ActiveJob, List<Integer>> waiting = demand.waiting(mostStarts * 4);
    if (waiting.isEmpty()) {
      return null;
    }
    Map<String, MachineType> types = machineTypes.get();
    Map<String, double[]> used = new HashMap<>();
    List<Snapshot.Machine> machines = new ArrayList<>();
    for (Machine m : fleet.machines()) {
      MachineLoad load = loads.computeIfAbsent(m, k -> new MachineLoad());
      load.update(m, types.get(m.type()), fleet, runs::get, runTimes);
      load.addTo(used);
      if (load.snapshot() != null && fleet.isReady(m)) {
        machines.add(load.snapshot());
      }
    }
    Map<String, Snapshot.TeamUsage> teams = new HashMap<>();
    for (Settings.Team t : settings.teams().values()) {
      double[] u = used.getOrDefault(t.name(), new double[2]);
      teams.put(
          t.name(),
          new Snapshot.TeamUsage(u[0], u[1], t.cpusMax(), t.cardsMax(), t.cpus(), t.cards()));
    }
    Set<String> guaranteed = demand.guaranteed();
    double cpus = 0;
    for (Snapshot.Machine machine : machines) {
      cpus += machine.cpusTotal();
    }
    Aging turns = demand.turns(cpus);
    return new Snapshot(
        machines,
        demand.pendingJobs(waiting, guaranteed, turns),
        guaranteed,
        turns.nonPreemptible(),
        teams,
        eventLoop.nowMs(),
        mostStarts,
        passedOver.overdue(eventLoop.nowMs()),
        turns.preemptibleOnlyByMoreUrgent());
  }

  private int mostStarts() {
    return Math.min(
        LeaderConstants.MAX_STARTS_PER_ROUND,
        limits.txnOps() * limits.valueBytes() / LeaderConstants.RECORD_BYTES_PER_START);
  }
}
