package fennelthread.simulation;

import fennelthread.wire.JobSpec;
import java.util.List;

/**
 * Users who look closely: each time one of them is told that a job is accepted, done or cancelled,
 * they ask every controller about it several times within milliseconds, and repeat the submission.
 */
final class RepeatedQueries {
  private static final long[] OFFSETS_MS = {0, 1, 2, 5, 20, 100};

  private final SimulatedCluster cluster;
  private boolean on;

  /** How many questions were asked. */
  int queriesSent;

  /** How many submissions were repeated. */
  int submissionsRepeated;

  RepeatedQueries(SimulatedCluster cluster) {
    this.cluster = cluster;
    cluster.onNewStatus(this::look);
  }

  /** For so long users look closely. */
  void begin(long forMs) {
    on = true;
    cluster.world.after(forMs, () -> on = false);
  }

  private void look(String id) {
    if (!on) {
      return;
    }
    List<String> members = List.copyOf(cluster.controllers().keySet());
    for (long offset : OFFSETS_MS) {
      cluster.world.after(offset, () -> askEach(members, id));
    }
    String member = members.get(cluster.world.faults.nextInt(members.size()));
    long offset = OFFSETS_MS[cluster.world.faults.nextInt(OFFSETS_MS.length)];
    cluster.world.after(offset, () -> repeat(member, id));
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
