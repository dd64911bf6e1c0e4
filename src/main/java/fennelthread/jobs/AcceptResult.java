package fennelthread.jobs;

import fennelthread.state.Unavailability;

/** The outcome of a submission, as far as this controller knows it. */
public sealed interface AcceptResult {
  /** The job was written by this request. */
  record Accepted() implements AcceptResult {}

  /** The job was written earlier, or by another request; its current state has to be looked up. */
  record AlreadyAccepted() implements AcceptResult {}

  /** The job's records are larger than the state service accepts. */
  record TooLarge() implements AcceptResult {}

  /**
   * Not known to be accepted: the job may not have been sent to the state service, may have been
   * written, or may still be written.
   */
  record Unavailable(Unavailability reason) implements AcceptResult {}
}
