package fennelthread.simulation;

import fennelthread.settings.Settings;
import java.util.List;

/**
 * The size and limits of a simulated cluster.
 *
 * @param controllers number of controllers, assigned to the zones in turn
 * @param zones zone names; the initial small machines are assigned to them in turn
 * @param initialSmall small machines at the start
 * @param initialLarge large machines at the start, all in the first zone
 * @param smallPerZone regular small machines that can be rented in each zone; half as many spot
 *     machines can be rented besides
 * @param largePerZone the same for the large type
 * @param teamCap CPU limit of each team
 * @param limits the state service's limits at the start
 * @param announcedLimits the state service's limits in the controllers' settings
 * @param reportMs interval of the workers' reports, ms
 * @param leaseMs duration of the workers' lease, ms
 * @param cancelMs time within which a cancelled job's tasks must end, ms
 * @param production true if all controllers start with the version in production
 */
record Deployment(
    int controllers,
    List<String> zones,
    int initialSmall,
    int initialLarge,
    int smallPerZone,
    int largePerZone,
    double teamCap,
    Settings.StateLimits limits,
    Settings.StateLimits announcedLimits,
    long reportMs,
    long leaseMs,
    long cancelMs,
    boolean production) {

  private static final List<String> TWO_ZONES = List.of("norte", "sur");
  private static final Settings.StateLimits GENEROUS_LIMITS =
      new Settings.StateLimits(500, 200, 8 * 1024, 8);
  private static final Settings.StateLimits ORDINARY_LIMITS =
      new Settings.StateLimits(150, 50, 8 * 1024, 16);

  /** Three controllers, six machines, and generous limits of the state service. */
  static Deployment tiny() {
    return new Deployment(
        3,
        TWO_ZONES,
        5,
        1,
        6,
        2,
        60,
        GENEROUS_LIMITS,
        GENEROUS_LIMITS,
        1_500,
        10_000,
        30_000,
        false);
  }

  /**
   * {@code machines - 1} small and {@code machines / 20} large machines at the start, with ordinary
   * limits of the state service.
   */
  static Deployment large(int machines) {
    return new Deployment(
        3,
        TWO_ZONES,
        machines - 1,
        machines / 20,
        machines,
        Math.max(2, machines / 20),
        machines * 8,
        ORDINARY_LIMITS,
        ORDINARY_LIMITS,
        1_500,
        10_000,
        30_000,
        false);
  }

  Deployment withTeamCap(double cpus) {
    return new Deployment(
        controllers,
        zones,
        initialSmall,
        initialLarge,
        smallPerZone,
        largePerZone,
        cpus,
        limits,
        announcedLimits,
        reportMs,
        leaseMs,
        cancelMs,
        production);
  }

  Deployment withAnnouncedLimits(Settings.StateLimits newLimits) {
    return new Deployment(
        controllers,
        zones,
        initialSmall,
        initialLarge,
        smallPerZone,
        largePerZone,
        teamCap,
        limits,
        newLimits,
        reportMs,
        leaseMs,
        cancelMs,
        production);
  }

  /** Sets the state service's limits, both the actual and the announced ones. */
  Deployment withLimits(Settings.StateLimits newLimits) {
    return new Deployment(
        controllers,
        zones,
        initialSmall,
        initialLarge,
        smallPerZone,
        largePerZone,
        teamCap,
        newLimits,
        newLimits,
        reportMs,
        leaseMs,
        cancelMs,
        production);
  }

  Deployment withControllers(int count) {
    return new Deployment(
        count,
        zones,
        initialSmall,
        initialLarge,
        smallPerZone,
        largePerZone,
        teamCap,
        limits,
        announcedLimits,
        reportMs,
        leaseMs,
        cancelMs,
        production);
  }

  Deployment withZones(List<String> names) {
    return new Deployment(
        controllers,
        names,
        initialSmall,
        initialLarge,
        smallPerZone,
        largePerZone,
        teamCap,
        limits,
        announcedLimits,
        reportMs,
        leaseMs,
        cancelMs,
        production);
  }

  /** Sets the workers' report interval, lease and cancellation deadline, ms. */
  Deployment withLease(long newReportMs, long newLeaseMs, long newCancelMs) {
    return new Deployment(
        controllers,
        zones,
        initialSmall,
        initialLarge,
        smallPerZone,
        largePerZone,
        teamCap,
        limits,
        announcedLimits,
        newReportMs,
        newLeaseMs,
        newCancelMs,
        production);
  }

  Deployment withProductionVersion() {
    return new Deployment(
        controllers,
        zones,
        initialSmall,
        initialLarge,
        smallPerZone,
        largePerZone,
        teamCap,
        limits,
        announcedLimits,
        reportMs,
        leaseMs,
        cancelMs,
        true);
  }
}
