package fennelthread.constants;

/** The simulation that the tests run on: bounds of its checks, users and faults. */
public final class SimulationConstants {
  /**
   * Time within which a job's first task must start, ms: the operators' bound, checked over whole
   * simulated days.
   */
  public static final long MAX_FIRST_START_MS = 240_000;

  /** Time within which some question about a job must be answered once no fault is active, ms. */
  public static final long MAX_UNANSWERED_MS = 10_000;

  /**
   * Time within which a waiting job must get a free machine once no fault is active, ms: the
   * operators' bound.
   */
  public static final long MAX_IDLE_CAPACITY_WAIT_MS = 90_000;

  /** Share of the jobs of a class that count as its largest. */
  public static final double LARGEST_JOBS_SHARE = 0.1;

  /** Time over which a burst of cancellations is spread, ms. */
  public static final int CANCEL_BURST_WINDOW_MS = 200;

  /** Most machines that hang during a burst of cancellations. */
  public static final int MAX_HANGING_MACHINES = 8;

  /** Largest distance of a cancellation from the job end that it is aimed at, ms. */
  public static final int CANCEL_END_SPREAD_MS = 3;

  /** Interval at which simulated users check the progress of a pipeline's job, ms. */
  public static final int PIPELINE_POLL_INTERVAL_MS = 200;

  /** Most checks of one job's progress. */
  public static final int MAX_PIPELINE_POLLS = 3_000;

  /**
   * Shortest time between two unusual requests (repeated or invalid submissions, cancellations of
   * done jobs), ms.
   */
  public static final int MIN_ODD_REQUEST_PAUSE_MS = 100;

  /** Longest time between two unusual requests, ms. */
  public static final int MAX_ODD_REQUEST_PAUSE_MS = 600;

  /** Most tries at submitting an invalid job. */
  public static final int MAX_ODD_REQUEST_TRIES = 20;

  /** An amount of CPUs or memory that no machine type has. */
  public static final double UNSATISFIABLE_AMOUNT = 1_000_000;

  /** Tolerance in sums of amounts. */
  public static final double ROUNDING_TOLERANCE = 1e-6;

  /** Shortest delay of a command that the simulated network delays, ms. */
  public static final long MIN_COMMAND_DELAY_MS = 2_000;

  /** Longest delay of a command that the simulated network delays, ms. */
  public static final long MAX_COMMAND_DELAY_MS = 16_000;

  /** Length of the window whose events are kept in slots of one millisecond, ms; a power of two. */
  public static final int EVENT_WINDOW_MS = 1 << 13;

  /**
   * Least share of the requested work of a class, a team or its largest jobs that must be served.
   */
  public static final double MIN_SERVED_SHARE = 0.5;

  /** Timeout of a submission or cancellation, ms. */
  public static final long SUBMIT_TIMEOUT_MS = 5_000;

  /** Timeout of a question about a job, ms. */
  public static final long POLL_TIMEOUT_MS = 2_000;

  /** Delay before a user retries a request, ms. */
  public static final long USER_RETRY_DELAY_MS = 1_000;

  /** Most times that a user repeats a submission. */
  public static final int MAX_SUBMISSION_RETRIES = 40;

  /** Stands for a count that an answer lacks. */
  public static final long NO_COUNT = -1;

  private SimulationConstants() {}
}
