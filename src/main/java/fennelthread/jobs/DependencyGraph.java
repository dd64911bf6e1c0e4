package fennelthread.jobs;

import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
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
 * <p>A dependency is met by a final record that says done and by nothing else; that a job is no
 * longer live proves nothing, for it may have been cancelled. All of the graph follows from the
 * records, so that every controller has the same one and no step is lost when a controller ends.
 *
 * <p>Used on the event loop's thread alone. Nothing here recurses, since chains may be long.
 */
public final class DependencyGraph {

  /** The phases of a live job with dependencies. */
  public enum Phase {
    /** Some dependency is not proven to be done. */
    WAITING,
    /** All dependencies are done: tasks may start. */
    RELEASED,
    /** A dependency, direct or not, was cancelled: this job is to be cancelled too. */
    TO_CANCEL
  }

  /** Receives every change that follows from the graph. */
  public interface Listener {
    /** A live job has moved to a phase. */
    void onPhaseChanged(Job job, Phase phase);

    /** What a job inherits from its dependants has changed. */
    void onInheritedPriorityChanged(String id);
  }

  /** The last of the deadlines that the settings derive from a job's own. */
  @FunctionalInterface
  public interface LastDeadline {
    /** Seconds from the job's acceptance. */
    double seconds(JobSpec spec);
  }

  /** What is known of a job's state without a read of the state service. */
  public interface KnownJobs {
    /** True if the job is live in the replica. */
    boolean isLive(String id);

    /** The job's final record if it was read or written here already. */
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

  /** Adds a job that became live. */
  public void add(Job job, KnownJobs knownJobs) {
    String id = job.spec().id();
    unresolved.remove(id);
    if (job.spec().dependencies().isEmpty()) {
      return;
    }
    DependencyNode node = new DependencyNode(job);
    nodes.put(id, node);
    for (String dependency : node.unmet) {
      dependants.computeIfAbsent(dependency, key -> new LinkedHashSet<>()).add(id);
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
    inheritance.recompute(node.unmet);
  }

  /** Removes a job that is no longer live: {@link #onFinalRecord} says whether it is done. */
  public void remove(String id) {
    toCancel.remove(id);
    DependencyNode node = nodes.remove(id);
    if (node != null) {
      for (String dependency : node.unmet) {
        Set<String> others = dependants.get(dependency);
        others.remove(id);
        if (others.isEmpty()) {
          dependants.remove(dependency);
          unresolved.remove(dependency);
        }
      }
      inheritance.recompute(node.unmet);
    }
    if (dependants.containsKey(id)) {
      unresolved.add(id);
    }
  }

  /** Releases or cancels the dependants of a job whose final record became known. */
  public void onFinalRecord(String id, FinalRecord finalRecord) {
    unresolved.remove(id);
    Set<String> waiting = dependants.get(id);
    if (waiting == null) {
      return;
    }
    if (finalRecord.state() != JobState.DONE) {
      markToCancel(waiting);
      return;
    }
    dependants.remove(id);
    inheritance.remove(id);
    for (String dependant : waiting) {
      DependencyNode node = nodes.get(dependant);
      node.unmet.remove(id);
      // Where the record does not say when, the job counts as released when it was accepted.
      node.releasedAtMs = Math.max(node.releasedAtMs, finalRecord.endedWallMs());
      if (node.unmet.isEmpty() && node.phase == Phase.WAITING) {
        transitionTo(node, Phase.RELEASED);
      }
    }
  }

  /** The dependencies that are neither known to be live nor known to be final: to be read. */
  public Collection<String> unresolvedDependencies() {
    return Collections.unmodifiableSet(unresolved);
  }

  /** The live jobs that are to be cancelled, each after its dependencies. */
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

  /** True if a live job is to be cancelled with one of its dependencies. */
  public boolean isToBeCancelled(String id) {
    return toCancel.containsKey(id);
  }

  /** The dependencies of a live job that are not proven to be done. */
  public List<String> unmetDependencies(String id) {
    DependencyNode node = nodes.get(id);
    return node == null ? List.of() : List.copyOf(node.unmet);
  }

  /** The time of day from which a released job no longer waited for others, ms. */
  public long releasedAtMs(Job job) {
    DependencyNode node = nodes.get(job.spec().id());
    return node == null ? job.acceptedWallMs() : node.releasedAtMs;
  }

  /** What a job inherits from its dependants, or null if no job waits for it. */
  public InheritedPriority inheritedPriority(String id) {
    return inheritance.of(id);
  }

  /** Moves a job to another phase: the one place where it changes. */
  private void transitionTo(DependencyNode node, Phase next) {
    if (node.phase != Phase.WAITING || next == Phase.WAITING) {
      throw new IllegalStateException(node.id() + ": " + node.phase + " -> " + next);
    }
    node.phase = next;
    if (next == Phase.TO_CANCEL) {
      toCancel.put(node.id(), node.job);
    }
    listener.onPhaseChanged(node.job, next);
  }

  /** Marks waiting jobs, and all that depend on them, as to be cancelled. */
  private void markToCancel(Collection<String> ids) {
    Deque<String> open = new ArrayDeque<>(ids);
    Set<String> lessUrgent = new LinkedHashSet<>();
    while (!open.isEmpty()) {
      String id = open.poll();
      DependencyNode node = nodes.get(id);
      if (node.phase != Phase.WAITING) {
        continue;
      }
      transitionTo(node, Phase.TO_CANCEL);
      lessUrgent.addAll(node.unmet);
      open.addAll(dependants.getOrDefault(id, Set.of()));
    }
    inheritance.recompute(lessUrgent);
  }
}
