package fennelthread.plan;

import fennelthread.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * What each team may still start or ask for in a round. Two sums are kept: what its tasks use with
 * those that the round starts, which must never exceed its limit, and the same with all that found
 * no room yet, so that neither room nor machines are asked for beyond it.
 */
final class TeamBudgets {
  private final Map<String, Snapshot.TeamUsage> started;
  private final Map<String, Snapshot.TeamUsage> requested;

  TeamBudgets(Map<String, Snapshot.TeamUsage> used) {
    started = new HashMap<>(used);
    requested = new HashMap<>(used);
  }

  /** True if one more task of the job may be started. */
  boolean allowsStart(JobSpec spec) {
    return allows(started, spec);
  }

  /** True if one more task of the job may be started or asked for beside all that wait. */
  boolean allowsRequest(JobSpec spec) {
    return allows(requested, spec);
  }

  private static boolean allows(Map<String, Snapshot.TeamUsage> teams, JobSpec spec) {
    Snapshot.TeamUsage use = teams.get(spec.team());
    return use != null && use.allows(spec.cpus(), spec.cards());
  }

  /** A task of the job is started. */
  void start(JobSpec spec) {
    started.computeIfPresent(spec.team(), (team, use) -> use.plus(spec.cpus(), spec.cards()));
    request(spec);
  }

  /** A task of the job has no place yet. */
  void request(JobSpec spec) {
    requested.computeIfPresent(spec.team(), (team, use) -> use.plus(spec.cpus(), spec.cards()));
  }
}
