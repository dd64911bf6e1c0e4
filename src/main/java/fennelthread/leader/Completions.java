package fennelthread.leader;

import fennelthread.constants.JobConstants;
import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.jobs.FinalRecord;
import fennelthread.jobs.FinishedTasksCodec;
import fennelthread.jobs.JobStore;
import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.Limits;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends of tasks, and the records that make them count. Jobs that are done are written at once,
 * parts of others together and now and then: each part is a write, and there are hundreds of ends a
 * minute against a few dozen writes a second for everything. A part that is not written is not
 * cleared either, so nothing is lost.
 */
final class Completions {
  private static final Logger log = LoggerFactory.getLogger(Completions.class);

  /** Where the records stand. */
  private enum Phase {
    /** Nothing is due. */
    IDLE,
    /** A job is done and waits a moment for others to share its write. */
    GATHERING,
    /** A record is being written. */
    WRITING,
    /** Over. */
    CLOSED
  }

  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final JobStore store;
  private final Limits limits;
  private final Lease lease;
  private final Fleet fleet;
  private final ActiveJobs runs;
  private final RunTimes runTimes;
  private final Runnable changed;
  private final Set<ActiveJob> dirty = new LinkedHashSet<>();
  private Phase phase = Phase.IDLE;
  private long partsWrittenAt;

  /** Counts the transactions: only the last one's answer is waited for. */
  private long writes;

  /** Creates the completions of a term; {@code changed} is called when a round may place more. */
  Completions(
      EventLoop eventLoop,
      StateClient state,
      Replica replica,
      JobStore store,
      Lease lease,
      Fleet fleet,
      ActiveJobs runs,
      RunTimes runTimes,
      Runnable changed) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.replica = replica;
    this.store = store;
    this.limits = state.limits();
    this.lease = lease;
    this.fleet = fleet;
    this.runs = runs;
    this.runTimes = runTimes;
    this.changed = changed;
  }

  /** Late answers change nothing any more. */
  void close() {
    moveTo(Phase.CLOSED);
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next) {
    if (phase == Phase.CLOSED) {
      throw new IllegalStateException("completions: CLOSED -> " + next);
    }
    phase = next;
  }

  /** Forgets a job that is final. */
  void forget(ActiveJob run) {
    dirty.remove(run);
  }

  /** An attempt is over or proven gone. */
  void ended(Machine m, Attempt a) {
    if (a.isEndHandled()) {
      return;
    }
    a.markEndHandled();
    ActiveJob run = runs.of(a);
    if (run == null) {
      return;
    }
    int index = a.start().task().index();
    run.detach(a);
    if (a.phase() == Attempt.Phase.GONE || a.motive() == null) {
      return;
    }
    long now = eventLoop.nowMs();
    JobSpec spec = run.job().spec();
    switch (a.motive()) {
      case DONE -> done(m, a, run);
      case ERROR -> {
        boolean known = run.failedOn(index, m.name(), now, eventLoop.random().nextDouble());
        if (!known && fleet.recordTaskFailure(m, spec.id())) {
          log.info("{} fails its tasks, draining it", m.name());
          fleet.cordon(m);
        }
      }
      case HALTED -> run.pause(index, 0);
      case FULL, BUSY, NO_SUCH, OTHER -> run.refused(index, now, eventLoop.random().nextDouble());
      default -> throw new IllegalStateException();
    }
  }

  private void done(Machine m, Attempt a, ActiveJob run) {
    JobSpec spec = run.job().spec();
    fleet.recordTaskSuccess(m);
    fleet.recordCachedImage(m, spec.image(), spec.imageGb());
    if (a.runningSinceMs() >= 0 && spec.estimateS() > 0) {
      runTimes.learn(spec, (eventLoop.nowMs() - a.runningSinceMs()) / 1000.0);
    }
    if (spec.service()) {
      return;
    }
    run.finish(a.start().task().index());
    dirty.add(run);
    if (run.unfinished() == 0 && phase == Phase.IDLE) {
      // Its user waits for this one; tasks of other jobs can wait for one another.
      moveTo(Phase.GATHERING);
      eventLoop.after(
          LeaderConstants.DONE_JOB_FLUSH_DELAY_MS,
          () -> {
            if (phase == Phase.GATHERING) {
              write();
            }
          });
    }
  }

  /** Writes what is due, if nothing is being written or gathered. */
  void tick() {
    if (phase == Phase.IDLE) {
      write();
    }
  }

  private void write() {
    Txn txn = lease.fencedTxn();
    Map<ActiveJob, BitSet> written = new LinkedHashMap<>();
    Map<String, FinalRecord> ends = new LinkedHashMap<>();
    for (ActiveJob run : dirty) {
      if (run.unfinished() == 0
          && txn.ops() + JobConstants.CHANGES_PER_FINAL_RECORD <= limits.txnOps()) {
        FinalRecord end =
            new FinalRecord(JobState.DONE, run.job().spec().tasks(), eventLoop.wallMs());
        JobStore.addFinalRecord(txn, run.job(), end);
        ends.put(run.job().spec().id(), end);
      }
    }
    if (ends.isEmpty()
        && eventLoop.nowMs() - partsWrittenAt >= LeaderConstants.FINISHED_TASKS_FLUSH_INTERVAL_MS) {
      boolean all = true;
      for (ActiveJob run : dirty) {
        all &= addParts(run, txn, written);
      }
      if (all) {
        partsWrittenAt = eventLoop.nowMs();
      }
    }
    if (txn.ops() == 0) {
      moveTo(Phase.IDLE);
      return;
    }
    moveTo(Phase.WRITING);
    long number = ++writes;
    state.txn(
        ends.isEmpty() ? StateClient.Lane.UPKEEP : StateClient.Lane.ROUND,
        txn,
        () -> overdue(number),
        result -> written(number, txn, written, ends, result));
  }

  private boolean isAwaited(long number) {
    return phase == Phase.WRITING && number == writes;
  }

  /**
   * The answer stays away: other jobs' ends must not wait for it. If the transaction was applied,
   * the copy of the state shows those jobs as over by now; if not, they are written again, on the
   * same conditions.
   */
  private void overdue(long number) {
    if (isAwaited(number)) {
      moveTo(Phase.IDLE);
      tick();
    }
  }

  private void written(
      long number,
      Txn txn,
      Map<ActiveJob, BitSet> written,
      Map<String, FinalRecord> ends,
      TxnResult result) {
    if (phase == Phase.CLOSED) {
      return;
    }
    boolean awaited = isAwaited(number);
    if (awaited) {
      moveTo(Phase.IDLE);
    }
    if (result instanceof TxnResult.Applied applied) {
      written.forEach(
          (run, covered) -> {
            run.durable(covered);
            if (!run.isDirty()) {
              dirty.remove(run);
            }
          });
      store.onJobsFinal(txn, applied.revision(), ends);
      ends.keySet().forEach(id -> dirty.remove(runs.remove(id)));
      tick();
      changed.run();
    } else {
      lease.onTxnRejected(result);
      if (result instanceof TxnResult.Conflict c) {
        // A job that was cancelled has no record any more: its tasks need not be kept.
        dirty.removeIf(run -> c.failed().contains(Keys.job(run.job().spec().id())));
      }
      if (awaited) {
        eventLoop.after(ProtocolConstants.RETRY_MS, this::tick);
      }
    }
  }

  /** Adds a job's newly finished tasks as far as the transaction has room; true if all fitted. */
  private boolean addParts(ActiveJob run, Txn txn, Map<ActiveJob, BitSet> written) {
    String id = run.job().spec().id();
    BitSet covered = run.job().finished().get(0, run.job().spec().tasks());
    boolean all = true;
    boolean any = false;
    for (int chunk : run.dirtyChunks()) {
      if (txn.ops() >= limits.txnOps() || txn.conditions() >= limits.conditions()) {
        all = false;
        break;
      }
      any = true;
      String key = Keys.finished(id, chunk);
      // A batch without an answer may be carried out after a newer one: it must not take back what
      // that one holds,
      // since the workers were told to forget those tasks.
      txn.when(key, replica.revisionOf(key))
          .write(
              key,
              FinishedTasksCodec.write(chunk, run.finishedTasks(), limits.valueBytes(), covered));
    }
    if (any) {
      txn.when(Keys.job(id), run.job().revision());
      written.put(run, covered);
    }
    return all;
  }
}
