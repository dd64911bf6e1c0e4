package fennelthread.net;

import fennelthread.constants.NetConstants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices that this process stood still while its clocks ran on: a frozen machine, a long
 * collection, a processor share that is used up. On waking all timers are due at once and what came
 * in meanwhile waits to be read, so that everybody else seems to have been silent. Nobody is judged
 * by their silence until we have listened for as long as we slept.
 *
 * <p>Timers run in any order after a sleep, so that whoever asks looks at the clock first.
 */
public final class StallDetector {
  private static final Logger log = LoggerFactory.getLogger(StallDetector.class);

  /** What may be concluded from silence. */
  private enum Phase {
    /** We hear what is said. */
    AWAKE,
    /** We stood still, and what was said meanwhile is still being read. */
    LISTENING
  }

  private final EventLoop eventLoop;
  private Phase phase = Phase.AWAKE;
  private long lookedAtMs;
  private long listensUntilMs;
  private long sleeps;

  /** Creates it; {@link #start} sets it going. */
  public StallDetector(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
    this.lookedAtMs = eventLoop.nowMs();
  }

  /** Begins to look at the clock. */
  public void start() {
    isListening();
    eventLoop.after(NetConstants.STALL_CHECK_INTERVAL_MS, this::start);
  }

  /**
   * True if others' silence says nothing at this moment, since we may have slept through what they
   * said.
   */
  public boolean isListening() {
    long now = eventLoop.nowMs();
    long gapMs = now - lookedAtMs;
    lookedAtMs = now;
    if (gapMs > NetConstants.MIN_STALL_MS) {
      sleeps++;
      log.info("we stood still for {} ms, for the {}. time", gapMs, sleeps);
      listensUntilMs =
          Math.max(listensUntilMs, now + Math.min(NetConstants.MAX_LISTEN_AFTER_STALL_MS, gapMs));
      moveTo(Phase.LISTENING);
    } else if (now >= listensUntilMs) {
      moveTo(Phase.AWAKE);
    }
    return phase == Phase.LISTENING;
  }

  /** The only place where the phase changes. */
  private void moveTo(Phase next) {
    phase = next;
  }
}
