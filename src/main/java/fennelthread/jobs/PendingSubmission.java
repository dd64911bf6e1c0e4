package fennelthread.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A submission whose outcome is not known yet, with the callers that wait for it. */
final class PendingSubmission {
  /** The stages of a submission. */
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
  private int sends;
  private boolean sentAlone;

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

  /** In how many transactions the job was sent so far. */
  int sends() {
    return sends;
  }

  /** True if the job was refused together with others for its size or theirs. */
  boolean isSentAlone() {
    return sentAlone;
  }

  /** From now on the job gets a transaction of its own. */
  void sendAlone() {
    sentAlone = true;
  }

  /**
   * Adds a caller that waits for the outcome. A job that was sent before may have been applied
   * before this caller asked, and may have been cancelled since: such a caller gets {@link
   * AcceptResult.AlreadyAccepted} in place of {@link AcceptResult.Accepted}.
   */
  void addCaller(Consumer<AcceptResult> caller) {
    (sends == 0 ? callers : lateCallers).add(caller);
  }

  /** Moves to another phase: the one place where it changes. */
  void transitionTo(Phase next) {
    if (phase == Phase.ANSWERED || phase == next) {
      throw new IllegalStateException(id() + ": " + phase + " -> " + next);
    }
    phase = next;
  }

  /** Counts a sending and returns its number, from 1. */
  int countSend() {
    return ++sends;
  }

  /** Gives all callers the outcome. */
  void answer(AcceptResult outcome) {
    callers.forEach(caller -> caller.accept(outcome));
    AcceptResult late =
        outcome instanceof AcceptResult.Accepted ? new AcceptResult.AlreadyAccepted() : outcome;
    lateCallers.forEach(caller -> caller.accept(late));
  }
}
