package fennelthread.leaserenewal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.settings.Settings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The inequality of docs/lease-renewal.md, for the lease and cancel timeouts listed below. */
class RenewalBoundsTest {

  /**
   * The last lease that a controller renews ends within the cancel timeout at any permitted clock
   * drift, except for the shortfall where the cancel timeout is too short for the minimum renewal
   * window.
   */
  @ParameterizedTest
  @CsvSource({
    "10000,35000,0",
    "14000,44000,0",
    "22000,47000,0",
    "22000,52000,0",
    "22000,26000,0",
    "22000,25800,0",
    "22000,25000,724",
    "22000,22000,3724",
    "22000,10000,15724"
  })
  void lastRenewedLeaseEndsWithinCancelTimeout(long leaseMs, long cancelMs, long shortfallMs) {
    Settings.WorkerTiming workers = new Settings.WorkerTiming(4_000, leaseMs, cancelMs);
    double fastClock = 1 + 2 * ProtocolConstants.MAX_CLOCK_DRIFT;
    double slowClock = 1 - 2 * ProtocolConstants.MAX_CLOCK_DRIFT;
    double latestLeaseEndMs = RenewalBounds.renewalWindowMs(workers) + leaseMs * fastClock;
    assertTrue(
        RenewalBounds.renewalWindowMs(workers) >= LeaseRenewalConstants.MIN_RENEWAL_WINDOW_MS);
    assertEquals((double) shortfallMs, (double) RenewalBounds.shortfallMs(workers), 60);
    assertTrue(
        latestLeaseEndMs + LeaseRenewalConstants.RENEWAL_MARGIN_MS
            <= cancelMs * slowClock + RenewalBounds.shortfallMs(workers) + 1,
        "lease ends at ms " + latestLeaseEndMs);
  }
}
