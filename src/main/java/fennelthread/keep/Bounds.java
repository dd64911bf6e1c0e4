package fennelthread.keep;

import fennelthread.Constants;
import fennelthread.settings.Settings;

/**
 * For how long leases may be kept alive by a controller that can't know what users are told elsewhere. A
 * worker's tasks live on for a lease after the last report that was answered; all of a withdrawn job's must
 * be gone within {@code cancel_s} of the moment its user was told. So a controller that last knew of all
 * withdrawals at some moment answers no report later than {@code cancel_s} less a lease after it.
 */
public final class Bounds {
  private Bounds() {}

  /** How long after it last knew everything a controller may answer reports, ms of its own clock. */
  public static long keepMs(Settings settings) {
    long keep =
        (long) (settings.workers().cancelMs() * (1 - 2 * Constants.CLOCK_DRIFT))
            - (long) (settings.workers().leaseMs() * (1 + 2 * Constants.CLOCK_DRIFT))
            - Constants.KEEP_MARGIN_MS;
    return Math.max(Constants.KEEP_LEAST_MS, keep);
  }

  /** The same as another controller must take it to be, whose clock may be faster, ms. */
  public static long keptAtMostMs(Settings settings) {
    return (long) (keepMs(settings) * (1 + 2 * Constants.CLOCK_DRIFT)) + Constants.LEASE_MARGIN_MS;
  }
}
