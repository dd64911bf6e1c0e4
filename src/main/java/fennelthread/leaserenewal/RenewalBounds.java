package fennelthread.leaserenewal;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.settings.Settings;

/**
 * For how long leases may be kept alive by a controller that can't know what users are told
 * elsewhere. A worker's tasks live on for a lease after the last report that was answered; all of a
 * cancelled job's must be gone within {@code cancel_s} of the moment its user was told. So a
 * controller that last knew of all cancellations at some moment answers no report later than {@code
 * cancel_s} less a lease after it.
 */
public final class RenewalBounds {
  private RenewalBounds() {}

  /**
   * How long after it last knew everything a controller may answer reports, ms of its own clock.
   */
  public static long keepMs(Settings.Workers workers) {
    return Math.max(LeaseRenewalConstants.KEEP_LEAST_MS, roomMs(workers));
  }

  /**
   * By how much a cancelled job's task may outlive its cancellation at the worst, ms; 0 if {@code
   * cancel_s} leaves enough room beside {@code lease_s}. A service that answered no report at all
   * would serve nobody.
   */
  public static long shortfallMs(Settings.Workers workers) {
    return Math.max(0, LeaseRenewalConstants.KEEP_LEAST_MS - roomMs(workers));
  }

  private static long roomMs(Settings.Workers workers) {
    return (long) (workers.cancelMs() * (1 - 2 * ProtocolConstants.CLOCK_DRIFT))
        - (long) (workers.leaseMs() * (1 + 2 * ProtocolConstants.CLOCK_DRIFT))
        - LeaseRenewalConstants.KEEP_MARGIN_MS;
  }

  /** The same as another controller must take it to be, whose clock may be faster, ms. */
  public static long keptAtMostMs(Settings.Workers workers) {
    return (long) (keepMs(workers) * (1 + 2 * ProtocolConstants.CLOCK_DRIFT))
        + ProtocolConstants.LEASE_MARGIN_MS;
  }
}
