package fennelthread.plan;

import fennelthread.constants.PlanConstants;
import java.util.HashSet;
import java.util.Set;

/**
 * Whose turn it is although the order of placement would put them off: jobs that have waited long
 * and have nothing at work. Small, urgent or guaranteed work that keeps coming would otherwise keep
 * the largest job of a class from ever beginning. What they get is one task each, oldest first, on
 * a small part of the fleet; that task is then stopped for nobody, or it would begin often and
 * never be done.
 *
 * <p>Pure: the same jobs in the same order give the same turns.
 */
public final class Aging {

  /**
   * A job that may be given tasks now.
   *
   * @param waitedMs since it could have begun, ms
   * @param cpus what one of its tasks takes
   * @param begun whether a task of it is done or failed, so that it has had its turn
   * @param attempt its attempt that is furthest, null if nothing of it may be anywhere
   * @param ranS how long that has run, s
   * @param takesS how long its tasks are expected to run, s; 0 of services
   */
  public record Candidate(
      String id,
      long waitedMs,
      double cpus,
      boolean begun,
      Long attempt,
      double ranS,
      double takesS) {}

  private final Set<String> first = new HashSet<>();
  private final Set<String> early = new HashSet<>();
  private final Set<Long> nonPreemptible = new HashSet<>();
  private final Set<Long> preemptibleOnlyByMoreUrgent = new HashSet<>();
  private final double mostCpus;
  private double cpus;

  /** Begins with nobody's turn, in a fleet of so many CPUs. */
  public Aging(double fleetCpus) {
    this.mostCpus = fleetCpus * PlanConstants.TURNS_SHARE;
  }

  /** Looks at the next job; the oldest come first. */
  public void consider(Candidate job) {
    if (job.begun || job.waitedMs <= PlanConstants.BEGIN_AFTER_MS) {
      return;
    }
    boolean room = cpus == 0 || cpus + job.cpus <= mostCpus;
    if (job.attempt == null) {
      (room ? first : early).add(job.id);
    } else if (job.ranS
        <= Math.max(PlanConstants.KEPT_LEAST_S, PlanConstants.KEPT_TIMES * job.takesS)) {
      (room ? nonPreemptible : preemptibleOnlyByMoreUrgent).add(job.attempt);
    } else {
      // It has run for so long that others need not stand back for it any more.
      return;
    }
    if (room) {
      cpus += job.cpus;
    }
  }

  /** When the job's first task is looked at. */
  public AgingBoost boostOf(String id) {
    return first.contains(id)
        ? AgingBoost.ABOVE_ALL
        : early.contains(id) ? AgingBoost.WITHIN_PRIORITY : AgingBoost.NONE;
  }

  /** The attempts that are stopped for nobody. */
  public Set<Long> nonPreemptible() {
    return nonPreemptible;
  }

  /**
   * The attempts that are stopped for more urgent work alone: they began before other work of their
   * priority, which would stop them, and they would begin before it again.
   */
  public Set<Long> preemptibleOnlyByMoreUrgent() {
    return preemptibleOnlyByMoreUrgent;
  }
}
