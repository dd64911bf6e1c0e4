package fennelthread.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A submission whose outcome is not known yet, with the callers that wait for it. */
final class PendingSubmission {
  /** The stages of a submission, which may alternate between the first two. */
  enum Phase {
    /** Waits for its first or next transaction. */
    QUEUED,
    /** Is part of a transaction in flight. */
    SENT,
    /** Its callers have the outcome; final. */
    ANSWERED
  }

  private final Submission submission;
  private final int bytes;
  private final List<Consumer<AcceptResult>> callers = new ArrayList<>();
  private final List<Consumer<AcceptResult>> lateCallers = new ArrayList<>();
  private Phase phase = Phase.QUEUED;
  private int sendCount;
  private boolean needsOwnTransaction;

  PendingSubmission(Submission submission) {
    this.submission = submission;
    this.bytes = submission.bytes();
  }

  String id() {
    return submission.spec().id();
  }

  Submission submission() {
    return submission;
  }

  /** The size of the job's records in a transaction, bytes. */
  int bytes() {
    return bytes;
  }

  Phase phase() {
    return phase;
  }

  /** The number of transactions in which the submission has been sent so far. */
  int sendCount() {
    return sendCount;
  }

  /**
   * True if the submission must not share a transaction, since one that it shared was rejected as
   * too large.
   */
  boolean needsOwnTransaction() {
    return needsOwnTransaction;
  }

  /** From now on sends the submission only in transactions that hold no other submission. */
  void requireOwnTransaction() {
    needsOwnTransaction = true;
  }

  /**
   * Adds a caller that waits for the outcome. A job that was sent before may have been applied
   * before this caller asked, and may have been cancelled since: such a caller gets {@link
   * AcceptResult.AlreadyAccepted} in place of {@link AcceptResult.Accepted}.
   */
  void addCaller(Consumer<AcceptResult> caller) {
    (sendCount == 0 ? callers : lateCallers).add(caller);
  }

  /** Moves to another phase. The phase changes nowhere else. */
  void transitionTo(Phase next) {
    if (phase == Phase.ANSWERED || phase == next) {
      throw new IllegalStateException(
          "submission " + id() + " can't move from phase " + phase + " to " + next);
    }
    phase = next;
  }

  /** Counts one more transaction and returns the new send count. */
  int countSend() {
    return ++sendCount;
  }

  /** Gives all callers the outcome; call it once. */
  void answer(AcceptResult outcome) {
    callers.forEach(caller -> caller.accept(outcome));
    AcceptResult late =
        outcome instanceof AcceptResult.Accepted ? new AcceptResult.AlreadyAccepted() : outcome;
    lateCallers.forEach(caller -> caller.accept(late));
  }
}
