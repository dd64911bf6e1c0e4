package fennelthread.jobs;

import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import it.unimi.dsi.fastutil.objects.ObjectLinkedOpenHashSet;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The dependencies among live jobs (a directed acyclic graph), and what follows from them: which
 * jobs may run, which are to be cancelled, and which priority each inherits.
 *
 * <p>A dependency is met only by a final record with the state done. That a job is no longer live
 * is not enough, since it may have been cancelled. The graph is derived from the stored records
 * alone, so that every controller arrives at the same graph and no step is lost when a controller
 * stops.
 *
 * <p>Used on the event loop's thread only. All traversals are iterative, since a chain of
 * dependencies may be too long for recursion.
 */
public final class DependencyGraph {

  /** The phases of a live job with dependencies. */
  public enum Phase {
    /** At least one dependency is not known to be done. */
    WAITING,
    /** All dependencies are done: tasks may start. */
    RELEASED,
    /** A dependency, direct or not, was cancelled: this job is to be cancelled too. */
    TO_CANCEL
  }

  /** Receives changes of phases and of inherited priorities. */
  public interface Listener {
    /** Called after a live job has moved to a phase. */
    void onPhaseChanged(Job job, Phase phase);

    /** Called after the priority or a deadline that a job inherits has changed. */
    void onInheritedPriorityChanged(String id);
  }

  /** Computes the latest of the deadlines that the settings derive from a job's own deadline. */
  @FunctionalInterface
  public interface LastDeadline {
    /** The latest deadline, seconds after the job's acceptance. */
    double seconds(JobSpec spec);
  }

  /** What this controller knows of jobs without reading the state service. */
  public interface KnownJobs {
    /** True if the job is live in the replica. */
    boolean isLive(String id);

    /** The job's final record if this controller has read or written it and still caches it. */
    Optional<FinalRecord> finalRecord(String id);
  }

  private final Listener listener;
  private final Map<String, DependencyNode> nodes = new LinkedHashMap<>();
  private final Map<String, Set<String>> dependants = new HashMap<>();
  private final Set<String> unresolved = new LinkedHashSet<>();
  private final Map<String, Job> toCancel = new LinkedHashMap<>();
  private final PriorityInheritance inheritance;

  /** Creates an empty graph. */
  public DependencyGraph(LastDeadline lastDeadline, Listener listener) {
    this.listener = listener;
    this.inheritance = new PriorityInheritance(lastDeadline, nodes, dependants, listener);
  }

  /**
   * Adds a job that has become live, and derives its phase from what is known of its dependencies.
   */
  public void add(Job job, KnownJobs knownJobs) {
    String id = job.spec().id();
    unresolved.remove(id);
    if (job.spec().dependencies().isEmpty()) {
      return;
    }
    DependencyNode node = new DependencyNode(job);
    nodes.put(id, node);
    for (String dependency : node.unmet()) {
      dependants.computeIfAbsent(dependency, key -> new ObjectLinkedOpenHashSet<>(1)).add(id);
    }
    for (String dependency : job.spec().dependencies()) {
      Optional<FinalRecord> finalRecord = knownJobs.finalRecord(dependency);
      if (finalRecord.isPresent()) {
        onFinalRecord(dependency, finalRecord.get());
      } else if (!knownJobs.isLive(dependency)) {
        unresolved.add(dependency);
      } else if (toCancel.containsKey(dependency)) {
        markToCancel(List.of(id));
      }
    }
    inheritance.include(node);
  }

  /**
   * Removes a job that is no longer live. Its dependants keep waiting until {@link #onFinalRecord}
   * tells whether it is done or cancelled.
   */
  public void remove(String id) {
    toCancel.remove(id);
    DependencyNode node = nodes.remove(id);
    if (node != null) {
      for (String dependency : node.unmet()) {
        Set<String> others = dependants.get(dependency);
        others.remove(id);
        if (others.isEmpty()) {
          dependants.remove(dependency);
          unresolved.remove(dependency);
        }
      }
      inheritance.recompute(node.unmet());
    }
    if (dependants.containsKey(id)) {
      unresolved.add(id);
    }
  }

  /** Releases or cancels the dependants of a job whose final record became known. */
  public void onFinalRecord(String id, FinalRecord finalRecord) {
    unresolved.remove(id);
    Set<String> waitingDependants = dependants.get(id);
    if (waitingDependants == null) {
      return;
    }
    if (finalRecord.state() != JobState.DONE) {
      markToCancel(waitingDependants);
      return;
    }
    dependants.remove(id);
    inheritance.remove(id);
    for (String dependant : waitingDependants) {
      DependencyNode node = nodes.get(dependant);
      node.markDone(id);
      // A record without a time holds 0: the job then counts as released when it was accepted.
      node.releasedAtMs = Math.max(node.releasedAtMs, finalRecord.endedWallMs());
      if (!node.hasUnmet() && node.phase == Phase.WAITING) {
        transitionTo(node, Phase.RELEASED);
      }
    }
  }

  /**
   * The dependencies that are known neither to be live nor to be final, so that their final records
   * have to be read.
   */
  public Collection<String> unresolvedDependencies() {
    return Collections.unmodifiableSet(unresolved);
  }

  /**
   * The unresolved ones among these jobs and all jobs that they depend on, directly or not, as far
   * as these are not done.
   */
  Set<String> unresolvedAmong(Collection<String> ids) {
    Set<String> found = new LinkedHashSet<>();
    if (unresolved.isEmpty()) {
      return found;
    }
    Set<String> visited = new HashSet<>(ids);
    Deque<String> pending = new ArrayDeque<>(ids);
    while (!pending.isEmpty()) {
      String id = pending.poll();
      if (unresolved.contains(id)) {
        found.add(id);
      }
      for (String dependency : unmetDependencies(id)) {
        if (visited.add(dependency)) {
          pending.add(dependency);
        }
      }
    }
    return found;
  }

  /**
   * The live jobs that are to be cancelled because of a dependency, in the order in which they were
   * marked: a job comes after the dependency that it was marked for.
   */
  public Collection<Job> jobsToCancel() {
    return Collections.unmodifiableCollection(toCancel.values());
  }

  /** True if a live job may be placed: all its dependencies are done, or it has none. */
  public boolean isReleased(Job job) {
    if (job.spec().dependencies().isEmpty()) {
      return true;
    }
    DependencyNode node = nodes.get(job.spec().id());
    return node != null && node.phase == Phase.RELEASED;
  }

  /** True if a live job is to be cancelled because a dependency, direct or not, was cancelled. */
  public boolean isToBeCancelled(String id) {
    return toCancel.containsKey(id);
  }

  /** The dependencies of a live job that are not known to be done. */
  public List<String> unmetDependencies(String id) {
    DependencyNode node = nodes.get(id);
    return node == null ? List.of() : node.unmet();
  }

  /**
   * The wall-clock time at which a released job became free to run, ms: the end of its last
   * dependency, or its own acceptance if that is later.
   */
  public long releasedAtMs(Job job) {
    DependencyNode node = nodes.get(job.spec().id());
    return node == null ? job.acceptedWallMs() : node.releasedAtMs;
  }

  /**
   * The priority and deadlines that a job inherits from its dependants, or null if no job waits for
   * it.
   */
  public InheritedPriority inheritedPriority(String id) {
    return inheritance.of(id);
  }

  /** Moves a waiting job to another phase. The phase changes nowhere else. */
  private void transitionTo(DependencyNode node, Phase next) {
    if (node.phase != Phase.WAITING || next == Phase.WAITING) {
      throw new IllegalStateException(
          "job " + node.id() + " can't move from phase " + node.phase + " to " + next);
    }
    node.phase = next;
    if (next == Phase.TO_CANCEL) {
      toCancel.put(node.id(), node.job);
    }
    listener.onPhaseChanged(node.job, next);
  }

  /** Marks these jobs, and all that depend on them, as to be cancelled if they still wait. */
  private void markToCancel(Collection<String> ids) {
    Deque<String> pending = new ArrayDeque<>(ids);
    Set<String> affectedDependencies = new LinkedHashSet<>();
    while (!pending.isEmpty()) {
      String id = pending.poll();
      DependencyNode node = nodes.get(id);
      if (node.phase != Phase.WAITING) {
        continue;
      }
      transitionTo(node, Phase.TO_CANCEL);
      affectedDependencies.addAll(node.unmet());
      pending.addAll(dependants.getOrDefault(id, Set.of()));
    }
    inheritance.recompute(affectedDependencies);
  }
}
