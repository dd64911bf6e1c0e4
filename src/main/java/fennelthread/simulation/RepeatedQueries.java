package fennelthread.simulation;

import fennelthread.wire.JobSpec;
import java.util.List;

/**
 * Users who query a job repeatedly: each time a user is first told that a job is accepted, done or
 * cancelled, they ask every controller about it several times within milliseconds, and repeat its
 * submission once at one controller.
 */
final class RepeatedQueries {
  private static final long[] OFFSETS_MS = {0, 1, 2, 5, 20, 100};

  private final SimulatedCluster cluster;
  private boolean isActive;

  /** Number of questions sent. */
  int queriesSent;

  /** Number of submissions repeated. */
  int submissionsRepeated;

  RepeatedQueries(SimulatedCluster cluster) {
    this.cluster = cluster;
    cluster.onNewStatus(this::queryAll);
  }

  /** Activates the queries for {@code forMs}. */
  void begin(long forMs) {
    isActive = true;
    cluster.world.after(forMs, () -> isActive = false);
  }

  private void queryAll(String id) {
    if (!isActive) {
      return;
    }
    List<String> members = List.copyOf(cluster.controllers().keySet());
    for (long offsetMs : OFFSETS_MS) {
      cluster.world.after(offsetMs, () -> askEach(members, id));
    }
    String member = members.get(cluster.world.faults.nextInt(members.size()));
    long offsetMs = OFFSETS_MS[cluster.world.faults.nextInt(OFFSETS_MS.length)];
    cluster.world.after(offsetMs, () -> repeat(member, id));
  }

  private void askEach(List<String> members, String id) {
    queriesSent += members.size();
    members.forEach(member -> cluster.askAt(member, id));
  }

  private void repeat(String member, String id) {
    JobSpec spec = cluster.checker.job(id);
    if (spec != null) {
      submissionsRepeated++;
      cluster.submitAt(member, id, spec.write(), answer -> {});
    }
  }
}
