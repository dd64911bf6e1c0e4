package fennelthread.jobs;

import fennelthread.state.Keys;
import fennelthread.state.Replica;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WireException;
import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The live jobs of the replica, decoded. */
public final class JobTable implements Replica.Listener {
  private static final Logger log = LoggerFactory.getLogger(JobTable.class);

  /** Told of jobs that come and go. */
  public interface Listener {
    /** A job was accepted somewhere. */
    void onJobAdded(Job job);

    /** A job is done or was cancelled. */
    void onJobRemoved(Job job);
  }

  /** A job whose needs have not all arrived: nothing may be done about it yet. */
  private record Incomplete(Job job, int parts) {}

  private final Object2ObjectLinkedOpenHashMap<String, Job> jobs =
      new Object2ObjectLinkedOpenHashMap<>();
  private final Map<String, Map<String, Fields>> earlyChunks = new HashMap<>();
  private final Map<String, TreeMap<Integer, List<String>>> dependencies = new HashMap<>();
  private final Map<String, Incomplete> incomplete = new HashMap<>();
  private final Map<String, StartRecord> rounds = new LinkedHashMap<>();

  /**
   * Starts by job and by the key of their record: taking a record out must not search a job of
   * thousands.
   */
  private final Map<String, Map<String, List<StartRecord.Start>>> startsByJob = new HashMap<>();

  private final List<Listener> listeners = new ArrayList<>();

  /** Adds a listener. */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** Removes a listener. */
  public void removeListener(Listener listener) {
    listeners.remove(listener);
  }

  /** A live job, or null. */
  public Job get(String id) {
    return jobs.get(id);
  }

  /** All live jobs, in the order in which they became known. */
  public Collection<Job> all() {
    return jobs.values();
  }

  /** The round records, by key. */
  public Map<String, StartRecord> startRecords() {
    return rounds;
  }

  /** How much is held, for a line of the log. */
  public String memoryUsage() {
    int starts = 0;
    for (StartRecord r : rounds.values()) {
      starts += r.starts().size();
    }
    return jobs.size() + " jobs, " + rounds.size() + " round records with " + starts + " starts";
  }

  /**
   * The recorded start of an attempt at a task, or null; the same attempt in two records is one
   * start.
   */
  public StartRecord.Start startOf(TaskRef task, long attempt, String machine) {
    for (List<StartRecord.Start> starts : startsByJob.getOrDefault(task.job(), Map.of()).values()) {
      for (StartRecord.Start s : starts) {
        if (s.attempt() == attempt && s.task().equals(task) && s.machine().equals(machine)) {
          return s;
        }
      }
    }
    return null;
  }

  private void record(String key, StartRecord record) {
    StartRecord known = record == null ? rounds.remove(key) : rounds.put(key, record);
    if (known != null) {
      for (StartRecord.Start s : known.starts()) {
        startsByJob.computeIfPresent(
            s.task().job(),
            (job, byKey) -> byKey.remove(key) != null && byKey.isEmpty() ? null : byKey);
      }
    }
    if (record != null) {
      for (StartRecord.Start s : record.starts()) {
        startsByJob
            .computeIfAbsent(s.task().job(), job -> new LinkedHashMap<>())
            .computeIfAbsent(key, k -> new ArrayList<>())
            .add(s);
      }
    }
  }

  /** How many tasks of a job are recorded as started and not known to be finished; for display. */
  public int startedTasks(Job job) {
    BitSet started = new BitSet();
    for (List<StartRecord.Start> starts :
        startsByJob.getOrDefault(job.spec().id(), Map.of()).values()) {
      for (StartRecord.Start s : starts) {
        started.set(s.task().index());
      }
    }
    started.andNot(job.finished());
    return started.cardinality();
  }

  @Override
  public void changed(String key, Fields value, long revision) {
    try {
      if (key.startsWith(Keys.JOB)) {
        changedJob(key.substring(Keys.JOB.length()), value, revision);
      } else if (key.startsWith(Keys.FINISHED)) {
        changedChunk(key, value);
      } else if (key.startsWith(Keys.DEPENDENCIES)) {
        changedNeeds(key, value);
      } else if (key.startsWith(Keys.ROUND)) {
        record(key, value == null ? null : StartRecord.read(value));
      }
    } catch (WireException e) {
      log.error("unreadable record {}: {}", key, e.getMessage());
    }
  }

  private void changedJob(String id, Fields value, long revision) throws WireException {
    if (value == null) {
      incomplete.remove(id);
      Job job = jobs.remove(id);
      if (job != null) {
        List.copyOf(listeners).forEach(l -> l.onJobRemoved(job));
      }
      return;
    }
    Job job = Job.read(value, revision);
    int parts = Job.parts(value);
    if (parts > 0) {
      incomplete.put(id, new Incomplete(job, parts));
      complete(id);
    } else {
      add(job);
    }
  }

  private void changedNeeds(String key, Fields value) throws WireException {
    String id = Keys.jobOf(Keys.DEPENDENCIES, key);
    int part = Keys.partOf(key);
    if (value == null) {
      dependencies.computeIfPresent(
          id, (k, parts) -> parts.remove(part) != null && parts.isEmpty() ? null : parts);
      return;
    }
    List<String> ids = value.optTexts(JobSpec.DEPENDENCIES);
    if (ids == null) {
      throw new WireException(JobSpec.DEPENDENCIES, "is missing");
    }
    dependencies.computeIfAbsent(id, k -> new TreeMap<>()).put(part, ids);
    complete(id);
  }

  /** Adds a job once all its needs have arrived: pages of a list may be of different moments. */
  private void complete(String id) throws WireException {
    Incomplete known = incomplete.get(id);
    if (known == null || dependencies.getOrDefault(id, new TreeMap<>()).size() < known.parts) {
      return;
    }
    incomplete.remove(id);
    List<String> all = new ArrayList<>(known.job.spec().dependencies());
    dependencies.get(id).values().forEach(all::addAll);
    add(known.job.withDependencies(all));
  }

  private void add(Job job) throws WireException {
    String id = job.spec().id();
    Map<String, Fields> chunks = earlyChunks.remove(id);
    jobs.put(id, job);
    if (chunks != null) {
      for (Map.Entry<String, Fields> chunk : chunks.entrySet()) {
        changedChunk(chunk.getKey(), chunk.getValue());
      }
    }
    List.copyOf(listeners).forEach(l -> l.onJobAdded(job));
  }

  private void changedChunk(String key, Fields value) throws WireException {
    if (value == null) {
      return;
    }
    String id = Keys.jobOf(Keys.FINISHED, key);
    Job job = jobs.get(id);
    if (job == null) {
      // Keys arrive in order of their names when the replica loads: chunks come before jobs.
      earlyChunks.computeIfAbsent(id, k -> new HashMap<>()).put(key, value);
      if (earlyChunks.size() > 10_000) {
        earlyChunks.clear();
      }
      return;
    }
    job.readChunk(Keys.partOf(key), value);
  }
}
