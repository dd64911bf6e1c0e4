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

  /** No job of this id had been accepted when the state service was read. */
  record Unknown() implements LookupResult {}

  /**
   * The state is unknown: the state service could not be asked, did not answer, or returned a
   * record that can't be decoded.
   */
  record Unavailable(Unavailability reason) implements LookupResult {}
}
