package fennelthread.jobs;

import fennelthread.constants.JobConstants;
import fennelthread.net.EventLoop;
import fennelthread.state.Unavailability;
import java.util.List;
import java.util.function.Consumer;

/**
 * Looks up jobs together with what follows from their dependencies. That a job's own record is
 * unchanged does not show that it may still run: a job that it depends on may have been cancelled,
 * which a replica that lags behind does not hold. Such a job is cancelled before the answer, so
 * that the answer does not depend on whether there is a leader.
 */
final class DependentJobLookup {
  private final EventLoop eventLoop;
  private final JobTable table;
  private final JobQueries queries;
  private final DependencyGraph graph;
  private final DependencyResolver resolver;
  private final JobCanceller canceller;

  DependentJobLookup(
      EventLoop eventLoop,
      JobTable table,
      JobQueries queries,
      DependencyGraph graph,
      DependencyResolver resolver,
      JobCanceller canceller) {
    this.eventLoop = eventLoop;
    this.table = table;
    this.queries = queries;
    this.graph = graph;
    this.resolver = resolver;
    this.canceller = canceller;
  }

  /** Looks up a job's current state; {@code done} is called once, possibly before this returns. */
  void lookup(String id, Consumer<LookupResult> done) {
    lookup(id, JobConstants.MAX_LOOKUPS, done);
  }

  private void lookup(String id, int attemptsLeft, Consumer<LookupResult> done) {
    queries.lookup(
        id,
        found -> {
          if (found instanceof LookupResult.Live live && live.job().hasDependencies()) {
            resolveDependencies(live, attemptsLeft, done);
          } else {
            done.accept(found);
          }
        });
  }

  private void resolveDependencies(
      LookupResult.Live live, int attemptsLeft, Consumer<LookupResult> done) {
    String id = live.job().spec().id();
    if (graph.isReleased(live.job())) {
      done.accept(live);
    } else if (graph.isToBeCancelled(id)) {
      canceller.cancel(id, done);
    } else {
      resolver.resolve(
          List.of(id),
          requiredCurrencyMs(id),
          isResolved -> onResolved(live, isResolved, attemptsLeft, done));
    }
  }

  private void onResolved(
      LookupResult.Live live, boolean isResolved, int attemptsLeft, Consumer<LookupResult> done) {
    String id = live.job().spec().id();
    if (!isResolved) {
      done.accept(new LookupResult.Unavailable(Unavailability.UNANSWERED));
    } else if (graph.isToBeCancelled(id)) {
      canceller.cancel(id, done);
    } else if (table.get(id) != null) {
      done.accept(live);
    } else if (attemptsLeft > 1) {
      // The job has become final since its live record was read.
      lookup(id, attemptsLeft - 1, done);
    } else {
      done.accept(new LookupResult.Unavailable(Unavailability.CONTENDED));
    }
  }

  /**
   * The time as of which the replica must be current to answer for a job, ms: a job that it does
   * not hold has just been read from the state service, and the graph knows its dependencies only
   * once the replica holds it too.
   */
  private long requiredCurrencyMs(String id) {
    long nowMs = eventLoop.nowMs();
    return table.get(id) == null ? nowMs : nowMs - JobConstants.MAX_DEPENDENCY_AGE_MS;
  }
}
