package fennelthread.plan;

import fennelthread.constants.PlanConstants;
import java.util.HashSet;
import java.util.Set;

/**
 * Keeps jobs from starving: a job that has waited long and has nothing running gets its first task
 * placed early, although the order of placement would put it off. Small, urgent or guaranteed work
 * that keeps arriving would otherwise keep the largest job of a class from ever beginning. Each
 * such job gets one task, oldest job first, on a small part of the fleet; that task is then not
 * preempted for a while, or it would begin often and never finish.
 *
 * <p>Deterministic: the same jobs in the same order get the same boosts.
 */
public final class Aging {

  /**
   * A job that may be given tasks now.
   *
   * @param id the job's id
   * @param waitedMs since it could have begun, ms
   * @param cpus what one of its tasks takes
   * @param begun whether a task of it is done or failed, so that it needs no boost any more
   * @param attempt its attempt that has got furthest, null if nothing of it may be present anywhere
   * @param elapsedS how long that attempt has run, s
   * @param expectedRunS how long its tasks are expected to run, s; 0 of services
   */
  public record EligibleJob(
      String id,
      long waitedMs,
      double cpus,
      boolean begun,
      Long attempt,
      double elapsedS,
      double expectedRunS) {}

  private final Set<String> aboveAll = new HashSet<>();
  private final Set<String> withinPriority = new HashSet<>();
  private final Set<Long> nonPreemptible = new HashSet<>();
  private final Set<Long> preemptibleOnlyByMoreUrgent = new HashSet<>();
  private final double maxCpus;
  private double usedCpus;

  /** Creates the state for one round, without boosts, in a fleet of so many CPUs. */
  public Aging(double fleetCpus) {
    this.maxCpus = fleetCpus * PlanConstants.AGED_JOBS_SHARE;
  }

  /** Decides on the next job; jobs have to come oldest first. */
  public void consider(EligibleJob job) {
    if (job.begun || job.waitedMs <= PlanConstants.AGING_THRESHOLD_MS) {
      return;
    }
    boolean fits = usedCpus == 0 || usedCpus + job.cpus <= maxCpus;
    if (job.attempt == null) {
      (fits ? aboveAll : withinPriority).add(job.id);
    } else if (job.elapsedS
        <= Math.max(
            PlanConstants.MIN_NON_PREEMPTIBLE_S,
            PlanConstants.NON_PREEMPTIBLE_RUN_FACTOR * job.expectedRunS)) {
      (fits ? nonPreemptible : preemptibleOnlyByMoreUrgent).add(job.attempt);
    } else {
      // It has run for so long that it may be preempted like any other.
      return;
    }
    if (fits) {
      usedCpus += job.cpus;
    }
  }

  /** How far the job's first task is moved forward. */
  public AgingBoost boostOf(String id) {
    return aboveAll.contains(id)
        ? AgingBoost.ABOVE_ALL
        : withinPriority.contains(id) ? AgingBoost.WITHIN_PRIORITY : AgingBoost.NONE;
  }

  /** The attempts that are not preempted for any work. */
  public Set<Long> nonPreemptible() {
    return nonPreemptible;
  }

  /**
   * The attempts that are preempted for more urgent work alone. They began before other work of
   * their priority: preempted for it, they would begin before it again, over and over.
   */
  public Set<Long> preemptibleOnlyByMoreUrgent() {
    return preemptibleOnlyByMoreUrgent;
  }
}
