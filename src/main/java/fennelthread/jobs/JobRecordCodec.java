package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.state.Keys;
import fennelthread.state.SizeLimits;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes and decodes the records of a live job: the job's own record, and further records (parts)
 * with the dependencies that don't fit into it. The record of a job without dependencies has no
 * field for them, so that versions that do not support dependencies can read it and run the job.
 */
final class JobRecordCodec {
  /** The field with the number of parts that hold further dependencies. */
  private static final String PART_COUNT = "espera_parts";

  /** The field with the wall-clock time of acceptance, ms. */
  private static final String ACCEPTED_AT = "at_ms";

  private JobRecordCodec() {}

  /**
   * Encodes the records of a job that is to be accepted, by key. The parts come before the job's
   * own record.
   *
   * @throws WireException naming the field that is too large for the state service
   */
  static Map<String, Fields> encode(JobSpec spec, long wallMs, SizeLimits limits)
      throws WireException {
    Fields record = spec.withDependencies(List.of()).write().with(ACCEPTED_AT, wallMs);
    int bytes = SizeLimits.encodedBytes(record);
    if (bytes > limits.maxValueBytes()) {
      throw new WireException("body", "is too large");
    }
    Map<String, Fields> records = new LinkedHashMap<>();
    if (!spec.dependencies().isEmpty()) {
      bytes += addDependencies(spec, record, bytes, records, limits);
    }
    records.put(Keys.job(spec.id()), record);
    if (records.size() > limits.maxTxnChanges() || bytes > limits.maxTxnBytes()) {
      throw tooManyDependencies();
    }
    return records;
  }

  /**
   * Adds the dependencies to the job's own record as far as they fit, and the rest to parts.
   * Returns the size of all parts, bytes.
   */
  private static int addDependencies(
      JobSpec spec, Fields record, int recordBytes, Map<String, Fields> records, SizeLimits limits)
      throws WireException {
    List<String> dependencies = spec.dependencies();
    int bytesPerPart = limits.maxValueBytes() - JobConstants.DEPENDENCIES_FIELD_BYTES;
    int next = findFittingEnd(dependencies, 0, bytesPerPart - recordBytes);
    List<Object> ownDependencies = new ArrayList<>(dependencies.subList(0, next));
    int partsBytes = 0;
    int partCount = 0;
    while (next < dependencies.size()) {
      int end = findFittingEnd(dependencies, next, bytesPerPart);
      if (end == next || partCount >= limits.maxTxnChanges()) {
        throw tooManyDependencies();
      }
      List<Object> ids = new ArrayList<>(dependencies.subList(next, end));
      Fields part = Fields.create().with(JobSpec.DEPENDENCIES, ids);
      partsBytes += SizeLimits.encodedBytes(part);
      records.put(Keys.dependencies(spec.id(), partCount++), part);
      next = end;
    }
    record.with(JobSpec.DEPENDENCIES, ownDependencies);
    if (partCount > 0) {
      record.with(PART_COUNT, (long) partCount);
    }
    return partsBytes;
  }

  /**
   * The end index, exclusive, of the dependencies from {@code from} on that fit into {@code bytes}.
   */
  private static int findFittingEnd(List<String> dependencies, int from, int bytes) {
    int end = from;
    int bytesLeft = bytes;
    while (end < dependencies.size()) {
      int idBytes = dependencies.get(end).length() + JobConstants.BYTES_AROUND_ID;
      if (bytesLeft < idBytes) {
        break;
      }
      bytesLeft -= idBytes;
      end++;
    }
    return end;
  }

  private static WireException tooManyDependencies() {
    return new WireException(JobSpec.DEPENDENCIES, "names too many jobs");
  }

  /** Decodes a job's own record, which holds only the dependencies that fit into it. */
  static Job decode(Fields value, long revision) throws WireException {
    int partCount = (int) Math.min(Integer.MAX_VALUE, value.count(PART_COUNT, 0));
    return new Job(JobSpec.read(value), revision, value.count(ACCEPTED_AT, 0), partCount);
  }
}
