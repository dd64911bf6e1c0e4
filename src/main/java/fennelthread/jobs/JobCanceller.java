package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.net.EventLoop;
import fennelthread.state.Keys;
import fennelthread.state.Limits;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.state.Unavailability;
import fennelthread.wire.JobState;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Moves jobs from their live to their final records: cancellations, and notes of completions. */
final class JobCanceller {
  private final EventLoop eventLoop;
  private final StateClient state;
  private final Replica replica;
  private final FinalRecords finals;
  private final JobQueries queries;
  private final DependencyTracker waits;
  private final Limits limits;
  private boolean cascading;

  JobCanceller(
      EventLoop eventLoop,
      StateClient state,
      Replica replica,
      FinalRecords finals,
      JobQueries queries,
      DependencyTracker waits) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.replica = replica;
    this.finals = finals;
    this.queries = queries;
    this.waits = waits;
    this.limits = state.limits();
  }

  /** Cancels a job unless it is done: gets what the job is from now on. */
  void cancel(String id, Consumer<LookupResult> done) {
    cancel(id, JobConstants.JOB_TRIES, new OnceConsumer<>(done));
  }

  private void cancel(String id, int tries, OnceConsumer<LookupResult> done) {
    queries.ask(
        id,
        found -> {
          if (!(found instanceof LookupResult.Live live)) {
            done.accept(found);
          } else if (tries == 0) {
            done.accept(new LookupResult.Unavailable(Unavailability.CONTENDED));
          } else {
            write(live.job(), tries, done);
          }
        });
  }

  /**
   * One try. Without an answer the next one begins while this one may still be applied: it then
   * finds the final record, or writes the same; of all tries one is applied, since each is
   * conditional on the live record.
   */
  private void write(Job job, int tries, OnceConsumer<LookupResult> done) {
    String id = job.spec().id();
    FinalRecord end = cancelled(job);
    Txn txn = new Txn();
    addFinalRecord(txn, job, end);
    boolean[] triedAgain = new boolean[1];
    Runnable again =
        () -> {
          if (!triedAgain[0]) {
            triedAgain[0] = true;
            cancel(id, tries - 1, done);
          }
        };
    state.txn(
        StateClient.Lane.ANSWER,
        txn,
        () -> {
          if (tries > 1 && state.answersSoon(JobConstants.CHANGES_PER_END)) {
            again.run();
          }
        },
        result -> {
          if (result instanceof TxnResult.Applied applied) {
            onJobsFinal(txn, applied.revision(), Map.of(id, end));
            done.accept(end);
          } else if (triedAgain[0]) {
            return;
          } else if (result instanceof TxnResult.Refused || result instanceof TxnResult.TooLarge) {
            done.accept(new LookupResult.Unavailable(Unavailability.REFUSED));
          } else {
            again.run();
          }
        });
  }

  /**
   * Cancels the jobs that are to be cancelled with others, some at a time; the caller asks again
   * until none is left. Nothing is remembered between two calls: what is to be cancelled follows
   * from the records.
   */
  void cancelDependentJobs() {
    if (cascading || waits.graph().doomed().isEmpty()) {
      return;
    }
    Txn txn = new Txn();
    Map<String, FinalRecord> ends = new LinkedHashMap<>();
    for (Job job : waits.graph().doomed()) {
      if (txn.ops() + JobConstants.CHANGES_PER_END > limits.txnOps()) {
        break;
      }
      FinalRecord end = cancelled(job);
      addFinalRecord(txn, job, end);
      ends.put(job.spec().id(), end);
    }
    cascading = true;
    state.txn(
        StateClient.Lane.ROUND,
        txn,
        result -> {
          cascading = false;
          if (result instanceof TxnResult.Applied applied) {
            onJobsFinal(txn, applied.revision(), ends);
            cancelDependentJobs();
          }
        });
  }

  private FinalRecord cancelled(Job job) {
    return new FinalRecord(JobState.CANCELLED, job.finished().cardinality(), eventLoop.wallMs());
  }

  /** Adds the changes that make a live job final, on condition that it still is what is known. */
  static void addFinalRecord(Txn txn, Job job, FinalRecord end) {
    String id = job.spec().id();
    txn.when(Keys.job(id), job.revision())
        .remove(Keys.job(id))
        .write(Keys.finalJob(id), end.write());
  }

  /** Takes note of a transaction that made jobs final. */
  void onJobsFinal(Txn txn, long revision, Map<String, FinalRecord> ends) {
    // First all of them: whoever is told of a removal asks why.
    ends.forEach(finals::learn);
    replica.applied(txn, revision);
  }
}
