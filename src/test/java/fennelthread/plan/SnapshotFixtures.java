package fennelthread.plan;

import java.util.List;
import java.util.Map;
import java.util.Set;

/** Snapshots and their parts for tests that do not care about every component. */
final class SnapshotFixtures {
  private SnapshotFixtures() {}

  /** A snapshot without starved jobs, in which more urgent work may preempt any attempt. */
  static Snapshot snapshot(
      List<Snapshot.Machine> machines,
      List<Snapshot.PendingJob> pendingJobs,
      Set<String> guaranteedJobs,
      Set<Long> nonPreemptible,
      Map<String, Snapshot.TeamUsage> teams,
      long nowMs,
      int maxStarts) {
    return new Snapshot(
        machines,
        pendingJobs,
        guaranteedJobs,
        nonPreemptible,
        teams,
        nowMs,
        maxStarts,
        Set.of(),
        Set.of());
  }

  /** A machine whose worker's reports have space for any number of tasks. */
  static Snapshot.Machine machine(
      String name,
      String type,
      String zone,
      boolean spot,
      double cpusTotal,
      double cpus,
      double cards,
      double memGb,
      double fetchGbPerS,
      Set<String> images,
      Set<String> fetching,
      Map<String, Integer> classes,
      List<Snapshot.RunningTask> running) {
    return new Snapshot.Machine(
        name,
        type,
        zone,
        spot,
        cpusTotal,
        cpus,
        cards,
        memGb,
        fetchGbPerS,
        images,
        fetching,
        classes,
        running,
        Integer.MAX_VALUE);
  }

  /** The usage of a team without a guarantee. */
  static Snapshot.TeamUsage usage(double cpus, double cards, double cpusMax, double cardsMax) {
    return new Snapshot.TeamUsage(cpus, cards, cpusMax, cardsMax, 0, 0);
  }
}
