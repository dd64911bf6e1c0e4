package fennelthread.jobs;

import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import fennelthread.wire.Priority;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Which live jobs wait for which others, and what follows from that. It holds no assumption: a need
 * is met by the final record that says done and by nothing else; that a job is no longer live
 * proves nothing, for it may have been cancelled. All of it follows from the records, so that every
 * controller has the same graph and no step is lost when one ends.
 *
 * <p>Nothing here recurses, since chains may be long.
 */
public final class DependencyGraph {

  /** Where a job with needs stands. */
  public enum Phase {
    /** Some need is not proven to be done. */
    WAITING,
    /** All needs are done: tasks may start. */
    RELEASED,
    /** A need, or a need of a need, was cancelled: this job is to be cancelled too. */
    TO_CANCEL
  }

  /** Told of every change. */
  public interface Listener {
    /** A job has moved to this phase. */
    void onPhaseChanged(Job job, Phase to);

    /** What a job has from those that need it has changed. */
    void onInheritedPriorityChanged(String id);
  }

  private static final class Node {
    final Job job;
    final Set<String> unmet;
    Phase phase = Phase.WAITING;
    long releasedMs;

    Node(Job job) {
      this.job = job;
      this.unmet = new LinkedHashSet<>(job.spec().dependencies());
      this.releasedMs = job.acceptedWallMs();
    }
  }

  private final ToDoubleFunction<JobSpec> lastDeadlineS;
  private final Listener listener;
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Map<String, Set<String>> neededBy = new HashMap<>();
  private final Set<String> unknown = new LinkedHashSet<>();
  private final Map<String, Job> doomed = new LinkedHashMap<>();
  private final Map<String, InheritedPriority> loans = new HashMap<>();

  /** Creates an empty graph; {@code lastDeadlineS} is the last time set for a job, s. */
  public DependencyGraph(ToDoubleFunction<JobSpec> lastDeadlineS, Listener listener) {
    this.lastDeadlineS = lastDeadlineS;
    this.listener = listener;
  }

  /**
   * A job is live. {@code live} tells whether a job is known to be live, {@code known} gives a
   * final record that was read or written already, or null.
   */
  public void add(Job job, Predicate<String> live, Function<String, FinalRecord> known) {
    String id = job.spec().id();
    unknown.remove(id);
    if (job.spec().dependencies().isEmpty()) {
      return;
    }
    Node node = new Node(job);
    nodes.put(id, node);
    for (String dependency : node.unmet) {
      neededBy.computeIfAbsent(dependency, k -> new LinkedHashSet<>()).add(id);
    }
    for (String dependency : job.spec().dependencies()) {
      FinalRecord end = known.apply(dependency);
      if (end != null) {
        learn(dependency, end);
      } else if (!live.test(dependency)) {
        unknown.add(dependency);
      } else if (doomed.containsKey(dependency)) {
        doom(List.of(id));
      }
    }
    relend(node.unmet);
  }

  /** A job is no longer live: done or cancelled, which {@link #learn} says. */
  public void remove(String id) {
    doomed.remove(id);
    Node node = nodes.remove(id);
    if (node != null) {
      for (String dependency : node.unmet) {
        Set<String> others = neededBy.get(dependency);
        others.remove(id);
        if (others.isEmpty()) {
          neededBy.remove(dependency);
          unknown.remove(dependency);
        }
      }
      relend(node.unmet);
    }
    if (neededBy.containsKey(id)) {
      unknown.add(id);
    }
  }

  /** A job's final record is known. */
  public void learn(String id, FinalRecord end) {
    unknown.remove(id);
    Set<String> dependants = neededBy.get(id);
    if (dependants == null) {
      return;
    }
    if (end.state() != JobState.DONE) {
      doom(dependants);
      return;
    }
    neededBy.remove(id);
    loans.remove(id);
    for (String dependant : dependants) {
      Node node = nodes.get(dependant);
      node.unmet.remove(id);
      // Where the record does not say when, the job counts as released when it was accepted.
      node.releasedMs = Math.max(node.releasedMs, end.endedWallMs());
      if (node.unmet.isEmpty() && node.phase == Phase.WAITING) {
        moveTo(node, Phase.RELEASED);
      }
    }
  }

  /** The needed jobs that are neither known to be live nor known to be final: to be read. */
  public Collection<String> unknown() {
    return Collections.unmodifiableSet(unknown);
  }

  /** The live jobs that are to be cancelled, those that are needed before those that need them. */
  public Collection<Job> doomed() {
    return Collections.unmodifiableCollection(doomed.values());
  }

  /** The one question asked before placement: true if a live job need not wait for others. */
  public boolean isReleased(Job job) {
    if (job.spec().dependencies().isEmpty()) {
      return true;
    }
    Node node = nodes.get(job.spec().id());
    return node != null && node.phase == Phase.RELEASED;
  }

  /** True if a live job is to be cancelled with one that it needs. */
  public boolean isDoomed(String id) {
    return doomed.containsKey(id);
  }

  /** The needs of a live job that are not proven to be done. */
  public List<String> unmetDependencies(String id) {
    Node node = nodes.get(id);
    return node == null ? List.of() : List.copyOf(node.unmet);
  }

  /** The time of day from which a released job no longer waited for others. */
  public long releasedAtMs(Job job) {
    Node node = nodes.get(job.spec().id());
    return node == null ? job.acceptedWallMs() : node.releasedMs;
  }

  /** What a job has from those that need it, or null. */
  public InheritedPriority inheritedPriority(String id) {
    return loans.get(id);
  }

  /** The one place where a phase changes. */
  private void moveTo(Node node, Phase next) {
    if (node.phase != Phase.WAITING || next == Phase.WAITING) {
      throw new IllegalStateException(node.job.spec().id() + ": " + node.phase + " -> " + next);
    }
    node.phase = next;
    if (next == Phase.TO_CANCEL) {
      doomed.put(node.job.spec().id(), node.job);
    }
    listener.onPhaseChanged(node.job, next);
  }

  private void doom(Collection<String> ids) {
    Deque<String> open = new ArrayDeque<>(ids);
    Set<String> lessNeeded = new LinkedHashSet<>();
    while (!open.isEmpty()) {
      String id = open.poll();
      Node node = nodes.get(id);
      if (node.phase != Phase.WAITING) {
        continue;
      }
      moveTo(node, Phase.TO_CANCEL);
      lessNeeded.addAll(node.unmet);
      open.addAll(neededBy.getOrDefault(id, Set.of()));
    }
    relend(lessNeeded);
  }

  /** Reckons anew what these jobs, and then those that they need, have from others. */
  private void relend(Collection<String> ids) {
    Deque<String> open = new ArrayDeque<>(ids);
    while (!open.isEmpty()) {
      String id = open.poll();
      InheritedPriority loan = reckon(id);
      InheritedPriority before = loan == null ? loans.remove(id) : loans.put(id, loan);
      if (loan == null ? before == null : loan.equals(before)) {
        continue;
      }
      listener.onInheritedPriorityChanged(id);
      Node node = nodes.get(id);
      if (node != null) {
        open.addAll(node.unmet);
      }
    }
  }

  private InheritedPriority reckon(String id) {
    Priority priority = null;
    long due = 0;
    long lastDue = 0;
    for (String dependant : neededBy.getOrDefault(id, Set.of())) {
      Node node = nodes.get(dependant);
      if (node.phase != Phase.WAITING) {
        continue;
      }
      JobSpec spec = node.job.spec();
      InheritedPriority theirs = loans.get(dependant);
      priority = moreUrgent(priority, spec.priority());
      long takes = (long) (spec.estimateS() * 1000);
      if (spec.deadlineS() > 0) {
        long accepted = node.job.acceptedWallMs();
        due = sooner(due, accepted + (long) (spec.deadlineS() * 1000) - takes);
        lastDue =
            sooner(lastDue, accepted + (long) (lastDeadlineS.applyAsDouble(spec) * 1000) - takes);
      }
      if (theirs != null) {
        priority = moreUrgent(priority, theirs.priority());
        if (theirs.dueMs() > 0) {
          due = sooner(due, theirs.dueMs() - takes);
          lastDue = sooner(lastDue, theirs.lastDueMs() - takes);
        }
      }
    }
    return priority == null ? null : new InheritedPriority(priority, due, lastDue);
  }

  private static Priority moreUrgent(Priority a, Priority b) {
    return a == null || b.compareTo(a) < 0 ? b : a;
  }

  private static long sooner(long a, long b) {
    return a == 0 ? b : Math.min(a, b);
  }
}
