package fennelthread.constants;

/** Heartbeats between controllers. */
public final class PeerConstants {
  /**
   * Time after its last heartbeat for which a peer whose version ignores dependencies keeps this
   * controller from accepting jobs that have them, ms: it would run them too early if it became
   * leader. After that it is gone or runs a newer version.
   */
  public static final long OUTDATED_PEER_MS = 10_000;

  /** Time between two heartbeats to a peer, ms. */
  public static final long HEARTBEAT_INTERVAL_MS = 700;

  /** Most workers' addresses in one heartbeat: keeps it below the bound on bodies. */
  public static final int ADDRESSES_PER_HEARTBEAT = 500;

  /** Timeout of a heartbeat, ms. */
  public static final long HEARTBEAT_TIMEOUT_MS = 1_200;

  /** A peer not heard from for this long counts as silent, ms. */
  public static final long PEER_SILENT_MS = 3_000;

  /**
   * Stands for the time since the last renewal, ms, of a controller that has never renewed a lease
   * in a leader's place.
   */
  public static final long NEVER_RENEWED = -1;

  /**
   * Stands for the time of an event that has never happened, ms: before all others, and far enough
   * from the bounds of {@code long} that durations can be added to it.
   */
  public static final long NEVER_MS = Long.MIN_VALUE / 2;

  private PeerConstants() {}
}
