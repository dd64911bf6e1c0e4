package fennelthread.constants;

/** Placement of tasks on machines. */
public final class PlanConstants {
  /**
   * Time for which a job must have waited with nothing running before its first task is placed
   * ahead of others, ms. Users expect a start within four minutes, and up to two pass until
   * capacity for a task as large as a machine becomes free.
   */
  public static final long AGING_THRESHOLD_MS = 90_000;

  /**
   * Share of the fleet's CPUs that first tasks of aged jobs may take ahead of all others; one such
   * task always may.
   */
  public static final double AGED_JOBS_SHARE = 0.05;

  /**
   * Shortest time for which such a task is not preempted, s: a start counts only if the task runs
   * for 30 s.
   */
  public static final double MIN_NON_PREEMPTIBLE_S = 60;

  /** That time as a multiple of the task's expected run time. */
  public static final double NON_PREEMPTIBLE_RUN_FACTOR = 2;

  /**
   * Share of the machines that may be reserved for tasks that can't get capacity in any other way.
   */
  public static final double RESERVED_MACHINES_SHARE = 0.05;

  /**
   * Least share of its expected run time that a task is assumed to run on, however long it has run.
   */
  public static final double MIN_REMAINING_SHARE = 0.25;

  /**
   * Assumed remaining share of an image fetch in flight: it is unknown, so a little more than half.
   */
  public static final double REMAINING_FETCH_SHARE = 0.6;

  /** Slowest assumed image fetch, GB/s: bounds the estimate where no rate is known. */
  public static final double MIN_FETCH_GB_PER_S = 0.01;

  /** Weight of a second until a task can run for latency-sensitive jobs, in seconds. */
  public static final double LATENCY_SENSITIVE_TIME_WEIGHT = 10;

  /** Score bonus of a spot machine, in seconds of fetching: it costs less. */
  public static final double SPOT_BONUS = 0.5;

  /**
   * The spreading penalty of one more replica of the class on a machine with the image, as a share
   * of free CPUs.
   */
  public static final double SPREADING_PENALTY_CACHED = 0.2;

  /** Penalty of a machine without the image, s: above any score of a machine that has it. */
  public static final double IMAGE_NOT_CACHED_PENALTY_S = 1_000;

  /** Weight of a placement's score relative to the work that preemption loses, CPU seconds. */
  public static final double PREEMPTION_SCORE_WEIGHT = 100;

  private PlanConstants() {}
}
