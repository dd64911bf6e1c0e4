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

class ServiceHealthTest {
  private static final long OVERDUE = StateConstants.REQUEST_OVERDUE_MS;
  private static final long TIMEOUT = StateConstants.REQUEST_TIMEOUT_MS;

  private final ServiceHealth health = new ServiceHealth(0);

  @Test
  void oneLostAnswerAmongOthersIsNoEvidence() {
    long lost = health.recordSent(100);
    long other = health.recordSent(110);
    health.recordSuccess(other, 115);
    assertEquals(Status.RESPONSIVE, health.status(100 + OVERDUE));
    health.recordTimeout(lost, 100 + TIMEOUT);
    assertEquals(Status.RESPONSIVE, health.status(100 + TIMEOUT));
  }

  @Test
  void oneOverdueRequestAloneMakesTheServiceSuspect() {
    health.recordSent(100);
    assertEquals(OVERDUE - 30, health.msUntilOverdue(130));
    assertEquals(Status.RESPONSIVE, health.status(99 + OVERDUE));
    assertEquals(Status.SUSPECT, health.status(100 + OVERDUE));
    assertEquals(Status.SUSPECT, health.status(100 + 10 * OVERDUE));
  }

  @Test
  void severalOverdueRequestsWithoutAnyAnswerMakeTheServiceUnresponsive() {
    long first = health.recordSent(100);
    health.recordSent(100 + OVERDUE);
    assertEquals(Status.UNRESPONSIVE, health.status(100 + 2 * OVERDUE));
    assertTrue(2 * OVERDUE <= TIMEOUT, "no later than the first request's time is over");
    health.recordTimeout(first, 100 + TIMEOUT);
    assertEquals(Status.UNRESPONSIVE, health.status(100 + TIMEOUT));
    assertEquals(100 + TIMEOUT, health.failingForMs(100 + TIMEOUT));
  }

  @ParameterizedTest
  @ValueSource(ints = {200, 429, 503})
  void anAnswerOfAnyStatusMakesTheServiceResponsive(int status) {
    health.recordSent(0);
    long second = health.recordSent(1);
    assertEquals(Status.UNRESPONSIVE, health.status(1 + OVERDUE));
    switch (status) {
      case 200 -> health.recordSuccess(second, 2 + OVERDUE);
      case 429 -> health.recordRateLimited(second, 2 + OVERDUE);
      default -> health.recordRefusal(second, 2 + OVERDUE);
    }
    assertEquals(Status.RESPONSIVE, health.status(1 + 3 * OVERDUE));
    assertEquals(status == 503, health.failingForMs(2 + OVERDUE) > 0);
  }

  @Test
  void transactionsOfASlowServiceAreOverdueLater() {
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

  /** A fifth of the answers lost, at forty requests a second: never taken for unresponsive. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void aFifthOfTheAnswersLostIsNeverUnresponsive(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ArrayDeque<long[]> lost = new ArrayDeque<>();
    for (long at = 0; at < 300_000; at += 25) {
      while (!lost.isEmpty() && lost.peek()[1] + TIMEOUT <= at) {
        health.recordTimeout(lost.poll()[0], at);
      }
      assertNotEquals(Status.UNRESPONSIVE, health.status(at), "at " + at);
      long ticket = health.recordSent(at);
      if (random.nextDouble() < 0.2) {
        lost.add(new long[] {ticket, at});
      } else {
        health.recordSuccess(ticket, at + 8);
      }
    }
  }
}
