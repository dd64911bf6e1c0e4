package fennelthread.jobs;

import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Computes which priority and deadline each job inherits from the jobs that wait for it. Changes
 * propagate from dependants to dependencies without recursion, since a chain may be too long for
 * the stack.
 */
final class PriorityInheritance {
  private final DependencyGraph.LastDeadline lastDeadline;
  private final Map<String, DependencyNode> nodes;
  private final Map<String, Set<String>> dependants;
  private final DependencyGraph.Listener listener;
  private final Map<String, InheritedPriority> inherited = new HashMap<>();

  /** Creates an instance that reads the graph's own maps of nodes and of dependants by id. */
  PriorityInheritance(
      DependencyGraph.LastDeadline lastDeadline,
      Map<String, DependencyNode> nodes,
      Map<String, Set<String>> dependants,
      DependencyGraph.Listener listener) {
    this.lastDeadline = lastDeadline;
    this.nodes = nodes;
    this.dependants = dependants;
    this.listener = listener;
  }

  /** The priority and deadlines that a job inherits, or null if no job waits for it. */
  InheritedPriority of(String id) {
    return inherited.get(id);
  }

  /** Removes what a job inherits, once no job waits for it any more. */
  void remove(String id) {
    inherited.remove(id);
  }

  /**
   * Recomputes what these jobs inherit, and wherever that changes, what their unmet dependencies
   * inherit.
   */
  void recompute(Collection<String> ids) {
    Deque<String> pending = new ArrayDeque<>(ids);
    while (!pending.isEmpty()) {
      String id = pending.poll();
      InheritedPriority updated = compute(id);
      InheritedPriority previous =
          updated == null ? inherited.remove(id) : inherited.put(id, updated);
      if (updated == null ? previous == null : updated.equals(previous)) {
        continue;
      }
      listener.onInheritedPriorityChanged(id);
      DependencyNode node = nodes.get(id);
      if (node != null) {
        pending.addAll(node.unmet());
      }
    }
  }

  /**
   * Adds what a job that has become live passes on to its unmet dependencies, and wherever that
   * changes what they inherit, to theirs. Takes time by the dependencies alone: one more dependant
   * can only make a job more urgent, so the others need not be looked at.
   */
  void include(DependencyNode added) {
    Deque<DependencyNode> pending = new ArrayDeque<>();
    pending.add(added);
    while (!pending.isEmpty()) {
      DependencyNode dependant = pending.poll();
      InheritedPriority passedOn = passedOnBy(dependant);
      if (passedOn == null) {
        continue;
      }
      for (String id : dependant.unmet()) {
        InheritedPriority previous = inherited.get(id);
        InheritedPriority updated = moreUrgent(previous, passedOn);
        if (updated.equals(previous)) {
          continue;
        }
        inherited.put(id, updated);
        listener.onInheritedPriorityChanged(id);
        DependencyNode node = nodes.get(id);
        if (node != null) {
          pending.add(node);
        }
      }
    }
  }

  private InheritedPriority compute(String id) {
    InheritedPriority result = null;
    for (String dependantId : dependants.getOrDefault(id, Set.of())) {
      InheritedPriority passedOn = passedOnBy(nodes.get(dependantId));
      if (passedOn != null) {
        result = moreUrgent(result, passedOn);
      }
    }
    return result;
  }

  /** What a job's dependencies inherit from it; null if it does not wait for them. */
  private InheritedPriority passedOnBy(DependencyNode dependant) {
    if (dependant.phase != DependencyGraph.Phase.WAITING) {
      return null;
    }
    JobSpec spec = dependant.job.spec();
    Priority priority = spec.priority();
    long expectedRunMs = (long) (spec.estimateS() * 1000);
    long dueMs = 0;
    long lastDueMs = 0;
    if (spec.deadlineS() > 0) {
      long acceptedMs = dependant.job.acceptedWallMs();
      long lastDeadlineMs = (long) (lastDeadline.seconds(spec) * 1000);
      dueMs = acceptedMs + (long) (spec.deadlineS() * 1000) - expectedRunMs;
      lastDueMs = acceptedMs + lastDeadlineMs - expectedRunMs;
    }
    InheritedPriority ofDependant = inherited.get(dependant.id());
    if (ofDependant != null) {
      priority = moreUrgent(priority, ofDependant.priority());
      if (ofDependant.dueMs() > 0) {
        dueMs = earlier(dueMs, ofDependant.dueMs() - expectedRunMs);
        lastDueMs = earlier(lastDueMs, ofDependant.lastDueMs() - expectedRunMs);
      }
    }
    return new InheritedPriority(priority, dueMs, lastDueMs);
  }

  /** The more urgent of each value of two of which the first may be null. */
  private static InheritedPriority moreUrgent(
      InheritedPriority current, InheritedPriority candidate) {
    if (current == null) {
      return candidate;
    }
    return new InheritedPriority(
        moreUrgent(current.priority(), candidate.priority()),
        earlier(current.dueMs(), candidate.dueMs()),
        earlier(current.lastDueMs(), candidate.lastDueMs()));
  }

  /** The more urgent of two priorities. */
  private static Priority moreUrgent(Priority current, Priority candidate) {
    return candidate.compareTo(current) < 0 ? candidate : current;
  }

  /** The earlier of two times of which each may be 0 for none, ms. */
  private static long earlier(long currentMs, long candidateMs) {
    if (currentMs == 0) {
      return candidateMs;
    }
    return candidateMs == 0 ? currentMs : Math.min(currentMs, candidateMs);
  }
}
