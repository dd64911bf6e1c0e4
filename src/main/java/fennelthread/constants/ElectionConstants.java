package fennelthread.constants;

/**
 * Constants of elections: promises of followers, silence of a leader and takeover; each with its
 * unit and its reason.
 */
public final class ElectionConstants {
  /**
   * How long a follower's promise not to support a takeover lasts, ms: three heartbeats, so that
   * two may be lost; the outage after a crash of the leader follows from it.
   */
  public static final long PROMISE_MS = 2_500;

  /** A leader whose promises last no longer than this declares that it acts without them, ms. */
  public static final long PROMISE_REMAINING_MS = 1_000;

  /** Shortest time between two writes of that declaration, ms: each is a change of the state. */
  public static final long DECLARATION_RETRY_MS = 300;

  /** Promises must have been enough for so long before the declaration is revoked, ms. */
  public static final long REVOKE_DECLARATION_AFTER_MS = 5_000;

  /** A follower that answers without a promise for so long is bound by an old agreement, ms. */
  public static final long PROMISE_WITHHELD_MS = 2_000;

  /** How often a follower checks its view of the leader, ms. */
  public static final long CHECK_INTERVAL_MS = 150;

  /** A check so long after the last one means that this process was stalled, ms. */
  public static final long CHECK_LATE_MS = 500;

  /** Gaps between heartbeats that are remembered. */
  public static final int HEARTBEAT_GAPS = 32;

  /** A leader is silent if it misses heartbeats for so many times the longest of these gaps. */
  public static final double SILENCE_GAP_FACTOR = 2;

  /**
   * Shortest time between the beginning of an epoch, or of this process, and a takeover, ms: bounds
   * how often leaders change, and is longer than any promise that a restart has forgotten.
   */
  public static final long MIN_EPOCH_MS = 8_000;

  /** How much longer each further successor waits than the one before it, ms. */
  public static final long SUCCESSOR_STEP_MS = 300;

  /** Longest wait for a peer's agreement, ms. */
  public static final long AGREEMENT_TIMEOUT_MS = 500;

  /** Pause before peers are asked for agreement again, ms. */
  public static final long AGREEMENT_PAUSE_MS = 900;

  /** In place of the time of an event that has not happened, ms. */
  public static final long NEVER = -1;

  private ElectionConstants() {}
}
