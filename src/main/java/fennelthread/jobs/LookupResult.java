package fennelthread.jobs;

import fennelthread.state.Unavailability;

/**
 * The state of a job according to the state service at the moment of the read: live, final ({@link
 * FinalRecord}), unknown, or not available.
 */
public sealed interface LookupResult
    permits LookupResult.Live, FinalRecord, LookupResult.Unknown, LookupResult.Unavailable {
  /** The job was accepted, and is neither done nor cancelled. */
  record Live(Job job) implements LookupResult {}

  /** No job of this id was ever accepted. */
  record Unknown() implements LookupResult {}

  /** The state service could not be read. */
  record Unavailable(Unavailability reason) implements LookupResult {}
}
