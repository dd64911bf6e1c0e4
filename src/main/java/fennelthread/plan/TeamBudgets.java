package fennelthread.plan;

import fennelthread.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks how much of each team's limit is left in a round. Keeps two sums: the usage including the
 * tasks that the round starts, which must never exceed the limit, and the same including the tasks
 * that wait for capacity, so that neither capacity nor machines are requested beyond the limit.
 */
final class TeamBudgets {
  private final Map<String, Snapshot.TeamUsage> started;
  private final Map<String, Snapshot.TeamUsage> requested;

  TeamBudgets(Map<String, Snapshot.TeamUsage> usageByTeam) {
    started = new HashMap<>(usageByTeam);
    requested = new HashMap<>(usageByTeam);
  }

  /** Returns true if one more task of the job may be started. */
  boolean allowsStart(JobSpec spec) {
    return allows(started, spec);
  }

  /**
   * Returns true if the team's limit allows one more task of the job besides all started and
   * waiting ones, so that it may be started or capacity may be requested for it.
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

  /**
   * Counts a task of the job that waits for capacity: none is free for it, or capacity is reserved
   * on a machine that has its image.
   */
  void countRequest(JobSpec spec) {
    requested.computeIfPresent(spec.team(), (team, usage) -> usage.plus(spec.cpus(), spec.cards()));
  }
}
