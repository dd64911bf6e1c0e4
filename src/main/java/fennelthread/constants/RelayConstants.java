package fennelthread.constants;

/** Reports and commands that are relayed by peers, and detection of unreachable workers. */
public final class RelayConstants {
  /**
   * Report intervals after which a silent worker gets no new tasks until it is heard from again,
   * and a relay is no longer used for it.
   */
  public static final double MAX_MISSED_REPORTS = 2.5;

  /**
   * Most workers that a controller keeps data of: bounds memory far above the size of any fleet.
   */
  public static final int MAX_KNOWN_WORKERS = 20_000;

  /** Interval at which a controller checks its own state and its peers', ms. */
  public static final long CHECK_INTERVAL_MS = 500;

  /**
   * Number of reports that must be missing before a leader concludes that workers can't reach it:
   * fewer may be missing by chance.
   */
  public static final double MIN_MISSING_REPORTS = 30;

  /**
   * Least silence before that conclusion, ms: brief congestion delays hundreds of reports at once.
   */
  public static final long MIN_UNREACHABLE_SILENCE_MS = 1_000;

  /**
   * Report intervals of silence after which a leader concludes the same in a fleet with too few
   * workers to miss that many reports: each worker reports within 1.25 intervals.
   */
  public static final double UNREACHABLE_REPORT_INTERVALS = 1.6;

  /** Least number of workers whose silence proves anything: fewer may have failed together. */
  public static final int MIN_SILENT_WORKERS = 3;

  /**
   * Time for which a leader that workers can't reach ignores direct answers to its probes, ms;
   * doubled when it recurs.
   */
  public static final long MIN_DISTRUST_MS = 1_000;

  /** Longest such time, ms. */
  public static final long MAX_DISTRUST_MS = 30_000;

  /**
   * If workers become unreachable again within this time after they were reachable, that time
   * doubles, ms.
   */
  public static final long RECURRENCE_WINDOW_MS = 15_000;

  /** Timeout of a report relayed to the leader, ms: the worker waits 4 s. */
  public static final long RELAY_TIMEOUT_MS = 1_200;

  /** Time without an answer after which a probe of a worker is also sent through a peer, ms. */
  public static final long HEDGE_DELAY_MS = 300;

  /** Added to the timeout of a command that a peer relays, ms. */
  public static final long RELAY_HOP_MS = 400;

  /**
   * Most relayed reports in flight to the leader: beyond that workers are sent to the next
   * controller.
   */
  public static final int MAX_RELAYS_IN_FLIGHT = 400;

  /** Number of reports in a row without an answer of the leader after which relaying is paused. */
  public static final int MAX_UNANSWERED_RELAYS = 8;

  /** Duration of that pause, ms. */
  public static final long RELAY_PAUSE_MS = 1_500;

  /**
   * Time for which a worker's reports are relayed before it is first redirected to the leader
   * again, ms; doubled each time.
   */
  public static final long MIN_RELAY_PERIOD_MS = 12_000;

  /** Longest such time, ms. */
  public static final long MAX_RELAY_PERIOD_MS = 60_000;

  /**
   * Time after the start of a term from which a worker that holds a fencing token of the term
   * counts as having reported to its leader, ms; earlier the token may come from a probe.
   */
  public static final long TERM_SETTLING_MS = 10_000;

  /**
   * Time for which a report of a worker of an unreachable leader, or a peer's notice of such a
   * leader, counts, ms.
   */
  public static final long NOTICE_VALIDITY_MS = 4_000;

  /**
   * Shortest time between two writes of such a notice, ms: each counts against the state service's
   * limit on changes.
   */
  public static final long MIN_NOTICE_INTERVAL_MS = 2_000;

  /** Least number of workers that must have reported here for a notice to be written. */
  public static final int MIN_NOTICE_WORKERS = 2;

  /** Least share of the known workers that must have reported here for a notice to be written. */
  public static final double MIN_NOTICE_WORKER_SHARE = 0.05;

  private RelayConstants() {}
}
