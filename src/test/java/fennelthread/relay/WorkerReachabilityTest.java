package fennelthread.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.RelayConstants;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * When a leader takes itself for deaf: soon where many are due, never by chance, late if it was
 * late.
 */
class WorkerReachabilityTest {
  private static final long REPORT_MS = 4_000;

  private long now;

  /** Reports of so many workers for an hour, a twentieth of them lost: no false alarm. */
  @Test
  void chanceMakesNobodyDeaf() {
    for (int workers : new int[] {3, 15, 200, 1_000}) {
      WorkerReachability hearing = new WorkerReachability(REPORT_MS);
      hearing.beginTerm(0);
      SplittableRandom random = new SplittableRandom(workers);
      long[] next = new long[workers];
      for (int i = 0; i < workers; i++) {
        next[i] = random.nextInt((int) REPORT_MS);
      }
      for (now = 0; now < 3_600_000; now += RelayConstants.CHECK_INTERVAL_MS) {
        for (int i = 0; i < workers; i++) {
          while (next[i] <= now) {
            if (random.nextInt(20) > 0) {
              hearing.onReport(next[i]);
            }
            next[i] += (long) (REPORT_MS * (0.75 + 0.5 * random.nextDouble()));
          }
        }
        boolean deaf = hearing.check(now, workers);
        assertFalse(deaf && workers > 3, workers + " workers, deaf at " + now);
      }
    }
  }

  @Test
  void manyMissingAreNoticedSoonFewLate() {
    assertEquals(1_000, deafAfter(1_000));
    assertEquals(1_500, deafAfter(100));
    assertEquals(6_500, deafAfter(10));
    assertEquals(-1, deafAfter(2));
  }

  private long deafAfter(int workers) {
    WorkerReachability hearing = new WorkerReachability(REPORT_MS);
    hearing.beginTerm(-100_000);
    hearing.onReport(0);
    hearing.check(-RelayConstants.CHECK_INTERVAL_MS, workers);
    for (now = 0; now < 60_000; now += RelayConstants.CHECK_INTERVAL_MS) {
      if (hearing.check(now, workers)) {
        return now;
      }
    }
    return -1;
  }

  /** A process that stood still has not listened. */
  @Test
  void silenceOfOurOwnTellsNothing() {
    WorkerReachability hearing = new WorkerReachability(REPORT_MS);
    hearing.beginTerm(-100_000);
    hearing.onReport(0);
    hearing.check(0, 1_000);
    assertFalse(hearing.check(20_000, 1_000));
    assertFalse(hearing.check(20_500, 1_000));
    assertTrue(hearing.check(21_000, 1_000));
  }

  /**
   * A way that opens one way only closes the ears again: direct answers are then believed later.
   */
  @Test
  void earsThatCloseAgainAreBelievedLater() {
    WorkerReachability hearing = new WorkerReachability(REPORT_MS);
    hearing.beginTerm(-100_000);
    hearing.onReport(0);
    int opened = 0;
    for (now = 0; now < 120_000; now += RelayConstants.CHECK_INTERVAL_MS) {
      hearing.check(now, 1_000);
      boolean before = hearing.areWorkersUnreachable();
      hearing.onProbeAnswered(now);
      opened += before && !hearing.areWorkersUnreachable() ? 1 : 0;
    }
    assertTrue(opened <= 9, opened + " times");
  }
}
