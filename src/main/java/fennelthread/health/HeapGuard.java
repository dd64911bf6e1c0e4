package fennelthread.health;

import fennelthread.constants.HealthConstants;
import fennelthread.constants.RelayConstants;
import fennelthread.net.EventLoop;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Whether the heap is near its end. A process that ends for memory comes back and reads the same
 * state again, so that it ends again: five controllers once did so 39 times in a minute and a half.
 * What it can do without goes before that, and one line says what fills it.
 */
public final class HeapGuard {
  private static final Logger log = LoggerFactory.getLogger(HeapGuard.class);

  /** How much room there is. */
  public enum Phase {
    /** Enough. */
    ROOMY,
    /** Little, measured right after a collection: nothing new is taken, caches are given up. */
    TIGHT
  }

  private final EventLoop eventLoop;
  private final Supplier<String> census;
  private final Runnable shed;
  private Phase phase = Phase.ROOMY;
  private long leastSince;
  private long leastUsed = Long.MAX_VALUE;
  private long collectedAtMs = Long.MIN_VALUE / 2;

  /**
   * Creates it.
   *
   * @param census says what is held, in one line
   * @param shed gives up caches
   */
  public HeapGuard(EventLoop eventLoop, Supplier<String> census, Runnable shed) {
    this.eventLoop = eventLoop;
    this.census = census;
    this.shed = shed;
    this.leastSince = eventLoop.nowMs();
  }

  /** True if nothing new should be taken. */
  public boolean isTight() {
    return phase == Phase.TIGHT;
  }

  /** Looks; cheap, and to be called every {@link RelayConstants#SUPERVISE_MS}. */
  public void look() {
    EventLoop.Heap heap = eventLoop.heap();
    long now = eventLoop.nowMs();
    // What is used between two collections tells nothing; the least of some seconds is near what
    // lives.
    leastUsed = Math.min(leastUsed, heap.usedBytes());
    if (now - leastSince < HealthConstants.WINDOW_MS) {
      return;
    }
    long least = leastUsed;
    leastUsed = Long.MAX_VALUE;
    leastSince = now;
    boolean doubtful = least > heap.mostBytes() * HealthConstants.TIGHT_SHARE;
    boolean measure = phase == Phase.TIGHT || doubtful;
    if (!measure || now - collectedAtMs < HealthConstants.COLLECT_MS) {
      return;
    }
    collectedAtMs = now;
    heap.collect();
    double live = (double) heap.usedBytes() / heap.mostBytes();
    if (phase == Phase.ROOMY && live > HealthConstants.TIGHT_SHARE) {
      moveTo(Phase.TIGHT, live);
      shed.run();
    } else if (phase == Phase.TIGHT && live < HealthConstants.ROOMY_SHARE) {
      moveTo(Phase.ROOMY, live);
    }
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next, double live) {
    log.error(
        "heap {} -> {}: {}% of {} MB live; {}",
        phase, next, Math.round(live * 100), eventLoop.heap().mostBytes() >> 20, census.get());
    phase = next;
  }
}
