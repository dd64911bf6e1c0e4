package fennelthread.constants;

/** Constants of the guard of the heap; each with its unit and its reason. */
public final class HealthConstants {
  /**
   * Part of the heap that may live: of the serial collector's heap a third is for new objects, so
   * that at 0.667 the rest is full.
   */
  public static final double TIGHT_SHARE = 0.58;

  /** Below this part it is roomy again. */
  public static final double ROOMY_SHARE = 0.5;

  /** Over how long the least use is taken, ms: several collections of new objects. */
  public static final long WINDOW_MS = 4_000;

  /** Shortest time between two collections made to measure, ms: each stops everything. */
  public static final long COLLECT_MS = 20_000;

  private HealthConstants() {}
}
