package fennelthread.health;

import fennelthread.constants.HealthConstants;
import fennelthread.constants.RelayConstants;
import fennelthread.net.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Detects that the heap is nearly full; then evicts caches, logs what fills the heap, and makes the
 * controller refuse new work. Without that, a process that runs out of memory restarts, reads the
 * same state and runs out again: five controllers did so 39 times in 90 s.
 */
public final class MemoryPressureMonitor {
  private static final Logger log = LoggerFactory.getLogger(MemoryPressureMonitor.class);

  /** How full the heap is. */
  public enum Phase {
    /** There is enough free memory. */
    NORMAL,
    /** The heap was nearly full right after a garbage collection: no new work is accepted. */
    UNDER_PRESSURE
  }

  private final EventLoop eventLoop;
  private final MemoryConsumer consumer;
  private Phase phase = Phase.NORMAL;
  private long windowStartMs;
  private long minUsedBytes = Long.MAX_VALUE;
  private long lastCollectionAtMs = Long.MIN_VALUE / 2;

  /** Creates a monitor of the heap that the event loop gives access to. */
  public MemoryPressureMonitor(EventLoop eventLoop, MemoryConsumer consumer) {
    this.eventLoop = eventLoop;
    this.consumer = consumer;
    this.windowStartMs = eventLoop.nowMs();
  }

  /** Returns true while no new work should be accepted. */
  public boolean isUnderPressure() {
    return phase == Phase.UNDER_PRESSURE;
  }

  /**
   * Checks the heap; to be called every {@link RelayConstants#CHECK_INTERVAL_MS}. It is cheap,
   * except that it runs a garbage collection, at most every {@link
   * HealthConstants#COLLECTION_INTERVAL_MS}, while the heap may be nearly full.
   */
  public void check() {
    EventLoop.Heap heap = eventLoop.heap();
    long nowMs = eventLoop.nowMs();
    // The use between two collections includes garbage. The least use over several seconds is close
    // to the size of the live objects.
    minUsedBytes = Math.min(minUsedBytes, heap.usedBytes());
    if (nowMs - windowStartMs < HealthConstants.WINDOW_MS) {
      return;
    }
    boolean isNearlyFull =
        minUsedBytes > heap.mostBytes() * HealthConstants.MEMORY_PRESSURE_LIVE_SHARE;
    minUsedBytes = Long.MAX_VALUE;
    windowStartMs = nowMs;
    if ((isUnderPressure() || isNearlyFull)
        && nowMs - lastCollectionAtMs >= HealthConstants.COLLECTION_INTERVAL_MS) {
      lastCollectionAtMs = nowMs;
      collectAndUpdatePhase(heap);
    }
  }

  private void collectAndUpdatePhase(EventLoop.Heap heap) {
    heap.collect();
    double liveShare = (double) heap.usedBytes() / heap.mostBytes();
    if (phase == Phase.NORMAL && liveShare > HealthConstants.MEMORY_PRESSURE_LIVE_SHARE) {
      transitionTo(Phase.UNDER_PRESSURE, liveShare);
      consumer.evictCaches();
    } else if (phase == Phase.UNDER_PRESSURE && liveShare < HealthConstants.NORMAL_LIVE_SHARE) {
      transitionTo(Phase.NORMAL, liveShare);
    }
  }

  /** Changes the phase and logs it; the only place that does. */
  private void transitionTo(Phase next, double liveShare) {
    log.atLevel(next == Phase.UNDER_PRESSURE ? Level.ERROR : Level.INFO)
        .log(
            "memory pressure changed from={} to={} livePercent={} heapMb={} {}",
            phase,
            next,
            Math.round(liveShare * 100),
            eventLoop.heap().mostBytes() >> 20,
            consumer.memoryUsage());
    phase = next;
  }
}
