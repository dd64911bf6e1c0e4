package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.EventLoop;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.LeaseRenewalResult;
import fennelthread.state.StateClient;

/**
 * Renews a leader's lease at the state service and tracks the local lease, during which the leader
 * may start tasks. The local lease begins at a clock reading taken <em>before</em> the claim or
 * renewal is sent, so that it expires before the lease at the state service, however long the
 * request takes.
 */
final class LeaderLeaseRenewer {
  /** Decides whether the lease is renewed further, and handles its expiry. */
  interface Owner {
    /** True if this controller leads under the epoch; renewals stop if it does not. */
    boolean isLeadingUnder(long epoch);

    /** Called when the state service says that the lease is no longer held. */
    void onStoreLeaseExpired();
  }

  private final EventLoop eventLoop;
  private final StateClient state;
  private final Owner owner;
  private final long storeTtlMs;
  private final long localTtlMs;
  private long storeLeaseId;
  private long localExpiryMs = Long.MIN_VALUE;

  LeaderLeaseRenewer(
      EventLoop eventLoop, StateClient state, Settings settings, Options options, Owner owner) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.owner = owner;
    this.storeTtlMs = storeTtlMs(settings, options);
    this.localTtlMs =
        (long) (storeTtlMs * (1 - 2 * ProtocolConstants.MAX_CLOCK_DRIFT))
            - ProtocolConstants.LEASE_MARGIN_MS;
  }

  private static long storeTtlMs(Settings settings, Options options) {
    if (options.storeLeaseMs() > 0) {
      return options.storeLeaseMs();
    }
    long share =
        (long) (settings.workers().leaseMs() * LeaderConstants.STORE_LEASE_SHARE_OF_WORKER_LEASE);
    return Math.min(
        LeaderConstants.MAX_STORE_LEASE_MS, Math.max(LeaderConstants.MIN_STORE_LEASE_MS, share));
  }

  /** The length of a lease at the state service, ms. */
  long storeTtlMs() {
    return storeTtlMs;
  }

  /** The lease at the state service that is held, or was held last; 0 before the first. */
  long storeLeaseId() {
    return storeLeaseId;
  }

  /** True if the lease at the state service can't have expired yet. */
  boolean isLocallyValid() {
    return eventLoop.nowMs() < localExpiryMs;
  }

  /** Adopts a lease whose claim was sent at {@code sentAtMs}, ms of the local clock. */
  void begin(long leaseId, long sentAtMs) {
    storeLeaseId = leaseId;
    localExpiryMs = sentAtMs + localTtlMs;
  }

  /** Ends the local lease at once. */
  void invalidate() {
    localExpiryMs = Long.MIN_VALUE;
  }

  /** Schedules the first renewal; others follow while the owner leads under the epoch. */
  void scheduleFirstRenewal(long epoch) {
    scheduleRenewal(epoch, storeTtlMs / LeaderConstants.RENEWALS_PER_STORE_LEASE);
  }

  private void scheduleRenewal(long epoch, long delayMs) {
    eventLoop.after(delayMs, () -> renew(epoch));
  }

  private void renew(long epoch) {
    if (!owner.isLeadingUnder(epoch)) {
      return;
    }
    long sentAtMs = eventLoop.nowMs();
    state.renewLease(storeLeaseId, result -> onRenewalAnswered(epoch, sentAtMs, result));
  }

  private void onRenewalAnswered(long epoch, long sentAtMs, LeaseRenewalResult result) {
    if (!owner.isLeadingUnder(epoch)) {
      return;
    }
    if (result == LeaseRenewalResult.EXPIRED) {
      owner.onStoreLeaseExpired();
      return;
    }
    boolean isRenewed = result == LeaseRenewalResult.RENEWED;
    if (isRenewed) {
      localExpiryMs = Math.max(localExpiryMs, sentAtMs + localTtlMs);
    }
    long intervalMs =
        isRenewed
            ? storeTtlMs / LeaderConstants.RENEWALS_PER_STORE_LEASE
            : ProtocolConstants.STATE_RETRY_DELAY_MS / 2;
    long spentMs = eventLoop.nowMs() - sentAtMs;
    scheduleRenewal(epoch, Math.max(LeaderConstants.MIN_RENEWAL_PAUSE_MS, intervalMs - spentMs));
  }
}
