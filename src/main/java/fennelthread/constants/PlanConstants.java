package fennelthread.constants;

/** Constants of placement; each with its unit and its reason. */
public final class PlanConstants {
  /**
   * A job that has waited for so long with nothing running gets its first task placed early, ms.
   * Users count on four minutes; capacity for a task as large as a machine takes up to two of them
   * to come free.
   */
  public static final long AGING_THRESHOLD_MS = 90_000;

  /** Part of the fleet's CPUs for first tasks of aged jobs before all others; one always may. */
  public static final double AGED_JOBS_SHARE = 0.05;

  /** Such a task is not preempted for so long at least, s: a start counts that lasts for 30. */
  public static final double MIN_NON_PREEMPTIBLE_S = 60;

  /** And for so many times what it is expected to run. */
  public static final double NON_PREEMPTIBLE_RUN_FACTOR = 2;

  /** Part of the machines that may be reserved for tasks that nothing else makes way for. */
  public static final double RESERVED_MACHINES_SHARE = 0.05;

  /** Least part of its expected time that a task is taken to run on, however long it has run. */
  public static final double MIN_REMAINING_SHARE = 0.25;

  /** What is left of a fetch in flight, as a share: unknown, so a little more than the half. */
  public static final double REMAINING_FETCH_SHARE = 0.6;

  /** Slowest fetch that is reckoned with, GB/s: bounds the estimate where none is known. */
  public static final double MIN_FETCH_GB_PER_S = 0.01;

  /** What a second of fetching counts for jobs that are sensitive to latency, in seconds. */
  public static final double LATENCY_SENSITIVE_FETCH_WEIGHT = 10;

  /** What being a spot instance is worth, in seconds of fetching: it costs less. */
  public static final double SPOT_BONUS = 0.5;

  /**
   * The spreading penalty of one more replica of the class on a machine with the image, as a share
   * of free CPUs.
   */
  public static final double SPREADING_PENALTY_CACHED = 0.2;

  /** Above any score of a machine that has the image, s. */
  public static final double IMAGE_NOT_CACHED_PENALTY_S = 1_000;

  /** What a score counts beside the work that preemption loses, CPU seconds. */
  public static final double PREEMPTION_SCORE_WEIGHT = 100;

  private PlanConstants() {}
}
