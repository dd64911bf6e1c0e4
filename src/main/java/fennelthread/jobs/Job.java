package fennelthread.jobs;

import fennelthread.Constants;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** An accepted job that is neither done nor withdrawn, as the state service knows it. */
public final class Job {
  private final JobSpec spec;
  private final long revision;
  private final long acceptedWallMs;
  private final BitSet finished = new BitSet();

  Job(JobSpec spec, long revision, long acceptedWallMs) {
    this.spec = spec;
    this.revision = revision;
    this.acceptedWallMs = acceptedWallMs;
  }

  /** What the user submitted. */
  public JobSpec spec() {
    return spec;
  }

  /** The revision of its record: the condition for making it final. */
  public long revision() {
    return revision;
  }

  /** The time of day at which it was accepted, ms. */
  public long acceptedWallMs() {
    return acceptedWallMs;
  }

  /** The tasks whose end is durable. */
  public BitSet finished() {
    return finished;
  }

  static Fields write(JobSpec spec, long wallMs) {
    return spec.write().with("at_ms", wallMs);
  }

  static Job read(Fields value, long revision) throws WireException {
    return new Job(JobSpec.read(value), revision, value.count("at_ms", 0));
  }

  void readChunk(int chunk, Fields value) throws WireException {
    int base = chunk * Constants.TASKS_PER_CHUNK;
    List<?> ranges = value.list("r");
    for (int i = 0; i + 1 < ranges.size(); i += 2) {
      if (ranges.get(i) instanceof Long from && ranges.get(i + 1) instanceof Long to
          && 0 <= from && from <= to && to < Constants.TASKS_PER_CHUNK) {
        finished.set(base + from.intValue(), base + to.intValue() + 1);
      }
    }
  }

  /** One chunk's finished tasks as ranges, relative to the chunk's first task. */
  public static Fields writeChunk(int chunk, BitSet finished) {
    int base = chunk * Constants.TASKS_PER_CHUNK;
    int end = base + Constants.TASKS_PER_CHUNK;
    List<Object> ranges = new ArrayList<>();
    for (int from = finished.nextSetBit(base); from >= 0 && from < end; ) {
      int to = Math.min(end, finished.nextClearBit(from));
      ranges.add((long) (from - base));
      ranges.add((long) (to - 1 - base));
      from = finished.nextSetBit(to);
    }
    return Fields.create().with("r", ranges);
  }
}
