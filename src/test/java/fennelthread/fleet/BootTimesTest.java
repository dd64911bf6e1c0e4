package fennelthread.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What is thought of machines that are not up yet: a nominal boot takes 10 s here. */
class BootTimesTest {
  private static final double NOMINAL_S = 10;
  private final BootTimes boots = new BootTimes();

  private boolean isLate(long askedS, long nowS) {
    return boots.isLate("mesa", NOMINAL_S, askedS * 1000, nowS * 1000);
  }

  private boolean isDud(long askedS, long nowS, boolean scarce) {
    return boots.isDud("mesa", NOMINAL_S, askedS * 1000, nowS * 1000, scarce);
  }

  private void came(long askedS, long nowS) {
    boots.came("mesa", askedS * 1000, nowS * 1000);
  }

  @Test
  void withoutAnyThatCameOnlyTheCloudsWordCounts() {
    assertFalse(isLate(0, 15));
    assertTrue(isLate(0, 17));
    assertFalse(isDud(0, 149, true));
    assertTrue(isDud(0, 151, false));
    assertFalse(boots.isDud("torre", 40, 0, 219_000, true));
    assertTrue(boots.isDud("torre", 40, 0, 221_000, true));
  }

  /**
   * One of a batch that stays away is given back long before the longest time that any is given.
   */
  @Test
  void oneThatOthersHaveOvertakenIsADud() {
    came(0, 8);
    came(0, 9);
    assertFalse(isDud(0, 30, false));
    assertTrue(isDud(0, 30, true));
    came(5, 14);
    assertTrue(isDud(0, 30, false));
    assertFalse(isDud(0, 19, false), "sooner than slow ones come");
    // Those asked for before it say nothing of it.
    assertFalse(isDud(6, 36, true));
  }

  /**
   * On a day on which all take four times as long none is a dud, and none is late before they are.
   */
  @Test
  void whatAllTakeIsNotLate() {
    for (int i = 0; i < 8; i++) {
      came(0, 38 + i % 3);
    }
    assertFalse(isLate(40, 88));
    assertTrue(isLate(40, 94));
    // One that took far longer does not change what nearly all take.
    came(0, 65);
    assertTrue(isLate(40, 94));
  }

  @Test
  void typesAreToldApart() {
    came(0, 8);
    came(0, 8);
    came(0, 8);
    assertFalse(boots.isDud("torre", NOMINAL_S, 0, 30_000, false));
  }
}
