package fennelthread.constants;

/** Constants of the health of zones; each with its unit and its reason. */
public final class ZoneConstants {

  // ---------------------------------------------------------------- evidence

  /** Fewest machines of a zone, and elsewhere, for its silence to mean anything. */
  public static final int MIN_MACHINES = 3;

  /** A zone is unreachable if this share of its machines is silent, while others are in contact. */
  public static final double UNREACHABLE_SHARE = 0.6;

  /** A zone is degraded from this share of silent machines on: more than single ones at once. */
  public static final double DEGRADED_SHARE = 0.25;

  /** A zone that was unreachable recovers once less than this share is silent. */
  public static final double RECOVERY_SHARE = 0.5;

  /** A recovering zone is stable while no more than this share is silent. */
  public static final double STABLE_SHARE = 0.1;

  /** If this share is silent elsewhere too, the fault is no zone's. */
  public static final double MAX_OTHERS_SILENT_SHARE = 0.4;

  /** Least time without any report of a whole zone for it to count as silent, ms. */
  public static final long MIN_ZONE_SILENCE_MS = 1_200;

  /** A longer time between two observations means that this process has stalled, ms. */
  public static final long MAX_OBSERVATION_GAP_MS = 1_000;

  // ---------------------------------------------------------------- phases

  /** After so many leases of silence a zone's tasks count as lost in what the log says. */
  public static final double LOST_LEASES = 1.1;

  /**
   * How long a recovering zone must be stable to be trusted, ms; twice as long for each further
   * outage.
   */
  public static final long MIN_STABLE_MS = 3_000;

  /** Longest such time, ms. */
  public static final long MAX_STABLE_MS = 60_000;

  /** How long a zone's outage is remembered, ms. */
  public static final long OUTAGE_MEMORY_MS = 300_000;

  // ---------------------------------------------------------------- consequences

  /** How long the machines of an unreachable zone are kept, ms: they may be reachable again. */
  public static final long KEEP_LOST_MS = 300_000;

  /** Unreachable machines are replaced after so long, ms: shorter cuts are not worth a boot. */
  public static final long REPLACEMENT_DELAY_MS = 3_000;

  /** Time over which the replacement grows to all of them, ms. */
  public static final double REPLACEMENT_RAMP_MS = 15_000;

  private ZoneConstants() {}
}
