package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.state.Keys;
import fennelthread.state.SizeLimits;
import fennelthread.state.StateClient;
import fennelthread.state.Txn;
import fennelthread.state.TxnResult;
import fennelthread.state.Unavailability;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Accepts validated jobs. The records of a job are written in one transaction, on condition that
 * neither a live nor a final record of its id exists; submissions that wait at the same time share
 * a transaction.
 *
 * <p>If the answer to a transaction is overdue, its submissions are resolved while their users
 * still wait: a job whose record has reached the replica by then was accepted, any other is sent
 * again. The conditions make that idempotent: however often a job is sent, it is applied at most
 * once, and never after it has become final.
 */
final class JobAcceptor implements TransactionPipeline.Handler<JobAcceptor.Batch> {
  /** Receives the transactions of submissions that were applied. */
  @FunctionalInterface
  interface AppliedListener {
    /**
     * Called when a transaction was applied at a revision, with the final records that it wrote by
     * job id.
     */
    void onApplied(Txn txn, long revision, Map<String, FinalRecord> finalRecords);
  }

  /** Tells whether a job is known to be accepted without reading the state service. */
  @FunctionalInterface
  interface AcceptedJobs {
    /** True if the replica or the cache of final records holds the job. */
    boolean isAccepted(String jobId);
  }

  /**
   * The submissions of one transaction, each with the number of transactions it had been sent in
   * then, this one included.
   */
  static final class Batch extends TransactionPipeline.Batch {
    final Map<PendingSubmission, Integer> sendNumbers = new LinkedHashMap<>();

    /** True if the submission was sent in no later transaction and its callers still wait. */
    boolean isLatestSendOf(PendingSubmission submission) {
      return submission.phase() == PendingSubmission.Phase.SENT
          && submission.sendCount() == sendNumbers.get(submission);
    }
  }

  private final StateClient state;
  private final SizeLimits limits;
  private final AcceptedJobs acceptedJobs;
  private final AppliedListener listener;
  private final TransactionPipeline<Batch> pipeline;
  private final Map<String, PendingSubmission> pending = new HashMap<>();
  private final Map<String, PendingSubmission> queue = new LinkedHashMap<>();

  JobAcceptor(StateClient state, AcceptedJobs acceptedJobs, AppliedListener listener) {
    this.state = state;
    this.limits = state.limits();
    this.acceptedJobs = acceptedJobs;
    this.listener = listener;
    this.pipeline = new TransactionPipeline<>(state, JobConstants.MAX_CONCURRENT_ACCEPTS, this);
  }

  /** The number of submissions that wait for a transaction. */
  int queuedSubmissions() {
    return queue.size();
  }

  /** Accepts a job; {@code done} is called once, possibly before this returns. */
  void accept(Submission submission, Consumer<AcceptResult> done) {
    String id = submission.spec().id();
    if (acceptedJobs.isAccepted(id)) {
      // Its conditions would fail the transaction for all submissions that share it, and the
      // attempt would still use up part of the rate limit on writes.
      done.accept(new AcceptResult.AlreadyAccepted());
      return;
    }
    PendingSubmission earlier = pending.get(id);
    if (earlier != null) {
      earlier.addCaller(done);
      return;
    }
    Optional<Unavailability> unavailability =
        queue.size() >= JobConstants.MAX_QUEUED_SUBMISSIONS
            ? Optional.of(Unavailability.BUSY)
            : state.unavailability(1 + queue.size());
    if (unavailability.isPresent()) {
      done.accept(new AcceptResult.Unavailable(unavailability.get()));
      return;
    }
    PendingSubmission next = new PendingSubmission(submission);
    next.addCaller(done);
    pending.put(id, next);
    queue.put(id, next);
    pipeline.sendNext();
  }

  @Override
  public boolean hasWaiting() {
    return !queue.isEmpty();
  }

  @Override
  public Batch nextBatch() {
    Batch batch = new Batch();
    int bytes = 0;
    boolean isFull = false;
    for (PendingSubmission next : queue.values()) {
      bytes += next.bytes();
      boolean fits =
          !isFull
              && !next.needsOwnTransaction()
              && batch.txn.changeCount() + next.submission().records().size()
                  <= limits.maxTxnChanges()
              && bytes <= limits.maxTxnBytes();
      if (!batch.sendNumbers.isEmpty() && !fits) {
        break;
      }
      isFull = next.needsOwnTransaction();
      batch
          .txn
          .requireRevision(Keys.job(next.id()), 0)
          .requireRevision(Keys.finalJob(next.id()), 0);
      next.submission().records().forEach(batch.txn::write);
      batch.sendNumbers.put(next, next.countSend());
    }
    for (PendingSubmission sent : batch.sendNumbers.keySet()) {
      queue.remove(sent.id());
      sent.transitionTo(PendingSubmission.Phase.SENT);
    }
    return batch;
  }

  /**
   * Completes the submissions that are known to be accepted by now, and sends the others again if
   * an answer can still come in time.
   */
  @Override
  public void onOverdue(Batch batch) {
    for (PendingSubmission submission : batch.sendNumbers.keySet()) {
      if (!batch.isLatestSendOf(submission)) {
        continue;
      }
      if (acceptedJobs.isAccepted(submission.id())) {
        complete(submission, new AcceptResult.AlreadyAccepted());
      } else if (submission.sendCount() < JobConstants.MAX_SENDS
          && state.canAnswerInTime(submission.submission().records().size())) {
        requeue(submission);
      }
    }
  }

  @Override
  public void onResult(Batch batch, TxnResult result) {
    if (result instanceof TxnResult.Applied applied) {
      completeApplied(batch, applied.revision());
    } else if (result instanceof TxnResult.Conflict conflict) {
      resolveConflict(batch, new HashSet<>(conflict.failedKeys()));
    } else if (result instanceof TxnResult.TooLarge) {
      resolveTooLarge(batch);
    } else {
      completeUnavailable(batch, Unavailability.of(result));
    }
  }

  private void completeApplied(Batch batch, long revision) {
    Map<String, FinalRecord> finalRecords = new HashMap<>();
    for (PendingSubmission accepted : batch.sendNumbers.keySet()) {
      if (accepted.submission().finalRecord() != null) {
        finalRecords.put(accepted.id(), accepted.submission().finalRecord());
      }
    }
    listener.onApplied(batch.txn, revision, finalRecords);
    batch.sendNumbers.keySet().forEach(job -> complete(job, new AcceptResult.Accepted()));
  }

  private void resolveConflict(Batch batch, Set<String> failedKeys) {
    if (failedKeys.isEmpty()) {
      // Without the failed keys it is unknown which submission the conflict is about.
      completeUnavailable(batch, Unavailability.REFUSED);
      return;
    }
    for (PendingSubmission submission : batch.sendNumbers.keySet()) {
      String id = submission.id();
      if (failedKeys.contains(Keys.job(id)) || failedKeys.contains(Keys.finalJob(id))) {
        complete(submission, new AcceptResult.AlreadyAccepted());
      } else if (batch.isLatestSendOf(submission)) {
        requeue(submission);
      }
    }
  }

  private void resolveTooLarge(Batch batch) {
    for (PendingSubmission submission : batch.sendNumbers.keySet()) {
      if (!batch.isLatestSendOf(submission)) {
        continue;
      }
      if (batch.sendNumbers.size() == 1) {
        complete(submission, new AcceptResult.TooLarge());
      } else {
        // Any one of them may be the one that is too large: each is sent alone from now on, so that
        // the others are not rejected with it for ever.
        submission.requireOwnTransaction();
        requeue(submission);
      }
    }
  }

  private void completeUnavailable(Batch batch, Unavailability why) {
    for (PendingSubmission submission : batch.sendNumbers.keySet()) {
      if (batch.isLatestSendOf(submission)) {
        complete(submission, new AcceptResult.Unavailable(why));
      }
    }
  }

  private void requeue(PendingSubmission submission) {
    submission.transitionTo(PendingSubmission.Phase.QUEUED);
    queue.put(submission.id(), submission);
  }

  private void complete(PendingSubmission submission, AcceptResult outcome) {
    if (submission.phase() == PendingSubmission.Phase.ANSWERED) {
      return;
    }
    submission.transitionTo(PendingSubmission.Phase.ANSWERED);
    pending.remove(submission.id());
    queue.remove(submission.id());
    submission.answer(outcome);
  }
}
