package fennelthread.constants;

/**
 * Constants of the fleet: commands to workers, probes, sessions and leases, boots, scaling out and
 * in; each with its unit and its reason.
 */
public final class FleetConstants {

  // ---------------------------------------------------------------- commands and probes

  /** Longest wait for a worker's answer to direct commands, ms. */
  public static final long COMMAND_TIMEOUT_MS = 2_500;

  /**
   * Delay before a worker that did not answer a probe is probed again, ms: it reports by itself
   * once it can, but that may take it longer than we wait before we return its machine.
   */
  public static final long PROBE_RETRY_DELAY_MS = 300;

  /**
   * Probes under way at once, as a share of the connections we may have: after a failover hundreds
   * of machines wait for one, and starts and stops need connections too.
   */
  public static final double PROBE_CONNECTION_SHARE = 0.5;

  /** Shortest time between two questions to a machine whether it was restarted, ms. */
  public static final long MIN_RESTART_QUERY_INTERVAL_MS = 2_000;

  /**
   * Starts that found no connection leave with the next report's answer if that arrives within so
   * many report intervals; then their tasks are tried elsewhere.
   */
  public static final double MAX_DEFERRAL_REPORT_INTERVALS = 1.5;

  /** Most starts in one answer to a report: keeps it below the bound on bodies; more come later. */
  public static final int MAX_STARTS_PER_ANSWER = 100;

  /** Clears that wait for a higher token are sent when there are so many of one machine. */
  public static final int CLEAR_BATCH_SIZE = 4;

  /**
   * Or when so large a share of a lease has passed since its token was last raised for clears:
   * workers take a higher token for a reason to report at once no more often than that.
   */
  public static final double CLEAR_INTERVAL_LEASE_SHARE = 0.5;

  /** A machine to which no connection could be opened gets no starts for this long, ms. */
  public static final long UNREACHABLE_PAUSE_MS = 3_000;

  /** Log lines about many machines are aggregated for so long, ms: one line, not hundreds. */
  public static final long LOG_AGGREGATION_MS = 1_000;

  /** Most machines that such a line names. */
  public static final int LOG_MAX_NAMES = 4;

  // ---------------------------------------------------------------- reports, sessions and leases

  /**
   * A report that arrives so many intervals after the one before it may mean that answers are lost.
   */
  public static final double LATE_REPORT_INTERVALS = 1.25;

  /** Added to that, ms: the network's delays and ours. */
  public static final long LATE_REPORT_SLACK_MS = 1_000;

  /** A worker silent for this many report intervals is probed. */
  public static final double OVERDUE_REPORT_INTERVALS = 1.4;

  /** Changes of a machine's session that are remembered. */
  public static final int SESSION_CHANGES_KEPT = 8;

  /** Number of leases over which they are counted. */
  public static final long SESSION_CHANGE_LEASES = 5;

  /** A machine with so many changes meanwhile, one of them within a lease, gets no tasks. */
  public static final int MIN_SESSION_CHANGES_UNREADY = 2;

  /** A machine with so many changes meanwhile is returned. */
  public static final int MIN_SESSION_CHANGES_TO_RETURN = 3;

  /**
   * A machine with tasks that is silent for this share of its lease, and does not answer probes
   * either, is returned: sooner might hit a machine that only stutters, later costs its replicas.
   */
  public static final double MAX_SILENCE_LEASE_SHARE = 0.4;

  /**
   * If more than this share of the machines is silent at once, none is returned for silence: then
   * the fault is probably ours. While most report, it is not, and work that is cut off with a fifth
   * of the fleet would wait for its workers' lease, counted from a failover in the worst case.
   */
  public static final double MAX_SILENT_SHARE = 0.4;

  /**
   * A machine that carries out commands but whose own reports don't arrive is returned after so
   * many leases: by then every lease that its last answered report renewed is over and proven so.
   */
  public static final double UNANSWERED_RETURN_LEASES = 2;

  /** A machine silent this long beyond its lease is returned, ms. */
  public static final long LOST_RETURN_DELAY_MS = 1_000;

  // ---------------------------------------------------------------- cordons

  /** Number of different jobs that must fail on a machine within the window to cordon it. */
  public static final int FAULTY_MACHINE_JOBS = 2;

  /** Number of tasks of one job that must fail on a machine that fails nothing else. */
  public static final int FAULTY_MACHINE_TASKS = 4;

  /**
   * A cordoned machine on which tasks still run is given tasks again when none has failed there for
   * so long, ms: it may have been the jobs' fault, and its capacity must not stay unused. An empty
   * one is returned at once.
   */
  public static final long CORDON_MS = 60_000;

  // ---------------------------------------------------------------- the cloud's interface

  /** Longest wait for the cloud's answer, ms. */
  public static final long CLOUD_TIMEOUT_MS = 5_000;

  /** Pause after the cloud has refused a request for load or trouble, ms. */
  public static final long CLOUD_BACKOFF_MS = 1_000;

  /** Interval at which the machine list is read, ms: far below the cloud's request limit. */
  public static final long LIST_INTERVAL_MS = 4_000;

  /** Interval at which types and prices are read, ms. */
  public static final long MACHINE_TYPES_INTERVAL_MS = 30_000;

  /** Delay before types and prices are read again after a failure, ms. */
  public static final long MACHINE_TYPES_RETRY_MS = 2_000;

  /** Delay before a rental request without a proper answer is repeated under its name, ms. */
  public static final long RENTAL_RETRY_MS = 1_500;

  /** Most repetitions of a rental request. */
  public static final int MAX_RENTAL_RETRIES = 5;

  /** First pause after a refusal for lack of capacity, per type, zone and kind, ms. */
  public static final long MIN_CAPACITY_BACKOFF_MS = 5_000;

  /** Longest pause after refusals for lack of capacity, ms. */
  public static final long MAX_CAPACITY_BACKOFF_MS = 40_000;

  /** Most machines in one rental request: the protocol's bound. */
  public static final int MAX_MACHINES_PER_RENTAL = 50;

  /** Most names in one return request: the protocol's bound. */
  public static final int MAX_MACHINES_PER_RETURN = 100;

  /** Time over which demand is remembered when deciding what to rent, ms. */
  public static final long DEMAND_WINDOW_MS = 180_000;

  /** Shortest time between two remembered values of demand, ms. */
  public static final long DEMAND_SAMPLE_MS = 1_000;

  // ---------------------------------------------------------------- boots

  /** A machine not up after this many times its nominal boot time is returned. */
  public static final double BOOT_TIMEOUT_FACTOR = 5;

  /** Added to that timeout, s. */
  public static final double BOOT_TIMEOUT_SLACK_S = 20;

  /**
   * Least such timeout, s: now and then none of the new machines comes up for two minutes, then
   * all.
   */
  public static final double MIN_BOOT_TIMEOUT_S = 150;

  /** Taken for the boot time of a type that is not known, s. */
  public static final double DEFAULT_BOOT_S = 60;

  /** Boots of a type that are remembered. */
  public static final int BOOT_SAMPLES = 32;

  /** Quantile of remembered boots taken for what a boot takes: the rest may be slow by chance. */
  public static final double BOOT_QUANTILE = 0.875;

  /** A boot is late after so many times its nominal time: the cloud says 1.5 at most as a rule. */
  public static final double LATE_BOOT_NOMINAL_FACTOR = 1.6;

  /** And after so many times the quantile of its type's remembered boots. */
  public static final double LATE_BOOT_OBSERVED_FACTOR = 1.3;

  /** A late machine may be returned early from so many times its nominal boot time on. */
  public static final double STUCK_BOOT_NOMINAL_FACTOR = 2;

  /** If so many of its type that were requested with it or later are up. */
  public static final int STUCK_BOOT_OVERTAKERS = 3;

  /** The same if the cloud has no other for us: then it takes the place of one that would boot. */
  public static final int STUCK_BOOT_OVERTAKERS_SCARCE = 1;

  /**
   * Late machines are not replaced if they are more than this share of what boots: then all are
   * late.
   */
  public static final double MAX_LATE_BOOT_SHARE = 0.5;

  /** Least time that a machine which a predecessor rented has to report to us, in leases. */
  public static final double MIN_REPORT_WAIT_LEASES = 1;

  private FleetConstants() {}
}
