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
  /** Receives each transaction of submissions that was applied. */
  @FunctionalInterface
  interface AppliedListener {
    /**
     * Called when a transaction was applied at a revision, with the final records that it wrote by
     * job id.
     */
    void onApplied(Txn txn, long revision, Map<String, FinalRecord> finalRecords);
  }

  /**
   * Tells from memory, without reading the state service, whether a job is known to be accepted.
   */
  @FunctionalInterface
  interface AcceptedJobs {
    /**
     * True if the replica or the cache of final records holds the job. If false, the job may still
     * have been accepted.
     */
    boolean isKnownAccepted(String jobId);
  }

  /** The submissions of one transaction, each with its send count as of this transaction. */
  static final class Batch extends TransactionPipeline.Batch {
    final Map<PendingSubmission, Integer> sendCounts = new LinkedHashMap<>();

    /**
     * True if the submission was neither answered nor queued or sent again after this transaction.
     */
    boolean isLatestSendOf(PendingSubmission submission) {
      return submission.phase() == PendingSubmission.Phase.SENT
          && submission.sendCount() == sendCounts.get(submission);
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
    if (acceptedJobs.isKnownAccepted(id)) {
      // The conditions of this submission would fail the transaction for all that share
      // it, and the attempt would still use up part of the rate limit on writes.
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
    PendingSubmission pendingSubmission = new PendingSubmission(submission);
    pendingSubmission.addCaller(done);
    pending.put(id, pendingSubmission);
    queue.put(id, pendingSubmission);
    pipeline.sendNextBatch();
  }

  @Override
  public boolean hasWaitingRequests() {
    return !queue.isEmpty();
  }

  @Override
  public Batch takeNextBatch() {
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
      if (!batch.sendCounts.isEmpty() && !fits) {
        break;
      }
      isFull = next.needsOwnTransaction();
      batch
          .txn
          .requireRevision(Keys.job(next.id()), 0)
          .requireRevision(Keys.finalJob(next.id()), 0);
      next.submission().records().forEach(batch.txn::write);
      batch.sendCounts.put(next, next.countSend());
    }
    for (PendingSubmission sent : batch.sendCounts.keySet()) {
      queue.remove(sent.id());
      sent.transitionTo(PendingSubmission.Phase.SENT);
    }
    return batch;
  }

  /**
   * Completes the submissions that are known to be accepted by now. The others are queued again
   * while they have been sent fewer than {@link JobConstants#MAX_SENDS} times and an answer can
   * still come in time.
   */
  @Override
  public void onOverdue(Batch batch) {
    for (PendingSubmission submission : batch.sendCounts.keySet()) {
      if (!batch.isLatestSendOf(submission)) {
        continue;
      }
      if (acceptedJobs.isKnownAccepted(submission.id())) {
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
    for (PendingSubmission accepted : batch.sendCounts.keySet()) {
      if (accepted.submission().finalRecord() != null) {
        finalRecords.put(accepted.id(), accepted.submission().finalRecord());
      }
    }
    listener.onApplied(batch.txn, revision, finalRecords);
    batch.sendCounts.keySet().forEach(accepted -> complete(accepted, new AcceptResult.Accepted()));
  }

  private void resolveConflict(Batch batch, Set<String> failedKeys) {
    if (failedKeys.isEmpty()) {
      // Without the failed keys it is unknown which submission the conflict is about.
      completeUnavailable(batch, Unavailability.REFUSED);
      return;
    }
    for (PendingSubmission submission : batch.sendCounts.keySet()) {
      String id = submission.id();
      if (failedKeys.contains(Keys.job(id)) || failedKeys.contains(Keys.finalJob(id))) {
        complete(submission, new AcceptResult.AlreadyAccepted());
      } else if (batch.isLatestSendOf(submission)) {
        requeue(submission);
      }
    }
  }

  private void resolveTooLarge(Batch batch) {
    for (PendingSubmission submission : batch.sendCounts.keySet()) {
      if (!batch.isLatestSendOf(submission)) {
        continue;
      }
      if (batch.sendCounts.size() == 1) {
        complete(submission, new AcceptResult.TooLarge());
      } else {
        // Any one of them may be the one that is too large: each is sent alone from now on, so that
        // the others are not rejected with it for ever.
        submission.requireOwnTransaction();
        requeue(submission);
      }
    }
  }

  private void completeUnavailable(Batch batch, Unavailability reason) {
    for (PendingSubmission submission : batch.sendCounts.keySet()) {
      if (batch.isLatestSendOf(submission)) {
        complete(submission, new AcceptResult.Unavailable(reason));
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
