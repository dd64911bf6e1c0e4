package fennelthread.leader;

import fennelthread.constants.JobConstants;
import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.fleet.Attempt;
import fennelthread.jobs.InheritedPriority;
import fennelthread.jobs.Job;
import fennelthread.wire.Priority;
import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** What the leader knows of a live job beyond its record: its attempts, ends and pauses. */
final class ActiveJob {

  /** Whether the job's tasks may be placed. */
  enum Phase {
    /** Jobs that it needs are not proven to be done: no part of any demand, limit or round. */
    WAITING,
    /** It waits for no other job. */
    RELEASED
  }

  private final Job job;
  private final BitSet finished = new BitSet();
  private final BitSet durable = new BitSet();
  private final BitSet idle = new BitSet();
  private final Int2ObjectOpenHashMap<List<Attempt>> attempts = new Int2ObjectOpenHashMap<>();
  private final Int2LongOpenHashMap notBefore = new Int2LongOpenHashMap();
  private final Int2IntOpenHashMap refusals = new Int2IntOpenHashMap();
  private final Set<String> failedMachines = new HashSet<>();
  private final TreeSet<Integer> dirtyChunks = new TreeSet<>();
  private Phase phase = Phase.WAITING;
  private long order;
  private long releasedWallMs;
  private InheritedPriority loan;
  private int failures;
  private long lastTroubleMs = Long.MIN_VALUE / 2;
  private int unfinished;

  /** Creates what is known of a job that waits until it is released. */
  ActiveJob(Job job) {
    this.job = job;
    finished.or(job.finished());
    durable.or(job.finished());
    idle.set(0, job.spec().tasks());
    idle.andNot(finished);
    unfinished = job.spec().tasks() - finished.cardinality();
  }

  /**
   * The one way from waiting to released; {@code order} is its place among the released jobs of the
   * term, {@code wallMs} the time of day from which it no longer waited.
   */
  void release(long order, long wallMs) {
    if (phase != Phase.WAITING) {
      throw new IllegalStateException(job.spec().id() + " is released already");
    }
    phase = Phase.RELEASED;
    this.order = order;
    this.releasedWallMs = wallMs;
  }

  boolean isReleased() {
    return phase == Phase.RELEASED;
  }

  long order() {
    return order;
  }

  /** The time of day from which the job's times count, its deadline apart. */
  long releasedWallMs() {
    return releasedWallMs;
  }

  /** Takes note of what the job has from those that need it; null if none does. */
  void lend(InheritedPriority lent) {
    loan = lent;
  }

  InheritedPriority loan() {
    return loan;
  }

  /** The most urgent priority among the job's own and those of the jobs that need it. */
  Priority priority() {
    Priority own = job.spec().priority();
    return loan == null || own.compareTo(loan.priority()) < 0 ? own : loan.priority();
  }

  Job job() {
    return job;
  }

  void attach(Attempt a) {
    List<Attempt> list =
        attempts.computeIfAbsent(a.start().task().index(), k -> new ArrayList<>(1));
    if (!list.contains(a)) {
      list.add(a);
    }
    idle.clear(a.start().task().index());
  }

  void detach(Attempt a) {
    int index = a.start().task().index();
    List<Attempt> list = attempts.get(index);
    if (list != null) {
      list.remove(a);
      if (list.isEmpty()) {
        attempts.remove(index);
        if (index < job.spec().tasks() && !finished.get(index)) {
          idle.set(index);
        }
      }
    }
  }

  Map<Integer, List<Attempt>> attempts() {
    return attempts;
  }

  void finish(int index) {
    if (index < job.spec().tasks() && !finished.get(index)) {
      finished.set(index);
      idle.clear(index);
      unfinished--;
      dirtyChunks.add(index / JobConstants.TASKS_PER_CHUNK);
    }
  }

  boolean isFinished(int index) {
    return finished.get(index);
  }

  BitSet finishedTasks() {
    return finished;
  }

  boolean isDurable(int index) {
    return durable.get(index);
  }

  Iterable<Integer> dirtyChunks() {
    return dirtyChunks;
  }

  boolean isDirty() {
    return !dirtyChunks.isEmpty();
  }

  void durable(BitSet covered) {
    durable.or(covered);
    dirtyChunks.removeIf(
        chunk -> {
          int from = chunk * JobConstants.TASKS_PER_CHUNK;
          for (int i = from; i < from + JobConstants.TASKS_PER_CHUNK; i++) {
            if (finished.get(i) && !durable.get(i)) {
              return false;
            }
          }
          return true;
        });
  }

  int unfinished() {
    return unfinished;
  }

  /** True if none of its tasks is done, as far as this term knows. */
  boolean isUndone() {
    return finished.isEmpty();
  }

  /** True if none of its tasks is done or has failed. */
  boolean hasNotBegun() {
    return finished.isEmpty() && failures == 0;
  }

  /** The attempt that has run longest, or one that is about to run; null if none is anywhere. */
  Attempt furthest() {
    Attempt furthest = null;
    for (List<Attempt> list : attempts.values()) {
      for (Attempt a : list) {
        if (!a.isStopRequested() && (furthest == null || isFurther(a, furthest))) {
          furthest = a;
        }
      }
    }
    return furthest;
  }

  private static boolean isFurther(Attempt a, Attempt b) {
    if ((a.runningSinceMs() < 0) != (b.runningSinceMs() < 0)) {
      return a.runningSinceMs() >= 0;
    }
    return a.runningSinceMs() != b.runningSinceMs()
        ? a.runningSinceMs() < b.runningSinceMs()
        : a.start().attempt() < b.start().attempt();
  }

  /** True if some task is neither finished nor possibly anywhere; it may be paused all the same. */
  boolean hasIdle() {
    return !idle.isEmpty();
  }

  /** Tasks that may be started now: not finished, proven to be nowhere, and not paused. */
  List<Integer> pending(long now, int most) {
    List<Integer> tasks = new ArrayList<>();
    for (int i = idle.nextSetBit(0); i >= 0 && tasks.size() < most; i = idle.nextSetBit(i + 1)) {
      if (notBefore.get(i) <= now) {
        tasks.add(i);
      }
    }
    return tasks;
  }

  void pause(int index, long until) {
    notBefore.put(index, until);
  }

  /** A task was refused: the next try waits a little, longer each time. */
  void refused(int index, long now, double chance) {
    forgetOldTroubles(now);
    int times = refusals.addTo(index, 1);
    pause(index, now + pauseMs(times, chance));
  }

  /**
   * A task failed. True if the job has failed on so many machines that it, and not the machine,
   * must be at fault; then its tries become rare.
   */
  boolean failedOn(int index, String machine, long now, double chance) {
    forgetOldTroubles(now);
    failedMachines.add(machine);
    failures++;
    boolean jobsFault =
        failedMachines.size() >= LeaderConstants.FAULTY_JOB_MACHINES && finished.isEmpty();
    pause(
        index,
        now + (jobsFault ? pauseMs(failures, chance) : LeaderConstants.MIN_TASK_BACKOFF_MS / 3));
    return jobsFault;
  }

  /**
   * What went wrong long ago says nothing of now: a service that three faulty machines have failed
   * in the course of a day is not at fault.
   */
  private void forgetOldTroubles(long now) {
    if (now - lastTroubleMs > LeaderConstants.FAILURE_WINDOW_MS) {
      failedMachines.clear();
      refusals.clear();
      failures = Math.min(failures, 1);
    }
    lastTroubleMs = now;
  }

  private static long pauseMs(int times, double chance) {
    long pause = LeaderConstants.MIN_TASK_BACKOFF_MS << Math.min(times, 10);
    return (long)
        (Math.min(LeaderConstants.MAX_TASK_BACKOFF_MS, pause)
            * (1 + ProtocolConstants.JITTER * chance));
  }
}
