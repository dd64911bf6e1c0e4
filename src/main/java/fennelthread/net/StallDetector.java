package fennelthread.net;

import fennelthread.constants.NetConstants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that this process stalled while its clocks ran on: the machine froze, a garbage
 * collection took long, or the processor quota was used up. After a stall all timers are due at
 * once and the messages that arrived meanwhile are still unread, so every other component seems to
 * have been silent. Silence is no evidence of a failure until the process has been reading messages
 * for as long as it stalled, up to a bound.
 *
 * <p>Timers fire in any order after a stall, so {@link #isListening} checks the clock itself.
 */
public final class StallDetector {
  private static final Logger log = LoggerFactory.getLogger(StallDetector.class);

  /** Whether the silence of other components is evidence of their failure. */
  private enum Phase {
    /** Messages are read as they arrive: silence is evidence. */
    NORMAL,
    /** The process stalled and may still be reading old messages: silence is no evidence. */
    CATCHING_UP
  }

  private final EventLoop eventLoop;
  private Phase phase = Phase.NORMAL;
  private long lastCheckAtMs;
  private long catchingUpUntilMs;
  private long stalls;

  /** Creates the detector; {@link #start} begins to check the clock. */
  public StallDetector(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
    this.lastCheckAtMs = eventLoop.nowMs();
  }

  /** Checks the clock immediately, then periodically; call it once. */
  public void start() {
    isListening();
    eventLoop.after(NetConstants.STALL_CHECK_INTERVAL_MS, this::start);
  }

  /**
   * True while the process catches up after a stall: the messages of other components may still be
   * unread, so their silence is no evidence of a failure. Also records a stall that it detects.
   */
  public boolean isListening() {
    long nowMs = eventLoop.nowMs();
    long gapMs = nowMs - lastCheckAtMs;
    lastCheckAtMs = nowMs;
    if (gapMs > NetConstants.MIN_STALL_MS) {
      stalls++;
      log.info("process stalled gapMs={} stalls={}", gapMs, stalls);
      catchingUpUntilMs =
          Math.max(
              catchingUpUntilMs, nowMs + Math.min(NetConstants.MAX_CATCH_UP_AFTER_STALL_MS, gapMs));
      moveTo(Phase.CATCHING_UP);
    } else if (nowMs >= catchingUpUntilMs) {
      moveTo(Phase.NORMAL);
    }
    return phase == Phase.CATCHING_UP;
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next) {
    phase = next;
  }
}
