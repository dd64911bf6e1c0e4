package fennelthread.jobs;

import java.util.LinkedHashSet;
import java.util.Set;

/** A live job with dependencies in the {@link DependencyGraph}. */
final class DependencyNode {
  final Job job;

  /** The ids of the dependencies that are not known to be done. */
  final Set<String> unmet;

  /** Changed by {@link DependencyGraph} alone, in its {@code transitionTo}. */
  DependencyGraph.Phase phase = DependencyGraph.Phase.WAITING;

  /**
   * The wall-clock time when the last of the dependencies known to be done had ended, or of the
   * job's own acceptance if that is later, ms.
   */
  long releasedAtMs;

  DependencyNode(Job job) {
    this.job = job;
    this.unmet = new LinkedHashSet<>(job.spec().dependencies());
    this.releasedAtMs = job.acceptedWallMs();
  }

  String id() {
    return job.spec().id();
  }
}
