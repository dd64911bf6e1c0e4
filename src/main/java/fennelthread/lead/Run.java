package fennelthread.lead;

import fennelthread.Constants;
import fennelthread.fleet.Attempt;
import fennelthread.jobs.Job;
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
final class Run {
  private final Job job;
  private final BitSet finished = new BitSet();
  private final BitSet durable = new BitSet();
  private final Int2ObjectOpenHashMap<List<Attempt>> attempts = new Int2ObjectOpenHashMap<>();
  private final Int2LongOpenHashMap notBefore = new Int2LongOpenHashMap();
  private final Int2IntOpenHashMap refusals = new Int2IntOpenHashMap();
  private final Set<String> failedMachines = new HashSet<>();
  private final TreeSet<Integer> dirtyChunks = new TreeSet<>();
  private int failures;

  Run(Job job) {
    this.job = job;
    finished.or(job.finished());
    durable.or(job.finished());
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
  }

  void detach(Attempt a) {
    int index = a.start().task().index();
    List<Attempt> list = attempts.get(index);
    if (list != null) {
      list.remove(a);
      if (list.isEmpty()) {
        attempts.remove(index);
      }
    }
  }

  Map<Integer, List<Attempt>> attempts() {
    return attempts;
  }

  void finish(int index) {
    if (index < job.spec().tasks() && !finished.get(index)) {
      finished.set(index);
      dirtyChunks.add(index / Constants.TASKS_PER_CHUNK);
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
          int from = chunk * Constants.TASKS_PER_CHUNK;
          for (int i = from; i < from + Constants.TASKS_PER_CHUNK; i++) {
            if (finished.get(i) && !durable.get(i)) {
              return false;
            }
          }
          return true;
        });
  }

  int unfinished() {
    return job.spec().tasks() - finished.cardinality();
  }

  /** Tasks that may be started now: not finished, proven to be nowhere, and not paused. */
  List<Integer> pending(long now, int most) {
    List<Integer> tasks = new ArrayList<>();
    int count = job.spec().tasks();
    for (int i = finished.nextClearBit(0); i < count && tasks.size() < most;
        i = finished.nextClearBit(i + 1)) {
      if (!attempts.containsKey(i) && notBefore.get(i) <= now) {
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
    int times = refusals.addTo(index, 1);
    pause(index, now + pauseMs(times, chance));
  }

  /**
   * A task failed. True if the job has failed on so many machines that it, and not the machine,
   * must be at fault; then its tries become rare.
   */
  boolean failedOn(int index, String machine, long now, double chance) {
    failedMachines.add(machine);
    failures++;
    boolean jobsFault = failedMachines.size() >= Constants.BAD_JOB_MACHINES && finished.isEmpty();
    pause(index, now + (jobsFault ? pauseMs(failures, chance) : Constants.TASK_PAUSE_MS / 3));
    return jobsFault;
  }

  private static long pauseMs(int times, double chance) {
    long pause = Constants.TASK_PAUSE_MS << Math.min(times, 10);
    return (long) (Math.min(Constants.TASK_PAUSE_MOST_MS, pause) * (1 + Constants.JITTER * chance));
  }
}
