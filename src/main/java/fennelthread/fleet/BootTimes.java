package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Records how long machines of each type take to boot, and decides from that whether a machine that
 * is not up yet is late or stuck. Some machines take several times as long as others of their type,
 * and some never come up. On some days all of them are slow, on others all are up within one or two
 * seconds. Therefore a machine is compared with those that were requested with it or after it: when
 * all are slow, returning them and requesting others would only restart the wait.
 *
 * <p>Does not read a clock: callers pass the current time.
 */
final class BootTimes {
  private record CompletedBoot(long requestedAtMs, double durationS) {}

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
   * Returns true if a machine that is not up yet has taken clearly longer than its nominal time and
   * than nearly all remembered boots of its type: another may be requested in its place.
   *
   * @param nominalS the boot time of its type according to the cloud, s
   */
  boolean isLate(String type, double nominalS, long requestedAtMs, long nowMs) {
    double ageS = secondsBetween(requestedAtMs, nowMs);
    return ageS > nominalS * FleetConstants.LATE_BOOT_NOMINAL_FACTOR
        && ageS > bootQuantileS(type) * FleetConstants.LATE_BOOT_OBSERVED_FACTOR;
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

  /**
   * Returns the {@link FleetConstants#BOOT_QUANTILE} quantile of the remembered boot times of a
   * type, s; 0 if there are none.
   */
  private double bootQuantileS(String type) {
    double[] durationsS =
        byType.getOrDefault(type, new ArrayDeque<>(0)).stream()
            .mapToDouble(CompletedBoot::durationS)
            .sorted()
            .toArray();
    return durationsS.length == 0
        ? 0
        : durationsS[(int) ((durationsS.length - 1) * FleetConstants.BOOT_QUANTILE)];
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
