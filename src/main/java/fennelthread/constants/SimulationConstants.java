package fennelthread.constants;

/** Constants of the simulation that the tests run on; each with its unit and its reason. */
public final class SimulationConstants {
  /**
   * Within which a job's first task begins, ms: the operators' bound, which the lab holds days to.
   */
  public static final long MAX_FIRST_START_MS = 240_000;

  /**
   * Within which some question about a job is answered once nothing fails any more, ms, in the lab.
   */
  public static final long MAX_UNANSWERED_MS = 10_000;

  /**
   * Within which a job that waits gets a free machine once nothing fails any more, ms: the
   * operators' bound, which the simulation checks.
   */
  public static final long MAX_IDLE_CAPACITY_WAIT_MS = 90_000;

  /** The largest jobs of a class, as a share of them, in the lab. */
  public static final double LARGEST_JOBS_SHARE = 0.1;

  /** Within how long a burst of cancellations in a simulation comes, ms. */
  public static final int CANCEL_BURST_WINDOW_MS = 200;

  /** Most machines that hang with a burst of cancellations. */
  public static final int MAX_HANGING_MACHINES = 8;

  /** How far a cancellation at a job's end lies from it at the most, ms. */
  public static final int CANCEL_END_SPREAD_MS = 3;

  /** How often simulated users look whether a job of a pipeline got on, ms. */
  public static final int PIPELINE_POLL_INTERVAL_MS = 200;

  /** How many times they look. */
  public static final int MAX_PIPELINE_POLLS = 3_000;

  /** Shortest time between two odd requests, ms. */
  public static final int MIN_ODD_REQUEST_PAUSE_MS = 100;

  /** Longest time between two odd requests, ms. */
  public static final int MAX_ODD_REQUEST_PAUSE_MS = 600;

  /** How many jobs are looked at for one that an odd request fits. */
  public static final int MAX_ODD_REQUEST_TRIES = 20;

  /** An amount that no machine type has. */
  public static final double UNSATISFIABLE_AMOUNT = 1_000_000;

  /** By how much sums of amounts may be off in a simulation. */
  public static final double ROUNDING_TOLERANCE = 1e-6;

  /** Shortest time for which a command is held up, ms. */
  public static final long MIN_COMMAND_DELAY_MS = 2_000;

  /** Longest time for which a command is held up, ms. */
  public static final long MAX_COMMAND_DELAY_MS = 16_000;

  /** Events within so long stand in slots of a millisecond; a power of two, ms. */
  public static final int EVENT_WINDOW_MS = 1 << 13;

  /** Least share of a class, a team or its largest jobs that has to be served. */
  public static final double MIN_SERVED_SHARE = 0.5;

  /** How long users wait for the answer to a submission or cancellation, ms. */
  public static final long SUBMIT_TIMEOUT_MS = 5_000;

  /** How long users wait for the answer to a question, ms. */
  public static final long POLL_TIMEOUT_MS = 2_000;

  /** When users try again, ms. */
  public static final long USER_RETRY_DELAY_MS = 1_000;

  /** How many times users repeat a submission. */
  public static final int MAX_SUBMISSION_RETRIES = 40;

  /** Stands for a count that an answer lacks. */
  public static final long NO_COUNT = -1;

  private SimulationConstants() {}
}
