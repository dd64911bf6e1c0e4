package fennelthread.leaserenewal;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.settings.Settings;

/**
 * The time for which a controller may renew workers' leases without knowing of new cancellations. A
 * worker's tasks keep running for one lease after the last answered report, and all tasks of a
 * cancelled job must have ended within {@code cancel_s} of the answer to its user. So a controller
 * answers no report later than {@code cancel_s} minus one lease, less margins, after the moment up
 * to which it knows all cancellations.
 */
public final class RenewalBounds {
  private RenewalBounds() {}

  /**
   * How long after it last knew of all cancellations a controller may answer reports, ms of its own
   * clock.
   */
  public static long renewalWindowMs(Settings.WorkerTiming workers) {
    return Math.max(LeaseRenewalConstants.MIN_RENEWAL_WINDOW_MS, windowBeforeMinimumMs(workers));
  }

  /**
   * The most by which a cancelled job's task may outlive its deadline, ms; 0 if {@code cancel_s}
   * exceeds {@code lease_s} by enough. The window has a minimum despite that, because with an empty
   * window a controller could not answer any report.
   */
  public static long shortfallMs(Settings.WorkerTiming workers) {
    return Math.max(
        0, LeaseRenewalConstants.MIN_RENEWAL_WINDOW_MS - windowBeforeMinimumMs(workers));
  }

  private static long windowBeforeMinimumMs(Settings.WorkerTiming workers) {
    return (long) (workers.cancelMs() * (1 - 2 * ProtocolConstants.MAX_CLOCK_DRIFT))
        - (long) (workers.leaseMs() * (1 + 2 * ProtocolConstants.MAX_CLOCK_DRIFT))
        - LeaseRenewalConstants.RENEWAL_MARGIN_MS;
  }

  /**
   * The upper bound on a peer's renewal window, ms of the local clock, which may run faster than
   * the peer's.
   */
  public static long maxPeerRenewalWindowMs(Settings.WorkerTiming workers) {
    return (long) (renewalWindowMs(workers) * (1 + 2 * ProtocolConstants.MAX_CLOCK_DRIFT))
        + ProtocolConstants.LEASE_MARGIN_MS;
  }
}
