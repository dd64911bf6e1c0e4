package fennelthread.peers;

import fennelthread.wire.Fields;
import fennelthread.wire.WireException;

/**
 * The part of a heartbeat, or of its answer, about the sender's heap.
 *
 * @param jobBytes the most that accepted jobs may take of the sender's heap if it leads, bytes
 * @param underPressure true while the sender's heap is nearly full
 */
public record MemoryStatus(long jobBytes, boolean underPressure) {
  Fields write() {
    return Fields.create().with("job_bytes", jobBytes).with("short", underPressure);
  }

  static MemoryStatus read(Fields fields) throws WireException {
    return new MemoryStatus(fields.count("job_bytes"), fields.optFlag("short"));
  }
}
