package fennelthread.plan;

import fennelthread.wire.JobSpec;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The decisions of one scheduling round.
 *
 * @param starts the tasks to start, in the order in which they were placed
 * @param preemptions the running tasks to preempt, in the order in which they were chosen
 * @param unplaced the jobs with tasks that found no free capacity
 * @param passedOverJobs the ids of jobs with tasks left for which a machine has free capacity and
 *     their team's limit allows one, but which are held back by what is reserved for others
 */
public record PlacementPlan(
    List<Start> starts,
    List<Snapshot.RunningTask> preemptions,
    List<UnplacedTasks> unplaced,
    Set<String> passedOverJobs) {

  /**
   * A task to start on a machine.
   *
   * @param spec its job
   * @param task its index in the job
   * @param machine the machine's name
   */
  public record Start(JobSpec spec, int task, String machine) {}

  /**
   * Tasks of a job that found no free capacity, though their team's limit would allow them.
   *
   * @param spec the job
   * @param count how many
   * @param tasksByZone the job's tasks that may be present, by zone, if it has a constraint on
   *     zones
   */
  public record UnplacedTasks(JobSpec spec, int count, Map<String, Integer> tasksByZone) {

    /** True if the job's constraints let its next task start in this zone. */
    public boolean mayUseZone(String zone) {
      return (spec.zone() == null || spec.zone().equals(zone))
          && (!PlacementConstraints.dependOnOtherTasks(spec)
              || PlacementConstraints.allowZone(spec, tasksByZone, zone));
    }

    /** True if the job does not take just any machine that is large enough. */
    public boolean hasConstraints() {
      return spec.types() != null
          || spec.zone() != null
          || PlacementConstraints.dependOnOtherTasks(spec);
    }
  }
}
