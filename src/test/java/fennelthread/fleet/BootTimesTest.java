package fennelthread.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which machines that are not up yet count as late or stuck; a nominal boot takes 10 s here. */
class BootTimesTest {
  private static final double NOMINAL_S = 10;
  private final BootTimes bootTimes = new BootTimes();

  private boolean isLate(long requestedAtS, long nowS) {
    return bootTimes.isLate("mesa", NOMINAL_S, requestedAtS * 1000, nowS * 1000);
  }

  private boolean isStuck(long requestedAtS, long nowS, boolean scarce) {
    return bootTimes.isStuck("mesa", NOMINAL_S, requestedAtS * 1000, nowS * 1000, scarce);
  }

  private void recordBoot(long requestedAtS, long nowS) {
    bootTimes.recordBoot("mesa", requestedAtS * 1000, nowS * 1000);
  }

  @Test
  void withoutBootsOnRecordTheNominalTimeDecides() {
    assertFalse(isLate(0, 15));
    assertTrue(isLate(0, 17));
    assertFalse(isStuck(0, 149, true));
    assertTrue(isStuck(0, 151, false));
    assertFalse(bootTimes.isStuck("torre", 40, 0, 219_000, true));
    assertTrue(bootTimes.isStuck("torre", 40, 0, 221_000, true));
  }

  /** One of a batch that does not come up is returned long before the longest timeout. */
  @Test
  void machineThatOthersOvertookIsStuck() {
    recordBoot(0, 8);
    recordBoot(0, 9);
    assertFalse(isStuck(0, 30, false));
    assertTrue(isStuck(0, 30, true));
    recordBoot(5, 14);
    assertTrue(isStuck(0, 30, false));
    assertFalse(isStuck(0, 19, false), "before slow ones come up");
    // Those requested before it say nothing of it.
    assertFalse(isStuck(6, 36, true));
  }

  /**
   * On a day on which all take four times as long none is stuck, and none is late before they are.
   */
  @Test
  void machineIsNotLateWhenAllTakeAsLong() {
    for (int i = 0; i < 8; i++) {
      recordBoot(0, 38 + i % 3);
    }
    assertFalse(isLate(40, 88));
    assertTrue(isLate(40, 94));
    // One that took far longer does not change what nearly all take.
    recordBoot(0, 65);
    assertTrue(isLate(40, 94));
  }

  @Test
  void typesAreJudgedSeparately() {
    recordBoot(0, 8);
    recordBoot(0, 8);
    recordBoot(0, 8);
    assertFalse(bootTimes.isStuck("torre", NOMINAL_S, 0, 30_000, false));
  }
}
