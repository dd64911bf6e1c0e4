package fennelthread.constants;

/** Detection of memory pressure. */
public final class HealthConstants {
  /**
   * Share of the heap that may be live before memory counts as short: the serial collector reserves
   * a third of its heap for new objects, so at 0.667 the old generation is full.
   */
  public static final double MEMORY_PRESSURE_LIVE_SHARE = 0.58;

  /** Live share below which memory pressure ends. */
  public static final double NORMAL_LIVE_SHARE = 0.5;

  /**
   * Period over which the least heap use is taken as the live share, ms: covers several collections
   * of new objects.
   */
  public static final long WINDOW_MS = 4_000;

  /**
   * Shortest time between two collections made to measure the live share, ms: each stops the
   * process.
   */
  public static final long COLLECTION_INTERVAL_MS = 20_000;

  private HealthConstants() {}
}
