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
 * Compares the size of start records as stored with the same starts encoded as ranges: per job,
 * runs of neighbouring tasks with neighbouring attempts, and each machine once per record. The
 * range form is not stored anywhere.
 */
@EnabledIfSystemProperty(named = "slopes.file", matches = ".+")
class StartRecordSizeTest {
  private static final int STARTS_PER_SECOND = 817;

  @Test
  void bytesPerStart() throws WireException {
    for (int tasksPerJob : new int[] {5, 20, 50, 100, 1_000}) {
      ScaledCell cell = new ScaledCell(ScaledCell.Shape.of(1_000), 7);
      cell.run(20_000);
      cell.collectStartRecords();
      int tasks = tasksPerJob;
      cell.repeat(
          (double) STARTS_PER_SECOND / tasksPerJob,
          20_000,
          () -> cell.submit(cell.array(tasks, 8)));
      cell.run(25_000);
      long starts = 0;
      long storedBytes = 0;
      long rangeBytes = 0;
      for (Fields value : cell.startRecords) {
        StartRecord record = StartRecord.decode(value);
        Fields asRanges = encodeAsRanges(record);
        assertEquals(
            record.starts(), decodeRanges(asRanges), "the range form holds the same starts");
        starts += record.starts().size();
        storedBytes += Codec.JSON.encode(value).length;
        rangeBytes += Codec.JSON.encode(asRanges).length;
      }
      assertTrue(starts > 10_000, starts + " starts");
      System.out.printf(
          "start records, jobs of %d: %d records of %.1f starts, %.1f bytes a start, %.1f as"
              + " ranges%n",
          tasksPerJob,
          cell.startRecords.size(),
          starts / (double) cell.startRecords.size(),
          storedBytes / (double) starts,
          rangeBytes / (double) starts);
    }
  }

  /**
   * Encodes a record as ranges: machines once, jobs once. A run is the first task's index, the
   * first attempt, then the machines of its tasks by their index.
   */
  private static Fields encodeAsRanges(StartRecord record) {
    Map<String, Integer> machines = new LinkedHashMap<>();
    List<Object> machineList = new ArrayList<>();
    Map<String, List<Object>> jobs = new LinkedHashMap<>();
    Map<String, List<Object>> runs = new LinkedHashMap<>();
    Map<String, StartRecord.Start> lastStarts = new LinkedHashMap<>();
    for (StartRecord.Start start : record.starts()) {
      String key = start.machine() + "#" + start.session();
      Integer machineIndex = machines.get(key);
      if (machineIndex == null) {
        machineIndex = machines.size();
        machines.put(key, machineIndex);
        machineList.add(start.machine());
        machineList.add(start.session());
      }
      String id = start.task().job();
      List<Object> job = jobs.computeIfAbsent(id, k -> jobHeader(start));
      StartRecord.Start previous = lastStarts.put(id, start);
      List<Object> run = runs.get(id);
      if (previous == null
          || start.task().index() != previous.task().index() + 1
          || start.attempt() != previous.attempt() + 1) {
        run = new ArrayList<>(List.of((long) start.task().index(), start.attempt()));
        runs.put(id, run);
        job.add(run);
      }
      run.add((long) machineIndex);
    }
    return Fields.create().with("m", machineList).with("r", new ArrayList<Object>(jobs.values()));
  }

  private static List<Object> jobHeader(StartRecord.Start start) {
    return new ArrayList<>(
        List.of(start.task().job(), start.team(), start.cpus(), start.cards(), start.memGb()));
  }

  private static List<StartRecord.Start> decodeRanges(Fields value) throws WireException {
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
