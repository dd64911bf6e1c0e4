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
  /** What is known of the jobs that a submission names. */
  public sealed interface Needs {
    /** All were accepted, and none is a service; {@code cancelled} if one of them is. */
    record Good(boolean cancelled) implements Needs {}

    /** One was never accepted, or is a service. */
    record Bad(String why) implements Needs {}

    /** The state service can't be asked now. */
    record Unavailable(Unavailability why) implements Needs {}
  }

  private final StateClient state;
  private final JobTable table;
  private final FinalStates finals;
  private final JobQueries queries;
  private final DependencyTracker waits;

  DependencyCheck(
      StateClient state,
      JobTable table,
      FinalStates finals,
      JobQueries queries,
      DependencyTracker waits) {
    this.state = state;
    this.table = table;
    this.finals = finals;
    this.queries = queries;
    this.waits = waits;
  }

  /** Checks the needs of a submission. */
  void check(JobSpec spec, Consumer<Needs> done) {
    List<String> toRead = new ArrayList<>();
    boolean cancelled = false;
    for (String need : spec.needs()) {
      Job job = table.get(need);
      if (job != null && job.spec().service()) {
        done.accept(new Needs.Bad("names the service " + need));
        return;
      }
      Lookup.Final end = finals.known(need);
      if (job == null && end == null) {
        toRead.add(need);
      }
      cancelled |= isCancelled(need, end);
    }
    Unavailability why = toRead.isEmpty() ? null : state.whyNotSoon(0);
    if (why != null) {
      done.accept(new Needs.Unavailable(why));
    } else {
      read(toRead, 0, cancelled, done);
    }
  }

  private boolean isCancelled(String id, Lookup found) {
    return waits.graph().isDoomed(id)
        || (found instanceof Lookup.Final end && end.state() == JobState.CANCELLED);
  }

  private void read(List<String> needs, int at, boolean cancelled, Consumer<Needs> done) {
    if (at == needs.size()) {
      done.accept(new Needs.Good(cancelled));
      return;
    }
    String need = needs.get(at);
    queries.read(
        need,
        found -> {
          if (found instanceof Lookup.Unavailable unavailable) {
            done.accept(new Needs.Unavailable(unavailable.why()));
          } else if (found instanceof Lookup.Unknown) {
            done.accept(new Needs.Bad("names " + need + ", which was never accepted"));
          } else if (found instanceof Lookup.Live live && live.job().spec().service()) {
            done.accept(new Needs.Bad("names the service " + need));
          } else {
            read(needs, at + 1, cancelled || isCancelled(need, found), done);
          }
        });
  }
}
