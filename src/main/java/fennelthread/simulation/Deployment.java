package fennelthread.simulation;

import fennelthread.settings.Settings;
import java.util.List;

/**
 * What a simulated cluster consists of.
 *
 * @param controllers how many; they are spread over the zones in turn
 * @param zones names of the zones; the machines that are up at the start are spread over them in
 *     turn
 * @param firstSmall machines of the small type that are up at the start
 * @param firstBig the same of the large type, all in the first zone
 * @param small machines of the small type that can be had in each zone, half as many cheap ones
 *     beside
 * @param big the same of the large type
 * @param teamCap most CPUs of a team
 * @param limits what the state service takes now
 * @param next what the controllers' settings say that it will take
 * @param reportMs how often workers report, ms
 * @param leaseMs the workers' lease, ms
 * @param cancelMs within which a cancelled job's tasks must be gone, ms
 * @param production true if all controllers begin with the version in production
 */
record Deployment(
    int controllers,
    List<String> zones,
    int firstSmall,
    int firstBig,
    int small,
    int big,
    double teamCap,
    Settings.StateLimits limits,
    Settings.StateLimits next,
    long reportMs,
    long leaseMs,
    long cancelMs,
    boolean production) {

  private static final List<String> TWO = List.of("norte", "sur");
  private static final Settings.StateLimits ROOMY = new Settings.StateLimits(500, 200, 8 * 1024, 8);
  private static final Settings.StateLimits ORDINARY =
      new Settings.StateLimits(150, 50, 8 * 1024, 16);

  /** Three controllers, a handful of machines, and a state service that takes all there is. */
  static Deployment tiny() {
    return new Deployment(3, TWO, 5, 1, 6, 2, 60, ROOMY, ROOMY, 1_500, 10_000, 30_000, false);
  }

  /** So many small machines at the start, with ordinary limits at the state service. */
  static Deployment large(int machines) {
    return new Deployment(
        3,
        TWO,
        machines - 1,
        machines / 20,
        machines,
        Math.max(2, machines / 20),
        machines * 8,
        ORDINARY,
        ORDINARY,
        1_500,
        10_000,
        30_000,
        false);
  }

  Deployment withTeamCap(double cpus) {
    return new Deployment(
        controllers,
        zones,
        firstSmall,
        firstBig,
        small,
        big,
        cpus,
        limits,
        next,
        reportMs,
        leaseMs,
        cancelMs,
        production);
  }

  Deployment withAnnouncedLimits(Settings.StateLimits announced) {
    return new Deployment(
        controllers,
        zones,
        firstSmall,
        firstBig,
        small,
        big,
        teamCap,
        limits,
        announced,
        reportMs,
        leaseMs,
        cancelMs,
        production);
  }

  /** Another state service, now and to come. */
  Deployment withLimits(Settings.StateLimits both) {
    return new Deployment(
        controllers,
        zones,
        firstSmall,
        firstBig,
        small,
        big,
        teamCap,
        both,
        both,
        reportMs,
        leaseMs,
        cancelMs,
        production);
  }

  Deployment withControllers(int number) {
    return new Deployment(
        number,
        zones,
        firstSmall,
        firstBig,
        small,
        big,
        teamCap,
        limits,
        next,
        reportMs,
        leaseMs,
        cancelMs,
        production);
  }

  Deployment withZones(List<String> names) {
    return new Deployment(
        controllers,
        names,
        firstSmall,
        firstBig,
        small,
        big,
        teamCap,
        limits,
        next,
        reportMs,
        leaseMs,
        cancelMs,
        production);
  }

  /** Workers that report and are given up at other times, ms. */
  Deployment withLease(long report, long lease, long cancel) {
    return new Deployment(
        controllers,
        zones,
        firstSmall,
        firstBig,
        small,
        big,
        teamCap,
        limits,
        next,
        report,
        lease,
        cancel,
        production);
  }

  Deployment withProductionVersion() {
    return new Deployment(
        controllers,
        zones,
        firstSmall,
        firstBig,
        small,
        big,
        teamCap,
        limits,
        next,
        reportMs,
        leaseMs,
        cancelMs,
        true);
  }
}
