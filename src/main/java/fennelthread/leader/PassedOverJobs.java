package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The jobs that stand back for others although a machine has room for them, and since when. Room is
 * reserved for tasks that wait for more of it, and a team's limit for its more urgent jobs; neither
 * has a bound of its own, since running tasks may take far longer than estimated. Pure: the time is
 * told.
 */
final class PassedOverJobs {
  private final Map<String, Long> sinceMs = new HashMap<>();

  /** Takes note of the jobs that a round has passed over; all others were not. */
  void update(Set<String> ids, long nowMs) {
    sinceMs.keySet().retainAll(ids);
    ids.forEach(id -> sinceMs.putIfAbsent(id, nowMs));
  }

  /** The jobs that were passed over in each round for so long that their turn has come. */
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
