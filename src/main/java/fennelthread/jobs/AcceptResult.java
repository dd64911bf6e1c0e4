package fennelthread.jobs;

import fennelthread.state.Unavailability;

/** What became of a submission. */
public sealed interface AcceptResult {
  /** Written by this request. */
  record Accepted() implements AcceptResult {}

  /** Written before this request came, or by another: its state is to be asked for. */
  record AlreadyAccepted() implements AcceptResult {}

  /** Larger than what the state service takes. */
  record TooLarge() implements AcceptResult {}

  /** It may have been written, or may still be. */
  record Unavailable(Unavailability why) implements AcceptResult {}
}
