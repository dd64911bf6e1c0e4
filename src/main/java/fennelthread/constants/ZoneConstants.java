package fennelthread.constants;

/** Detection of zone outages, and their consequences. */
public final class ZoneConstants {

  // ---------------------------------------------------------------- evidence

  /** Least number of machines in a zone, and elsewhere, for the zone's silence to be evidence. */
  public static final int MIN_MACHINES = 3;

  /** A zone is unreachable if this share of its machines is silent, while others are in contact. */
  public static final double UNREACHABLE_SHARE = 0.6;

  /**
   * Share of silent machines from which a zone is degraded: more than failures of single machines
   * at once.
   */
  public static final double DEGRADED_SHARE = 0.25;

  /** A zone that was unreachable recovers once less than this share of its machines is silent. */
  public static final double RECOVERY_SHARE = 0.5;

  /** A recovering zone is stable while no more than this share of its machines is silent. */
  public static final double STABLE_SHARE = 0.1;

  /** If this share of the machines elsewhere is silent too, the fault is not the zone's. */
  public static final double MAX_OTHERS_SILENT_SHARE = 0.4;

  /** Least time without any report of a whole zone for it to count as silent, ms. */
  public static final long MIN_ZONE_SILENCE_MS = 1_200;

  /** Time between two observations beyond which this process counts as stalled, ms. */
  public static final long MAX_OBSERVATION_GAP_MS = 1_000;

  // ---------------------------------------------------------------- phases

  /**
   * Time, in leases, after which a zone that stays silent is logged as lost: its tasks have ended
   * or will be ended.
   */
  public static final double LOST_LEASES = 1.1;

  /**
   * Time for which a recovering zone must be stable to be trusted, ms; doubled with each further
   * outage.
   */
  public static final long MIN_STABLE_MS = 3_000;

  /** Longest such time, ms. */
  public static final long MAX_STABLE_MS = 60_000;

  /** How long a zone's outage is remembered, ms. */
  public static final long OUTAGE_MEMORY_MS = 300_000;

  // ---------------------------------------------------------------- consequences

  /**
   * Time for which the machines of an unreachable zone are kept, ms: they may become reachable
   * again.
   */
  public static final long KEEP_LOST_MS = 300_000;

  /**
   * Time after which unreachable machines are replaced, ms: a shorter outage is not worth a boot.
   */
  public static final long REPLACEMENT_DELAY_MS = 3_000;

  /** Time over which the replaced share of them grows to all, ms. */
  public static final double REPLACEMENT_RAMP_MS = 15_000;

  private ZoneConstants() {}
}
