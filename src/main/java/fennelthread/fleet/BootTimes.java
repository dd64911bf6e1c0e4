package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Statistics of how long machines of each type take to boot, from which it is decided whether one
 * that is not up yet is late or stuck. Some machines take several times as long as others of their
 * type, and some never come up. On some days all of them are slow, on others all are up within one
 * or two seconds. So a machine is compared with those that were requested with it or after it: when
 * all are slow, returning them and requesting others would only begin the wait anew.
 *
 * <p>Holds no clock: the time is passed in.
 */
final class BootTimes {
  private record CompletedBoot(long requestedAtMs, double tookS) {}

  private final Map<String, ArrayDeque<CompletedBoot>> byType = new HashMap<>();

  /** Records that a machine which was requested at {@code requestedAtMs} is up by now. */
  void recordBoot(String type, long requestedAtMs, long nowMs) {
    ArrayDeque<CompletedBoot> boots = byType.computeIfAbsent(type, k -> new ArrayDeque<>());
    boots.add(new CompletedBoot(requestedAtMs, secondsBetween(requestedAtMs, nowMs)));
    if (boots.size() > FleetConstants.BOOT_SAMPLES) {
      boots.poll();
    }
  }

  /**
   * Returns true if a machine that is not up yet takes longer than nearly all of its type: another
   * may be requested in its place.
   *
   * @param nominalS the boot time of its type according to the cloud, s
   */
  boolean isLate(String type, double nominalS, long requestedAtMs, long nowMs) {
    double ageS = secondsBetween(requestedAtMs, nowMs);
    return ageS > nominalS * FleetConstants.LATE_BOOT_NOMINAL_FACTOR
        && ageS > typicalS(type) * FleetConstants.LATE_BOOT_OBSERVED_FACTOR;
  }

  /**
   * Returns true if a machine will probably never come up and is to be returned: its timeout has
   * passed; or it is late, well past its nominal time, and several machines that were requested
   * with it or later are up. If it is scarce, a single one of these is enough.
   *
   * @param nominalS the boot time of its type according to the cloud, s
   * @param isScarce whether the cloud has no more machines of its kind, so that one that boots can
   *     only be rented once this one is returned
   */
  boolean isStuck(String type, double nominalS, long requestedAtMs, long nowMs, boolean isScarce) {
    double ageS = secondsBetween(requestedAtMs, nowMs);
    if (ageS > timeoutS(nominalS)) {
      return true;
    }
    int minUp =
        isScarce
            ? FleetConstants.STUCK_BOOT_OVERTAKERS_SCARCE
            : FleetConstants.STUCK_BOOT_OVERTAKERS;
    return isLate(type, nominalS, requestedAtMs, nowMs)
        && ageS > nominalS * FleetConstants.STUCK_BOOT_NOMINAL_FACTOR
        && countUpAndRequestedSince(type, requestedAtMs) >= minUp;
  }

  private static double secondsBetween(long fromMs, long toMs) {
    return (toMs - fromMs) / 1000.0;
  }

  private static double timeoutS(double nominalS) {
    return Math.max(
        FleetConstants.MIN_BOOT_TIMEOUT_S,
        nominalS * FleetConstants.BOOT_TIMEOUT_FACTOR + FleetConstants.BOOT_TIMEOUT_SLACK_S);
  }

  /** Returns the longest time that nearly all remembered boots of a type took, s; 0 without any. */
  private double typicalS(String type) {
    double[] tookS =
        byType.getOrDefault(type, new ArrayDeque<>(0)).stream()
            .mapToDouble(CompletedBoot::tookS)
            .sorted()
            .toArray();
    return tookS.length == 0 ? 0 : tookS[(int) ((tookS.length - 1) * FleetConstants.BOOT_QUANTILE)];
  }

  /** Counts the remembered boots of a type that were requested at a time or later. */
  private int countUpAndRequestedSince(String type, long requestedAtMs) {
    int up = 0;
    for (CompletedBoot boot : byType.getOrDefault(type, new ArrayDeque<>(0))) {
      up += boot.requestedAtMs >= requestedAtMs ? 1 : 0;
    }
    return up;
  }
}
