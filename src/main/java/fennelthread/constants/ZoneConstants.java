package fennelthread.constants;

/** Constants of the health of zones; each with its unit and its reason. */
public final class ZoneConstants {
  /** Fewest machines of a zone, and elsewhere, for its silence to mean anything. */
  public static final int LEAST_MACHINES = 3;

  /** A zone is away if this share of its machines is silent, while others are heard. */
  public static final double SILENT_SHARE = 0.6;

  /** Partly away from this share on: more than single machines lose at once. */
  public static final double PARTLY_SHARE = 0.25;

  /** A zone that was away returns once less than this share is silent. */
  public static final double BACK_SHARE = 0.5;

  /** A zone that has returned is calm while no more than this share is silent. */
  public static final double CALM_SHARE = 0.1;

  /** If this share is silent elsewhere too, the fault is no zone's. */
  public static final double OTHERS_SILENT = 0.4;

  /** Least time without any report of a whole zone for it to count as silent, ms. */
  public static final long ALL_SILENT_MS = 1_200;

  /** A look that comes so long after the last one tells that we were not listening, ms. */
  public static final long LATE_MS = 1_000;

  /** After so many leases of silence what ran in a zone is taken for lost in what the log says. */
  public static final double LOST_LEASES = 1.1;

  /**
   * How long a zone that has returned must be calm to be trusted, ms; twice as long each further
   * time.
   */
  public static final long TRUST_MS = 3_000;

  /** Longest such time, ms. */
  public static final long TRUST_MOST_MS = 60_000;

  /** How long it is remembered that a zone was away, ms. */
  public static final long MEMORY_MS = 300_000;

  /**
   * How long the machines of a zone that is away are kept after their leases, ms: they may come
   * back.
   */
  public static final long KEPT_MS = 300_000;

  /** What is away is replaced from so long on, ms: shorter cuts are not worth a machine's boot. */
  public static final long REPLACE_FROM_MS = 3_000;

  /** Over how long the replacement grows to all of it, ms. */
  public static final double REPLACE_OVER_MS = 15_000;

  private ZoneConstants() {}
}
