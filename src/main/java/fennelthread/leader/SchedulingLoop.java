package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.net.EventLoop;
import fennelthread.plan.PlacementPlan;
import fennelthread.plan.Planner;
import fennelthread.plan.Snapshot;
import fennelthread.state.RequestPriority;
import fennelthread.state.TxnResult;
import fennelthread.wire.TaskRef;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs scheduling rounds. A round is a snapshot, a plan, a fenced transaction that records the
 * planned starts, a check of the local lease, and then the starts themselves. Used on the event
 * loop's thread.
 */
final class SchedulingLoop implements RoundTrigger {
  private static final Logger log = LoggerFactory.getLogger(SchedulingLoop.class);

  /** The stages of the scheduling loop. */
  private enum Phase {
    /** No round may run yet: records of earlier terms may be missing. */
    NOT_STARTED,
    /** No round is requested. */
    IDLE,
    /** The next round is due soon. */
    SCHEDULED,
    /** Start records are being written: no round runs until the transaction has ended. */
    WRITING,
    /** The term is over. */
    CLOSED
  }

  private final LeaderContext context;
  private final EventLoop eventLoop;
  private final LeaderLease lease;
  private final Fleet fleet;
  private final SnapshotBuilder snapshots;
  private final StartBatches batches;
  private final StartRecordKeys keys;
  private final PassedOverJobs passedOver;
  private Phase phase = Phase.NOT_STARTED;
  private long lastRoundMs;
  private long earliestRoundMs;
  private List<PlacementPlan.UnplacedTasks> unplaced = List.of();

  SchedulingLoop(
      LeaderContext context,
      TermState term,
      MachineTypeCatalog machineTypes,
      StartRecordKeys keys,
      SnapshotBuilder.CpuDemandListener demandListener) {
    this.context = context;
    this.eventLoop = context.eventLoop();
    this.lease = context.lease();
    this.fleet = term.fleet();
    this.passedOver = new PassedOverJobs();
    this.snapshots = new SnapshotBuilder(context, term, machineTypes, passedOver, demandListener);
    this.batches = new StartBatches(context, term, keys);
    this.keys = keys;
  }

  /** Begins to run rounds; to be called once all records of earlier terms are in the replica. */
  void start() {
    transitionTo(Phase.IDLE);
    requestRound();
  }

  /** Runs no more rounds, and sends no starts of a round that is still being written. */
  void close() {
    transitionTo(Phase.CLOSED);
  }

  /** The only place where the phase changes. */
  private void transitionTo(Phase next) {
    boolean allowed =
        switch (phase) {
          case NOT_STARTED -> next == Phase.IDLE || next == Phase.CLOSED;
          case IDLE -> next == Phase.SCHEDULED || next == Phase.CLOSED;
          case SCHEDULED -> next == Phase.IDLE || next == Phase.WRITING || next == Phase.CLOSED;
          case WRITING -> next == Phase.IDLE || next == Phase.CLOSED;
          case CLOSED -> false;
        };
    if (!allowed) {
      throw new IllegalStateException(
          "illegal transition of the scheduling loop: " + phase + " -> " + next);
    }
    phase = next;
  }

  /** The tasks that the last round could not place. */
  List<PlacementPlan.UnplacedTasks> unplaced() {
    return unplaced;
  }

  /** Requests a round if the last one was long ago: covers changes that trigger no event. */
  void requestRoundIfOverdue() {
    if (eventLoop.nowMs() - lastRoundMs >= LeaderConstants.MAX_ROUND_INTERVAL_MS) {
      requestRound();
    }
  }

  @Override
  public void requestRound() {
    if (phase != Phase.IDLE) {
      return;
    }
    transitionTo(Phase.SCHEDULED);
    long dueMs = Math.max(lastRoundMs + context.options().roundGapMs(), earliestRoundMs);
    eventLoop.after(
        Math.max(1, dueMs - eventLoop.nowMs()),
        () -> {
          if (phase == Phase.SCHEDULED) {
            runRound();
          }
        });
  }

  private void runRound() {
    lastRoundMs = eventLoop.nowMs();
    if (!lease.mayStartTasks()) {
      transitionTo(Phase.IDLE);
      return;
    }
    Optional<Snapshot> snapshot = snapshots.build();
    if (snapshot.isEmpty()) {
      unplaced = List.of();
      passedOver.update(Set.of(), eventLoop.nowMs());
      transitionTo(Phase.IDLE);
      return;
    }
    PlacementPlan plan = Planner.plan(snapshot.get());
    unplaced = plan.unplaced();
    passedOver.update(plan.passedOverJobs(), eventLoop.nowMs());
    if (log.isDebugEnabled() && !unplaced.isEmpty()) {
      log.debug(
          "round left tasks unplaced jobs={} starts={} teamCpusAndCards={}",
          unplaced.size(),
          plan.starts().size(),
          formatUsage(snapshot.get().teams()));
    }
    requestStops(plan.preemptions());
    if (plan.starts().isEmpty()) {
      transitionTo(Phase.IDLE);
    } else {
      writeStarts(plan.starts());
    }
  }

  private static String formatUsage(Map<String, Snapshot.TeamUsage> teams) {
    return teams.entrySet().stream()
        .map(team -> team.getKey() + ":" + team.getValue().cpus() + "/" + team.getValue().cards())
        .collect(Collectors.joining(";"));
  }

  private void requestStops(List<Snapshot.RunningTask> preemptions) {
    Set<Machine> machines = new LinkedHashSet<>();
    for (Snapshot.RunningTask task : preemptions) {
      TaskRef ref = new TaskRef(task.spec().id(), task.task());
      Attempt attempt = fleet.findAttempt(task.machine(), ref, task.attempt());
      if (attempt != null) {
        attempt.requestStop();
        machines.add(fleet.findMachine(task.machine()));
      }
    }
    machines.forEach(fleet::sendCommands);
  }

  private void writeStarts(List<PlacementPlan.Start> starts) {
    StartBatches.Batch batch = batches.prepare(starts);
    transitionTo(Phase.WRITING);
    context
        .state()
        .submitTxn(
            RequestPriority.SCHEDULING,
            batch.txn(),
            result -> onStartRecordsAnswered(batch, result));
  }

  private void onStartRecordsAnswered(StartBatches.Batch batch, TxnResult result) {
    if (phase == Phase.CLOSED) {
      return;
    }
    transitionTo(Phase.IDLE);
    keys.clearBeingWritten();
    if (result instanceof TxnResult.Applied applied) {
      context.replica().applyCommitted(batch.txn(), applied.revision());
      batches.send(batch);
    } else {
      log.info(
          "round abandoned epoch={} reason={}",
          lease.epoch(),
          LeaderLease.describeRejection(result));
      batches.discard(batch);
      lease.onTxnRejected(result);
      earliestRoundMs = eventLoop.nowMs() + ProtocolConstants.STATE_RETRY_DELAY_MS;
    }
    requestRound();
  }
}
