package fennelthread.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Tests which machines that are not up yet count as late or stuck; unless a test passes another,
 * the nominal boot time is 10 s.
 */
class BootTimesTest {
  private static final double NOMINAL_S = 10;
  private final BootTimes bootTimes = new BootTimes();

  private boolean isLate(long requestedAtS, long nowS) {
    return bootTimes.isLate("mesa", NOMINAL_S, requestedAtS * 1000, nowS * 1000);
  }

  private boolean isStuck(long requestedAtS, long nowS, boolean isScarce) {
    return bootTimes.isStuck("mesa", NOMINAL_S, requestedAtS * 1000, nowS * 1000, isScarce);
  }

  private void recordBoot(long requestedAtS, long nowS) {
    bootTimes.recordBoot("mesa", requestedAtS * 1000, nowS * 1000);
  }

  @Test
  void nominalTimeDecidesWithoutRecordedBoots() {
    assertFalse(isLate(0, 15));
    assertTrue(isLate(0, 17));
    assertFalse(isStuck(0, 149, true));
    assertTrue(isStuck(0, 151, false));
    assertFalse(bootTimes.isStuck("torre", 40, 0, 219_000, true));
    assertTrue(bootTimes.isStuck("torre", 40, 0, 221_000, true));
  }

  /**
   * A machine that never comes up is returned long before its boot timeout once others that were
   * requested with it or later are up.
   */
  @Test
  void machineIsStuckWhenLaterRequestsAreUp() {
    recordBoot(0, 8);
    recordBoot(0, 9);
    assertFalse(isStuck(0, 30, false));
    assertTrue(isStuck(0, 30, true));
    recordBoot(5, 14);
    assertTrue(isStuck(0, 30, false));
    assertFalse(isStuck(0, 19, false), "stuck before twice the nominal boot time has passed");
    // Machines that were requested before it prove nothing.
    assertFalse(isStuck(6, 36, true));
  }

  /**
   * When all boots take about four times the nominal time, a machine is late only when it takes
   * clearly longer than these.
   */
  @Test
  void machineIsNotLateWhenAllTakeAsLong() {
    for (int i = 0; i < 8; i++) {
      recordBoot(0, 38 + i % 3);
    }
    assertFalse(isLate(40, 88));
    assertTrue(isLate(40, 94));
    // A single boot that takes far longer does not change the quantile.
    recordBoot(0, 65);
    assertTrue(isLate(40, 94));
  }

  @Test
  void bootsOfOneTypeDoNotMakeAnotherTypeStuck() {
    recordBoot(0, 8);
    recordBoot(0, 8);
    recordBoot(0, 8);
    assertFalse(bootTimes.isStuck("torre", NOMINAL_S, 0, 30_000, false));
  }
}
