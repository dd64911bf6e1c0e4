package fennelthread.jobs;

import fennelthread.wire.TaskRef;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The start records of the replica, with an index of their starts by job. */
final class StartRecordIndex {
  private final Map<String, StartRecord> records = new LinkedHashMap<>();

  /**
   * Starts by job and by the key of their record, so that removing a record does not search all
   * starts of a job with thousands of tasks.
   */
  private final Map<String, Map<String, List<StartRecord.Start>>> startsByJob = new HashMap<>();

  private int count;

  /**
   * The records by key, in the order in which they became known; callers must not change the map.
   */
  Map<String, StartRecord> records() {
    return records;
  }

  /** Adds or replaces a record. */
  void put(String key, StartRecord record) {
    removeFromIndex(key, records.put(key, record));
    count += record.starts().size();
    for (StartRecord.Start start : record.starts()) {
      startsByJob
          .computeIfAbsent(start.task().job(), job -> new LinkedHashMap<>())
          .computeIfAbsent(key, k -> new ArrayList<>())
          .add(start);
    }
  }

  /** Removes a record if there is one. */
  void remove(String key) {
    removeFromIndex(key, records.remove(key));
  }

  private void removeFromIndex(String key, StartRecord removed) {
    if (removed == null) {
      return;
    }
    count -= removed.starts().size();
    for (StartRecord.Start start : removed.starts()) {
      startsByJob.computeIfPresent(
          start.task().job(),
          (job, byKey) -> byKey.remove(key) != null && byKey.isEmpty() ? null : byKey);
    }
  }

  /** The number of starts in all records; a start in two records counts twice. */
  int count() {
    return count;
  }

  /** The recorded start of an attempt at a task on a machine, or null. */
  StartRecord.Start find(TaskRef task, long attempt, String machine) {
    for (List<StartRecord.Start> starts : startsByJob.getOrDefault(task.job(), Map.of()).values()) {
      for (StartRecord.Start start : starts) {
        if (start.attempt() == attempt
            && start.task().equals(task)
            && start.machine().equals(machine)) {
          return start;
        }
      }
    }
    return null;
  }

  /** The tasks of a job that are recorded as started, by index. */
  BitSet startedTasks(String jobId) {
    BitSet started = new BitSet();
    for (List<StartRecord.Start> starts : startsByJob.getOrDefault(jobId, Map.of()).values()) {
      for (StartRecord.Start start : starts) {
        started.set(start.task().index());
      }
    }
    return started;
  }
}
