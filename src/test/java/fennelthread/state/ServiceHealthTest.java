package fennelthread.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.StateConstants;
import fennelthread.state.ServiceHealth.Verdict;
import java.util.ArrayDeque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ServiceHealthTest {
  private static final long OVERDUE = StateConstants.STATE_OVERDUE_MS;
  private static final long TIMEOUT = StateConstants.STATE_TIMEOUT_MS;

  private final ServiceHealth health = new ServiceHealth(0);

  @Test
  void oneLostAnswerAmongOthersSaysNothing() {
    long lost = health.sent(100);
    long other = health.sent(110);
    health.served(other, 115);
    assertEquals(Verdict.SERVING, health.verdict(100 + OVERDUE));
    health.unanswered(lost, 100 + TIMEOUT);
    assertEquals(Verdict.SERVING, health.verdict(100 + TIMEOUT));
  }

  @Test
  void oneOverdueRequestAloneIsDoubtful() {
    health.sent(100);
    assertEquals(OVERDUE - 30, health.untilOverdueMs(130));
    assertEquals(Verdict.SERVING, health.verdict(99 + OVERDUE));
    assertEquals(Verdict.DOUBTFUL, health.verdict(100 + OVERDUE));
    assertEquals(Verdict.DOUBTFUL, health.verdict(100 + 10 * OVERDUE));
  }

  @Test
  void severalOverdueRequestsWithoutAnyAnswerAreSilence() {
    long first = health.sent(100);
    health.sent(100 + OVERDUE);
    assertEquals(Verdict.SILENT, health.verdict(100 + 2 * OVERDUE));
    assertTrue(2 * OVERDUE <= TIMEOUT, "no later than the first request's time is over");
    health.unanswered(first, 100 + TIMEOUT);
    assertEquals(Verdict.SILENT, health.verdict(100 + TIMEOUT));
    assertEquals(100 + TIMEOUT, health.failingForMs(100 + TIMEOUT));
  }

  @ParameterizedTest
  @ValueSource(ints = {200, 429, 503})
  void anAnswerOfAnyStatusEndsTheSilence(int status) {
    health.sent(0);
    long second = health.sent(1);
    assertEquals(Verdict.SILENT, health.verdict(1 + OVERDUE));
    switch (status) {
      case 200 -> health.served(second, 2 + OVERDUE);
      case 429 -> health.busy(second, 2 + OVERDUE);
      default -> health.refused(second, 2 + OVERDUE);
    }
    assertEquals(Verdict.SERVING, health.verdict(1 + 3 * OVERDUE));
    assertEquals(status == 503, health.failingForMs(2 + OVERDUE) > 0);
  }

  @Test
  void aSlowServiceIsNotAskedAgainAtOnce() {
    assertEquals(StateConstants.ANSWER_OVERDUE_MS, health.overdueMs());
    for (int i = 0; i < 100; i++) {
      health.served(health.sent(i * 1_000L), i * 1_000L + 400);
    }
    assertTrue(health.overdueMs() > 1_000, "overdue after " + health.overdueMs());
    for (int i = 100; i < 200; i++) {
      health.served(health.sent(i * 1_000L), i * 1_000L + 8);
    }
    assertEquals(StateConstants.ANSWER_OVERDUE_MS, health.overdueMs());
  }

  /** A fifth of the answers lost, at forty requests a second: never taken for silence. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void aFifthOfTheAnswersLostIsNoSilence(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    ArrayDeque<long[]> lost = new ArrayDeque<>();
    for (long at = 0; at < 300_000; at += 25) {
      while (!lost.isEmpty() && lost.peek()[1] + TIMEOUT <= at) {
        health.unanswered(lost.poll()[0], at);
      }
      assertNotEquals(Verdict.SILENT, health.verdict(at), "at " + at);
      long ticket = health.sent(at);
      if (random.nextDouble() < 0.2) {
        lost.add(new long[] {ticket, at});
      } else {
        health.served(ticket, at + 8);
      }
    }
  }
}
