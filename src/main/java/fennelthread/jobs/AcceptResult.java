package fennelthread.jobs;

import fennelthread.state.Unavailability;

/** The outcome of a submission. */
public sealed interface AcceptResult {
  /** The job was written by this request. */
  record Accepted() implements AcceptResult {}

  /** The job was written earlier, or by another request; its current state has to be looked up. */
  record AlreadyAccepted() implements AcceptResult {}

  /** The job's records are larger than the state service takes. */
  record TooLarge() implements AcceptResult {}

  /** The outcome is not known: the job may have been written, or may still be. */
  record Unavailable(Unavailability reason) implements AcceptResult {}
}
