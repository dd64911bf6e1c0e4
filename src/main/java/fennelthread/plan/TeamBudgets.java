package fennelthread.plan;

import fennelthread.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks the quota that each team has left in a round. Keeps two sums: the usage including the
 * tasks that the round starts, which must never exceed the team's limit, and the same including the
 * tasks for which no free capacity was found, so that neither capacity nor machines are requested
 * beyond the limit.
 */
final class TeamBudgets {
  private final Map<String, Snapshot.TeamUsage> started;
  private final Map<String, Snapshot.TeamUsage> requested;

  TeamBudgets(Map<String, Snapshot.TeamUsage> usage) {
    started = new HashMap<>(usage);
    requested = new HashMap<>(usage);
  }

  /** Returns true if one more task of the job may be started. */
  boolean allowsStart(JobSpec spec) {
    return allows(started, spec);
  }

  /**
   * Returns true if one more task of the job may be started or requested beside all that are
   * requested.
   */
  boolean allowsRequest(JobSpec spec) {
    return allows(requested, spec);
  }

  private static boolean allows(Map<String, Snapshot.TeamUsage> teams, JobSpec spec) {
    Snapshot.TeamUsage usage = teams.get(spec.team());
    return usage != null && usage.allows(spec.cpus(), spec.cards());
  }

  /** Counts a task of the job that the round starts; it counts as requested too. */
  void countStart(JobSpec spec) {
    started.computeIfPresent(spec.team(), (team, usage) -> usage.plus(spec.cpus(), spec.cards()));
    countRequest(spec);
  }

  /** Counts a task of the job for which no free capacity was found. */
  void countRequest(JobSpec spec) {
    requested.computeIfPresent(spec.team(), (team, usage) -> usage.plus(spec.cpus(), spec.cards()));
  }
}
