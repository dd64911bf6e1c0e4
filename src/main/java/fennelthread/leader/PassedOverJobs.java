package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the jobs that rounds pass over in favour of others although a machine has free capacity
 * for them. Rounds reserve capacity for tasks that need more than is free, and a team's quota for
 * its more urgent jobs. Neither reservation has a time limit of its own, and running tasks may take
 * far longer than estimated. Callers pass the time, ms of the local clock.
 */
final class PassedOverJobs {
  private final Map<String, Long> sinceMs = new HashMap<>();

  /** Records the ids of all jobs that a round has passed over. */
  void update(Set<String> ids, long nowMs) {
    sinceMs.keySet().retainAll(ids);
    ids.forEach(id -> sinceMs.putIfAbsent(id, nowMs));
  }

  /**
   * The ids of the jobs that every round has passed over for longer than {@link
   * LeaderConstants#MAX_PASSED_OVER_MS}.
   */
  Set<String> overdue(long nowMs) {
    Set<String> overdue = new HashSet<>();
    sinceMs.forEach(
        (id, since) -> {
          if (nowMs - since > LeaderConstants.MAX_PASSED_OVER_MS) {
            overdue.add(id);
          }
        });
    return overdue;
  }
}
