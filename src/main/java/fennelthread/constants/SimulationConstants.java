package fennelthread.constants;

/** Constants of the simulation that the tests run on; each with its unit and its reason. */
public final class SimulationConstants {
  /**
   * Within which a job's first task begins, ms: the operators' bound, which the lab holds days to.
   */
  public static final long BEGUN_WITHIN_MS = 240_000;

  /**
   * Within which some question about a job is answered once nothing fails any more, ms, in the lab.
   */
  public static final long ANSWERED_WITHIN_MS = 10_000;

  /**
   * Within which a job that waits gets a free machine once nothing fails any more, ms: the
   * operators' bound, which the simulation checks.
   */
  public static final long STARTED_WITHIN_MS = 90_000;

  /** The largest jobs of a class, as a share of them, in the lab. */
  public static final double LARGEST_SHARE = 0.1;

  /** Within how long a burst of cancellations in a simulation comes, ms. */
  public static final int CANCEL_BURST_MS = 200;

  /** Most machines that hang with a burst of cancellations. */
  public static final int CANCEL_MOST_HANGING = 8;

  /** How far a cancellation at a job's end lies from it at the most, ms. */
  public static final int CANCEL_END_SPREAD_MS = 3;

  /** How often simulated users look whether a job of a pipeline got on, ms. */
  public static final int PIPELINE_LOOK_MS = 200;

  /** How many times they look. */
  public static final int PIPELINE_LOOKS = 3_000;

  /** Shortest time between two odd requests, ms. */
  public static final int ODD_PAUSE_LEAST_MS = 100;

  /** Longest time between two odd requests, ms. */
  public static final int ODD_PAUSE_MOST_MS = 600;

  /** How many jobs are looked at for one that an odd request fits. */
  public static final int ODD_TRIES = 20;

  /** An amount that no machine type has. */
  public static final double AMOUNT_TOO_LARGE = 1_000_000;

  /** By how much sums of amounts may be off in a simulation. */
  public static final double ROUNDING = 1e-6;

  /** Shortest time for which a command is held up, ms. */
  public static final long HELD_LEAST_MS = 2_000;

  /** Longest time for which a command is held up, ms. */
  public static final long HELD_MOST_MS = 16_000;

  /** Events within so long stand in slots of a millisecond; a power of two, ms. */
  public static final int EVENT_WINDOW_MS = 1 << 13;

  /** Least share of a class, a team or its largest jobs that has to be served. */
  public static final double SERVED_SHARE = 0.5;

  /** How long users wait for the answer to a submission or cancellation, ms. */
  public static final long SUBMIT_TIMEOUT_MS = 5_000;

  /** How long users wait for the answer to a question, ms. */
  public static final long QUESTION_TIMEOUT_MS = 2_000;

  /** When users try again, ms. */
  public static final long USER_RETRY_MS = 1_000;

  /** How many times users repeat a submission. */
  public static final int SUBMISSIONS = 40;

  /** Stands for a count that an answer lacks. */
  public static final long NO_COUNT = -1;

  private SimulationConstants() {}
}
