package fennelthread.jobs;

import fennelthread.state.StateClient;
import fennelthread.state.Unavailability;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Checks that every job that a submission needs was accepted. What is checked here is written
 * later, and may be: an id once accepted stays accepted, whatever becomes of its job. A job that is
 * missing in the copy of the state proves nothing, since that may be behind; then the state service
 * is asked.
 */
public final class DependencyCheck {
  private final StateClient state;
  private final JobTable table;
  private final FinalRecords finals;
  private final JobQueries queries;
  private final DependencyTracker waits;

  DependencyCheck(
      StateClient state,
      JobTable table,
      FinalRecords finals,
      JobQueries queries,
      DependencyTracker waits) {
    this.state = state;
    this.table = table;
    this.finals = finals;
    this.queries = queries;
    this.waits = waits;
  }

  /** Checks the needs of a submission. */
  void check(JobSpec spec, Consumer<DependencyCheckResult> done) {
    List<String> toRead = new ArrayList<>();
    boolean cancelled = false;
    for (String dependency : spec.dependencies()) {
      Job job = table.get(dependency);
      if (job != null && job.spec().service()) {
        done.accept(new DependencyCheckResult.Invalid("names the service " + dependency));
        return;
      }
      FinalRecord end = finals.known(dependency);
      if (job == null && end == null) {
        toRead.add(dependency);
      }
      cancelled |= isCancelled(dependency, end);
    }
    Unavailability why = toRead.isEmpty() ? null : state.whyNotSoon(0);
    if (why != null) {
      done.accept(new DependencyCheckResult.Unavailable(why));
    } else {
      read(toRead, 0, cancelled, done);
    }
  }

  private boolean isCancelled(String id, LookupResult found) {
    return waits.graph().isDoomed(id)
        || (found instanceof FinalRecord end && end.state() == JobState.CANCELLED);
  }

  private void read(
      List<String> dependencies, int at, boolean cancelled, Consumer<DependencyCheckResult> done) {
    if (at == dependencies.size()) {
      done.accept(new DependencyCheckResult.Valid(cancelled));
      return;
    }
    String dependency = dependencies.get(at);
    queries.read(
        dependency,
        found -> {
          if (found instanceof LookupResult.Unavailable unavailable) {
            done.accept(new DependencyCheckResult.Unavailable(unavailable.why()));
          } else if (found instanceof LookupResult.Unknown) {
            done.accept(
                new DependencyCheckResult.Invalid(
                    "names " + dependency + ", which was never accepted"));
          } else if (found instanceof LookupResult.Live live && live.job().spec().service()) {
            done.accept(new DependencyCheckResult.Invalid("names the service " + dependency));
          } else {
            read(dependencies, at + 1, cancelled || isCancelled(dependency, found), done);
          }
        });
  }
}
