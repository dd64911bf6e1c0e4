package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.jobs.StartRecord;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * How large today's start records are, and how large the same starts would be as ranges: for each
 * job its neighbouring tasks with neighbouring attempts, and the machines once a record. A trial of
 * a form, not a form that is stored.
 */
@EnabledIfSystemProperty(named = "slopes.file", matches = ".+")
class StartRecordSizeTest {
  private static final int STARTS_PER_SECOND = 817;

  @Test
  void bytesPerStart() throws WireException {
    for (int size : new int[] {5, 20, 50, 100, 1_000}) {
      ScaledCell cell = new ScaledCell(ScaledCell.Shape.of(1_000), 7);
      cell.run(20_000);
      cell.collectStartRecords();
      int each = size;
      cell.repeat(
          (double) STARTS_PER_SECOND / size, 20_000, () -> cell.submit(cell.array(each, 8)));
      cell.run(25_000);
      long starts = 0;
      long today = 0;
      long ranges = 0;
      for (Fields value : cell.startRecords) {
        StartRecord record = StartRecord.decode(value);
        Fields asRanges = ranges(record);
        assertEquals(record.starts(), read(asRanges), "the range form holds the same starts");
        starts += record.starts().size();
        today += Codec.JSON.encode(value).length;
        ranges += Codec.JSON.encode(asRanges).length;
      }
      assertTrue(starts > 10_000, starts + " starts");
      System.out.printf(
          "start records, jobs of %d: %d records of %.1f starts, %.1f bytes a start, %.1f as"
              + " ranges%n",
          size,
          cell.startRecords.size(),
          starts / (double) cell.startRecords.size(),
          today / (double) starts,
          ranges / (double) starts);
    }
  }

  /**
   * Machines once, jobs once; a run is first task, count, first attempt, then machines by number.
   */
  private static Fields ranges(StartRecord record) {
    Map<String, Integer> machines = new LinkedHashMap<>();
    List<Object> machineList = new ArrayList<>();
    Map<String, List<Object>> jobs = new LinkedHashMap<>();
    Map<String, List<Object>> runs = new LinkedHashMap<>();
    Map<String, StartRecord.Start> last = new LinkedHashMap<>();
    for (StartRecord.Start s : record.starts()) {
      String key = s.machine() + "#" + s.session();
      Integer number = machines.get(key);
      if (number == null) {
        number = machines.size();
        machines.put(key, number);
        machineList.add(s.machine());
        machineList.add(s.session());
      }
      String id = s.task().job();
      List<Object> job = jobs.computeIfAbsent(id, k -> headOf(s));
      StartRecord.Start before = last.put(id, s);
      List<Object> run = runs.get(id);
      if (before == null
          || s.task().index() != before.task().index() + 1
          || s.attempt() != before.attempt() + 1) {
        run = new ArrayList<>(List.of((long) s.task().index(), s.attempt()));
        runs.put(id, run);
        job.add(run);
      }
      run.add((long) number);
    }
    return Fields.create().with("m", machineList).with("r", new ArrayList<Object>(jobs.values()));
  }

  private static List<Object> headOf(StartRecord.Start s) {
    return new ArrayList<>(List.of(s.task().job(), s.team(), s.cpus(), s.cards(), s.memGb()));
  }

  private static List<StartRecord.Start> read(Fields value) throws WireException {
    List<?> machines = value.list("m");
    List<StartRecord.Start> starts = new ArrayList<>();
    for (Object item : value.list("r")) {
      List<?> job = (List<?>) item;
      for (Object runItem : job.subList(5, job.size())) {
        List<?> run = (List<?>) runItem;
        for (int i = 2; i < run.size(); i++) {
          int machine = ((Number) run.get(i)).intValue();
          starts.add(
              new StartRecord.Start(
                  new fennelthread.wire.TaskRef(
                      (String) job.get(0), ((Number) run.get(0)).intValue() + i - 2),
                  ((Number) run.get(1)).longValue() + i - 2,
                  (String) machines.get(2 * machine),
                  ((Number) machines.get(2 * machine + 1)).longValue(),
                  (String) job.get(1),
                  (Double) job.get(2),
                  (Double) job.get(3),
                  (Double) job.get(4)));
        }
      }
    }
    return starts;
  }
}
