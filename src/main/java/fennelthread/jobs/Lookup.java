package fennelthread.jobs;

import fennelthread.wire.JobState;

/** What the state service says of a job at the moment of asking. */
public sealed interface Lookup {
  /** Accepted, neither done nor withdrawn. */
  record Live(Job job) implements Lookup {}

  /** Done or withdrawn, for ever. */
  record Final(JobState state, int done) implements Lookup {}

  /** Never accepted. */
  record Unknown() implements Lookup {}

  /** The state service can't be asked now. */
  record Unavailable() implements Lookup {}
}
