package fennelthread.constants;

/**
 * Constants of elections: promises of followers, silence of a leader and takeover; each with its
 * unit and its reason.
 */
public final class ElectionConstants {
  /**
   * How long a peer's promise not to help anyone take over lasts, ms: three heartbeats, so that two
   * may be lost; what a crash of the leader costs follows from it.
   */
  public static final long PROMISE_MS = 2_500;

  /** A leader whose promises last no longer than this writes that it goes alone, ms. */
  public static final long PROMISE_SPARE_MS = 1_000;

  /** Shortest time between two such words, ms: each is a change. */
  public static final long SOLO_RETRY_MS = 300;

  /** Promises must have been enough for so long before the word is cancelled, ms. */
  public static final long SOLO_AFTER_MS = 5_000;

  /** A peer that answers and does not promise for so long is bound by an old agreement, ms. */
  public static final long UNPROMISED_MS = 2_000;

  /** How often the view of the leader is looked at, ms. */
  public static final long VIEW_MS = 150;

  /** A look that comes so long after the last one tells that we were not listening, ms. */
  public static final long VIEW_LATE_MS = 500;

  /** Gaps between heartbeats that are remembered. */
  public static final int HEARTBEAT_GAPS = 32;

  /** A leader is silent if it stays away for so many times the longest of them. */
  public static final double HEARTBEAT_GAPS_MISSED = 2;

  /**
   * Shortest time between the beginning of an epoch, or of our process, and a takeover, ms: bounds
   * how often leaders change, and is longer than any promise that we have forgotten.
   */
  public static final long TAKEOVER_GAP_MS = 8_000;

  /** How much longer each further heir waits than the one before it, ms. */
  public static final long HEIR_STEP_MS = 300;

  /** Longest wait for a peer's agreement, ms. */
  public static final long AGREE_TIMEOUT_MS = 500;

  /** Pause before peers are asked again, ms. */
  public static final long AGREE_PAUSE_MS = 900;

  private ElectionConstants() {}
}
