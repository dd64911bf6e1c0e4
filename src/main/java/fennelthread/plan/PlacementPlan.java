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
 * @param unplaced the jobs with tasks for which no free capacity was found
 * @param passedOverJobs the ids of the jobs with tasks that are not started although a machine has
 *     free capacity and their team's limit allows one more task. What holds them back is capacity
 *     that is reserved for other jobs or requested by jobs of their team, the limit of starts per
 *     round, or for a replica the wait for a machine that has its image
 */
public record PlacementPlan(
    List<Start> starts,
    List<Snapshot.RunningTask> preemptions,
    List<UnplacedTasks> unplaced,
    Set<String> passedOverJobs) {

  /**
   * A task to start on a machine.
   *
   * @param spec the task's job
   * @param task its index in the job
   * @param machine the machine's name
   */
  public record Start(JobSpec spec, int task, String machine) {}

  /**
   * Tasks of one job for which no free capacity was found, although their team's limit allows them.
   *
   * @param spec the job
   * @param count the number of these tasks
   * @param tasksByZone how many of the job's tasks may be present in each zone; empty for a job
   *     without constraints on zones
   */
  public record UnplacedTasks(JobSpec spec, int count, Map<String, Integer> tasksByZone) {

    /** Returns true if the job's constraints let its next task start in this zone. */
    public boolean mayUseZone(String zone) {
      return (spec.zone() == null || spec.zone().equals(zone))
          && (!PlacementConstraints.dependsOnOtherTasks(spec)
              || PlacementConstraints.allowsZone(spec, tasksByZone, zone));
    }

    /**
     * Returns true if the job restricts machine types or zones, so that a machine of sufficient
     * size may still be unsuitable.
     */
    public boolean hasConstraints() {
      return spec.types() != null
          || spec.zone() != null
          || PlacementConstraints.dependsOnOtherTasks(spec);
    }
  }
}
