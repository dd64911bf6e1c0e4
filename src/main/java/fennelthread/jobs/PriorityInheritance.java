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
 * are propagated from dependants to dependencies without recursion, since chains may be long.
 */
final class PriorityInheritance {
  private final DependencyGraph.LastDeadline lastDeadline;
  private final Map<String, DependencyNode> nodes;
  private final Map<String, Set<String>> dependants;
  private final DependencyGraph.Listener listener;
  private final Map<String, InheritedPriority> inherited = new HashMap<>();

  /** Creates an empty computation over the graph's own maps of nodes and of dependants by id. */
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

  /** What a job inherits, or null if no job waits for it. */
  InheritedPriority of(String id) {
    return inherited.get(id);
  }

  /** Drops what a job inherits: nobody waits for it any more. */
  void remove(String id) {
    inherited.remove(id);
  }

  /** Computes anew what these jobs inherit, and then the jobs that they depend on. */
  void recompute(Collection<String> ids) {
    Deque<String> open = new ArrayDeque<>(ids);
    while (!open.isEmpty()) {
      String id = open.poll();
      InheritedPriority now = compute(id);
      InheritedPriority before = now == null ? inherited.remove(id) : inherited.put(id, now);
      if (now == null ? before == null : now.equals(before)) {
        continue;
      }
      listener.onInheritedPriorityChanged(id);
      DependencyNode node = nodes.get(id);
      if (node != null) {
        open.addAll(node.unmet);
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
      InheritedPriority further = inherited.get(dependantId);
      if (further != null) {
        priority = moreUrgent(priority, further.priority());
        if (further.dueMs() > 0) {
          dueMs = earlier(dueMs, further.dueMs() - expectedRunMs);
          lastDueMs = earlier(lastDueMs, further.lastDueMs() - expectedRunMs);
        }
      }
    }
    return priority == null ? null : new InheritedPriority(priority, dueMs, lastDueMs);
  }

  private static Priority moreUrgent(Priority a, Priority b) {
    return a == null || b.compareTo(a) < 0 ? b : a;
  }

  /** The earlier of two times of which the first may be 0, for none. */
  private static long earlier(long a, long b) {
    return a == 0 ? b : Math.min(a, b);
  }
}
