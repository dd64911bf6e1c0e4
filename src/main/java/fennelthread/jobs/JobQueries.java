package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.SizeLimits;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.state.Unavailability;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Looks up the current state of jobs with linearizable reads. The replica's state of a job is
 * returned only after a transaction without changes has confirmed the revisions of the job's record
 * and of its finished tasks, so that no controller reports an older state, or a lower count of
 * finished tasks, than another has reported before. Queries that wait at the same time share a
 * transaction; a query whose result is overdue is sent again while its users still wait.
 */
final class JobQueries implements TransactionPipeline.Handler<JobQueries.Batch> {
  /**
   * The queries of one transaction, each with the job as the replica held it, null if it held none.
   */
  static final class Batch extends TransactionPipeline.Batch {
    final long createdAtMs;
    final Map<JobQuery, Job> jobs = new LinkedHashMap<>();
    final Set<JobQuery> requeuedQueries = new HashSet<>();

    Batch(long nowMs) {
      this.createdAtMs = nowMs;
    }
  }

  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final JobTable table;
  private final FinalRecords finalRecords;
  private final SizeLimits limits;
  private final JobRecordReader reader;
  private final TransactionPipeline<Batch> pipeline;
  private final Map<String, JobQuery> queue = new LinkedHashMap<>();

  JobQueries(
      EventLoop eventLoop,
      StateClient state,
      Replica replica,
      JobTable table,
      FinalRecords finalRecords) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.replica = replica;
    this.table = table;
    this.finalRecords = finalRecords;
    this.limits = state.limits();
    this.reader = new JobRecordReader(state, replica, table, finalRecords);
    this.pipeline = new TransactionPipeline<>(state, JobConstants.MAX_CONCURRENT_CONFIRMS, this);
  }

  /** The number of jobs with queries that wait for a transaction. */
  int queuedQueries() {
    return queue.size();
  }

  /** Reads a job's records from the state service without a confirming transaction. */
  void read(String id, Consumer<LookupResult> done) {
    reader.read(id, done);
  }

  /** Looks up a job's current state; {@code done} is called once, possibly before this returns. */
  void lookup(String id, Consumer<LookupResult> done) {
    Optional<FinalRecord> finalRecord = finalRecords.cached(id);
    if (finalRecord.isPresent()) {
      done.accept(finalRecord.get());
      return;
    }
    Optional<Unavailability> unavailability = state.unavailability(0);
    if (unavailability.isPresent()) {
      done.accept(new LookupResult.Unavailable(unavailability.get()));
      return;
    }
    Job job = table.get(id);
    if (job == null) {
      reader.read(id, done);
    } else if (job.chunkCount() >= limits.maxTxnConditions()) {
      reader.readProgress(id, done);
    } else {
      queue.computeIfAbsent(id, JobQuery::new).addCaller(done);
      pipeline.sendNextBatch();
    }
  }

  @Override
  public boolean hasWaitingRequests() {
    return !queue.isEmpty();
  }

  @Override
  public Batch takeNextBatch() {
    Batch batch = new Batch(eventLoop.nowMs());
    for (JobQuery query : new ArrayList<>(queue.values())) {
      Job job = table.get(query.id());
      int conditions = job == null ? 0 : 1 + job.chunkCount();
      if (!batch.jobs.isEmpty()
          && batch.txn.conditionCount() + conditions > limits.maxTxnConditions()) {
        break;
      }
      queue.remove(query.id());
      query.countSend();
      batch.jobs.put(query, job);
      if (job != null) {
        addConditions(batch.txn, job);
      }
    }
    return batch;
  }

  private void addConditions(Txn txn, Job job) {
    txn.requireRevision(Keys.job(job.spec().id()), job.revision());
    addProgressConditions(txn, job);
  }

  /** Requires that the stored finished tasks of a job are those that the replica holds. */
  void addProgressConditions(Txn txn, Job job) {
    for (int chunk = 0; chunk < job.chunkCount(); chunk++) {
      String key = Keys.finishedTasks(job.spec().id(), chunk);
      txn.requireRevision(key, replica.revisionOf(key));
    }
  }

  /**
   * Queues the unanswered queries for the next transaction, if they have been sent fewer than
   * {@link JobConstants#MAX_SENDS} times and an answer can still come in time.
   */
  @Override
  public void onOverdue(Batch batch) {
    for (JobQuery query : batch.jobs.keySet()) {
      if (query.isAnswered()
          || query.sendCount() >= JobConstants.MAX_SENDS
          || !state.canAnswerInTime(0)) {
        continue;
      }
      batch.requeuedQueries.add(query);
      queue.computeIfAbsent(query.id(), JobQuery::new).merge(query);
    }
  }

  @Override
  public void onResult(Batch batch, TxnResult result) {
    if (result instanceof TxnResult.Applied applied) {
      replica.confirmRevision(applied.revision(), batch.createdAtMs);
    }
    Set<String> failedKeys =
        result instanceof TxnResult.Conflict conflict
            ? new HashSet<>(conflict.failedKeys())
            : Set.of();
    batch.jobs.forEach(
        (query, job) -> {
          if (job == null || failedKeys.contains(Keys.job(query.id()))) {
            reader.read(query.id(), query::answer);
          } else if (hasNewProgress(job, failedKeys)) {
            reader.readProgress(query.id(), query::answer);
          } else if (result instanceof TxnResult.Applied || !failedKeys.isEmpty()) {
            // A conflict over other keys confirms this job too: the service compares all keys of a
            // transaction at one moment.
            query.answer(new LookupResult.Live(job));
          } else if (!batch.requeuedQueries.contains(query)) {
            query.answer(new LookupResult.Unavailable(Unavailability.of(result)));
          }
        });
  }

  /** True if the stored finished tasks of the job differ from those in the replica. */
  private static boolean hasNewProgress(Job job, Set<String> failedKeys) {
    Set<String> chunkKeys = new LinkedHashSet<>();
    for (int chunk = 0; chunk < job.chunkCount(); chunk++) {
      chunkKeys.add(Keys.finishedTasks(job.spec().id(), chunk));
    }
    return failedKeys.stream().anyMatch(chunkKeys::contains);
  }
}
