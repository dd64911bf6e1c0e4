package fennelthread.health;

/**
 * The data that fills the heap, of which the {@link MemoryPressureMonitor} can have some evicted.
 */
public interface MemoryConsumer {
  /** Drops cached data that can be read or computed again. */
  void evictCaches();

  /** Describes how much is held in memory, for the end of a log line. */
  String memoryUsage();
}
