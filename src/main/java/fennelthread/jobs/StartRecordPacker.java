package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Packs the starts of one scheduling round into as many start records as needed, each of which fits
 * into a value; all are written in one transaction. Each record is complete by itself, as it was
 * when a round had a single one: a successor of any version reads them the same.
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
   * Reserves space for a start, which {@link #add} must then add. Returns false, and reserves
   * nothing, if the records have no space left.
   */
  public boolean tryReserve(JobSpec spec, int task, String machine, long session) {
    return tryReserve(StartRecord.Start.of(spec, task, 0, machine, session));
  }

  /** Adds the start for which space was reserved. */
  public void add(StartRecord.Start start) {
    records.get(records.size() - 1).add(start);
  }

  /** Adds all starts of an earlier record, or none of them if they don't all fit. */
  public boolean addAll(List<StartRecord.Start> starts) {
    int bytesLeftBefore = bytesLeft;
    int recordsBefore = records.size();
    Set<String> jobsBefore = Set.copyOf(jobsInLastRecord);
    List<StartRecord.Start> lastBefore =
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
        records.set(recordsBefore - 1, new ArrayList<>(lastBefore));
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
    int headBytes = headBytes(start);
    boolean hasHead = jobsInLastRecord.contains(start.task().job());
    if (records.isEmpty() || startBytes + (hasHead ? 0 : headBytes) > bytesLeft) {
      int emptyRecordBytes = maxRecordBytes - JobConstants.RECORD_BYTES_PER_ENTRY;
      if (records.size() >= maxRecords || startBytes + headBytes > emptyRecordBytes) {
        return false;
      }
      records.add(new ArrayList<>());
      jobsInLastRecord.clear();
      bytesLeft = emptyRecordBytes;
      hasHead = false;
    }
    bytesLeft -= startBytes + (hasHead ? 0 : headBytes);
    jobsInLastRecord.add(start.task().job());
    return true;
  }

  /** The most that a start takes in a record beside its job's head, bytes. */
  private static int startBytes(StartRecord.Start start) {
    return digits(start.task().index())
        + JobConstants.MAX_ATTEMPT_BYTES
        + start.machine().length()
        + digits(start.session())
        + JobConstants.RECORD_BYTES_PER_ENTRY;
  }

  /** The most that a job's head takes, which stands once in a record before its starts, bytes. */
  private static int headBytes(StartRecord.Start start) {
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
