package fennelthread.constants;

/**
 * The client of the state service: timeouts, rate limits and the sizes of values and transactions.
 */
public final class StateConstants {
  /** Timeout of a request, ms: occasionally an answer takes a few hundred. */
  public static final long REQUEST_TIMEOUT_MS = 1_000;

  /**
   * Time after which an unanswered request is evidence that the service does not respond, ms:
   * answers take about 10, and 100 to 200 while the service is slow.
   */
  public static final long REQUEST_OVERDUE_MS = 250;

  /**
   * Number of overdue requests, with no answer since, after which the service counts as
   * unresponsive.
   */
  public static final int MIN_OVERDUE_UNRESPONSIVE = 2;

  /**
   * Shortest time after which an unanswered transaction counts as overdue, ms: by then its changes
   * are in the replica, and some users expect an answer within 200.
   */
  public static final long MIN_TXN_OVERDUE_MS = 120;

  /**
   * A transaction is overdue after this many times the average latency: a slow service has not lost
   * it.
   */
  public static final double TXN_OVERDUE_LATENCIES = 3;

  /** Weight of the newest answer in the moving average of latencies, from 0 to 1. */
  public static final double LATENCY_AVERAGE_WEIGHT = 0.1;

  /** Timeout of the renewal of a lease, ms: short, since a retry may still save the lease. */
  public static final long LEASE_RENEWAL_TIMEOUT_MS = 900;

  /**
   * Stands for the HTTP status of a request without an answer; it is part of messages between
   * peers.
   */
  public static final int NO_ANSWER_STATUS = 0;

  /**
   * Time for which the service holds a watch open, ms: bounds the delay that a lost answer causes.
   */
  public static final long WATCH_HOLD_MS = 5_000;

  /** Shortest time between two watch requests, ms: each counts against the rate limit. */
  public static final long MIN_WATCH_INTERVAL_MS = 80;

  /** Most requests queued in one priority lane: beyond that callers get 503. */
  public static final int MAX_QUEUED_REQUESTS = 400;

  /**
   * Share of the service's rate limits that one controller may use, from 0 to 1: any of them may
   * have to lead, and followers use far less. Together they may briefly exceed the limits; they
   * then back off.
   */
  public static final double RATE_LIMIT_SHARE = 0.5;

  /** Length of a burst within that share, s: the service allows one second's worth to all. */
  public static final double BURST_S = 0.5;

  /** Smallest burst, requests or changes: a low limit must still let one transaction through. */
  public static final double MIN_BURST = 4;

  /** Share of the burst that each less urgent lane leaves to the more urgent ones, from 0 to 1. */
  public static final double BURST_RESERVE_PER_PRIORITY = 0.2;

  /** Shortest delay before a request that was rejected for the rate limit is retried, ms. */
  public static final long RATE_LIMITED_RETRY_MS = 60;

  /** Most retries of such a request: after more its sender would have waited too long. */
  public static final int RATE_LIMITED_RETRIES = 3;

  /** Queueing time after which a start record precedes users' requests, ms: tasks wait for it. */
  public static final long SCHEDULING_MAX_WAIT_MS = 250;

  /**
   * The same for requests of the maintenance lane, ms: records that are not removed accumulate in
   * every replica.
   */
  public static final long MAINTENANCE_MAX_WAIT_MS = 5_000;

  /** Longest time for which a user's request may be queued for the rate limit, ms. */
  public static final long MAX_INTERACTIVE_WAIT_MS = 150;

  /** Most bytes of a value beside its payload: key names and JSON punctuation. */
  public static final int VALUE_OVERHEAD_BYTES = 256;

  /** Most bytes of all values in a transaction: the service takes bodies of up to 64 KiB. */
  public static final int MAX_TXN_BYTES = 48 * 1024;

  /** Most conditions in a transaction for each change that it may hold. */
  public static final int CONDITIONS_PER_CHANGE = 4;

  /** Fewest changes that a transaction must be able to hold: a job ends in two. */
  public static final int MIN_TXN_CHANGES = 2;

  /** Smallest limit on values after rejections, bytes: with less no job would fit. */
  public static final int MIN_VALUE_BYTES = 768;

  /** Most items asked for in one page of a list: the protocol's bound is 1,000. */
  public static final int KEYS_PER_PAGE = 500;

  private StateConstants() {}
}
