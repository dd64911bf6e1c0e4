package fennelthread.constants;

/** The fleet: commands to workers, probes, sessions and leases, boots, scaling out and in. */
public final class FleetConstants {

  // ---------------------------------------------------------------- commands and probes

  /** Timeout of direct commands to a worker, ms. */
  public static final long COMMAND_TIMEOUT_MS = 2_500;

  /**
   * Delay before a worker that did not answer a probe is probed again, ms: it reports by itself
   * once it can, but possibly only after its machine would have been returned.
   */
  public static final long PROBE_RETRY_DELAY_MS = 300;

  /**
   * Probes in flight at once, as a share of the allowed outbound connections: after a failover
   * hundreds of machines await a probe, and starts and stops need connections too.
   */
  public static final double PROBE_CONNECTION_SHARE = 0.5;

  /** Shortest time between two queries of a machine whether it was restarted, ms. */
  public static final long MIN_RESTART_QUERY_INTERVAL_MS = 2_000;

  /**
   * Starts are sent in the answer to the next report if it arrives within this many report
   * intervals; after that their tasks are placed elsewhere.
   */
  public static final double MAX_START_WAIT_REPORT_INTERVALS = 1.5;

  /**
   * Added to the time within which a worker that was asked for a report must have sent it, ms: it
   * may be busy, and timers have a resolution.
   */
  public static final long EARLY_REPORT_MARGIN_MS = 300;

  /**
   * Most starts in one answer to a report: keeps it below the bound on bodies; the rest is sent
   * later.
   */
  public static final int MAX_STARTS_PER_ANSWER = 100;

  /** Time for which a machine gets no starts after a connection to it could not be opened, ms. */
  public static final long UNREACHABLE_PAUSE_MS = 3_000;

  /**
   * Period over which log lines about many machines are aggregated, ms: one line instead of
   * hundreds.
   */
  public static final long LOG_AGGREGATION_MS = 1_000;

  /** Most machines that such a line names. */
  public static final int LOG_MAX_NAMES = 4;

  // ---------------------------------------------------------------- reports, sessions and leases

  /**
   * A report that arrives this many intervals after the previous one may mean that answers are
   * lost.
   */
  public static final double LATE_REPORT_INTERVALS = 1.25;

  /** Added to that, ms: delays of the network and of the controller. */
  public static final long LATE_REPORT_SLACK_MS = 1_000;

  /** Report intervals of silence after which a worker is probed. */
  public static final double OVERDUE_REPORT_INTERVALS = 1.4;

  /** Number of session changes of a machine that are remembered. */
  public static final int SESSION_CHANGES_KEPT = 8;

  /** Number of leases over which session changes are counted. */
  public static final long SESSION_CHANGE_LEASES = 5;

  /**
   * A machine with this many session changes in that time, one of them within a lease, gets no
   * tasks.
   */
  public static final int MIN_SESSION_CHANGES_UNREADY = 2;

  /** A machine with this many session changes in that time is returned. */
  public static final int MIN_SESSION_CHANGES_TO_RETURN = 3;

  /**
   * Share of its lease for which a machine with tasks may be silent, and not answer probes, before
   * it is returned: a shorter time may hit a machine that only pauses, a longer one keeps its
   * replicas down.
   */
  public static final double MAX_SILENCE_LEASE_SHARE = 0.4;

  /**
   * No machine is returned for silence or unanswered reports while more than this share is affected
   * at once: the fault is then probably on the controller's side. The share is not lower because
   * tasks on a fifth of the fleet that is cut off would then wait until their workers' leases
   * expire, in the worst case counted from a failover.
   */
  public static final double MAX_SILENT_SHARE = 0.4;

  /**
   * Time, in leases, after which an empty machine that executes commands but whose own reports are
   * not answered is returned: by then every lease that its last answered report renewed is known to
   * have expired.
   */
  public static final double UNANSWERED_RETURN_LEASES = 2;

  /** Time beyond its lease after which a silent machine is returned, ms. */
  public static final long LOST_RETURN_DELAY_MS = 1_000;

  // ---------------------------------------------------------------- cordons

  /**
   * Number of different jobs that must fail on a machine within the failure window to cordon it.
   */
  public static final int FAULTY_MACHINE_JOBS = 2;

  /**
   * Number of tasks of one job that must fail on a machine, with no other job failing there, to
   * cordon it.
   */
  public static final int FAULTY_MACHINE_TASKS = 4;

  /**
   * Time without failures after which a cordoned machine with running tasks gets new tasks again,
   * ms: the jobs may have been at fault, and its capacity must not stay unused. An empty cordoned
   * machine is returned at once.
   */
  public static final long CORDON_MS = 60_000;

  // ---------------------------------------------------------------- the cloud's interface

  /** Timeout of a request to the cloud, ms. */
  public static final long CLOUD_TIMEOUT_MS = 5_000;

  /** Pause after the cloud has refused a request because of load or an internal error, ms. */
  public static final long CLOUD_BACKOFF_MS = 1_000;

  /** Interval at which the machine list is read, ms: far below the cloud's rate limit. */
  public static final long LIST_INTERVAL_MS = 4_000;

  /** Interval at which machine types and prices are read, ms. */
  public static final long MACHINE_TYPES_INTERVAL_MS = 30_000;

  /** Delay before machine types and prices are read again after a failure, ms. */
  public static final long MACHINE_TYPES_RETRY_MS = 2_000;

  /** Delay before a rental request without a valid answer is repeated under the same name, ms. */
  public static final long RENTAL_RETRY_MS = 1_500;

  /** Most repetitions of a rental request. */
  public static final int MAX_RENTAL_RETRIES = 5;

  /** First backoff after a refusal for lack of capacity, per type, zone and kind, ms. */
  public static final long MIN_CAPACITY_BACKOFF_MS = 5_000;

  /** Longest backoff after refusals for lack of capacity, ms. */
  public static final long MAX_CAPACITY_BACKOFF_MS = 40_000;

  /** Most machines in one rental request: the protocol's bound. */
  public static final int MAX_MACHINES_PER_RENTAL = 50;

  /** Most names in one return request: the protocol's bound. */
  public static final int MAX_MACHINES_PER_RETURN = 100;

  /** Period over which past demand is considered when scaling out, ms. */
  public static final long DEMAND_WINDOW_MS = 180_000;

  /** Shortest time between two remembered values of demand, ms. */
  public static final long DEMAND_SAMPLE_MS = 1_000;

  // ---------------------------------------------------------------- boots

  /** Multiple of its nominal boot time after which a machine that is not up is returned. */
  public static final double BOOT_TIMEOUT_FACTOR = 5;

  /** Added to that timeout, s. */
  public static final double BOOT_TIMEOUT_SLACK_S = 20;

  /**
   * Least boot timeout, s: occasionally none of the new machines comes up for two minutes, then all
   * do.
   */
  public static final double MIN_BOOT_TIMEOUT_S = 150;

  /** Boot time assumed for an unknown machine type, s. */
  public static final double DEFAULT_BOOT_S = 60;

  /** Number of boots of a type that are remembered. */
  public static final int BOOT_SAMPLES = 32;

  /**
   * Quantile of the remembered boot times taken as the expected one: the rest may be slow by
   * chance.
   */
  public static final double BOOT_QUANTILE = 0.875;

  /**
   * Multiple of its nominal time from which a boot may count as late: the cloud promises 1.5 at
   * most as a rule.
   */
  public static final double LATE_BOOT_NOMINAL_FACTOR = 1.6;

  /** Multiple of that quantile of its type from which a boot may count as late. */
  public static final double LATE_BOOT_OBSERVED_FACTOR = 1.3;

  /** Multiple of its nominal boot time from which a late machine may be returned early. */
  public static final double STUCK_BOOT_NOMINAL_FACTOR = 2;

  /**
   * Number of machines of its type, requested with it or later, that must be up before it is
   * returned.
   */
  public static final int STUCK_BOOT_OVERTAKERS = 3;

  /**
   * The same while the cloud has no other machine to rent: the late one then occupies the place of
   * one that would boot.
   */
  public static final int STUCK_BOOT_OVERTAKERS_SCARCE = 1;

  /**
   * Late machines are not replaced if they exceed this share of the booting ones: boots in general
   * are slow then.
   */
  public static final double MAX_LATE_BOOT_SHARE = 0.5;

  /**
   * Least time that a machine rented by a predecessor has to report to the new leader, in leases.
   */
  public static final double MIN_REPORT_WAIT_LEASES = 1;

  private FleetConstants() {}
}
