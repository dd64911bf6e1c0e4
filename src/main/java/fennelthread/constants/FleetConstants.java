package fennelthread.constants;

/**
 * Constants of the fleet: machines, their sessions and tokens, renting and returning them; each
 * with its unit and its reason.
 */
public final class FleetConstants {
  /** Longest wait for a worker's answer to direct commands, ms. */
  public static final long COMMAND_TIMEOUT_MS = 2_500;

  /**
   * Pause before a worker that did not answer a question is asked again, ms: it reports by itself
   * once it can, but that may take it longer than we wait before we give its machine back.
   */
  public static final long PROBE_PAUSE_MS = 300;

  /**
   * Starts that found no connection go out with the next report's answer if that comes within so
   * many report intervals; then their tasks are tried elsewhere.
   */
  public static final double CARRY_REPORTS = 1.5;

  /** Lines of the log about many machines are gathered for so long, ms: one line, not hundreds. */
  public static final long TALLY_MS = 1_000;

  /** How many machines such a line names. */
  public static final int TALLY_NAMES = 4;

  /** Most starts in one answer to a report: keeps it below the bound on bodies; more come later. */
  public static final int STARTS_PER_ANSWER = 100;

  /**
   * A report that comes so many intervals after the one before it may mean that answers are lost.
   */
  public static final double DOUBT_REPORTS = 1.25;

  /** Added to that, ms: the network's delays and ours. */
  public static final long DOUBT_SLACK_MS = 1_000;

  /** Shortest time between two questions to a machine whether it was started anew, ms. */
  public static final long ASK_WHICH_MS = 2_000;

  /** Clears that wait for a higher token are sent when there are so many of one machine. */
  public static final int CLEARS_GATHERED = 4;

  /**
   * Or when so large a part of a lease has passed since its token rose for the last time: workers
   * take a higher token for a reason to report at once no more often than that.
   */
  public static final double CLEARS_LEASE_SHARE = 0.5;

  /** How many rises of a machine's session are remembered. */
  public static final int RISES_REMEMBERED = 8;

  /** Over how many leases they are counted. */
  public static final long RISES_LEASES = 5;

  /** A machine whose session rose so often meanwhile, once within the last lease, is no room. */
  public static final int RISES_NO_ROOM = 2;

  /** One whose session rose so often is given back. */
  public static final int RISES_HOPELESS = 3;

  /** A worker silent for this many report intervals is asked directly whether it lives. */
  public static final double SILENT_REPORTS_ALARM = 1.4;

  /**
   * A machine with tasks that is silent for this share of its lease, and does not answer directly
   * either, is returned: sooner might hit a machine that only stutters, later costs its replicas.
   */
  public static final double SILENT_LEASE_SHARE = 0.4;

  /**
   * If more than this share of the machines is silent at once, none is returned for silence: then
   * the fault is probably ours. While most are heard, it is not, and work that is cut off with a
   * fifth of the fleet would wait for its workers' lease, counted from a takeover in the worst
   * case.
   */
  public static final double SILENT_SHARE = 0.4;

  /** Longest wait for the cloud's answer, ms. */
  public static final long CLOUD_TIMEOUT_MS = 5_000;

  /** How often the machine list is read, ms: far below the cloud's request limit. */
  public static final long LIST_EVERY_MS = 4_000;

  /** How often types and prices are read, ms. */
  public static final long MACHINE_TYPES_EVERY_MS = 30_000;

  /** First pause after a refusal for capacity, per type, zone and kind, ms. */
  public static final long REFUSED_FIRST_MS = 5_000;

  /** Longest pause after refusals for capacity, ms. */
  public static final long REFUSED_MOST_MS = 40_000;

  /** Most machines in one rental request: the protocol's bound. */
  public static final int MAX_PER_RENTAL = 50;

  /** Most names in one return request: the protocol's bound. */
  public static final int MAX_PER_RETURN = 100;

  /** A machine not up after this many times its nominal boot time is returned. */
  public static final double BOOT_PATIENCE = 5;

  /** Added to that patience, s. */
  public static final double BOOT_PATIENCE_S = 20;

  /**
   * Least such patience, s: now and then none of the new machines comes up for two minutes, then
   * all.
   */
  public static final double BOOT_PATIENCE_LEAST_S = 150;

  /** Taken for the boot time of a type that is not known, s. */
  public static final double BOOT_UNKNOWN_S = 60;

  /** How many boots of a type are remembered. */
  public static final int BOOTS_REMEMBERED = 32;

  /** Nearly all of them: the rest may be slow by themselves, as a share. */
  public static final double BOOTS_NEARLY_ALL = 0.875;

  /**
   * A machine is late after so many times its nominal boot time: the cloud says 1.5 at the most as
   * a rule.
   */
  public static final double BOOT_LATE = 1.6;

  /** And after so many times what nearly all of its type took lately. */
  public static final double BOOT_SLOWER = 1.3;

  /** A late machine is given back early from so many times its nominal boot time on. */
  public static final double BOOT_DUD = 2;

  /** If so many of its type that were asked for with it or later are up. */
  public static final int BOOT_OVERTAKEN = 3;

  /** The same if the cloud has no other for us: then it costs the room of one that would come. */
  public static final int BOOT_OVERTAKEN_SCARCE = 1;

  /**
   * Late machines are not replaced if they are more than this share of what boots: then all are
   * late.
   */
  public static final double BOOT_LATE_SHARE = 0.5;

  /** How long a machine that a predecessor asked for has to report to us at least, in leases. */
  public static final double BOOT_HEARD_LEASES = 1;

  /**
   * A machine that carries out commands but whose own reports don't arrive is returned after so
   * many leases: by then every lease that its last answered report renewed is over and proven so.
   */
  public static final double MUTE_LEASES = 2;

  /** A machine silent this long beyond its lease is returned, ms. */
  public static final long LOST_PATIENCE_MS = 1_000;

  /** How many different jobs must fail on a machine within the window before it is drained. */
  public static final int BAD_MACHINE_JOBS = 2;

  /** How many tasks of one job must fail on a machine that fails nothing else, to drain it. */
  public static final int BAD_MACHINE_TASKS = 4;

  /**
   * A machine that was drained and on which tasks still run is given tasks again when none has
   * failed there for so long, ms: it may have been the jobs' fault, and its room must not stay
   * unused. An empty one is returned at once.
   */
  public static final long DRAIN_MS = 60_000;

  /** How long demand is remembered when deciding what to rent, ms. */
  public static final long DEMAND_WINDOW_MS = 180_000;

  /** A machine to which no connection could be had gets no starts for this long, ms. */
  public static final long UNREACHABLE_PAUSE_MS = 3_000;

  /**
   * Questions to workers under way at once, as a share of the connections we may have: after a
   * takeover hundreds wait for one, and starts and stops need connections too.
   */
  public static final double PROBING_SHARE = 0.5;

  private FleetConstants() {}
}
