package fennelthread.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.StateConstants;
import fennelthread.state.ServiceHealth.Status;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how requests and their answers change the status of the state service. */
class ServiceHealthTest {
  private static final long OVERDUE_MS = StateConstants.REQUEST_OVERDUE_MS;
  private static final long TIMEOUT_MS = StateConstants.REQUEST_TIMEOUT_MS;

  private final ServiceHealth health = new ServiceHealth(0);

  @Test
  void oneLostAnswerAmongOthersLeavesTheServiceResponsive() {
    long lost = health.recordSent(100);
    long other = health.recordSent(110);
    health.recordSuccess(other, 115);
    assertEquals(Status.RESPONSIVE, health.status(100 + OVERDUE_MS));
    health.recordTimeout(lost, 100 + TIMEOUT_MS);
    assertEquals(Status.RESPONSIVE, health.status(100 + TIMEOUT_MS));
  }

  @Test
  void oneOverdueRequestAloneMakesTheServiceSuspect() {
    health.recordSent(100);
    assertEquals(OVERDUE_MS - 30, health.msUntilOverdue(130));
    assertEquals(Status.RESPONSIVE, health.status(99 + OVERDUE_MS));
    assertEquals(Status.SUSPECT, health.status(100 + OVERDUE_MS));
    assertEquals(Status.SUSPECT, health.status(100 + 10 * OVERDUE_MS));
  }

  @Test
  void severalOverdueRequestsWithoutAnyAnswerMakeTheServiceUnresponsive() {
    long first = health.recordSent(100);
    health.recordSent(100 + OVERDUE_MS);
    assertEquals(Status.UNRESPONSIVE, health.status(100 + 2 * OVERDUE_MS));
    assertTrue(
        2 * OVERDUE_MS <= TIMEOUT_MS,
        "the service must be found unresponsive before the first request times out");
    health.recordTimeout(first, 100 + TIMEOUT_MS);
    assertEquals(Status.UNRESPONSIVE, health.status(100 + TIMEOUT_MS));
    assertEquals(100 + TIMEOUT_MS, health.failingForMs(100 + TIMEOUT_MS));
  }

  @ParameterizedTest
  @ValueSource(ints = {200, 429, 503})
  void anAnswerOfAnyStatusMakesTheServiceResponsive(int status) {
    health.recordSent(0);
    long second = health.recordSent(1);
    assertEquals(Status.UNRESPONSIVE, health.status(1 + OVERDUE_MS));
    switch (status) {
      case 200 -> health.recordSuccess(second, 2 + OVERDUE_MS);
      case 429 -> health.recordRateLimited(second, 2 + OVERDUE_MS);
      default -> health.recordRefusal(second, 2 + OVERDUE_MS);
    }
    assertEquals(Status.RESPONSIVE, health.status(1 + 3 * OVERDUE_MS));
    assertEquals(status == 503, health.failingForMs(2 + OVERDUE_MS) > 0);
  }

  @Test
  void transactionsBecomeOverdueLaterWhenTheServiceIsSlow() {
    assertEquals(StateConstants.MIN_TXN_OVERDUE_MS, health.overdueAfterMs());
    for (int i = 0; i < 100; i++) {
      health.recordSuccess(health.recordSent(i * 1_000L), i * 1_000L + 400);
    }
    assertTrue(health.overdueAfterMs() > 1_000, "overdue after " + health.overdueAfterMs());
    for (int i = 100; i < 200; i++) {
      health.recordSuccess(health.recordSent(i * 1_000L), i * 1_000L + 8);
    }
    assertEquals(StateConstants.MIN_TXN_OVERDUE_MS, health.overdueAfterMs());
  }

  /**
   * Guards against taking random loss for an outage: with a fifth of the answers lost at 40
   * requests a second the service never counts as unresponsive.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void losingAFifthOfTheAnswersNeverMakesTheServiceUnresponsive(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ArrayDeque<long[]> lost = new ArrayDeque<>();
    for (long nowMs = 0; nowMs < 300_000; nowMs += 25) {
      while (!lost.isEmpty() && lost.peek()[1] + TIMEOUT_MS <= nowMs) {
        health.recordTimeout(lost.poll()[0], nowMs);
      }
      assertNotEquals(Status.UNRESPONSIVE, health.status(nowMs), "at " + nowMs);
      long requestId = health.recordSent(nowMs);
      if (random.nextDouble() < 0.2) {
        lost.add(new long[] {requestId, nowMs});
      } else {
        health.recordSuccess(requestId, nowMs + 8);
      }
    }
  }
}
