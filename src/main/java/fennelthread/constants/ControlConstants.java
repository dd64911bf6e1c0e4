package fennelthread.constants;

/**
 * Constants of the supervision of the leader and of the machine types; each with its unit and its
 * reason.
 */
public final class ControlConstants {
  /** Longest wait for a worker's answer to a question, ms: no more than a hint depends on it. */
  public static final long PROBE_TIMEOUT_MS = 1_200;

  /** A leader refused by the state service for this long yields if a peer is served, ms. */
  public static final long REFUSED_ALONE_MS = 2_500;

  /** After this long without an answer of the state service one is asked for, ms. */
  public static final long SERVED_CHECK_MS = 800;

  /** A leader that has heard no worker for this many report intervals yields if peers do. */
  public static final double UNHEARD_REPORTS = 3;

  /** It waits this long at least before it yields for that reason, ms. */
  public static final long UNHEARD_LEAST_MS = 3_000;

  /** Pause before the machine types are read again from a cloud that did not say them, ms. */
  public static final long MACHINE_TYPES_RETRY_MS = 1_000;

  /**
   * Direct questions a deaf leader asks at each look, to find out whether the way is open again.
   */
  public static final int DEAF_QUESTIONS = 2;

  /** A leader not heard over the peer network for this long can't be reached that way, ms. */
  public static final long PETITION_SILENT_MS = 2_000;

  /** How long a controller that yielded leaves the claim to others, ms. */
  public static final long YIELD_PAUSE_MS = 8_000;

  private ControlConstants() {}
}
