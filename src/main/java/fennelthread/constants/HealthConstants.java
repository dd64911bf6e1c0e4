package fennelthread.constants;

/** Constants of the monitor of memory pressure; each with its unit and its reason. */
public final class HealthConstants {
  /**
   * Share of the heap that may be live: of the serial collector's heap a third is for new objects,
   * so that at 0.667 the rest is full.
   */
  public static final double MEMORY_PRESSURE_LIVE_SHARE = 0.58;

  /** Below this live share there is no memory pressure any more. */
  public static final double NORMAL_LIVE_SHARE = 0.5;

  /** Over how long the least use is taken, ms: several collections of new objects. */
  public static final long WINDOW_MS = 4_000;

  /** Shortest time between two collections made to measure, ms: each stops the process. */
  public static final long COLLECTION_INTERVAL_MS = 20_000;

  private HealthConstants() {}
}
