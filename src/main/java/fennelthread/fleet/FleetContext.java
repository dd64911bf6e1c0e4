package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import fennelthread.wire.WorkerReport;

/** The clock, settings and collaborators that the parts of one term's {@link Fleet} share. */
final class FleetContext {
  private final EventLoop eventLoop;
  private final Settings settings;
  private final long epoch;
  private final FleetListener listener;
  private final WorkerLink link;
  private final AggregatedLog aggregatedLog;
  private boolean closed;

  FleetContext(
      EventLoop eventLoop,
      Settings settings,
      long epoch,
      FleetListener listener,
      WorkerLink link,
      AggregatedLog aggregatedLog) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.epoch = epoch;
    this.listener = listener;
    this.link = link;
    this.aggregatedLog = aggregatedLog;
  }

  /** Returns the time of the event loop's clock, ms. */
  long nowMs() {
    return eventLoop.nowMs();
  }

  Settings settings() {
    return settings;
  }

  /** Returns the interval of workers' reports, ms. */
  long reportMs() {
    return settings.workers().reportMs();
  }

  /** Returns the length of a worker's lease by the worker's own clock, ms. */
  long leaseMs() {
    return settings.workers().leaseMs();
  }

  /** Returns the longest time that a worker's lease can last by this controller's clock, ms. */
  long maxLeaseMs() {
    return (long) (leaseMs() * (1 + 2 * ProtocolConstants.MAX_CLOCK_DRIFT))
        + ProtocolConstants.EXPIRY_MARGIN_MS;
  }

  /** Returns the epoch of the term. */
  long epoch() {
    return epoch;
  }

  /** Returns true if a report names a fencing token of this term's epoch. */
  boolean isOfCurrentEpoch(WorkerReport report) {
    return MachineFencingTokens.epochOf(report) == epoch;
  }

  FleetListener listener() {
    return listener;
  }

  CommandTransport transport() {
    return link.transport();
  }

  AggregatedLog aggregatedLog() {
    return aggregatedLog;
  }

  /**
   * Returns true if the process has just stalled: reports that arrived during the stall may still
   * be unread.
   */
  boolean isCatchingUp() {
    return link.stalls().isListening();
  }

  /**
   * Returns true if {@code lastAtMs}, a time that each report updates, is further back than the
   * report interval explains; false while reports may still be unread after a stall.
   */
  boolean isOverdue(long lastAtMs) {
    return !isCatchingUp()
        && nowMs() - lastAtMs > reportMs() * FleetConstants.OVERDUE_REPORT_INTERVALS;
  }

  /** Ends the term. */
  void close() {
    closed = true;
  }

  /** Returns true once the term is over, so that answers which still arrive are ignored. */
  boolean isClosed() {
    return closed;
  }
}
