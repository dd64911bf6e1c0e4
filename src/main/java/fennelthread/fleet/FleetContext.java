package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import fennelthread.wire.WorkerReport;

/** What the parts of one term's fleet share. */
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

  long nowMs() {
    return eventLoop.nowMs();
  }

  Settings settings() {
    return settings;
  }

  long reportMs() {
    return settings.workers().reportMs();
  }

  long leaseMs() {
    return settings.workers().leaseMs();
  }

  /** A worker's lease as our clock may have to count it, ms. */
  long leaseAtMostMs() {
    return (long) (leaseMs() * (1 + 2 * ProtocolConstants.CLOCK_DRIFT))
        + ProtocolConstants.EXPIRY_MARGIN_MS;
  }

  /** The epoch of the term. */
  long epoch() {
    return epoch;
  }

  /** True if a report shows a token of this term's epoch. */
  boolean isOurs(WorkerReport report) {
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

  /** True if the process has just stood still: what was sent to it waits to be read. */
  boolean isCatchingUp() {
    return link.stalls().isListening();
  }

  /** True if something that comes with every report should have come again since that time. */
  boolean isOverdue(long lastAtMs) {
    return !isCatchingUp() && nowMs() - lastAtMs > reportMs() * FleetConstants.SILENT_REPORTS_ALARM;
  }

  /** Ends the term. */
  void close() {
    closed = true;
  }

  /** True once the term is over: late answers change nothing any more. */
  boolean isClosed() {
    return closed;
  }
}
