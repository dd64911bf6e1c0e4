package fennelthread.jobs;

import fennelthread.state.Unavailability;
import fennelthread.wire.Fields;
import fennelthread.wire.JobState;
import fennelthread.wire.WireException;

/** What the state service says of a job at the moment of asking. */
public sealed interface Lookup {
  /** Accepted, neither done nor cancelled. */
  record Live(Job job) implements Lookup {}

  /**
   * Done or cancelled, for ever; {@code endedWallMs} is the time of day when that was written, 0 in
   * records of versions that did not write it.
   */
  record Final(JobState state, int done, long endedWallMs) implements Lookup {
    /** The record in the state service's form. */
    public Fields write() {
      return Fields.create()
          .with("estado", state.wire())
          .with("done", (long) done)
          .with("at_ms", endedWallMs);
    }

    /** Reads a record. */
    public static Final read(Fields value) throws WireException {
      return new Final(
          JobState.of(value.text("estado")), (int) value.count("done", 0), value.count("at_ms", 0));
    }
  }

  /** Never accepted. */
  record Unknown() implements Lookup {}

  /** The state service can't be asked now. */
  record Unavailable(Unavailability why) implements Lookup {}
}
