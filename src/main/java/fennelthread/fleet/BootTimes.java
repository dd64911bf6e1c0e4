package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * How long machines of each type take to come up, learnt from those that did. Some take several
 * times as long as the others and some never come; on some days all are late, and on some they are
 * there within a second or two. A machine is told from its like by what came of those that were
 * asked for with it or after it: on a day on which all are late, to give them back would only begin
 * the wait anew. Pure: time is told.
 */
final class BootTimes {
  private record Boot(long askedMs, double tookS) {}

  private final Map<String, ArrayDeque<Boot>> byType = new HashMap<>();

  /** A machine that was asked for at {@code askedMs} reports for the first time. */
  void came(String type, long askedMs, long nowMs) {
    ArrayDeque<Boot> boots = byType.computeIfAbsent(type, k -> new ArrayDeque<>());
    boots.add(new Boot(askedMs, (nowMs - askedMs) / 1000.0));
    if (boots.size() > FleetConstants.BOOT_SAMPLES) {
      boots.poll();
    }
  }

  /**
   * True if a machine that is not up yet takes longer than nearly all do: another may be asked for
   * in its place.
   *
   * @param nominalS what the cloud says that its type takes, s
   */
  boolean isLate(String type, double nominalS, long askedMs, long nowMs) {
    double ageS = (nowMs - askedMs) / 1000.0;
    return ageS > nominalS * FleetConstants.LATE_BOOT_NOMINAL_FACTOR
        && ageS > usuallyS(type) * FleetConstants.LATE_BOOT_OBSERVED_FACTOR;
  }

  /**
   * True if it is to be given back: when several that were asked for with it or later are up, one
   * if there are no others to be had, or when it has had the longest time that is given to any.
   *
   * @param scarce whether the cloud has no more of its kind, so that it stands in another's place
   */
  boolean isDud(String type, double nominalS, long askedMs, long nowMs, boolean scarce) {
    double ageS = (nowMs - askedMs) / 1000.0;
    if (ageS
        > Math.max(
            FleetConstants.MIN_BOOT_TIMEOUT_S,
            nominalS * FleetConstants.BOOT_TIMEOUT_FACTOR + FleetConstants.BOOT_TIMEOUT_SLACK_S)) {
      return true;
    }
    return isLate(type, nominalS, askedMs, nowMs)
        && ageS > nominalS * FleetConstants.STUCK_BOOT_NOMINAL_FACTOR
        && overtakenBy(type, askedMs)
            >= (scarce
                ? FleetConstants.STUCK_BOOT_OVERTAKERS_SCARCE
                : FleetConstants.STUCK_BOOT_OVERTAKERS);
  }

  /**
   * What nearly all of those took that came up lately, s: an eighth of them may have taken longer.
   */
  private double usuallyS(String type) {
    double[] took =
        byType.getOrDefault(type, new ArrayDeque<>(0)).stream()
            .mapToDouble(Boot::tookS)
            .sorted()
            .toArray();
    return took.length == 0 ? 0 : took[(int) ((took.length - 1) * FleetConstants.BOOT_QUANTILE)];
  }

  private int overtakenBy(String type, long askedMs) {
    int later = 0;
    for (Boot b : byType.getOrDefault(type, new ArrayDeque<>(0))) {
      later += b.askedMs >= askedMs ? 1 : 0;
    }
    return later;
  }
}
