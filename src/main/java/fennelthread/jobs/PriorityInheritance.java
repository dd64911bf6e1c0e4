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

  private InheritedPriority compute(String id) {
    Priority priority = null;
    long dueMs = 0;
    long lastDueMs = 0;
    for (String dependantId : dependants.getOrDefault(id, Set.of())) {
      DependencyNode dependant = nodes.get(dependantId);
      if (dependant.phase != DependencyGraph.Phase.WAITING) {
        continue;
      }
      JobSpec spec = dependant.job.spec();
      priority = moreUrgent(priority, spec.priority());
      long expectedRunMs = (long) (spec.estimateS() * 1000);
      if (spec.deadlineS() > 0) {
        long acceptedMs = dependant.job.acceptedWallMs();
        long lastDeadlineMs = (long) (lastDeadline.seconds(spec) * 1000);
        dueMs = earlier(dueMs, acceptedMs + (long) (spec.deadlineS() * 1000) - expectedRunMs);
        lastDueMs = earlier(lastDueMs, acceptedMs + lastDeadlineMs - expectedRunMs);
      }
      InheritedPriority inheritedByDependant = inherited.get(dependantId);
      if (inheritedByDependant != null) {
        priority = moreUrgent(priority, inheritedByDependant.priority());
        if (inheritedByDependant.dueMs() > 0) {
          dueMs = earlier(dueMs, inheritedByDependant.dueMs() - expectedRunMs);
          lastDueMs = earlier(lastDueMs, inheritedByDependant.lastDueMs() - expectedRunMs);
        }
      }
    }
    return priority == null ? null : new InheritedPriority(priority, dueMs, lastDueMs);
  }

  /** The more urgent of two priorities of which the first may be null. */
  private static Priority moreUrgent(Priority current, Priority candidate) {
    return current == null || candidate.compareTo(current) < 0 ? candidate : current;
  }

  /** The earlier of two times of which the first may be 0 for none, ms. */
  private static long earlier(long currentMs, long candidateMs) {
    return currentMs == 0 ? candidateMs : Math.min(currentMs, candidateMs);
  }
}
