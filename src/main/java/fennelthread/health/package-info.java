/**
 * The health of the controller's own process: {@link fennelthread.health.MemoryPressureMonitor}
 * refuses new work and evicts caches before the heap is exhausted. Runs on the event loop's thread.
 */
package fennelthread.health;
