package fennelthread.plan;

import fennelthread.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * The quota that each team has left in a round. Two sums are kept: the usage with the tasks that
 * the round starts, which must never exceed the limit, and the same with the tasks that found no
 * free capacity yet, so that neither capacity nor machines are requested beyond the limit.
 */
final class TeamBudgets {
  private final Map<String, Snapshot.TeamUsage> started;
  private final Map<String, Snapshot.TeamUsage> requested;

  TeamBudgets(Map<String, Snapshot.TeamUsage> usage) {
    started = new HashMap<>(usage);
    requested = new HashMap<>(usage);
  }

  /** True if one more task of the job may be started. */
  boolean allowsStart(JobSpec spec) {
    return allows(started, spec);
  }

  /** True if one more task of the job may be started or requested beside all that wait. */
  boolean allowsRequest(JobSpec spec) {
    return allows(requested, spec);
  }

  private static boolean allows(Map<String, Snapshot.TeamUsage> teams, JobSpec spec) {
    Snapshot.TeamUsage usage = teams.get(spec.team());
    return usage != null && usage.allows(spec.cpus(), spec.cards());
  }

  /** Counts a task of the job that is started. */
  void start(JobSpec spec) {
    started.computeIfPresent(spec.team(), (team, usage) -> usage.plus(spec.cpus(), spec.cards()));
    request(spec);
  }

  /** Counts a task of the job that has no place yet. */
  void request(JobSpec spec) {
    requested.computeIfPresent(spec.team(), (team, usage) -> usage.plus(spec.cpus(), spec.cards()));
  }
}
