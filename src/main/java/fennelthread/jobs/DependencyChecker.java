package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.net.EventLoop;
import fennelthread.state.StateClient;
import fennelthread.state.Unavailability;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Checks that every dependency of a submission was accepted, and whether one was cancelled. The
 * submission is written after the check, without a condition on its dependencies. That is safe,
 * since an accepted id stays accepted even after its job is done or cancelled, and a dependency
 * that is cancelled later cancels the job. A dependency that neither the replica nor the cache of
 * final records holds is read from the state service, since the replica may lag behind.
 */
final class DependencyChecker {
  private final EventLoop eventLoop;
  private final StateClient state;
  private final JobTable table;
  private final FinalRecords finalRecords;
  private final JobQueries queries;
  private final DependencyGraph graph;
  private final DependencyResolver resolver;

  DependencyChecker(
      EventLoop eventLoop,
      StateClient state,
      JobTable table,
      FinalRecords finalRecords,
      JobQueries queries,
      DependencyTracker tracker) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.table = table;
    this.finalRecords = finalRecords;
    this.queries = queries;
    this.graph = tracker.graph();
    this.resolver = tracker.resolver();
  }

  /** Checks a submission; {@code done} is called once, possibly before this returns. */
  void check(JobSpec spec, Consumer<DependencyCheckResult> done) {
    resolver.resolve(
        spec.dependencies(),
        eventLoop.nowMs() - JobConstants.MAX_DEPENDENCY_AGE_MS,
        isResolved -> {
          if (isResolved) {
            checkResolved(spec, done);
          } else {
            done.accept(new DependencyCheckResult.Unavailable(Unavailability.UNANSWERED));
          }
        });
  }

  private void checkResolved(JobSpec spec, Consumer<DependencyCheckResult> done) {
    List<String> unknownDependencies = new ArrayList<>();
    boolean hasCancelledDependency = false;
    for (String dependency : spec.dependencies()) {
      Job job = table.get(dependency);
      if (job != null && job.spec().service()) {
        done.accept(invalidService(dependency));
        return;
      }
      Optional<FinalRecord> finalRecord = finalRecords.cached(dependency);
      if (job == null && finalRecord.isEmpty()) {
        unknownDependencies.add(dependency);
      }
      hasCancelledDependency |= isOrWillBeCancelled(dependency, finalRecord.orElse(null));
    }
    Optional<Unavailability> unavailability =
        unknownDependencies.isEmpty() ? Optional.empty() : state.unavailability(0);
    if (unavailability.isPresent()) {
      done.accept(new DependencyCheckResult.Unavailable(unavailability.get()));
    } else {
      readRemaining(unknownDependencies, 0, hasCancelledDependency, done);
    }
  }

  private boolean isOrWillBeCancelled(String id, LookupResult found) {
    return graph.isToBeCancelled(id)
        || (found instanceof FinalRecord record && record.state() == JobState.CANCELLED);
  }

  /**
   * Reads the dependencies from position {@code index} on, one after the other. Stops at the first
   * that makes the submission invalid or can't be read.
   */
  private void readRemaining(
      List<String> dependencies,
      int index,
      boolean hasCancelledDependency,
      Consumer<DependencyCheckResult> done) {
    if (index == dependencies.size()) {
      done.accept(new DependencyCheckResult.Valid(hasCancelledDependency));
      return;
    }
    String dependency = dependencies.get(index);
    queries.read(
        dependency,
        found -> {
          if (found instanceof LookupResult.Unavailable unavailable) {
            done.accept(new DependencyCheckResult.Unavailable(unavailable.reason()));
          } else if (found instanceof LookupResult.Unknown) {
            done.accept(
                new DependencyCheckResult.Invalid(
                    "names " + dependency + ", which was never accepted"));
          } else if (found instanceof LookupResult.Live live && live.job().spec().service()) {
            done.accept(invalidService(dependency));
          } else {
            boolean hasCancelledSoFar =
                hasCancelledDependency || isOrWillBeCancelled(dependency, found);
            readRemaining(dependencies, index + 1, hasCancelledSoFar, done);
          }
        });
  }

  private static DependencyCheckResult invalidService(String dependency) {
    return new DependencyCheckResult.Invalid("names the service " + dependency);
  }
}
