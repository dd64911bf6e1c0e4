package fennelthread.constants;

/**
 * Constants that the protocol sets, or that several packages share; each with its unit and its
 * reason.
 */
public final class ProtocolConstants {
  /** Longest request body that is taken, bytes: the protocol's bound. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /** How far two steady clocks may drift apart, as a share: the protocol's bound. */
  public static final double MAX_CLOCK_DRIFT = 0.0005;

  /** Taken off every lease beyond drift, ms: timers fire in steps of a few milliseconds. */
  public static final long LEASE_MARGIN_MS = 60;

  /** Added to a worker's lease before it counts as over, ms: steps of timers on both sides. */
  public static final long EXPIRY_MARGIN_MS = 250;

  /** Pause after a failed state request before it is tried again, ms. */
  public static final long STATE_RETRY_DELAY_MS = 400;

  /** Random part added to every pause, as a share: keeps controllers from retrying in step. */
  public static final double PAUSE_JITTER_SHARE = 0.3;

  /** How long a worker waits for the answer to a report, ms: the protocol's time. */
  public static final long WORKER_REPORT_TIMEOUT_MS = 4_000;

  /** Bits of a token below the epoch: the leader may raise a worker's token a million times. */
  public static final int TOKEN_BITS = 20;

  /** Bits of an attempt number below the epoch. */
  public static final int ATTEMPT_BITS = 24;

  /** Amounts that differ by less count as equal, units of the amount: sums of decimal values. */
  public static final double AMOUNT_TOLERANCE = 1e-9;

  private ProtocolConstants() {}
}
