package fennelthread.constants;

/** Checks of the leader's connections, probes of workers, and fetching of machine types. */
public final class ControlConstants {
  /**
   * Timeout of a probe of a worker, ms: shorter than that of commands, since a probe carries none.
   */
  public static final long PROBE_TIMEOUT_MS = 1_200;

  /**
   * Time for which a leader's requests to the state service must have failed before it steps down
   * because the service answers a peer, ms.
   */
  public static final long REFUSED_ONLY_HERE_MS = 2_500;

  /**
   * Time since the state service last served this controller, or the replica was last confirmed as
   * current, after which the store revision is read, ms.
   */
  public static final long STATE_SILENCE_CHECK_MS = 800;

  /**
   * Report intervals without any report after which a leader steps down if peers receive reports.
   */
  public static final double NO_REPORTS_INTERVALS = 3;

  /** Shortest time without any report after which a leader steps down for that reason, ms. */
  public static final long NO_REPORTS_MIN_MS = 3_000;

  /** Delay before machine types are fetched again if the cloud returned none, ms. */
  public static final long MACHINE_TYPES_RETRY_MS = 1_000;

  /**
   * Workers that a leader without reports probes at each check, to find out whether it is cut off.
   */
  public static final int PROBES_PER_CHECK = 2;

  /**
   * A leader not heard from on the peer network for this long counts as unreachable by peers, ms.
   */
  public static final long LEADER_UNREACHABLE_MS = 2_000;

  /** Time for which a controller that has stepped down does not claim the leader's lease, ms. */
  public static final long STEP_DOWN_PAUSE_MS = 8_000;

  private ControlConstants() {}
}
