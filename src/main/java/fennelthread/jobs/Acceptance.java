package fennelthread.jobs;

import fennelthread.state.Unavailability;

/** What became of a submission. */
public sealed interface Acceptance {
  /** Written by this request. */
  record New() implements Acceptance {}

  /** Written before this request came, or by another: its state is to be asked for. */
  record Known() implements Acceptance {}

  /** Larger than what the state service takes. */
  record TooLarge() implements Acceptance {}

  /** It may have been written, or may still be. */
  record Unavailable(Unavailability why) implements Acceptance {}
}
