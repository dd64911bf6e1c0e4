package fennelthread.constants;

/** Elections: followers' promises, detection of a silent leader, and takeover. */
public final class ElectionConstants {
  /**
   * Duration of a follower's promise not to support a takeover, ms: three heartbeats, so that two
   * may be lost. The length of the outage after a crash of the leader follows from it.
   */
  public static final long PROMISE_MS = 2_500;

  /** A leader whose promises last no longer than this declares that it acts without them, ms. */
  public static final long PROMISE_REMAINING_MS = 1_000;

  /**
   * Shortest time between two writes of that declaration or its revocation, ms: each counts against
   * the state service's limit on changes.
   */
  public static final long MIN_DECLARATION_INTERVAL_MS = 300;

  /** Time for which promises must have sufficed before the declaration is revoked, ms. */
  public static final long REVOKE_DECLARATION_AFTER_MS = 5_000;

  /**
   * Time for which a follower must have answered without a promise before the leader concludes that
   * it may have agreed to a takeover, ms.
   */
  public static final long PROMISE_WITHHELD_MS = 2_000;

  /** Interval at which a follower checks its view of the leader, ms. */
  public static final long CHECK_INTERVAL_MS = 150;

  /** Time between two checks from which this process counts as stalled, ms. */
  public static final long CHECK_LATE_MS = 500;

  /** Number of gaps between heartbeats that are remembered. */
  public static final int HEARTBEAT_GAPS = 32;

  /**
   * A leader is silent once no heartbeat has arrived for this many times the longest remembered
   * gap.
   */
  public static final double SILENCE_GAP_FACTOR = 2;

  /**
   * Shortest time between the beginning of an epoch, or of this process, and a takeover, ms: bounds
   * how often leaders change, and exceeds any promise that a restarted process has forgotten.
   */
  public static final long MIN_EPOCH_MS = 8_000;

  /** Additional wait of each successor relative to the one before it, ms. */
  public static final long SUCCESSOR_STEP_MS = 300;

  /** Timeout of a request for a peer's agreement, ms. */
  public static final long AGREEMENT_TIMEOUT_MS = 500;

  /** Pause before peers are asked for agreement again, ms. */
  public static final long AGREEMENT_PAUSE_MS = 900;

  /** Stands for the time of an event that has not happened, ms. */
  public static final long NEVER = -1;

  private ElectionConstants() {}
}
