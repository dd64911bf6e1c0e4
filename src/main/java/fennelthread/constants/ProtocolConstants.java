package fennelthread.constants;

/** Values set by the protocol, or shared by several packages. */
public final class ProtocolConstants {
  /** Largest request body that is accepted, bytes: the protocol's bound. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  /**
   * Largest drift between two steady clocks, as a share of the elapsed time: the protocol's bound.
   */
  public static final double MAX_CLOCK_DRIFT = 0.0005;

  /**
   * Margin of leases and promises in addition to clock drift, ms: their holder subtracts it, and
   * others add it, since timers fire in steps of a few milliseconds.
   */
  public static final long LEASE_MARGIN_MS = 60;

  /**
   * Added to a worker's lease before it counts as expired, ms: covers the resolution of timers on
   * both sides.
   */
  public static final long EXPIRY_MARGIN_MS = 250;

  /** Delay before a failed state request is retried, ms. */
  public static final long STATE_RETRY_DELAY_MS = 400;

  /** Random part added to a pause, as a share of it: keeps controllers from retrying in step. */
  public static final double PAUSE_JITTER_SHARE = 0.3;

  /** Time that a worker waits for the answer to a report, ms: the protocol's time. */
  public static final long WORKER_REPORT_TIMEOUT_MS = 4_000;

  /**
   * Bits of a fencing token below the epoch: the leader may raise a worker's token a million times.
   */
  public static final int TOKEN_BITS = 20;

  /** Shortest time between two reports of a worker, ms: the protocol's time. */
  public static final long MIN_REPORT_GAP_MS = 500;

  /**
   * Shortest time between two reports that a worker sends early because its token was raised, as a
   * share of its lease: the protocol's share.
   */
  public static final double TOKEN_REPORT_LEASE_SHARE = 0.5;

  /** Bits of an attempt number below the epoch. */
  public static final int ATTEMPT_BITS = 24;

  /** Amounts that differ by less count as equal, in their unit: they are sums of decimal values. */
  public static final double AMOUNT_TOLERANCE = 1e-9;

  private ProtocolConstants() {}
}
