package fennelthread.constants;

/**
 * Constants of the supervision of the leader and of the machine types; each with its unit and its
 * reason.
 */
public final class ControlConstants {
  /** Longest wait for a worker's answer to a probe, ms: no more than a hint depends on it. */
  public static final long PROBE_TIMEOUT_MS = 1_200;

  /** A leader refused by the state service for this long steps down if a peer is served, ms. */
  public static final long REFUSED_ONLY_HERE_MS = 2_500;

  /** After this long without an answer of the state service one is requested, ms. */
  public static final long STATE_SILENCE_CHECK_MS = 800;

  /** A leader without a report for this many report intervals steps down if peers get reports. */
  public static final double NO_REPORTS_INTERVALS = 3;

  /** It waits this long at least before it steps down for that reason, ms. */
  public static final long NO_REPORTS_MIN_MS = 3_000;

  /** Pause before machine types are fetched again after the cloud did not answer with any, ms. */
  public static final long MACHINE_TYPES_RETRY_MS = 1_000;

  /** Workers that a leader without reports probes at each check, to find out if it is over. */
  public static final int PROBES_PER_CHECK = 2;

  /** A leader silent on the peer network for this long can't be reached that way, ms. */
  public static final long LEADER_UNREACHABLE_MS = 2_000;

  /** How long a controller that stepped down leaves the claim to others, ms. */
  public static final long STEP_DOWN_PAUSE_MS = 8_000;

  private ControlConstants() {}
}
