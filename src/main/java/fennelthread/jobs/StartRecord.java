package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one round is about to start, written before any start is sent. It names the team and the
 * resources too: a successor must count a cancelled job's tasks, whose record is gone by then.
 */
public record StartRecord(List<Start> starts) {

  /** One start: the attempt, where, and what it takes there. */
  public record Start(
      TaskRef task,
      long attempt,
      String machine,
      long session,
      String team,
      double cpus,
      double cards,
      double memGb) {

    /** The start of a task of a known job. */
    public static Start of(JobSpec spec, int index, long attempt, String machine, long session) {
      return new Start(
          new TaskRef(spec.id(), index),
          attempt,
          machine,
          session,
          spec.team(),
          spec.cpus(),
          spec.cards(),
          spec.memGb());
    }
  }

  /**
   * Spreads a round's starts over records that each fit into a value, in one transaction. Each is
   * whole by itself, as it was when a round had one: a successor of any version reads them the
   * same.
   */
  public static final class Packer {
    private final int mostBytes;
    private final int mostRecords;
    private final List<List<Start>> records = new ArrayList<>();
    private final Set<String> jobs = new HashSet<>();
    private int left;

    /** Creates a packer for so many records of so many bytes. */
    public Packer(int mostBytes, int mostRecords) {
      this.mostBytes = mostBytes;
      this.mostRecords = mostRecords;
    }

    /** Makes room for a start, which {@link #add} must then bring; false if there is none. */
    public boolean makeRoom(JobSpec spec, int task, String machine, long session) {
      return makeRoom(Start.of(spec, task, 0, machine, session));
    }

    /** Adds starts of an earlier record if all of them fit, else none of them. */
    public boolean addAll(List<Start> starts) {
      int leftBefore = left;
      int recordsBefore = records.size();
      Set<String> jobsBefore = Set.copyOf(jobs);
      List<Start> last =
          recordsBefore == 0 ? List.of() : List.copyOf(records.get(recordsBefore - 1));
      for (Start s : starts) {
        if (makeRoom(s)) {
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

    private boolean makeRoom(Start s) {
      int start =
          digits(s.task.index())
              + JobConstants.LONGEST_ATTEMPT
              + s.machine.length()
              + digits(s.session)
              + JobConstants.RECORD_BYTES_PER_ENTRY;
      int head =
          s.task.job().length()
              // A letter may take several bytes, or be escaped.
              + 6 * s.team.length()
              + Double.toString(s.cpus).length()
              + Double.toString(s.cards).length()
              + Double.toString(s.memGb).length()
              + JobConstants.RECORD_BYTES_PER_ENTRY;
      boolean known = jobs.contains(s.task.job());
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
      jobs.add(s.task.job());
      return true;
    }

    private static int digits(long number) {
      return Long.toString(number).length();
    }

    /** Adds the start that room was made for. */
    public void add(Start start) {
      records.get(records.size() - 1).add(start);
    }

    /** The records. */
    public List<StartRecord> records() {
      return records.stream().map(StartRecord::new).toList();
    }
  }

  /** The record in the state service's form: jobs once, then their starts. */
  public Fields write() {
    Map<String, List<Object>> jobs = new LinkedHashMap<>();
    for (Start s : starts) {
      List<Object> job =
          jobs.computeIfAbsent(
              s.task.job(),
              id -> {
                List<Object> head = new ArrayList<>();
                head.add(id);
                head.add(s.team);
                head.add(s.cpus);
                head.add(s.cards);
                head.add(s.memGb);
                return head;
              });
      job.add((long) s.task.index());
      job.add(s.attempt);
      job.add(s.machine);
      job.add(s.session);
    }
    return Fields.create().with("j", new ArrayList<Object>(jobs.values()));
  }

  /** Reads a record. */
  public static StartRecord read(Fields value) throws WireException {
    List<Start> starts = new ArrayList<>();
    try {
      for (Object item : value.list("j")) {
        List<?> job = (List<?>) item;
        String id = (String) job.get(0);
        String team = (String) job.get(1);
        double cpus = ((Number) job.get(2)).doubleValue();
        double cards = ((Number) job.get(3)).doubleValue();
        double mem = ((Number) job.get(4)).doubleValue();
        for (int i = 5; i + 3 < job.size(); i += 4) {
          starts.add(
              new Start(
                  new TaskRef(id, ((Long) job.get(i)).intValue()),
                  (Long) job.get(i + 1),
                  (String) job.get(i + 2),
                  (Long) job.get(i + 3),
                  team,
                  cpus,
                  cards,
                  mem));
        }
      }
    } catch (ClassCastException | IndexOutOfBoundsException e) {
      throw new WireException("j", "is not a list of starts");
    }
    return new StartRecord(starts);
  }
}
