package fennelthread.plan;

import fennelthread.constants.PlanConstants;
import java.util.HashSet;
import java.util.Set;

/**
 * Prevents starvation: a job that has waited long with nothing running is called aged, and its
 * first task is placed early. Otherwise small, urgent or guaranteed work that keeps arriving could
 * keep the largest job of a class from ever starting. The oldest aged jobs each get one task ahead
 * of all other work, within a small share of the fleet; beyond that share an aged job only comes
 * first within its priority. The task is then protected from preemption for a while, or it would
 * start often and never finish.
 *
 * <p>Deterministic: the same jobs in the same order get the same boosts. An instance serves one
 * round and is not thread-safe.
 */
public final class Aging {

  /**
   * What decides whether a released job is aged and how its task is protected.
   *
   * @param id the job's id
   * @param waitedMs the time since it was released, ms
   * @param cpus CPUs that one of its tasks takes
   * @param hasFinishedTask whether one of its tasks is done or has failed, so that it needs no
   *     boost
   * @param attempt the number of the attempt that has run longest of those not being stopped; null
   *     if the job has none
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

  private final Set<String> boostedAboveAll = new HashSet<>();
  private final Set<String> boostedWithinPriority = new HashSet<>();
  private final Set<Long> nonPreemptible = new HashSet<>();
  private final Set<Long> preemptibleOnlyByMoreUrgent = new HashSet<>();
  private final double maxAgedCpus;
  private double agedCpus;

  /** Creates the state for one round, without boosts, for a fleet with this number of CPUs. */
  public Aging(double fleetCpus) {
    this.maxAgedCpus = fleetCpus * PlanConstants.AGED_JOBS_SHARE;
  }

  /** Decides on one job's boost or protection from preemption; called with the oldest job first. */
  public void evaluateJob(EligibleJob job) {
    if (job.hasFinishedTask || job.waitedMs <= PlanConstants.AGING_THRESHOLD_MS) {
      return;
    }
    boolean isWithinShare = agedCpus == 0 || agedCpus + job.cpus <= maxAgedCpus;
    if (job.attempt == null) {
      (isWithinShare ? boostedAboveAll : boostedWithinPriority).add(job.id);
    } else if (job.elapsedS
        <= Math.max(
            PlanConstants.MIN_NON_PREEMPTIBLE_S,
            PlanConstants.NON_PREEMPTIBLE_RUN_FACTOR * job.expectedRunS)) {
      (isWithinShare ? nonPreemptible : preemptibleOnlyByMoreUrgent).add(job.attempt);
    } else {
      // The attempt has run long enough to be preempted like any other.
      return;
    }
    if (isWithinShare) {
      agedCpus += job.cpus;
    }
  }

  /** Returns how far the job's first task is moved forward in the order of placement. */
  public AgingBoost boostOf(String id) {
    return boostedAboveAll.contains(id)
        ? AgingBoost.ABOVE_ALL
        : boostedWithinPriority.contains(id) ? AgingBoost.WITHIN_PRIORITY : AgingBoost.NONE;
  }

  /** The numbers of the attempts that are not preempted for any work. */
  public Set<Long> nonPreemptible() {
    return nonPreemptible;
  }

  /**
   * The numbers of the attempts that are preempted only for more urgent work. If one were preempted
   * for work of its own priority, the next round would place its job before that work again, and so
   * on without end.
   */
  public Set<Long> preemptibleOnlyByMoreUrgent() {
    return preemptibleOnlyByMoreUrgent;
  }
}
