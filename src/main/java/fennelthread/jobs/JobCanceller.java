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
 * Moves jobs from their live to their final records: cancels them by request of a user or with a
 * dependency, and takes note of completions.
 */
final class JobCanceller {
  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final FinalRecords finalRecords;
  private final JobQueries queries;
  private final DependencyGraph graph;
  private final SizeLimits limits;
  private boolean cancellingDependents;

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

  /** Cancels a job unless it is final; {@code done} gets the job's state from then on. */
  void cancel(String id, Consumer<LookupResult> done) {
    cancel(id, JobConstants.MAX_CANCEL_TRIES, new OnceConsumer<>(done));
  }

  private void cancel(String id, int triesLeft, OnceConsumer<LookupResult> done) {
    queries.lookup(
        id,
        found -> {
          if (!(found instanceof LookupResult.Live live)) {
            done.accept(found);
          } else if (triesLeft == 0) {
            done.accept(new LookupResult.Unavailable(Unavailability.CONTENDED));
          } else {
            new CancelTry(live.job(), triesLeft, done).send();
          }
        });
  }

  /**
   * One try to cancel a job. If its result is overdue, the next try begins while this one may still
   * be applied: that one then finds the final record, or writes the same. At most one of all tries
   * is applied, since each is conditional on the live record.
   */
  private final class CancelTry {
    private final Job job;
    private final int triesLeft;
    private final OnceConsumer<LookupResult> done;
    private final FinalRecord finalRecord;
    private final Txn txn = new Txn();
    private boolean retried;

    CancelTry(Job job, int triesLeft, OnceConsumer<LookupResult> done) {
      this.job = job;
      this.triesLeft = triesLeft;
      this.done = done;
      this.finalRecord = cancelledRecord(job);
      addFinalRecord(txn, job, finalRecord);
    }

    void send() {
      state.submitTxn(RequestPriority.INTERACTIVE, txn, this::onOverdue, this::onResult);
    }

    private void onOverdue() {
      if (triesLeft > 1 && state.canAnswerInTime(JobConstants.CHANGES_PER_FINAL_RECORD)) {
        retry();
      }
    }

    private void onResult(TxnResult result) {
      if (result instanceof TxnResult.Applied applied) {
        onJobsFinal(txn, applied.revision(), Map.of(job.spec().id(), finalRecord));
        done.accept(finalRecord);
      } else if (retried) {
        return;
      } else if (result instanceof TxnResult.Refused || result instanceof TxnResult.TooLarge) {
        done.accept(new LookupResult.Unavailable(Unavailability.REFUSED));
      } else {
        retry();
      }
    }

    private void retry() {
      if (!retried) {
        retried = true;
        cancel(job.spec().id(), triesLeft - 1, done);
      }
    }
  }

  /**
   * Cancels the jobs that are to be cancelled with a dependency, as many as fit into a transaction
   * at a time. Calls while one is in flight do nothing; callers repeat the call until no such job
   * is left. Nothing is remembered between two calls: what is to be cancelled follows from the
   * records.
   */
  void cancelDependentJobs() {
    if (cancellingDependents || graph.jobsToCancel().isEmpty()) {
      return;
    }
    Txn txn = new Txn();
    Map<String, FinalRecord> written = new LinkedHashMap<>();
    for (Job job : graph.jobsToCancel()) {
      if (txn.changeCount() + JobConstants.CHANGES_PER_FINAL_RECORD > limits.maxTxnChanges()) {
        break;
      }
      FinalRecord finalRecord = cancelledRecord(job);
      addFinalRecord(txn, job, finalRecord);
      written.put(job.spec().id(), finalRecord);
    }
    cancellingDependents = true;
    state.submitTxn(
        RequestPriority.SCHEDULING,
        txn,
        result -> {
          cancellingDependents = false;
          if (result instanceof TxnResult.Applied applied) {
            onJobsFinal(txn, applied.revision(), written);
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

  /** Takes note of a transaction that was applied at a revision and made these jobs final. */
  void onJobsFinal(Txn txn, long revision, Map<String, FinalRecord> written) {
    // All of them first: the replica's listeners look up why a job was removed.
    written.forEach(finalRecords::add);
    replica.applyCommitted(txn, revision);
  }
}
