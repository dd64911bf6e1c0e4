package fennelthread.leader;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.LeaderConstants;
import org.junit.jupiter.api.Test;

class TaskBackoffTest {
  private static final int TASK = 4;

  private final TaskBackoff backoff = new TaskBackoff();

  private long delayMs(long nowMs) {
    long delayMs = 0;
    while (!backoff.mayTry(TASK, nowMs + delayMs)) {
      delayMs++;
    }
    return delayMs;
  }

  @Test
  void eachRefusalDoublesTheDelayUpToABound() {
    long expectedMs = LeaderConstants.MIN_TASK_BACKOFF_MS;
    for (int refusal = 0; refusal < 12; refusal++) {
      backoff.onRefused(TASK, 0, 0);
      assertEquals(Math.min(LeaderConstants.MAX_TASK_BACKOFF_MS, expectedMs), delayMs(0));
      expectedMs *= 2;
    }
  }

  @Test
  void refusalCountIsResetAfterAWindowWithoutIncidents() {
    backoff.onRefused(TASK, 0, 0);
    backoff.onRefused(TASK, 0, 0);
    long laterMs = LeaderConstants.FAILURE_WINDOW_MS + 1;
    backoff.onRefused(TASK, laterMs, 0);
    assertEquals(LeaderConstants.MIN_TASK_BACKOFF_MS, delayMs(laterMs));
  }

  @Test
  void jobIsFaultyOnlyOnceItFailedOnEnoughMachines() {
    assertFalse(backoff.onFailed(TASK, "m1", false, 0, 0));
    assertFalse(backoff.onFailed(TASK, "m1", false, 0, 0));
    assertFalse(backoff.onFailed(TASK, "m2", false, 0, 0));
    assertEquals(LeaderConstants.MIN_TASK_BACKOFF_MS / 3, delayMs(0));
    assertTrue(backoff.onFailed(TASK, "m3", false, 0, 0));
    assertTrue(delayMs(0) > LeaderConstants.MIN_TASK_BACKOFF_MS);
  }

  @Test
  void jobWithADoneTaskIsNotFaulty() {
    for (String machine : new String[] {"m1", "m2", "m3", "m4"}) {
      assertFalse(backoff.onFailed(TASK, machine, true, 0, 0));
    }
  }

  @Test
  void stoppedTaskMayBeTriedAtOnce() {
    backoff.onRefused(TASK, 0, 1);
    backoff.reset(TASK);
    assertTrue(backoff.mayTry(TASK, 0));
  }
}
