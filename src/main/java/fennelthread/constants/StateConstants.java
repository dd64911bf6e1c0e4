package fennelthread.constants;

/**
 * Constants of the client of the state service: timeouts, rate limits and the sizes of values and
 * transactions; each with its unit and its reason.
 */
public final class StateConstants {
  /** Longest wait for an answer, ms: occasionally it takes a few hundred. */
  public static final long REQUEST_TIMEOUT_MS = 1_000;

  /**
   * A request without an answer for so long is evidence that the service does not respond, ms: as a
   * rule answers take 10, in slow spells a hundred or two.
   */
  public static final long REQUEST_OVERDUE_MS = 250;

  /** Number of overdue requests without any answer since that makes the service unresponsive. */
  public static final int UNRESPONSIVE_EVIDENCE = 2;

  /**
   * Shortest time after which a transaction without an answer counts as overdue, ms: its changes
   * are in the replica by then, and some users count on an answer within 200.
   */
  public static final long MIN_TXN_OVERDUE_MS = 120;

  /**
   * A transaction is overdue after this many times the average latency: a slow service has not lost
   * it.
   */
  public static final double TXN_OVERDUE_LATENCIES = 3;

  /** Weight of the newest answer in the moving average of latencies, from 0 to 1. */
  public static final double LATENCY_AVERAGE_WEIGHT = 0.1;

  /** Longest wait for the renewal of a lease, ms: short, since a retry may still save the lease. */
  public static final long LEASE_RENEWAL_TIMEOUT_MS = 900;

  /**
   * What stands for the HTTP status of a request without an answer: peers report it to one another.
   */
  public static final int NO_ANSWER_STATUS = 0;

  /** How long the service holds a watch open, ms: bounds what a lost answer costs. */
  public static final long WATCH_HOLD_MS = 5_000;

  /** Shortest time between two watch requests, ms: each counts against the rate limit. */
  public static final long MIN_WATCH_INTERVAL_MS = 80;

  /** Most requests queued in one priority lane: beyond that callers get 503. */
  public static final int MAX_QUEUED_REQUESTS = 400;

  /**
   * Part of the service's rate limits that one controller may use, from 0 to 1: any may have to
   * lead, and those that don't use far less. Together they may exceed the limits for a moment, and
   * then back off.
   */
  public static final double RATE_LIMIT_SHARE = 0.5;

  /** Length of a burst within that part, s: the service allows one second's worth to all. */
  public static final double BURST_S = 0.5;

  /** Smallest burst, requests or changes: a low limit must still let one transaction through. */
  public static final double MIN_BURST = 4;

  /** Part of the burst that each less urgent lane leaves to the more urgent ones, from 0 to 1. */
  public static final double BURST_RESERVE_PER_PRIORITY = 0.2;

  /** Shortest pause before a request that was rejected for the rate limit is repeated, ms. */
  public static final long RATE_LIMITED_RETRY_MS = 60;

  /** How often such a request is repeated: beyond that its sender would have waited too long. */
  public static final int RATE_LIMITED_RETRIES = 3;

  /** A start record that has waited for so long precedes users' requests, ms: tasks wait for it. */
  public static final long SCHEDULING_MAX_WAIT_MS = 250;

  /**
   * The same for requests of the lane for maintenance, ms: what is not removed grows in every
   * replica.
   */
  public static final long MAINTENANCE_MAX_WAIT_MS = 5_000;

  /** Longest time that a user's request may be queued for the rate limit, ms. */
  public static final long MAX_INTERACTIVE_WAIT_MS = 150;

  /** Most bytes of a value beside its payload: key names and JSON punctuation. */
  public static final int VALUE_OVERHEAD_BYTES = 256;

  /** Most bytes of all values in a transaction: the service takes bodies of up to 64 KiB. */
  public static final int MAX_TXN_BYTES = 48 * 1024;

  /** Conditions that a transaction may hold for each change that it may hold. */
  public static final int CONDITIONS_PER_CHANGE = 4;

  /** Fewest changes that a transaction must be able to hold: a job ends in two. */
  public static final int MIN_TXN_CHANGES = 2;

  /** Smallest limit on values after rejections, bytes: below that no job fits any more. */
  public static final int MIN_VALUE_BYTES = 768;

  /** Most items asked for in one page of a list: the protocol's bound is 1,000. */
  public static final int KEYS_PER_PAGE = 500;

  private StateConstants() {}
}
