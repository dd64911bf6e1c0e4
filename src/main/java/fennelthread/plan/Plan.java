package fennelthread.plan;

import fennelthread.wire.JobSpec;
import java.util.List;

/** What one round decides. */
public record Plan(List<Start> starts, List<Snapshot.Running> stops, List<Unplaced> unplaced) {

  /** A task to start on a machine. */
  public record Start(JobSpec spec, int task, String machine) {}

  /** Tasks of a job that found no room, though their team's cap would allow them. */
  public record Unplaced(JobSpec spec, int tasks) {}
}
