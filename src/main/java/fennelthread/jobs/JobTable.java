package fennelthread.jobs;

import fennelthread.constants.JobConstants;
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
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The live jobs and the start records, decoded from the replica. Used on the event loop's thread
 * only.
 */
public final class JobTable implements Replica.Listener {
  private static final Logger log = LoggerFactory.getLogger(JobTable.class);

  /** Receives the jobs that become live and those that cease to be live. */
  public interface Listener {
    /**
     * Called when a job has reached the replica with all its dependencies, whichever controller
     * accepted it.
     */
    void onJobAdded(Job job);

    /** Called when a job is no longer live: it is done or was cancelled. */
    void onJobRemoved(Job job);
  }

  private final Object2ObjectLinkedOpenHashMap<String, Job> jobs =
      new Object2ObjectLinkedOpenHashMap<>();

  /** Chunks of finished tasks that arrived before their job, by job and key. */
  private final Map<String, Map<String, Fields>> earlyChunks = new HashMap<>();

  private final Map<String, TreeMap<Integer, List<String>>> dependencyParts = new HashMap<>();

  /**
   * Jobs that lack parts of their dependencies, since these have not reached the replica yet.
   * Listeners are not told of a job before all parts are there.
   */
  private final Map<String, Job> incompleteJobs = new HashMap<>();

  private final DependencyIds dependencyIds = new DependencyIds();
  private final StartRecordIndex startRecordIndex = new StartRecordIndex();
  private final List<Listener> listeners = new ArrayList<>();

  /** Adds a listener. */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** Removes a listener. */
  public void removeListener(Listener listener) {
    listeners.remove(listener);
  }

  /** A live job, or null if there is none of this id. */
  public Job get(String id) {
    return jobs.get(id);
  }

  /** All live jobs, in the order in which they became known. */
  public Collection<Job> all() {
    return jobs.values();
  }

  /**
   * The start records by key, in the order in which they became known; callers must not change the
   * map.
   */
  public Map<String, StartRecord> startRecords() {
    return startRecordIndex.records();
  }

  /** The number of jobs, records and starts in memory, as key=value pairs for the log. */
  public String memoryUsage() {
    return "jobs="
        + jobs.size()
        + " startRecords="
        + startRecordIndex.records().size()
        + " recordedStarts="
        + startRecordIndex.count();
  }

  /** The number of starts in all start records. */
  public long recordedStartCount() {
    return startRecordIndex.count();
  }

  /**
   * The recorded start of an attempt at a task on a machine, or null; the same attempt in two
   * records counts as one start.
   */
  public StartRecord.Start recordedStart(TaskRef task, long attempt, String machine) {
    return startRecordIndex.find(task, attempt, machine);
  }

  /**
   * The number of tasks of a job that are recorded as started and not known to be finished; for
   * display only.
   */
  public int startedTaskCount(Job job) {
    BitSet started = startRecordIndex.startedTasks(job.spec().id());
    started.andNot(job.finishedTasks());
    return started.cardinality();
  }

  @Override
  public void onChange(String key, Fields value, long revision) {
    try {
      if (key.startsWith(Keys.JOB_PREFIX)) {
        onJobRecord(key.substring(Keys.JOB_PREFIX.length()), value, revision);
      } else if (key.startsWith(Keys.FINISHED_TASKS_PREFIX)) {
        onFinishedChunk(key, value);
      } else if (key.startsWith(Keys.DEPENDENCIES_PREFIX)) {
        onDependencyPart(key, value);
      } else if (key.startsWith(Keys.START_RECORD_PREFIX)) {
        onStartRecord(key, value);
      }
    } catch (WireException e) {
      logUnreadable(key, e);
    }
  }

  private void onStartRecord(String key, Fields value) throws WireException {
    if (value == null) {
      startRecordIndex.remove(key);
    } else {
      startRecordIndex.put(key, StartRecord.decode(value));
    }
  }

  private void onJobRecord(String id, Fields value, long revision) throws WireException {
    if (value == null) {
      incompleteJobs.remove(id);
      Job job = jobs.remove(id);
      if (job != null) {
        dependencyIds.forget(job.spec().dependencies());
        List.copyOf(listeners).forEach(listener -> listener.onJobRemoved(job));
      }
      return;
    }
    Job job = JobRecordCodec.decode(value, revision);
    if (job.missingDependencyParts() > 0) {
      incompleteJobs.put(id, job);
      addIfComplete(id);
    } else {
      add(job);
    }
  }

  private void onDependencyPart(String key, Fields value) throws WireException {
    String id = Keys.jobIdOf(Keys.DEPENDENCIES_PREFIX, key);
    int part = Keys.partNumberOf(key);
    if (value == null) {
      dependencyParts.computeIfPresent(
          id, (job, parts) -> parts.remove(part) != null && parts.isEmpty() ? null : parts);
      return;
    }
    List<String> ids = value.optTexts(JobSpec.DEPENDENCIES);
    if (ids == null) {
      throw new WireException(JobSpec.DEPENDENCIES, "is missing");
    }
    dependencyParts.computeIfAbsent(id, job -> new TreeMap<>()).put(part, ids);
    addIfComplete(id);
  }

  /**
   * Adds a job once all parts of its dependencies have arrived. They may arrive after the job's own
   * record, since the pages of one load are not read at the same revision.
   */
  private void addIfComplete(String id) {
    Job candidate = incompleteJobs.get(id);
    int partCount = dependencyParts.getOrDefault(id, new TreeMap<>()).size();
    if (candidate == null || partCount < candidate.missingDependencyParts()) {
      return;
    }
    incompleteJobs.remove(id);
    List<String> dependencies = new ArrayList<>(candidate.spec().dependencies());
    dependencyParts.get(id).values().forEach(dependencies::addAll);
    add(candidate.withDependencies(dependencies));
  }

  private void add(Job decoded) {
    Job job = withSharedDependencyIds(decoded);
    String id = job.spec().id();
    Map<String, Fields> chunks = earlyChunks.remove(id);
    jobs.put(id, job);
    dependencyIds.forget(List.of(id));
    if (chunks != null) {
      for (Map.Entry<String, Fields> chunk : chunks.entrySet()) {
        addEarlyChunk(chunk.getKey(), chunk.getValue());
      }
    }
    List.copyOf(listeners).forEach(listener -> listener.onJobAdded(job));
  }

  private void addEarlyChunk(String key, Fields value) {
    try {
      onFinishedChunk(key, value);
    } catch (WireException e) {
      logUnreadable(key, e);
    }
  }

  private static void logUnreadable(String key, WireException e) {
    log.error("record unreadable key={} reason={}", key, e.getMessage());
  }

  private Job withSharedDependencyIds(Job job) {
    List<String> dependencies = job.spec().dependencies();
    if (dependencies.isEmpty()) {
      return job;
    }
    return job.withDependencies(dependencyIds.share(dependencies, this::liveId));
  }

  /** The copy that a live job holds of its own id, or null if it is not live. */
  private String liveId(String id) {
    Job job = jobs.get(id);
    return job == null ? null : job.spec().id();
  }

  private void onFinishedChunk(String key, Fields value) throws WireException {
    if (value == null) {
      return;
    }
    String id = Keys.jobIdOf(Keys.FINISHED_TASKS_PREFIX, key);
    Job job = jobs.get(id);
    if (job == null) {
      // A load delivers keys in the order of their names, so that chunks of finished
      // tasks come before their jobs.
      earlyChunks.computeIfAbsent(id, k -> new HashMap<>()).put(key, value);
      if (earlyChunks.size() > JobConstants.MAX_JOBS_WITH_EARLY_CHUNKS) {
        earlyChunks.clear();
      }
      return;
    }
    job.addFinishedChunk(Keys.partNumberOf(key), value);
  }
}
