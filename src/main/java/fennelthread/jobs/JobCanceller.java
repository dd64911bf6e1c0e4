package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.state.RequestPriority;
import fennelthread.state.SizeLimits;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.state.Unavailability;
import fennelthread.wire.JobState;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Makes jobs final: cancels them at a user's request or because a dependency was cancelled, and
 * brings the replica and the cache up to date after any transaction that made jobs final,
 * completions included.
 */
final class JobCanceller {
  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final FinalRecords finalRecords;
  private final JobQueries queries;
  private final DependencyGraph graph;
  private final SizeLimits limits;
  private boolean isCancellingDependentJobs;

  JobCanceller(
      EventLoop eventLoop,
      StateClient state,
      Replica replica,
      FinalRecords finalRecords,
      JobQueries queries,
      DependencyGraph graph) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.replica = replica;
    this.finalRecords = finalRecords;
    this.queries = queries;
    this.graph = graph;
    this.limits = state.limits();
  }

  /**
   * Cancels a job unless it is final; {@code done} is called once with its final record, or with
   * {@code Unknown} or {@code Unavailable}.
   */
  void cancel(String id, Consumer<LookupResult> done) {
    cancel(id, JobConstants.MAX_CANCEL_TRIES, new OnceConsumer<>(done));
  }

  private void cancel(String id, int attemptsLeft, OnceConsumer<LookupResult> done) {
    queries.lookup(
        id,
        found -> {
          if (!(found instanceof LookupResult.Live live)) {
            done.accept(found);
          } else if (attemptsLeft == 0) {
            done.accept(new LookupResult.Unavailable(Unavailability.CONTENDED));
          } else {
            new CancelAttempt(live.job(), attemptsLeft, done).send();
          }
        });
  }

  /**
   * One attempt to cancel a job. If its result is overdue, the next attempt begins while this one
   * may still be applied: the next one then finds the final record, or cancels the job itself. At
   * most one of all attempts is applied, since each is conditional on the live record.
   */
  private final class CancelAttempt {
    private final Job job;
    private final int attemptsLeft;
    private final OnceConsumer<LookupResult> done;
    private final FinalRecord finalRecord;
    private final Txn txn = new Txn();
    private boolean isRetried;

    CancelAttempt(Job job, int attemptsLeft, OnceConsumer<LookupResult> done) {
      this.job = job;
      this.attemptsLeft = attemptsLeft;
      this.done = done;
      this.finalRecord = cancelledRecord(job);
      addFinalRecord(txn, job, finalRecord);
      if (job.chunkCount() < limits.maxTxnConditions()) {
        // The final record counts the finished tasks. Applied late, it must not take back those of
        // which users were told meanwhile.
        queries.addProgressConditions(txn, job);
      }
    }

    void send() {
      state.submitTxn(RequestPriority.INTERACTIVE, txn, this::onOverdue, this::onResult);
    }

    private void onOverdue() {
      if (attemptsLeft > 1 && state.canAnswerInTime(JobConstants.CHANGES_PER_FINAL_RECORD)) {
        retry();
      }
    }

    private void onResult(TxnResult result) {
      if (result instanceof TxnResult.Applied applied) {
        onJobsFinal(txn, applied.revision(), Map.of(job.spec().id(), finalRecord));
        done.accept(finalRecord);
      } else if (isRetried) {
        return;
      } else if (result instanceof TxnResult.Refused || result instanceof TxnResult.TooLarge) {
        done.accept(new LookupResult.Unavailable(Unavailability.REFUSED));
      } else {
        retry();
      }
    }

    private void retry() {
      if (!isRetried) {
        isRetried = true;
        cancel(job.spec().id(), attemptsLeft - 1, done);
      }
    }
  }

  /**
   * Cancels the jobs that are to be cancelled because of a dependency, as many in each transaction
   * as fit. A call while one is in flight does nothing; callers repeat the call until no such job
   * is left. Nothing is stored between two calls: which jobs are to be cancelled follows from the
   * records.
   */
  void cancelDependentJobs() {
    if (isCancellingDependentJobs || graph.jobsToCancel().isEmpty()) {
      return;
    }
    Txn txn = new Txn();
    Map<String, FinalRecord> writtenRecords = new LinkedHashMap<>();
    for (Job job : graph.jobsToCancel()) {
      if (txn.changeCount() + JobConstants.CHANGES_PER_FINAL_RECORD > limits.maxTxnChanges()) {
        break;
      }
      FinalRecord finalRecord = cancelledRecord(job);
      addFinalRecord(txn, job, finalRecord);
      writtenRecords.put(job.spec().id(), finalRecord);
    }
    isCancellingDependentJobs = true;
    state.submitTxn(
        RequestPriority.SCHEDULING,
        txn,
        result -> {
          isCancellingDependentJobs = false;
          if (result instanceof TxnResult.Applied applied) {
            onJobsFinal(txn, applied.revision(), writtenRecords);
            cancelDependentJobs();
          }
        });
  }

  private FinalRecord cancelledRecord(Job job) {
    return new FinalRecord(
        JobState.CANCELLED, job.finishedTasks().cardinality(), eventLoop.wallMs());
  }

  /** Adds the changes that make a live job final, on condition that its record is unchanged. */
  static void addFinalRecord(Txn txn, Job job, FinalRecord finalRecord) {
    String id = job.spec().id();
    txn.requireRevision(Keys.job(id), job.revision())
        .remove(Keys.job(id))
        .write(Keys.finalJob(id), finalRecord.encode());
  }

  /**
   * Updates the cache of final records and the replica after a transaction that was applied at a
   * revision and made these jobs final.
   */
  void onJobsFinal(Txn txn, long revision, Map<String, FinalRecord> writtenRecords) {
    // The final records come first: when the replica's listeners see a job removed, they look
    // up its final record in the cache.
    writtenRecords.forEach(finalRecords::add);
    replica.applyCommitted(txn, revision);
  }
}
