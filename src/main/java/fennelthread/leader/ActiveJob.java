package fennelthread.leader;

import fennelthread.constants.JobConstants;
import fennelthread.constants.LeaderConstants;
import fennelthread.fleet.Attempt;
import fennelthread.jobs.InheritedPriority;
import fennelthread.jobs.Job;
import fennelthread.wire.Priority;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * The state of a live job that its record does not hold: release, inherited priority, attempts of
 * its tasks, finished tasks that are not stored yet, and backoff.
 */
final class ActiveJob {

  /** Whether the job's tasks may be placed. */
  enum Phase {
    /** Not all dependencies are known to be done: the job counts in no demand, quota or round. */
    WAITING,
    /** The job waits for no other job. */
    RELEASED
  }

  private final Job job;
  private final BitSet finished = new BitSet();
  private final BitSet stored = new BitSet();

  /**
   * The tasks that are finished or may be on a machine; all others are idle. It takes memory by
   * what has begun, so that a waiting job costs the same whatever its number of tasks.
   */
  private final BitSet begun = new BitSet();

  private final Int2ObjectOpenHashMap<List<Attempt>> attempts =
      new Int2ObjectOpenHashMap<>(LeaderConstants.INITIAL_TASK_ENTRIES);
  private final TreeSet<Integer> unstoredChunks = new TreeSet<>();

  /** Null until a task of the job has failed or was refused. */
  private TaskBackoff backoff;

  private Phase phase = Phase.WAITING;
  private long releaseOrder;
  private long releasedWallMs;
  private InheritedPriority inherited;
  private int unfinished;

  /** Creates the state of a job that waits until it is released. */
  ActiveJob(Job job) {
    this.job = job;
    finished.or(job.finishedTasks());
    stored.or(job.finishedTasks());
    begun.or(finished);
    unfinished = job.spec().tasks() - finished.cardinality();
  }

  Job job() {
    return job;
  }

  String id() {
    return job.spec().id();
  }

  // ---------------------------------------------------------------- release and priority

  /**
   * Releases a waiting job; a released job never waits again.
   *
   * @param order its place among the released jobs of the term
   * @param wallMs the time of day at which it stopped waiting for other jobs, ms
   */
  void release(long order, long wallMs) {
    if (phase != Phase.WAITING) {
      throw new IllegalStateException("job " + id() + " is already released");
    }
    phase = Phase.RELEASED;
    releaseOrder = order;
    releasedWallMs = wallMs;
  }

  boolean isReleased() {
    return phase == Phase.RELEASED;
  }

  long releaseOrder() {
    return releaseOrder;
  }

  /**
   * The time of day, ms, at which the job stopped waiting for others; its age in scheduling counts
   * from it, while its deadline counts from its submission.
   */
  long releasedWallMs() {
    return releasedWallMs;
  }

  /** Sets the priority and due times that the job inherits from its dependents; null if none. */
  void setInheritedPriority(InheritedPriority fromDependents) {
    inherited = fromDependents;
  }

  /** The priority and due times that the job inherits from its dependents, or null. */
  InheritedPriority inheritedPriority() {
    return inherited;
  }

  /** The most urgent priority among the job's own and those of its dependents. */
  Priority priority() {
    Priority own = job.spec().priority();
    return inherited == null || own.compareTo(inherited.priority()) < 0
        ? own
        : inherited.priority();
  }

  // ---------------------------------------------------------------- attempts

  /**
   * Adds an attempt that may be on a machine; its task is not placed until the attempt is detached.
   */
  void attach(Attempt attempt) {
    int task = attempt.start().task().index();
    List<Attempt> attemptsOfTask = attempts.computeIfAbsent(task, k -> new ArrayList<>(1));
    if (!attemptsOfTask.contains(attempt)) {
      attemptsOfTask.add(attempt);
    }
    begun.set(task);
  }

  /**
   * Removes an attempt that is on no machine; its task becomes idle unless it is finished or has
   * other attempts.
   */
  void detach(Attempt attempt) {
    int task = attempt.start().task().index();
    List<Attempt> attemptsOfTask = attempts.get(task);
    if (attemptsOfTask == null) {
      return;
    }
    attemptsOfTask.remove(attempt);
    if (attemptsOfTask.isEmpty()) {
      attempts.remove(task);
      if (!finished.get(task)) {
        begun.clear(task);
      }
    }
  }

  /** The attempts that may be on machines, by task. */
  Map<Integer, List<Attempt>> attempts() {
    return attempts;
  }

  /**
   * Among the attempts without a stop request, the one that has run longest, or the one with the
   * lowest number if none runs yet; null if there is none.
   */
  Attempt longestRunningAttempt() {
    Attempt longest = null;
    for (List<Attempt> attemptsOfTask : attempts.values()) {
      for (Attempt attempt : attemptsOfTask) {
        if (!attempt.isStopRequested() && (longest == null || hasRunLonger(attempt, longest))) {
          longest = attempt;
        }
      }
    }
    return longest;
  }

  private static boolean hasRunLonger(Attempt attempt, Attempt other) {
    if ((attempt.runningSinceMs() < 0) != (other.runningSinceMs() < 0)) {
      return attempt.runningSinceMs() >= 0;
    }
    return attempt.runningSinceMs() != other.runningSinceMs()
        ? attempt.runningSinceMs() < other.runningSinceMs()
        : attempt.start().attempt() < other.start().attempt();
  }

  // ---------------------------------------------------------------- finished tasks

  /** Marks a task finished; it is to be stored, and is not started again. */
  void markFinished(int task) {
    if (task < job.spec().tasks() && !finished.get(task)) {
      finished.set(task);
      begun.set(task);
      unfinished--;
      unstoredChunks.add(task / JobConstants.TASKS_PER_CHUNK);
    }
  }

  boolean isFinished(int task) {
    return finished.get(task);
  }

  BitSet finishedTasks() {
    return finished;
  }

  int unfinishedCount() {
    return unfinished;
  }

  boolean hasFinishedTasks() {
    return !finished.isEmpty();
  }

  /** True if one of its tasks is finished or has failed at some time in the term. */
  boolean hasFinishedOrFailedTasks() {
    return !finished.isEmpty() || (backoff != null && backoff.hasFailures());
  }

  /** True if the state service holds that the task is finished. */
  boolean isStored(int task) {
    return stored.get(task);
  }

  /** The chunks that hold a finished task which is not stored yet. */
  Iterable<Integer> unstoredChunks() {
    return unstoredChunks;
  }

  boolean hasUnstoredChunks() {
    return !unstoredChunks.isEmpty();
  }

  /** Marks finished tasks that the state service now holds. */
  void markStored(BitSet tasks) {
    stored.or(tasks);
    unstoredChunks.removeIf(this::isChunkStored);
  }

  private boolean isChunkStored(int chunk) {
    int from = chunk * JobConstants.TASKS_PER_CHUNK;
    for (int task = from; task < from + JobConstants.TASKS_PER_CHUNK; task++) {
      if (finished.get(task) && !stored.get(task)) {
        return false;
      }
    }
    return true;
  }

  // ---------------------------------------------------------------- tasks to start

  /** True if some task is neither finished nor possibly on a machine; it may be in backoff. */
  boolean hasIdleTasks() {
    return begun.nextClearBit(0) < job.spec().tasks();
  }

  /**
   * The tasks, at most {@code maxTasks}, that may be started now: unfinished, on no machine, and
   * not in backoff. While the tasks are consecutive, as those of a waiting job, the list takes no
   * memory for each of them.
   */
  IntList startableTasks(long nowMs, int maxTasks) {
    int first = begun.nextClearBit(0);
    int end = Math.min(job.spec().tasks(), first + maxTasks);
    int nextBegun = begun.nextSetBit(first);
    boolean areConsecutive = nextBegun < 0 || nextBegun >= end;
    if (areConsecutive && backoff == null) {
      return new TaskRange(first, Math.max(0, end - first));
    }
    return listStartableTasks(first, nowMs, maxTasks);
  }

  private IntList listStartableTasks(int first, long nowMs, int maxTasks) {
    IntArrayList tasks = new IntArrayList();
    for (int task = first;
        task < job.spec().tasks() && tasks.size() < maxTasks;
        task = begun.nextClearBit(task + 1)) {
      if (backoff == null || backoff.mayTry(task, nowMs)) {
        tasks.add(task);
      }
    }
    return tasks;
  }

  /** Lifts the backoff of a task that was stopped: it may be started again at once. */
  void onTaskStopped(int task) {
    if (backoff != null) {
      backoff.reset(task);
    }
  }

  private TaskBackoff backoff() {
    if (backoff == null) {
      backoff = new TaskBackoff();
    }
    return backoff;
  }

  /** Delays the next attempt of a task that a worker has refused. */
  void onTaskRefused(int task, long nowMs, double jitter) {
    backoff().onRefused(task, nowMs, jitter);
  }

  /**
   * Delays the next attempt of a task that has failed.
   *
   * @return true if the job rather than the machine counts as faulty
   */
  boolean onTaskFailed(int task, String machine, long nowMs, double jitter) {
    return backoff().onFailed(task, machine, hasFinishedTasks(), nowMs, jitter);
  }
}
