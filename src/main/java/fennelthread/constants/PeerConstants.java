package fennelthread.constants;

/** Constants of the heartbeats between controllers; each with its unit and its reason. */
public final class PeerConstants {
  /**
   * How long a peer that does not speak of chained jobs keeps us from taking them, ms: it is old,
   * would run them too early if it led, and after this long without a word it is gone or new.
   */
  public static final long OLD_PEER_MS = 10_000;

  /** How often controllers sendHeartbeat one another, ms. */
  public static final long HEARTBEAT_INTERVAL_MS = 700;

  /** Most workers' addresses in one heartbeat: keeps it below the bound on bodies. */
  public static final int ADDRESSES_PER_HEARTBEAT = 500;

  /** Longest wait for a heartbeat's answer, ms. */
  public static final long HEARTBEAT_TIMEOUT_MS = 1_200;

  /** A peer not heard for this long counts as silent, ms. */
  public static final long PEER_SILENT_MS = 3_000;

  /**
   * What a controller that never answered a report in a leader's place says of when it last did,
   * ms.
   */
  public static final long NEVER_RENEWED = -1;

  private PeerConstants() {}
}
