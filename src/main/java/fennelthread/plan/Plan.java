package fennelthread.plan;

import fennelthread.wire.JobSpec;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one round decides. {@code passedOver} names the jobs with tasks left for which a machine has
 * room and their team's limit allows one, but which stand back for others.
 */
public record Plan(
    List<Start> starts,
    List<Snapshot.RunningTask> preemptions,
    List<Unplaced> unplaced,
    Set<String> passedOver) {

  /** A task to start on a machine. */
  public record Start(JobSpec spec, int task, String machine) {}

  /**
   * Tasks of a job that found no room, though their team's cap would allow them; {@code zones}
   * counts the job's tasks by zone if it has a rule about zones.
   */
  public record Unplaced(JobSpec spec, int tasks, Map<String, Integer> zones) {

    /** True if the job's rules let its next task start in this zone. */
    public boolean mayUseZone(String zone) {
      return (spec.zone() == null || spec.zone().equals(zone))
          && (!PlacementConstraints.dependOnOtherTasks(spec)
              || PlacementConstraints.allowZone(spec, zones, zone));
    }

    /** True if the job does not take just any machine that is large enough. */
    public boolean hasConstraints() {
      return spec.types() != null
          || spec.zone() != null
          || PlacementConstraints.dependOnOtherTasks(spec);
    }
  }
}
