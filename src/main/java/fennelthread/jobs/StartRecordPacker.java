package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Spreads a round's starts over records that each fit into a value, in one transaction. Each is
 * whole by itself, as it was when a round had one: a successor of any version reads them the same.
 */
public final class StartRecordPacker {
  private final int mostBytes;
  private final int mostRecords;
  private final List<List<StartRecord.Start>> records = new ArrayList<>();
  private final Set<String> jobs = new HashSet<>();
  private int left;

  /** Creates a packer for so many records of so many bytes. */
  public StartRecordPacker(int mostBytes, int mostRecords) {
    this.mostBytes = mostBytes;
    this.mostRecords = mostRecords;
  }

  /** Makes room for a start, which {@link #add} must then bring; false if there is none. */
  public boolean tryReserve(JobSpec spec, int task, String machine, long session) {
    return tryReserve(StartRecord.Start.of(spec, task, 0, machine, session));
  }

  /** Adds starts of an earlier record if all of them fit, else none of them. */
  public boolean addAll(List<StartRecord.Start> starts) {
    int leftBefore = left;
    int recordsBefore = records.size();
    Set<String> jobsBefore = Set.copyOf(jobs);
    List<StartRecord.Start> last =
        recordsBefore == 0 ? List.of() : List.copyOf(records.get(recordsBefore - 1));
    for (StartRecord.Start s : starts) {
      if (tryReserve(s)) {
        add(s);
        continue;
      }
      while (records.size() > recordsBefore) {
        records.remove(records.size() - 1);
      }
      if (recordsBefore > 0) {
        records.set(recordsBefore - 1, new ArrayList<>(last));
      }
      left = leftBefore;
      jobs.clear();
      jobs.addAll(jobsBefore);
      return false;
    }
    return true;
  }

  private boolean tryReserve(StartRecord.Start s) {
    int start =
        digits(s.task().index())
            + JobConstants.LONGEST_ATTEMPT
            + s.machine().length()
            + digits(s.session())
            + JobConstants.RECORD_BYTES_PER_ENTRY;
    int head =
        s.task().job().length()
            // A letter may take several bytes, or be escaped.
            + 6 * s.team().length()
            + Double.toString(s.cpus()).length()
            + Double.toString(s.cards()).length()
            + Double.toString(s.memGb()).length()
            + JobConstants.RECORD_BYTES_PER_ENTRY;
    boolean known = jobs.contains(s.task().job());
    if (records.isEmpty() || start + (known ? 0 : head) > left) {
      int whole = mostBytes - JobConstants.RECORD_BYTES_PER_ENTRY;
      if (records.size() >= mostRecords || start + head > whole) {
        return false;
      }
      records.add(new ArrayList<>());
      jobs.clear();
      left = whole;
      known = false;
    }
    left -= start + (known ? 0 : head);
    jobs.add(s.task().job());
    return true;
  }

  private static int digits(long number) {
    return Long.toString(number).length();
  }

  /** Adds the start that room was made for. */
  public void add(StartRecord.Start start) {
    records.get(records.size() - 1).add(start);
  }

  /** The records. */
  public List<StartRecord> records() {
    return records.stream().map(StartRecord::new).toList();
  }
}
