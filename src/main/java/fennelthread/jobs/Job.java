package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.state.Keys;
import fennelthread.state.SizeLimits;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** An accepted job that is neither done nor cancelled, as the state service knows it. */
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

  /** In how many keys its finished tasks may stand: none if its end is all that is written. */
  int chunks() {
    return spec.service() || spec.tasks() == 1
        ? 0
        : (spec.tasks() + JobConstants.TASKS_PER_CHUNK - 1) / JobConstants.TASKS_PER_CHUNK;
  }

  /** The name of the count of further keys that hold needs. */
  private static final String PARTS = "espera_parts";

  /**
   * The records of a job to be accepted, by key. Needs that its own record has no room for come in
   * further keys of the same transaction, before it. The record of a job without needs is what it
   * was before there were any: older versions read it and run the job.
   *
   * @throws WireException naming the field that is too large for the state service
   */
  static Map<String, Fields> write(JobSpec spec, long wallMs, SizeLimits limits)
      throws WireException {
    Fields record = spec.withDependencies(List.of()).write().with("at_ms", wallMs);
    int bytes = SizeLimits.encodedBytes(record);
    if (bytes > limits.valueBytes()) {
      throw new WireException("body", "is too large");
    }
    Map<String, Fields> records = new LinkedHashMap<>();
    List<String> dependencies = spec.dependencies();
    if (!dependencies.isEmpty()) {
      int next =
          fit(dependencies, 0, limits.valueBytes() - bytes - JobConstants.DEPENDENCIES_FIELD_BYTES);
      List<Object> here = new ArrayList<>(dependencies.subList(0, next));
      int parts = 0;
      while (next < dependencies.size()) {
        int to =
            fit(dependencies, next, limits.valueBytes() - JobConstants.DEPENDENCIES_FIELD_BYTES);
        if (to == next || parts >= limits.txnChanges()) {
          throw new WireException(JobSpec.DEPENDENCIES, "names too many jobs");
        }
        Fields part =
            Fields.create()
                .with(JobSpec.DEPENDENCIES, new ArrayList<Object>(dependencies.subList(next, to)));
        bytes += SizeLimits.encodedBytes(part);
        records.put(Keys.dependencies(spec.id(), parts++), part);
        next = to;
      }
      record.with(JobSpec.DEPENDENCIES, here);
      if (parts > 0) {
        record.with(PARTS, (long) parts);
      }
    }
    records.put(Keys.job(spec.id()), record);
    if (records.size() > limits.txnChanges() || bytes > limits.txnBytes()) {
      throw new WireException(JobSpec.DEPENDENCIES, "names too many jobs");
    }
    return records;
  }

  /** How far the needs from {@code from} on fit into so many bytes. */
  private static int fit(List<String> dependencies, int from, int bytes) {
    int to = from;
    int left = bytes;
    while (to < dependencies.size() && left >= dependencies.get(to).length() + 3) {
      left -= dependencies.get(to).length() + 3;
      to++;
    }
    return to;
  }

  /** In how many further keys a record's needs go on. */
  static int parts(Fields value) throws WireException {
    return (int) Math.min(Integer.MAX_VALUE, value.count(PARTS, 0));
  }

  /** The same job with all its needs. */
  Job withDependencies(List<String> dependencies) {
    return new Job(spec.withDependencies(dependencies), revision, acceptedWallMs);
  }

  static Job read(Fields value, long revision) throws WireException {
    return new Job(JobSpec.read(value), revision, value.count("at_ms", 0));
  }

  void readChunk(int chunk, Fields value) throws WireException {
    int base = chunk * JobConstants.TASKS_PER_CHUNK;
    List<?> ranges = value.list("r");
    for (int i = 0; i + 1 < ranges.size(); i += 2) {
      if (ranges.get(i) instanceof Long from
          && ranges.get(i + 1) instanceof Long to
          && 0 <= from
          && from <= to
          && to < JobConstants.TASKS_PER_CHUNK) {
        finished.set(base + from.intValue(), base + to.intValue() + 1);
      }
    }
  }

  /**
   * One chunk's finished tasks as ranges, relative to the chunk's first task, as far as they fit
   * into so many bytes; what is written is noted in {@code covered}.
   */
  public static Fields writeChunk(int chunk, BitSet finished, int mostBytes, BitSet covered) {
    int base = chunk * JobConstants.TASKS_PER_CHUNK;
    int end = base + JobConstants.TASKS_PER_CHUNK;
    List<Object> ranges = new ArrayList<>();
    int left = mostBytes - JobConstants.RECORD_BYTES_PER_ENTRY;
    for (int from = finished.nextSetBit(base); from >= 0 && from < end; ) {
      int to = Math.min(end, finished.nextClearBit(from));
      left -= JobConstants.RANGE_BYTES;
      if (left < 0) {
        break;
      }
      covered.set(from, to);
      ranges.add((long) (from - base));
      ranges.add((long) (to - 1 - base));
      from = finished.nextSetBit(to);
    }
    return Fields.create().with("r", ranges);
  }
}
