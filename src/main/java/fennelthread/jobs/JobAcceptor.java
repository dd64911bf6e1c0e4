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
 * Accepts validated jobs. Each job takes one durable write, on condition that neither a live nor a
 * final record of its id exists; submissions that wait at the same time share a transaction.
 *
 * <p>If the answer to a transaction is lost, its submissions are settled while their users still
 * wait: a job whose record has reached the replica by then was accepted, any other is sent again.
 * The conditions make that idempotent: however often a job is sent, it is applied at most once, and
 * never after it has ended.
 */
final class JobAcceptor implements TransactionPipeline.Handler<JobAcceptor.Batch> {
  /** Receives the transactions that were applied. */
  @FunctionalInterface
  interface AppliedListener {
    /** Called once a transaction was applied at a revision; it wrote these final records. */
    void onApplied(Txn txn, long revision, Map<String, FinalRecord> finalRecords);
  }

  /** Answers whether a job is known to be accepted without a read of the state service. */
  @FunctionalInterface
  interface AcceptedJobs {
    /** True if the replica or the cache of final records holds the job. */
    boolean isAccepted(String jobId);
  }

  /** The jobs of one transaction, each with the number of its sending. */
  static final class Batch extends TransactionPipeline.Batch {
    final Map<PendingSubmission, Integer> sendNumbers = new LinkedHashMap<>();

    /** True if this is the latest sending of the job, and its callers still wait. */
    boolean isLatestFor(PendingSubmission submission) {
      return submission.phase() == PendingSubmission.Phase.SENT
          && submission.sends() == sendNumbers.get(submission);
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

  /** How many submissions wait for a transaction. */
  int queuedSubmissions() {
    return queue.size();
  }

  /** Accepts a job; {@code done} is called once, possibly before this returns. */
  void accept(Submission submission, Consumer<AcceptResult> done) {
    String id = submission.spec().id();
    if (acceptedJobs.isAccepted(id)) {
      // A transaction would fail with all that share it, and count against the write limit too.
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
    boolean sentAlone = false;
    for (PendingSubmission next : queue.values()) {
      bytes += next.bytes();
      boolean fits =
          !sentAlone
              && !next.isSentAlone()
              && batch.txn.changeCount() + next.submission().records().size()
                  <= limits.maxTxnChanges()
              && bytes <= limits.maxTxnBytes();
      if (!batch.sendNumbers.isEmpty() && !fits) {
        break;
      }
      sentAlone = next.isSentAlone();
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

  /** Without a result in time, a job counts as accepted if the replica holds it by now. */
  @Override
  public void onOverdue(Batch batch) {
    for (PendingSubmission submission : batch.sendNumbers.keySet()) {
      if (!batch.isLatestFor(submission)) {
        continue;
      }
      if (acceptedJobs.isAccepted(submission.id())) {
        complete(submission, new AcceptResult.AlreadyAccepted());
      } else if (submission.sends() < JobConstants.MAX_SENDS
          && state.canAnswerInTime(submission.submission().records().size())) {
        requeue(submission);
      }
    }
  }

  @Override
  public void onResult(Batch batch, TxnResult result) {
    if (result instanceof TxnResult.Applied applied) {
      settleApplied(batch, applied.revision());
    } else if (result instanceof TxnResult.Conflict conflict) {
      settleConflict(batch, new HashSet<>(conflict.failed()));
    } else if (result instanceof TxnResult.TooLarge) {
      settleTooLarge(batch);
    } else {
      completeUnavailable(batch, Unavailability.of(result));
    }
  }

  private void settleApplied(Batch batch, long revision) {
    Map<String, FinalRecord> finalRecords = new HashMap<>();
    for (PendingSubmission accepted : batch.sendNumbers.keySet()) {
      if (accepted.submission().finalRecord() != null) {
        finalRecords.put(accepted.id(), accepted.submission().finalRecord());
      }
    }
    listener.onApplied(batch.txn, revision, finalRecords);
    batch.sendNumbers.keySet().forEach(job -> complete(job, new AcceptResult.Accepted()));
  }

  private void settleConflict(Batch batch, Set<String> failedKeys) {
    if (failedKeys.isEmpty()) {
      completeUnavailable(batch, Unavailability.REFUSED);
      return;
    }
    for (PendingSubmission submission : batch.sendNumbers.keySet()) {
      String id = submission.id();
      if (failedKeys.contains(Keys.job(id)) || failedKeys.contains(Keys.finalJob(id))) {
        complete(submission, new AcceptResult.AlreadyAccepted());
      } else if (batch.isLatestFor(submission)) {
        requeue(submission);
      }
    }
  }

  private void settleTooLarge(Batch batch) {
    for (PendingSubmission submission : batch.sendNumbers.keySet()) {
      if (!batch.isLatestFor(submission)) {
        continue;
      }
      if (batch.sendNumbers.size() == 1) {
        complete(submission, new AcceptResult.TooLarge());
      } else {
        // Whichever is too large must not be refused together with the others for ever.
        submission.sendAlone();
        requeue(submission);
      }
    }
  }

  private void completeUnavailable(Batch batch, Unavailability why) {
    for (PendingSubmission submission : batch.sendNumbers.keySet()) {
      if (batch.isLatestFor(submission)) {
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
