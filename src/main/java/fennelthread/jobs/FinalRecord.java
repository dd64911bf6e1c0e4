package fennelthread.jobs;

import fennelthread.wire.Fields;
import fennelthread.wire.JobState;
import fennelthread.wire.WireException;

/**
 * The final record of a job that is done or cancelled. It stays in the state service for ever and
 * never changes.
 *
 * @param state done or cancelled
 * @param finishedTaskCount how many of its tasks had finished
 * @param endedWallMs the wall-clock time when the record was written, ms; 0 in records of versions
 *     that don't write the field
 */
public record FinalRecord(JobState state, int finishedTaskCount, long endedWallMs)
    implements LookupResult {
  /** Encodes the record as the value that the state service stores. */
  public Fields encode() {
    return Fields.create()
        .with("estado", state.wireName())
        .with("done", (long) finishedTaskCount)
        .with("at_ms", endedWallMs);
  }

  /**
   * Decodes a stored value.
   *
   * @throws WireException naming the field that is missing or malformed
   */
  public static FinalRecord decode(Fields value) throws WireException {
    return new FinalRecord(
        JobState.of(value.text("estado")), (int) value.count("done", 0), value.count("at_ms", 0));
  }
}
