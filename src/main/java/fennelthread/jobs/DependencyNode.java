package fennelthread.jobs;

import it.unimi.dsi.fastutil.objects.ObjectOpenHashSet;
import java.util.List;
import java.util.Set;

/** A live job with dependencies in the {@link DependencyGraph}. */
final class DependencyNode {
  final Job job;

  /** The ids of the dependencies that are not known to be done, in no order. */
  private final Set<String> unmet;

  /** Changed by {@link DependencyGraph} alone, in its {@code transitionTo}. */
  DependencyGraph.Phase phase = DependencyGraph.Phase.WAITING;

  /**
   * The wall-clock time when the last of the dependencies known to be done had ended, or of the
   * job's own acceptance if that is later, ms.
   */
  long releasedAtMs;

  DependencyNode(Job job) {
    this.job = job;
    this.unmet = new ObjectOpenHashSet<>(job.spec().dependencies());
    this.releasedAtMs = job.acceptedWallMs();
  }

  String id() {
    return job.spec().id();
  }

  /** The ids of the dependencies that are not known to be done, in the order of the submission. */
  List<String> unmet() {
    return job.spec().dependencies().stream().filter(unmet::contains).toList();
  }

  boolean hasUnmet() {
    return !unmet.isEmpty();
  }

  /** Records that a dependency is done. */
  void markDone(String dependency) {
    unmet.remove(dependency);
  }
}
