package fennelthread.jobs;

import fennelthread.state.StateClient;
import fennelthread.state.Unavailability;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Checks that every dependency of a submission was accepted. The submission is written after the
 * check, without a condition on its dependencies. That is safe: an accepted id stays accepted,
 * whatever becomes of its job. A dependency that neither the replica nor the cache of final records
 * holds is read from the state service, since the replica may lag behind.
 */
final class DependencyCheck {
  private final StateClient state;
  private final JobTable table;
  private final FinalRecords finalRecords;
  private final JobQueries queries;
  private final DependencyGraph graph;

  DependencyCheck(
      StateClient state,
      JobTable table,
      FinalRecords finalRecords,
      JobQueries queries,
      DependencyGraph graph) {
    this.state = state;
    this.table = table;
    this.finalRecords = finalRecords;
    this.queries = queries;
    this.graph = graph;
  }

  /** Checks a submission; {@code done} is called once, possibly before this returns. */
  void check(JobSpec spec, Consumer<DependencyCheckResult> done) {
    List<String> unknownDependencies = new ArrayList<>();
    boolean cancelled = false;
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
      cancelled |= isCancelled(dependency, finalRecord.orElse(null));
    }
    Optional<Unavailability> unavailability =
        unknownDependencies.isEmpty() ? Optional.empty() : state.unavailability(0);
    if (unavailability.isPresent()) {
      done.accept(new DependencyCheckResult.Unavailable(unavailability.get()));
    } else {
      readRemaining(unknownDependencies, 0, cancelled, done);
    }
  }

  private boolean isCancelled(String id, LookupResult found) {
    return graph.isToBeCancelled(id)
        || (found instanceof FinalRecord record && record.state() == JobState.CANCELLED);
  }

  /**
   * Reads the dependencies from an index on, one at a time, until one of them decides the result.
   */
  private void readRemaining(
      List<String> dependencies,
      int index,
      boolean cancelled,
      Consumer<DependencyCheckResult> done) {
    if (index == dependencies.size()) {
      done.accept(new DependencyCheckResult.Valid(cancelled));
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
            boolean cancelledSoFar = cancelled || isCancelled(dependency, found);
            readRemaining(dependencies, index + 1, cancelledSoFar, done);
          }
        });
  }

  private static DependencyCheckResult invalidService(String dependency) {
    return new DependencyCheckResult.Invalid("names the service " + dependency);
  }
}
