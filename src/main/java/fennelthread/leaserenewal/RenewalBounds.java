package fennelthread.leaserenewal;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.settings.Settings;

/**
 * The time for which a controller may renew workers' leases without knowing of new cancellations. A
 * worker's tasks run on for a lease after the last report that was answered, and all tasks of a
 * cancelled job must have ended within {@code cancel_s} of the moment at which its user was
 * answered. So a controller that last knew of all cancellations at some moment answers no report
 * later than {@code cancel_s} less a lease after it.
 */
public final class RenewalBounds {
  private RenewalBounds() {}

  /**
   * How long after it last knew of all cancellations a controller may answer reports, ms of its own
   * clock.
   */
  public static long renewalWindowMs(Settings.Workers workers) {
    return Math.max(LeaseRenewalConstants.MIN_RENEWAL_WINDOW_MS, unboundedWindowMs(workers));
  }

  /**
   * By how much a cancelled job's task may outlive its deadline at the worst, ms; 0 if {@code
   * cancel_s} is long enough beside {@code lease_s}. A controller that answered no report at all
   * would serve nobody.
   */
  public static long shortfallMs(Settings.Workers workers) {
    return Math.max(0, LeaseRenewalConstants.MIN_RENEWAL_WINDOW_MS - unboundedWindowMs(workers));
  }

  private static long unboundedWindowMs(Settings.Workers workers) {
    return (long) (workers.cancelMs() * (1 - 2 * ProtocolConstants.CLOCK_DRIFT))
        - (long) (workers.leaseMs() * (1 + 2 * ProtocolConstants.CLOCK_DRIFT))
        - LeaseRenewalConstants.RENEWAL_MARGIN_MS;
  }

  /**
   * The upper bound on the same window of a peer, whose clock may be slower than ours, ms of our
   * clock.
   */
  public static long maxPeerRenewalWindowMs(Settings.Workers workers) {
    return (long) (renewalWindowMs(workers) * (1 + 2 * ProtocolConstants.CLOCK_DRIFT))
        + ProtocolConstants.LEASE_MARGIN_MS;
  }
}
