package fennelthread.constants;

/** Constants of the command {@code emulate}; each with its unit and its reason. */
public final class EmulationConstants {
  /** Buffer that an event loop reads into, bytes: a whole report of a full machine. */
  public static final int READ_BUFFER_BYTES = 64 * 1024;

  /** Longest time that an event loop waits for something to happen, ms. */
  public static final long MAX_SELECT_WAIT_MS = 100;

  /** Blocks of loopback addresses that are tried before a run gives up, times. */
  public static final int MAX_ADDRESS_BLOCK_TRIES = 50;

  /** The port that all emulated machines listen on: below the range that systems hand out. */
  public static final int WORKER_PORT = 19_000;

  /** The port that emulated controllers serve users and workers on. */
  public static final int API_PORT = 18_080;

  /** The port that emulated controllers serve one another on. */
  public static final int PEER_PORT = 18_081;

  /** The port of the emulated state service. */
  public static final int STATE_PORT = 18_379;

  /** The port of the emulated cloud. */
  public static final int CLOUD_PORT = 18_443;

  /** Conditions that a transaction may hold for each put or delete: the protocol's bound. */
  public static final int CONDITIONS_PER_OPERATION = 4;

  /** Changes that the state service remembers at least: the protocol's number. */
  public static final int MIN_CHANGES_KEPT = 10_000;

  /** Most bytes of a page of keys: the protocol's bound. */
  public static final long MAX_PAGE_BYTES = 512 * 1024;

  /** How often the state service looks for leases that have ended, ms: they may end 100 ms late. */
  public static final long LEASE_CHECK_INTERVAL_MS = 20;

  /** How often the cloud's list is drawn up, ms. */
  public static final long LIST_SNAPSHOT_INTERVAL_MS = 500;

  /** How long a machine that died goes on being listed as running, ms: the protocol's time. */
  public static final long FAILURE_LISTING_DELAY_MS = 30_000;

  /** Slack in sums of CPUs and memory: binary fractions don't add up exactly. */
  public static final double ROUNDING_TOLERANCE = 1e-6;

  /** Shortest time between two reports of a worker, ms: the protocol's bound. */
  public static final long MIN_REPORT_GAP_MS = 500;

  /** How long a worker waits for the answer to a report, ms: the protocol's time. */
  public static final long REPORT_TIMEOUT_MS = 4_000;

  /** Most of the pause before a worker follows a redirect, ms: the protocol's bound. */
  public static final int MAX_REDIRECT_PAUSE_MS = 500;

  /** Pause before the next controller is tried, ms: the protocol's time. */
  public static final long NEXT_CONTROLLER_PAUSE_MS = 1_000;

  /** How often a source of events says up to when it has told all, ms. */
  public static final long WATERMARK_INTERVAL_MS = 100;

  /** How often counters are read, ms. */
  public static final long SAMPLE_INTERVAL_MS = 500;

  /** How often events are brought into order and conditions are looked at, ms. */
  public static final long DRAIN_INTERVAL_MS = 50;

  /** Broken rules that a report lists, the first ones. */
  public static final int MAX_VIOLATIONS_LISTED = 50;

  /** Tasks of a cancelled job that a report names. */
  public static final int MAX_TASKS_NAMED = 3;

  /** Others count as answered if one was within this time, ms. */
  public static final long RECENT_ANSWER_MS = 5_000;

  /** A job counts as forgotten if no question is answered for so long, ms: the protocol's time. */
  public static final long MAX_UNANSWERED_MS = 90_000;

  /** Longest time that a histogram tells apart, microseconds: an hour. */
  public static final long MAX_HISTOGRAM_US = 3_600_000_000L;

  /** Decimal digits that a histogram keeps of a time. */
  public static final int HISTOGRAM_DIGITS = 3;

  /** Health checks in a row that make a controller healthy: the protocol's number. */
  public static final int HEALTHY_THRESHOLD = 2;

  /** Failed health checks in a row that make it unhealthy: the protocol's number. */
  public static final int UNHEALTHY_THRESHOLD = 2;

  /** How often controllers' health is checked, ms, and how long an answer may take. */
  public static final long HEALTH_CHECK_INTERVAL_MS = 1_000;

  /** Connections to a controller that users keep for later requests. */
  public static final int MAX_IDLE_CONNECTIONS = 50;

  /** How often new jobs are drawn, ms. */
  public static final long ARRIVAL_INTERVAL_MS = 20;

  /** How often somebody asks about a job that was never submitted, ms. */
  public static final long UNKNOWN_JOB_INTERVAL_MS = 1_000;

  /** How long a user waits for the answer to a submission, ms: the protocol's time. */
  public static final long SUBMIT_TIMEOUT_MS = 5_000;

  /** How long a user goes on submitting a job, ms: the protocol's time. */
  public static final long MAX_SUBMITTING_MS = 60_000;

  /** Longest pause that a user lets a controller impose, s: the protocol's bound. */
  public static final long MAX_RETRY_AFTER_S = 30;

  /** How often a user asks about a job, ms: the protocol's time. */
  public static final long POLL_INTERVAL_MS = 5_000;

  /** How often a user asks about a job that is over, ms: its answer may never change. */
  public static final long ENDED_POLL_INTERVAL_MS = 60_000;

  /** How long a user waits for the answer to a question, ms: the protocol's time. */
  public static final long POLL_TIMEOUT_MS = 2_000;

  /** Questions a second about all accepted jobs at the end of a run. */
  public static final int FINAL_POLLS_PER_S = 500;

  /** How long those may take beyond that, ms. */
  public static final long FINAL_POLL_SLACK_MS = 10_000;

  /** How long events may be under way at the end of a run, ms. */
  public static final long SETTLE_MS = 500;

  /** How long controllers and workers may take to come up, ms: builds may share the machine. */
  public static final long STARTUP_TIMEOUT_MS = 60_000;

  /** How long an interrupted run may take for its report, s. */
  public static final long REPORT_TIMEOUT_S = 20;

  /** Clock ticks a second in which the system counts processor time. */
  public static final double CLOCK_TICKS_PER_S = 100;

  /** Size of a page of memory, bytes. */
  public static final long PAGE_BYTES = 4_096;

  /** What a JVM takes beside its heap, MB. */
  public static final long JVM_OVERHEAD_MB = 80;

  /** Heap that state service, cloud, users and the checker take, MB. */
  public static final long BASE_HEAP_MB = 256;

  /** The same for each emulated machine, MB: the history of its tasks over some minutes. */
  public static final double HEAP_PER_MACHINE_MB = 0.2;

  /** Most processes of a run. */
  public static final int MAX_PROCESSES = 200;

  /** Sockets for each machine: it listens, reports, and is sent commands by one controller. */
  public static final long SOCKETS_PER_MACHINE = 3;

  /** Width of a plot, pixels. */
  public static final int PLOT_WIDTH = 600;

  /** Height of a plot, pixels. */
  public static final int PLOT_HEIGHT = 260;

  /** Most machines in one page of the emulated cloud's list; clients ask for as many. */
  public static final int MAX_MACHINES_PER_PAGE = 500;

  private EmulationConstants() {}
}
