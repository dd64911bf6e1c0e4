package fennelthread.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.RelayConstants;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * When workers count as unreachable: the sooner, the more reports are missing; not because of
 * random losses; and after a stall of this process only if the silence lasts.
 */
class WorkerReachabilityTest {
  private static final long REPORT_MS = 4_000;

  private long nowMs;

  /**
   * During an hour in which one report in twenty is lost at random, more than three workers never
   * count as unreachable.
   */
  @Test
  void randomLossOfReportsIsNotUnreachability() {
    for (int workers : new int[] {3, 15, 200, 1_000}) {
      WorkerReachability reachability = new WorkerReachability(REPORT_MS);
      reachability.beginTerm(0);
      SplittableRandom random = new SplittableRandom(workers);
      long[] nextReportAtMs = new long[workers];
      for (int i = 0; i < workers; i++) {
        nextReportAtMs[i] = random.nextInt((int) REPORT_MS);
      }
      for (nowMs = 0; nowMs < 3_600_000; nowMs += RelayConstants.CHECK_INTERVAL_MS) {
        for (int i = 0; i < workers; i++) {
          while (nextReportAtMs[i] <= nowMs) {
            if (random.nextInt(20) > 0) {
              reachability.onReport(nextReportAtMs[i]);
            }
            nextReportAtMs[i] += (long) (REPORT_MS * (0.75 + 0.5 * random.nextDouble()));
          }
        }
        boolean becameUnreachable = reachability.check(nowMs, workers);
        assertFalse(
            becameUnreachable && workers > 3, workers + " workers, unreachable at " + nowMs);
      }
    }
  }

  @Test
  void silenceOfMoreWorkersIsDetectedSooner() {
    assertEquals(1_000, unreachableAfterMs(1_000));
    assertEquals(1_500, unreachableAfterMs(100));
    assertEquals(6_500, unreachableAfterMs(10));
    assertEquals(-1, unreachableAfterMs(2));
  }

  private long unreachableAfterMs(int workers) {
    WorkerReachability reachability = new WorkerReachability(REPORT_MS);
    reachability.beginTerm(-100_000);
    reachability.onReport(0);
    reachability.check(-RelayConstants.CHECK_INTERVAL_MS, workers);
    for (nowMs = 0; nowMs < 60_000; nowMs += RelayConstants.CHECK_INTERVAL_MS) {
      if (reachability.check(nowMs, workers)) {
        return nowMs;
      }
    }
    return -1;
  }

  /** Silence during a stall of this process does not count: it could not receive reports. */
  @Test
  void silenceDuringOwnStallDoesNotCount() {
    WorkerReachability reachability = new WorkerReachability(REPORT_MS);
    reachability.beginTerm(-100_000);
    reachability.onReport(0);
    reachability.check(0, 1_000);
    assertFalse(reachability.check(20_000, 1_000));
    assertFalse(reachability.check(20_500, 1_000));
    assertTrue(reachability.check(21_000, 1_000));
  }

  /**
   * Probes are answered although no report arrives. Each time the workers become unreachable again,
   * answers are ignored for longer, so that the phase does not change back and forth all the time.
   */
  @Test
  void probeAnswersAreTrustedLaterEachTimeReportsStayMissing() {
    WorkerReachability reachability = new WorkerReachability(REPORT_MS);
    reachability.beginTerm(-100_000);
    reachability.onReport(0);
    int recoveries = 0;
    for (nowMs = 0; nowMs < 120_000; nowMs += RelayConstants.CHECK_INTERVAL_MS) {
      reachability.check(nowMs, 1_000);
      boolean wasUnreachable = reachability.areWorkersUnreachable();
      reachability.onProbeAnswered(nowMs);
      recoveries += wasUnreachable && !reachability.areWorkersUnreachable() ? 1 : 0;
    }
    assertTrue(recoveries <= 9, recoveries + " recoveries");
  }
}
