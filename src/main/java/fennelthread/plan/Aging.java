package fennelthread.plan;

import fennelthread.constants.PlanConstants;
import java.util.HashSet;
import java.util.Set;

/**
 * Prevents starvation: the first task of a job that has waited long with nothing running is placed
 * early. Otherwise small, urgent or guaranteed work that keeps arriving could keep the largest job
 * of a class from ever starting. Each such job gets one task, the oldest job first, on a small part
 * of the fleet. That task is then not preempted for a while, or it would start often and never
 * finish.
 *
 * <p>Deterministic: the same jobs in the same order get the same boosts. An instance serves one
 * round and is not thread-safe.
 */
public final class Aging {

  /**
   * A released job, as aging sees it.
   *
   * @param id the job's id
   * @param waitedMs the time since it was released, ms
   * @param cpus CPUs that one of its tasks takes
   * @param hasFinishedTask whether one of its tasks is done or has failed, so that it needs no
   *     boost
   * @param attempt the number of its attempt that has run longest; null if none may be present
   *     anywhere
   * @param elapsedS how long that attempt has run, s
   * @param expectedRunS how long its tasks are expected to run, s; 0 for services
   */
  public record EligibleJob(
      String id,
      long waitedMs,
      double cpus,
      boolean hasFinishedTask,
      Long attempt,
      double elapsedS,
      double expectedRunS) {}

  private final Set<String> aboveAll = new HashSet<>();
  private final Set<String> withinPriority = new HashSet<>();
  private final Set<Long> nonPreemptible = new HashSet<>();
  private final Set<Long> preemptibleOnlyByMoreUrgent = new HashSet<>();
  private final double maxCpus;
  private double usedCpus;

  /** Creates the state for one round, without boosts, for a fleet with this number of CPUs. */
  public Aging(double fleetCpus) {
    this.maxCpus = fleetCpus * PlanConstants.AGED_JOBS_SHARE;
  }

  /** Decides on one job's boost or protection from preemption; called with the oldest job first. */
  public void consider(EligibleJob job) {
    if (job.hasFinishedTask || job.waitedMs <= PlanConstants.AGING_THRESHOLD_MS) {
      return;
    }
    boolean isWithinShare = usedCpus == 0 || usedCpus + job.cpus <= maxCpus;
    if (job.attempt == null) {
      (isWithinShare ? aboveAll : withinPriority).add(job.id);
    } else if (job.elapsedS
        <= Math.max(
            PlanConstants.MIN_NON_PREEMPTIBLE_S,
            PlanConstants.NON_PREEMPTIBLE_RUN_FACTOR * job.expectedRunS)) {
      (isWithinShare ? nonPreemptible : preemptibleOnlyByMoreUrgent).add(job.attempt);
    } else {
      // It has run long enough to be preempted like any other.
      return;
    }
    if (isWithinShare) {
      usedCpus += job.cpus;
    }
  }

  /** Returns how far the job's first task is moved forward in the order of placement. */
  public AgingBoost boostOf(String id) {
    return aboveAll.contains(id)
        ? AgingBoost.ABOVE_ALL
        : withinPriority.contains(id) ? AgingBoost.WITHIN_PRIORITY : AgingBoost.NONE;
  }

  /** The numbers of the attempts that are not preempted for any work. */
  public Set<Long> nonPreemptible() {
    return nonPreemptible;
  }

  /**
   * The numbers of the attempts that are preempted only for more urgent work. Their jobs come
   * before other work of the same priority: preempted for it, they would be placed before it again,
   * over and over.
   */
  public Set<Long> preemptibleOnlyByMoreUrgent() {
    return preemptibleOnlyByMoreUrgent;
  }
}
