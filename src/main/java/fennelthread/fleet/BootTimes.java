package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Statistics of how long machines of each type take to boot, learnt from those that did. Some take
 * several times as long as the others and some never come up; on some days all are late, and on
 * some they are up within a second or two. A machine is judged by what became of those that were
 * requested with it or after it: on a day on which all are late, returning them would only begin
 * the wait anew.
 *
 * <p>Holds no clock: the time is passed in.
 */
final class BootTimes {
  private record Boot(long requestedAtMs, double tookS) {}

  private final Map<String, ArrayDeque<Boot>> byType = new HashMap<>();

  /** Records that a machine which was requested at that time reports for the first time. */
  void recordBoot(String type, long requestedAtMs, long nowMs) {
    ArrayDeque<Boot> boots = byType.computeIfAbsent(type, k -> new ArrayDeque<>());
    boots.add(new Boot(requestedAtMs, secondsBetween(requestedAtMs, nowMs)));
    if (boots.size() > FleetConstants.BOOT_SAMPLES) {
      boots.poll();
    }
  }

  /**
   * Returns true if a machine that is not up yet takes longer than nearly all do: another may be
   * requested in its place.
   *
   * @param nominalS what the cloud says that its type takes, s
   */
  boolean isLate(String type, double nominalS, long requestedAtMs, long nowMs) {
    double ageS = secondsBetween(requestedAtMs, nowMs);
    return ageS > nominalS * FleetConstants.LATE_BOOT_NOMINAL_FACTOR
        && ageS > typicalS(type) * FleetConstants.LATE_BOOT_OBSERVED_FACTOR;
  }

  /**
   * Returns true if a machine is to be returned: when several that were requested with it or later
   * are up, one if there are no others to be had, or when its timeout has passed.
   *
   * @param nominalS what the cloud says that its type takes, s
   * @param scarce whether the cloud has no more of its kind, so that it takes another's place
   */
  boolean isStuck(String type, double nominalS, long requestedAtMs, long nowMs, boolean scarce) {
    double ageS = secondsBetween(requestedAtMs, nowMs);
    if (ageS > timeoutS(nominalS)) {
      return true;
    }
    int minOvertakers =
        scarce ? FleetConstants.STUCK_BOOT_OVERTAKERS_SCARCE : FleetConstants.STUCK_BOOT_OVERTAKERS;
    return isLate(type, nominalS, requestedAtMs, nowMs)
        && ageS > nominalS * FleetConstants.STUCK_BOOT_NOMINAL_FACTOR
        && countOvertakers(type, requestedAtMs) >= minOvertakers;
  }

  private static double secondsBetween(long fromMs, long toMs) {
    return (toMs - fromMs) / 1000.0;
  }

  private static double timeoutS(double nominalS) {
    return Math.max(
        FleetConstants.MIN_BOOT_TIMEOUT_S,
        nominalS * FleetConstants.BOOT_TIMEOUT_FACTOR + FleetConstants.BOOT_TIMEOUT_SLACK_S);
  }

  /** Returns what nearly all remembered boots of a type took at most, s; 0 if there are none. */
  private double typicalS(String type) {
    double[] tookS =
        byType.getOrDefault(type, new ArrayDeque<>(0)).stream()
            .mapToDouble(Boot::tookS)
            .sorted()
            .toArray();
    return tookS.length == 0 ? 0 : tookS[(int) ((tookS.length - 1) * FleetConstants.BOOT_QUANTILE)];
  }

  /** Counts the machines of a type that are up and were requested at that time or later. */
  private int countOvertakers(String type, long requestedAtMs) {
    int overtakers = 0;
    for (Boot boot : byType.getOrDefault(type, new ArrayDeque<>(0))) {
      overtakers += boot.requestedAtMs >= requestedAtMs ? 1 : 0;
    }
    return overtakers;
  }
}
