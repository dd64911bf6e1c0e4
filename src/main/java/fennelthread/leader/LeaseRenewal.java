package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.EventLoop;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.state.LeaseRenewalResult;
import fennelthread.state.StateClient;

/**
 * Renews a leader's lease at the state service, and counts the local lease that entitles it to
 * start tasks. The local lease is counted from a clock reading taken <em>before</em> the claim or
 * renewal was sent, so that it expires before the lease at the state service does, however long the
 * request took.
 */
final class LeaseRenewal {
  /** The state machine whose lease is renewed. */
  interface Owner {
    /** True if this controller leads under that epoch; renewals for others end. */
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

  LeaseRenewal(
      EventLoop eventLoop, StateClient state, Settings settings, Options options, Owner owner) {
    this.eventLoop = eventLoop;
    this.state = state;
    this.owner = owner;
    this.storeTtlMs = storeTtlMs(settings, options);
    this.localTtlMs =
        (long) (storeTtlMs * (1 - 2 * ProtocolConstants.CLOCK_DRIFT))
            - ProtocolConstants.LEASE_MARGIN_MS;
  }

  private static long storeTtlMs(Settings settings, Options options) {
    if (options.grantMs() > 0) {
      return options.grantMs();
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

  /** The lease at the state service that is or was held last; 0 before the first. */
  long storeLeaseId() {
    return storeLeaseId;
  }

  /** True if the lease at the state service can't have expired yet. */
  boolean isLocallyValid() {
    return eventLoop.nowMs() < localExpiryMs;
  }

  /** Takes up a lease whose claim was sent at {@code sentAtMs}, ms of the local clock. */
  void begin(long leaseId, long sentAtMs) {
    storeLeaseId = leaseId;
    localExpiryMs = sentAtMs + localTtlMs;
  }

  /** Ends the local lease at once. */
  void invalidate() {
    localExpiryMs = Long.MIN_VALUE;
  }

  /** Schedules the first renewal; others follow while the owner leads under the epoch. */
  void scheduleFirst(long epoch) {
    schedule(epoch, storeTtlMs / LeaderConstants.RENEWALS_PER_STORE_LEASE);
  }

  private void schedule(long epoch, long delayMs) {
    eventLoop.after(delayMs, () -> renew(epoch));
  }

  private void renew(long epoch) {
    if (!owner.isLeadingUnder(epoch)) {
      return;
    }
    long sentAtMs = eventLoop.nowMs();
    state.renewLease(storeLeaseId, result -> onAnswered(epoch, sentAtMs, result));
  }

  private void onAnswered(long epoch, long sentAtMs, LeaseRenewalResult result) {
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
            : ProtocolConstants.RETRY_MS / 2;
    long spentMs = eventLoop.nowMs() - sentAtMs;
    schedule(epoch, Math.max(LeaderConstants.MIN_RENEWAL_PAUSE_MS, intervalMs - spentMs));
  }
}
