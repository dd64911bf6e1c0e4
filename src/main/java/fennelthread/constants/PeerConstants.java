package fennelthread.constants;

/** Constants of the heartbeats between controllers; each with its unit and its reason. */
public final class PeerConstants {
  /**
   * How long a peer whose version does not hold jobs back for their dependencies keeps us from
   * accepting such jobs, ms: it would run them too early if it led, and after this long without a
   * heartbeat it is gone or of a newer version.
   */
  public static final long OUTDATED_PEER_MS = 10_000;

  /** Time between two heartbeats to a peer, ms. */
  public static final long HEARTBEAT_INTERVAL_MS = 700;

  /** Most workers' addresses in one heartbeat: keeps it below the bound on bodies. */
  public static final int ADDRESSES_PER_HEARTBEAT = 500;

  /** Longest wait for a heartbeat's answer, ms. */
  public static final long HEARTBEAT_TIMEOUT_MS = 1_200;

  /** A peer not heard from for this long counts as silent, ms. */
  public static final long PEER_SILENT_MS = 3_000;

  /**
   * What stands for the time since the last renewal, in ms, of a controller that never renewed a
   * lease in a leader's place.
   */
  public static final long NEVER_RENEWED = -1;

  /**
   * What stands for a moment of something that never happened, ms: before all others, and far
   * enough from the bounds of the type that times can be added to it.
   */
  public static final long NEVER_MS = Long.MIN_VALUE / 2;

  private PeerConstants() {}
}
