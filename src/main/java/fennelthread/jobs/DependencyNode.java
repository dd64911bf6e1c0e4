package fennelthread.jobs;

import java.util.LinkedHashSet;
import java.util.Set;

/** A live job with dependencies in the {@link DependencyGraph}. */
final class DependencyNode {
  final Job job;

  /** The dependencies that are not proven to be done. */
  final Set<String> unmet;

  /** Changed by {@link DependencyGraph} alone, in its {@code transitionTo}. */
  DependencyGraph.Phase phase = DependencyGraph.Phase.WAITING;

  /** The time of day when the latest of the dependencies was done, ms. */
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
