package fennelthread.constants;

/** Constants of reports and commands that pass through peers; each with its unit and its reason. */
public final class RelayConstants {
  /** A worker that missed this many reports gets no new tasks until it is heard again. */
  public static final double MAX_MISSED_REPORTS = 2.5;

  /** Most workers' addresses that a controller keeps: bounds memory far above any fleet. */
  public static final int MAX_KNOWN_WORKERS = 20_000;

  /** How often a controller looks at its own state and its peers', ms. */
  public static final long CHECK_INTERVAL_MS = 500;

  /** Reports that must be missing before a leader takes itself for deaf: chance misses a few. */
  public static final double MIN_MISSING_REPORTS = 30;

  /** Least silence before that, ms: a moment's congestion delays hundreds of reports at once. */
  public static final long MIN_UNREACHABLE_SILENCE_MS = 1_000;

  /** With fewer workers, it is deaf after so many report intervals: each reports within 1.25. */
  public static final double UNREACHABLE_REPORT_INTERVALS = 1.6;

  /** Fewer silent workers than this prove nothing: they may have failed together. */
  public static final int MIN_SILENT_WORKERS = 3;

  /** How long a leader that took itself for deaf does not trust a worker's direct answer, ms. */
  public static final long MIN_DISTRUST_MS = 1_000;

  /** Longest such time, ms. */
  public static final long MAX_DISTRUST_MS = 30_000;

  /** Deaf again within this time, the leader trusts direct answers twice as late, ms. */
  public static final long RECURRENCE_WINDOW_MS = 15_000;

  /** Longest wait for the leader's answer to a report that is passed on, ms: workers wait 4 s. */
  public static final long RELAY_TIMEOUT_MS = 1_200;

  /** A worker that has not answered a question in this time is asked through a peer too, ms. */
  public static final long HEDGE_DELAY_MS = 300;

  /** Added to a command's time when a peer passes it on, ms. */
  public static final long RELAY_HOP_MS = 400;

  /** Reports under way to the leader at once: beyond that workers try the next controller. */
  public static final int MAX_RELAYS_IN_FLIGHT = 400;

  /**
   * After so many reports in a row that the leader did not answer, none is passed on for a while.
   */
  public static final int MAX_UNANSWERED_RELAYS = 8;

  /** How long, ms. */
  public static final long RELAY_PAUSE_MS = 1_500;

  /** How long a worker's reports are passed on before it is sent to the leader again, ms. */
  public static final long MIN_RELAY_HOLD_MS = 12_000;

  /** Longest such time, ms. */
  public static final long MAX_RELAY_HOLD_MS = 60_000;

  /** After so long in a term, whoever obeys its leader has also reported to it, ms. */
  public static final long TERM_SETTLING_MS = 10_000;

  /** How long it counts that a worker came here, or that a peer said so, ms. */
  public static final long NOTICE_VALIDITY_MS = 4_000;

  /** Shortest time between two such words through the state service, ms: each is a change. */
  public static final long MIN_NOTICE_INTERVAL_MS = 2_000;

  /** Fewest workers that it takes. */
  public static final int MIN_NOTICE_WORKERS = 2;

  /** Part of the known workers that it takes. */
  public static final double MIN_NOTICE_WORKER_SHARE = 0.05;

  private RelayConstants() {}
}
