/**
 * The health of the controller's own process: {@link fennelthread.health.MemoryPressureMonitor}
 * makes it evict caches and refuse new work before the heap is exhausted. Runs on the event loop's
 * thread.
 */
package fennelthread.health;
