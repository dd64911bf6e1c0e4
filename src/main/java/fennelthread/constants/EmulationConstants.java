package fennelthread.constants;

/** The command {@code emulate}: addresses, protocol limits, intervals and resource estimates. */
public final class EmulationConstants {
  /** Size of an event loop's read buffer, bytes: holds the whole report of a full machine. */
  public static final int READ_BUFFER_BYTES = 64 * 1024;

  /** Longest time that an event loop waits for an event, ms. */
  public static final long MAX_SELECT_WAIT_MS = 100;

  /** Number of blocks of loopback addresses that are tried before a run fails. */
  public static final int MAX_ADDRESS_BLOCK_TRIES = 50;

  /** The port of all emulated machines: below the ephemeral port range. */
  public static final int WORKER_PORT = 19_000;

  /** Longest run, and latest moment of one that a configuration may name, s. */
  public static final int MAX_RUN_S = 86_400;

  /** Most task starts a second that a configuration may ask for. */
  public static final double MAX_STARTS_PER_S = 10_000_000;

  /** Most jobs that a job may wait for in a configuration. */
  public static final int MAX_NAMED_JOBS = 1_100;

  /** The port on which emulated controllers serve users and workers. */
  public static final int API_PORT = 18_080;

  /** The port on which emulated controllers serve one another. */
  public static final int PEER_PORT = 18_081;

  /** The port of the emulated state service. */
  public static final int STATE_PORT = 18_379;

  /** The port of the emulated cloud. */
  public static final int CLOUD_PORT = 18_443;

  /** Most conditions in a transaction for each operation that it may hold: the protocol's bound. */
  public static final int CONDITIONS_PER_OPERATION = 4;

  /**
   * Least number of past changes that the state service keeps for watches: the protocol's number.
   */
  public static final int MIN_CHANGES_KEPT = 10_000;

  /** Size from which a page of keys is cut off, bytes: the protocol's bound. */
  public static final long MAX_PAGE_BYTES = 512 * 1024;

  /** Interval at which the state service expires leases, ms; they may expire up to 100 ms late. */
  public static final long LEASE_CHECK_INTERVAL_MS = 20;

  /** Interval at which the cloud takes a snapshot of its machine list, ms. */
  public static final long LIST_SNAPSHOT_INTERVAL_MS = 500;

  /** Time for which a machine that died is still listed as running, ms: the protocol's time. */
  public static final long FAILURE_LISTING_DELAY_MS = 30_000;

  /** Tolerance in sums of CPUs and memory: binary fractions don't add up exactly. */
  public static final double ROUNDING_TOLERANCE = 1e-6;

  /** Shortest time between two reports of a worker, ms: the protocol's bound. */
  public static final long MIN_REPORT_GAP_MS = 500;

  /** Timeout of a worker's report, ms: the protocol's time. */
  public static final long REPORT_TIMEOUT_MS = 4_000;

  /** Longest random pause before a worker follows a redirect, ms: the protocol's bound. */
  public static final int MAX_REDIRECT_PAUSE_MS = 500;

  /** Pause before the next controller is tried, ms: the protocol's time. */
  public static final long NEXT_CONTROLLER_PAUSE_MS = 1_000;

  /**
   * Interval at which a source of events sends its watermark, up to which its events are complete,
   * ms.
   */
  public static final long WATERMARK_INTERVAL_MS = 100;

  /** Interval at which counters are sampled, ms. */
  public static final long SAMPLE_INTERVAL_MS = 500;

  /** Interval at which events are merged in order, and awaited conditions are checked, ms. */
  public static final long DRAIN_INTERVAL_MS = 50;

  /** Most violations that a report lists: the first ones. */
  public static final int MAX_VIOLATIONS_LISTED = 50;

  /** Most tasks of a cancelled job that a report names. */
  public static final int MAX_TASKS_NAMED = 3;

  /** Users' questions count as being answered if one of them got an answer within this time, ms. */
  public static final long RECENT_ANSWER_MS = 5_000;

  /**
   * A job counts as forgotten if no question about it is answered for this long, ms: the protocol's
   * time.
   */
  public static final long MAX_UNANSWERED_MS = 90_000;

  /** Largest value of a histogram, microseconds: an hour. */
  public static final long MAX_HISTOGRAM_US = 3_600_000_000L;

  /** Significant decimal digits of a histogram's values. */
  public static final int HISTOGRAM_DIGITS = 3;

  /** Successful health checks in a row that make a controller healthy: the protocol's number. */
  public static final int HEALTHY_THRESHOLD = 2;

  /** Failed health checks in a row that make a controller unhealthy: the protocol's number. */
  public static final int UNHEALTHY_THRESHOLD = 2;

  /** Interval of the health checks of controllers, and their timeout, ms. */
  public static final long HEALTH_CHECK_INTERVAL_MS = 1_000;

  /** Most idle connections to a controller that users keep for later requests. */
  public static final int MAX_IDLE_CONNECTIONS = 50;

  /** Interval at which arriving jobs are generated, ms. */
  public static final long ARRIVAL_INTERVAL_MS = 20;

  /** Interval of questions about jobs that were never submitted, ms. */
  public static final long UNKNOWN_JOB_INTERVAL_MS = 1_000;

  /** Timeout of a submission or cancellation, ms: the protocol's time. */
  public static final long SUBMIT_TIMEOUT_MS = 5_000;

  /** Time after which a user gives up submitting a job, ms: the protocol's time. */
  public static final long MAX_SUBMITTING_MS = 60_000;

  /** Longest pause that a user accepts from a controller, s: the protocol's bound. */
  public static final long MAX_RETRY_AFTER_S = 30;

  /** Interval at which a user asks about a job, ms: the protocol's time. */
  public static final long POLL_INTERVAL_MS = 5_000;

  /**
   * Interval at which a user asks about a job that has ended, ms: its answer must not change any
   * more.
   */
  public static final long ENDED_POLL_INTERVAL_MS = 60_000;

  /** Timeout of a question about a job, ms: the protocol's time. */
  public static final long POLL_TIMEOUT_MS = 2_000;

  /** Rate of the questions about all accepted jobs at the end of a run, per second. */
  public static final int FINAL_POLLS_PER_S = 500;

  /** Time allowed for these questions in addition to what they take at this rate, ms. */
  public static final long FINAL_POLL_SLACK_MS = 10_000;

  /** Time for events in flight to arrive at the end of a run, ms. */
  public static final long SETTLE_MS = 500;

  /**
   * Time that controllers and workers may take to come up beyond the boot time, ms: builds may run
   * on the same machine.
   */
  public static final long STARTUP_TIMEOUT_MS = 60_000;

  /** Longest time that an interrupted run may take to write the report of the run, s. */
  public static final long RUN_REPORT_TIMEOUT_S = 20;

  /** Clock ticks per second in which Linux counts processor time. */
  public static final double CLOCK_TICKS_PER_S = 100;

  /** Size of a page of memory, bytes. */
  public static final long PAGE_BYTES = 4_096;

  /** Memory that a JVM takes beside its heap, MB. */
  public static final long JVM_OVERHEAD_MB = 80;

  /** Heap of the state service, the cloud, the users and the checker without machines, MB. */
  public static final long BASE_HEAP_MB = 256;

  /** Additional heap for each emulated machine, MB: the history of its tasks over some minutes. */
  public static final double HEAP_PER_MACHINE_MB = 0.2;

  /** Most processes of a run. */
  public static final int MAX_PROCESSES = 200;

  /** Sockets for each machine: it listens, reports, and receives commands from one controller. */
  public static final long SOCKETS_PER_MACHINE = 3;

  /** Width of a plot, pixels. */
  public static final int PLOT_WIDTH = 600;

  /** Height of a plot, pixels. */
  public static final int PLOT_HEIGHT = 260;

  /** Most machines in one page of the emulated cloud's list: as many as clients ask for. */
  public static final int MAX_MACHINES_PER_PAGE = 500;

  private EmulationConstants() {}
}
