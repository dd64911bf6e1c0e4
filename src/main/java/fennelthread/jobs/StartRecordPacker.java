package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Packs the starts of one scheduling round into as many start records as needed, each of which fits
 * into a value; all are written in one transaction. Each record can be read on its own, so that a
 * new leader whose version expects one record per round can read them too.
 */
public final class StartRecordPacker {
  private final int maxRecordBytes;
  private final int maxRecords;
  private final List<List<StartRecord.Start>> records = new ArrayList<>();
  private final Set<String> jobsInLastRecord = new HashSet<>();
  private int bytesLeft;

  /** Creates a packer for at most {@code maxRecords} records of {@code maxRecordBytes} each. */
  public StartRecordPacker(int maxRecordBytes, int maxRecords) {
    this.maxRecordBytes = maxRecordBytes;
    this.maxRecords = maxRecords;
  }

  /**
   * Reserves space for a start, which the caller must then pass to {@link #add}. Returns false, and
   * reserves nothing, if the records have no space left.
   */
  public boolean tryReserve(JobSpec spec, int task, String machine, long session) {
    return tryReserve(StartRecord.Start.of(spec, task, 0, machine, session));
  }

  /** Adds the start for which space was reserved. */
  public void add(StartRecord.Start start) {
    records.get(records.size() - 1).add(start);
  }

  /**
   * Adds all starts of an earlier record and returns true, or adds none and returns false if they
   * don't all fit.
   */
  public boolean tryAddAll(List<StartRecord.Start> starts) {
    int bytesLeftBefore = bytesLeft;
    int recordsBefore = records.size();
    Set<String> jobsBefore = Set.copyOf(jobsInLastRecord);
    List<StartRecord.Start> lastRecordStartsBefore =
        recordsBefore == 0 ? List.of() : List.copyOf(records.get(recordsBefore - 1));
    for (StartRecord.Start start : starts) {
      if (tryReserve(start)) {
        add(start);
        continue;
      }
      while (records.size() > recordsBefore) {
        records.remove(records.size() - 1);
      }
      if (recordsBefore > 0) {
        records.set(recordsBefore - 1, new ArrayList<>(lastRecordStartsBefore));
      }
      bytesLeft = bytesLeftBefore;
      jobsInLastRecord.clear();
      jobsInLastRecord.addAll(jobsBefore);
      return false;
    }
    return true;
  }

  private boolean tryReserve(StartRecord.Start start) {
    int startBytes = startBytes(start);
    int headerBytes = headerBytes(start);
    boolean hasHeader = jobsInLastRecord.contains(start.task().job());
    if (records.isEmpty() || startBytes + (hasHeader ? 0 : headerBytes) > bytesLeft) {
      int emptyRecordBytes = maxRecordBytes - JobConstants.RECORD_BYTES_PER_ENTRY;
      if (records.size() >= maxRecords || startBytes + headerBytes > emptyRecordBytes) {
        return false;
      }
      records.add(new ArrayList<>());
      jobsInLastRecord.clear();
      bytesLeft = emptyRecordBytes;
      hasHeader = false;
    }
    bytesLeft -= startBytes + (hasHeader ? 0 : headerBytes);
    jobsInLastRecord.add(start.task().job());
    return true;
  }

  /** Upper bound on the size of a start in a record, without its job's header, bytes. */
  private static int startBytes(StartRecord.Start start) {
    return digits(start.task().index())
        + JobConstants.MAX_ATTEMPT_BYTES
        + start.machine().length()
        + digits(start.session())
        + JobConstants.RECORD_BYTES_PER_ENTRY;
  }

  /** Upper bound on the size of a job's header, which precedes its starts in each record, bytes. */
  private static int headerBytes(StartRecord.Start start) {
    return start.task().job().length()
        + JobConstants.MAX_BYTES_PER_CHARACTER * start.team().length()
        + Double.toString(start.cpus()).length()
        + Double.toString(start.cards()).length()
        + Double.toString(start.memGb()).length()
        + JobConstants.RECORD_BYTES_PER_ENTRY;
  }

  private static int digits(long number) {
    return Long.toString(number).length();
  }

  /** The records with all starts that were added. */
  public List<StartRecord> records() {
    return records.stream().map(StartRecord::new).toList();
  }
}
