package fennelthread.health;

/** What fills the heap, as far as the {@link MemoryPressureMonitor} can do something about it. */
public interface MemoryConsumer {
  /** Frees what can be read or computed again. */
  void evictCaches();

  /** Describes what is held in memory, for one line of the log. */
  String memoryUsage();
}
