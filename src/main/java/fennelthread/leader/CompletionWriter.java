package fennelthread.leader;

import fennelthread.constants.JobConstants;
import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.jobs.FinalRecord;
import fennelthread.jobs.FinishedTasksCodec;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobStore;
import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.RequestPriority;
import fennelthread.state.SizeLimits;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.wire.JobState;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * Writes finished tasks to the state service. Jobs that are done are written almost at once.
 * Finished tasks of other jobs are batched, since each chunk of them costs a write: hundreds of
 * tasks end each minute, and the state service accepts a few dozen writes a second for all
 * purposes. A worker is not told to clear a finished task before it is stored, so that no result is
 * lost.
 */
final class CompletionWriter {

  /** The stages of the writer. */
  private enum Phase {
    /** Nothing is due. */
    IDLE,
    /** A job is done; the write is delayed so that other jobs can share it. */
    GATHERING,
    /** A transaction is being written. */
    WRITING,
    /** The term is over. */
    CLOSED
  }

  /**
   * One transaction.
   *
   * @param number counts this writer's transactions: only the answer to the last one is awaited
   * @param storedTasks all finished tasks that the state service holds once the transaction is
   *     applied, by job
   * @param finalRecords the final records in the transaction, by job id
   */
  private record Batch(
      long number,
      Txn txn,
      Map<ActiveJob, BitSet> storedTasks,
      Map<String, FinalRecord> finalRecords) {}

  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final SizeLimits limits;
  private final LeaderLease lease;
  private final JobStore store;
  private final ActiveJobs activeJobs;
  private final RoundTrigger rounds;
  private final Set<ActiveJob> unstoredJobs = new LinkedHashSet<>();
  private Phase phase = Phase.IDLE;
  private long lastTasksWriteMs;
  private long lastBatchNumber;

  /** Creates the writer of a term; rounds are requested when a write may let them place more. */
  CompletionWriter(
      LeaderContext context, JobStore store, ActiveJobs activeJobs, RoundTrigger rounds) {
    this.eventLoop = context.eventLoop();
    this.state = context.state();
    this.replica = context.replica();
    this.limits = state.limits();
    this.lease = context.lease();
    this.store = store;
    this.activeJobs = activeJobs;
    this.rounds = rounds;
  }

  /** Writes nothing more, and ignores late answers. */
  void close() {
    transitionTo(Phase.CLOSED);
  }

  /** The only place where the phase changes. */
  private void transitionTo(Phase next) {
    if (phase == Phase.CLOSED) {
      throw new IllegalStateException(
          "illegal transition of the completion writer: " + phase + " -> " + next);
    }
    phase = next;
  }

  /** Adds a job with a newly finished task. */
  void add(ActiveJob activeJob) {
    unstoredJobs.add(activeJob);
    if (activeJob.unfinishedCount() == 0 && phase == Phase.IDLE) {
      // The job's user waits for its completion; finished tasks of other jobs can wait to be
      // batched.
      transitionTo(Phase.GATHERING);
      eventLoop.after(
          LeaderConstants.DONE_JOB_FLUSH_DELAY_MS,
          () -> {
            if (phase == Phase.GATHERING) {
              write();
            }
          });
    }
  }

  /** Removes a job that is done or cancelled: its finished tasks need not be stored. */
  void remove(ActiveJob activeJob) {
    unstoredJobs.remove(activeJob);
  }

  /** Writes what is due, unless a write is in flight or about to begin. */
  void writeIfIdle() {
    if (phase == Phase.IDLE) {
      write();
    }
  }

  private void write() {
    Batch batch =
        new Batch(
            lastBatchNumber + 1, lease.fencedTxn(), new LinkedHashMap<>(), new LinkedHashMap<>());
    addDoneJobs(batch);
    if (batch.finalRecords().isEmpty()
        && eventLoop.nowMs() - lastTasksWriteMs
            >= LeaderConstants.FINISHED_TASKS_FLUSH_INTERVAL_MS) {
      addFinishedTasks(batch);
    }
    if (batch.txn().changeCount() == 0) {
      transitionTo(Phase.IDLE);
      return;
    }
    transitionTo(Phase.WRITING);
    lastBatchNumber = batch.number();
    state.submitTxn(
        batch.finalRecords().isEmpty() ? RequestPriority.MAINTENANCE : RequestPriority.SCHEDULING,
        batch.txn(),
        () -> onAnswerOverdue(batch),
        result -> onAnswered(batch, result));
  }

  private void addDoneJobs(Batch batch) {
    for (ActiveJob activeJob : unstoredJobs) {
      if (activeJob.unfinishedCount() == 0
          && batch.txn().changeCount() + JobConstants.CHANGES_PER_FINAL_RECORD
              <= limits.maxTxnChanges()) {
        Job job = activeJob.job();
        FinalRecord end = new FinalRecord(JobState.DONE, job.spec().tasks(), eventLoop.wallMs());
        JobStore.addFinalRecord(batch.txn(), job, end);
        batch.finalRecords().put(activeJob.id(), end);
      }
    }
  }

  private void addFinishedTasks(Batch batch) {
    boolean allFit = true;
    for (ActiveJob activeJob : unstoredJobs) {
      allFit &= addFinishedTasks(activeJob, batch);
    }
    if (allFit) {
      lastTasksWriteMs = eventLoop.nowMs();
    }
  }

  /** Adds a job's chunks of finished tasks while they fit into the transaction; true if all do. */
  private boolean addFinishedTasks(ActiveJob activeJob, Batch batch) {
    Txn txn = batch.txn();
    Job job = activeJob.job();
    BitSet storedTasks = job.finishedTasks().get(0, job.spec().tasks());
    boolean allFit = true;
    boolean anyAdded = false;
    for (int chunk : activeJob.unstoredChunks()) {
      if (txn.changeCount() >= limits.maxTxnChanges()
          || txn.conditionCount() >= limits.maxTxnConditions()) {
        allFit = false;
        break;
      }
      anyAdded = true;
      String key = Keys.finishedTasks(activeJob.id(), chunk);
      // A transaction without an answer may be applied after a newer one. It must not undo the
      // newer one, since workers may have cleared the tasks that it stored.
      txn.requireRevision(key, replica.revisionOf(key))
          .write(
              key,
              FinishedTasksCodec.encode(
                  chunk, activeJob.finishedTasks(), limits.maxValueBytes(), storedTasks));
    }
    if (anyAdded) {
      txn.requireRevision(Keys.job(activeJob.id()), job.revision());
      batch.storedTasks().put(activeJob, storedTasks);
    }
    return allFit;
  }

  private boolean isAwaited(Batch batch) {
    return phase == Phase.WRITING && batch.number() == lastBatchNumber;
  }

  /**
   * Stops awaiting an overdue answer, so that the completions of other jobs are not delayed. The
   * transaction's jobs are written again under the same conditions, unless the replica already
   * shows that they are over.
   */
  private void onAnswerOverdue(Batch batch) {
    if (isAwaited(batch)) {
      transitionTo(Phase.IDLE);
      writeIfIdle();
    }
  }

  private void onAnswered(Batch batch, TxnResult result) {
    if (phase == Phase.CLOSED) {
      return;
    }
    boolean isAwaited = isAwaited(batch);
    if (isAwaited) {
      transitionTo(Phase.IDLE);
    }
    if (result instanceof TxnResult.Applied applied) {
      onCommitted(batch, applied.revision());
    } else {
      lease.onTxnRejected(result);
      if (result instanceof TxnResult.Conflict conflict) {
        // A cancelled job no longer has a record: its finished tasks need not be stored.
        unstoredJobs.removeIf(job -> conflict.failedKeys().contains(Keys.job(job.id())));
      }
      if (isAwaited) {
        eventLoop.after(ProtocolConstants.STATE_RETRY_DELAY_MS, this::writeIfIdle);
      }
    }
  }

  private void onCommitted(Batch batch, long revision) {
    batch
        .storedTasks()
        .forEach(
            (activeJob, tasks) -> {
              activeJob.markStored(tasks);
              if (!activeJob.hasUnstoredChunks()) {
                unstoredJobs.remove(activeJob);
              }
            });
    store.onJobsFinal(batch.txn(), revision, batch.finalRecords());
    batch.finalRecords().keySet().forEach(id -> unstoredJobs.remove(activeJobs.remove(id)));
    writeIfIdle();
    rounds.requestRound();
  }
}
