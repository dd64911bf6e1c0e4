package fennelthread.constants;

/** Constants of placement; each with its unit and its reason. */
public final class PlanConstants {
  /**
   * A job that has waited for so long with nothing at work is given its first task before all
   * others, ms. Users count on four minutes; room for a task as large as a machine takes up to two
   * of them to come free.
   */
  public static final long BEGIN_AFTER_MS = 90_000;

  /** Part of the fleet's CPUs on which first tasks of such jobs run out of turn; one always may. */
  public static final double TURNS_SHARE = 0.05;

  /**
   * Such a task is stopped for nobody for so long at least, s: a start counts that lasts for 30.
   */
  public static final double KEPT_LEAST_S = 60;

  /** And for so many times what it is expected to take. */
  public static final double KEPT_TIMES = 2;

  /** Part of the machines that may be kept free for tasks that nothing else makes room for. */
  public static final double HOLDS_SHARE = 0.05;

  /** Least part of its time that a task is thought to run on, however long it has run. */
  public static final double RUN_LEFT_LEAST = 0.25;

  /** What is left of a fetch under way, as a share: unknown, so a little more than the half. */
  public static final double FETCH_LEFT = 0.6;

  /** What one more replica of the class on a machine with the image counts, in emptiness. */
  public static final double CROWD_CACHED = 0.2;

  /** Above any score of a machine that has the image, s. */
  public static final double NOT_CACHED = 1_000;

  private PlanConstants() {}
}
