package fennelthread.constants;

/**
 * Constants of the client of the state service: its budget, timeouts and the sizes of values and
 * transactions; each with its unit and its reason.
 */
public final class StateConstants {
  /** Longest wait for the state service's answer, ms: occasionally it takes a few hundred. */
  public static final long STATE_TIMEOUT_MS = 1_000;

  /**
   * A request to the state service without an answer for so long is overdue, ms: as a rule it takes
   * 10, in slow spells a hundred or two.
   */
  public static final long STATE_OVERDUE_MS = 250;

  /**
   * An answer that a user waits for is asked for again after so long, ms: changes are in the copy
   * of the state by then, and some users count on an answer within 200.
   */
  public static final long ANSWER_OVERDUE_MS = 120;

  /** Answers are overdue after so many times what they took lately: a slow service is no loss. */
  public static final double STATE_OVERDUE_TYPICAL = 3;

  /** Weight of one more answer in what answers take as a rule. */
  public static final double STATE_TYPICAL_WEIGHT = 0.1;

  /** So many overdue requests, and no answer since they were sent, tell that nothing is served. */
  public static final int STATE_SILENT_REQUESTS = 2;

  /** Longest wait for a renewal, ms: short, since a fresh try may still save the lease. */
  public static final long RENEW_TIMEOUT_MS = 900;

  /** How long a watch is held open by the state service, ms: bounds what a lost answer costs. */
  public static final long WATCH_HOLD_MS = 5_000;

  /** Shortest time between two watch requests, ms: each counts against the request budget. */
  public static final long WATCH_GAP_MS = 80;

  /** How many state requests may wait for room in the budget: beyond that callers get 503. */
  public static final int STATE_QUEUE = 400;

  /**
   * Part of the state service's limits that one controller may use: any may have to lead, and those
   * that don't use far less. Together they may ask for too much for a moment, and then hold back.
   */
  public static final double STATE_RATE_SHARE = 0.5;

  /** Length of a burst within that part, s: the service allows one second's worth to all. */
  public static final double STATE_BURST_S = 0.5;

  /** Shortest pause before a request that the service was too busy for is sent again, ms. */
  public static final long STATE_BUSY_MS = 60;

  /** How often such a request is sent again: beyond that its sender would have waited too long. */
  public static final int STATE_TRIES_WHEN_BUSY = 3;

  /** Least burst, requests or changes: a small limit must still let one transaction through. */
  public static final double STATE_LEAST_BURST = 4;

  /** Part of the burst that each less urgent lane leaves to the more urgent ones. */
  public static final double STATE_SPARED_PER_LANE = 0.2;

  /** A round's record that has waited for so long goes before answers, ms: tasks wait for it. */
  public static final long STATE_ROUND_PATIENCE_MS = 250;

  /** The same of finished parts and removals, ms: what is not removed grows in every copy. */
  public static final long STATE_UPKEEP_PATIENCE_MS = 5_000;

  /** Longest time a user's request may wait for its turn at the state service, ms. */
  public static final long STATE_QUEUE_MS = 150;

  /** Most bytes a value may take beside its payload: key names and JSON punctuation. */
  public static final int VALUE_SLACK_BYTES = 256;

  /** Most bytes of all values in a transaction: the protocol's bound on bodies is 64 KiB. */
  public static final int TXN_BYTES = 48 * 1024;

  /**
   * Fewest changes that a transaction must be able to hold: a job moves from live to final in two.
   */
  public static final int LEAST_TXN_OPS = 2;

  /** Smallest value that we shrink to after a refusal, bytes: below that no job fits any more. */
  public static final int LEAST_VALUE_BYTES = 768;

  private StateConstants() {}
}
