package fennelthread.health;

/**
 * The main holder of data on the heap; the {@link MemoryPressureMonitor} makes it evict its caches.
 */
public interface MemoryConsumer {
  /** Drops cached data that can be read or computed again. */
  void evictCaches();

  /** Returns how much is held in memory, as key=value pairs for the end of a log line. */
  String memoryUsage();
}
