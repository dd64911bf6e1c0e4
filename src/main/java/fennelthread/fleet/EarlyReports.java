package fennelthread.fleet;

import fennelthread.constants.ProtocolConstants;

/**
 * Asks workers to report before their next report is due, so that the starts which wait for a
 * report are sent sooner. A worker that learns of a higher token reports at once, though only once
 * in a while. The command that carries the token may also hold the stops and clears that are due; a
 * copy of it is harmless.
 */
final class EarlyReports {
  private final FleetContext context;
  private final DueCommandSender commands;

  EarlyReports(FleetContext context, DueCommandSender commands) {
    this.context = context;
    this.commands = commands;
  }

  /**
   * Asks a machine's worker to report, unless it would not report earlier for that, or reports soon
   * anyway since a start has just changed its tasks.
   *
   * @param onUnreachable run if opening a connection to the worker was tried and failed
   */
  void request(Machine machine, Runnable onUnreachable) {
    boolean isUseful = !isReportExpectedSoon(machine) && canCauseReport(machine);
    if (!DueCommandSender.isAddressable(machine) || !isUseful) {
      return;
    }
    long sentAtMs = context.nowMs();
    machine.tokens().raiseForReport(sentAtMs);
    commands.send(
        machine,
        context.listener().commandsFor(machine),
        () -> onExecuted(machine, sentAtMs),
        wasTried -> onNotSent(machine, wasTried, onUnreachable));
  }

  /**
   * Returns how long it is expected to take until a worker reports if it is asked to now, ms. Its
   * reports are at least {@link ProtocolConstants#MIN_REPORT_GAP_MS} apart.
   */
  long expectedWaitMs(Machine machine) {
    long sinceReportMs = context.nowMs() - machine.contact().reportAnsweredAtMs();
    if (context.isOverdue(machine.contact().reportAnsweredAtMs())) {
      return sinceReportMs;
    }
    long shortestMs = Math.max(0, ProtocolConstants.MIN_REPORT_GAP_MS - sinceReportMs);
    return isReportExpectedSoon(machine) || canCauseReport(machine)
        ? shortestMs
        : Math.max(shortestMs, context.reportMs() - sinceReportMs);
  }

  /** Returns true if a start or a higher token was sent that no report has shown yet. */
  private boolean isReportExpectedSoon(Machine machine) {
    return machine.hasUnreportedStarts()
        || machine.tokens().lastReported() < machine.currentToken(context.epoch())
        || machine.tokens().raisedAtMs() >= machine.contact().reportAnsweredAtMs();
  }

  private boolean canCauseReport(Machine machine) {
    return machine.tokens().wouldRaiseCauseReport(context.nowMs(), context.leaseMs());
  }

  private void onExecuted(Machine machine, long sentAtMs) {
    if (machine.contact().reportAnsweredAtMs() < sentAtMs) {
      machine.contact().onEarlyReportCaused(sentAtMs, context.nowMs());
    }
  }

  private void onNotSent(Machine machine, boolean wasTried, Runnable onUnreachable) {
    if (!context.isClosed() && wasTried) {
      machine.contact().onUnreachable(context.nowMs());
      onUnreachable.run();
    }
  }
}
