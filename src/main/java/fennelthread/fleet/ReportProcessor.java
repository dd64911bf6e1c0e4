package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.Answer;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processes workers' reports: answers those that workers send by themselves, and applies these and
 * the ones that answer commands to the machines and attempts of the term.
 *
 * <p>{@link #handleReport} is the entry point. What a report proves about attempts is decided by
 * {@link AttemptReconciler}.
 */
final class ReportProcessor {
  private static final Logger log = LoggerFactory.getLogger(ReportProcessor.class);

  /** The reason for which a worker sent a report. */
  private enum ReportTrigger {
    /** The worker reported by itself, and the answer renews its lease. */
    UNSOLICITED,
    /** The report answers a command. It renews no lease, so a lost machine stays lost. */
    COMMAND_RESPONSE
  }

  /** Finds the machines of the term. */
  @FunctionalInterface
  interface MachineRegistry {
    /** Returns the machine of a name, and adds it if it is not known. */
    Machine getOrAddMachine(String name);
  }

  private final FleetContext context;
  private final HeartbeatResponder responder;
  private final MachineRegistry machines;
  private final MachineProbes probes;
  private final StartSender starts;
  private long lastReportAtMs = -1;

  ReportProcessor(
      FleetContext context,
      HeartbeatResponder responder,
      MachineRegistry machines,
      MachineProbes probes,
      StartSender starts) {
    this.context = context;
    this.responder = responder;
    this.machines = machines;
    this.probes = probes;
    this.starts = starts;
  }

  /**
   * Returns when a worker last reported by itself, ms, or -1 if none has. Reports of machines that
   * are being returned do not count.
   */
  long lastReportAtMs() {
    return lastReportAtMs;
  }

  /**
   * Answers a report that {@link StaleReportFilter} has not rejected.
   *
   * @param receivingMember the member that received it from the worker: a peer's name, or our own
   * @return the answer, or null if this controller may answer no reports now, or the report shows
   *     that another controller leads
   */
  Answer handleReport(WorkerReport report, String receivingMember) {
    if (!responder.mayRespond()) {
      // Other controllers may have acknowledged cancellations that this one does not know of. An
      // answer would renew the lease under which the cancelled tasks run, so that a leader in a
      // zone that is cut off for 75 s would keep them running for all that time.
      return null;
    }
    Machine machine = machines.getOrAddMachine(report.machine());
    if (detectHigherEpoch(report)) {
      return null;
    }
    if (machine.phase() == Machine.Phase.GONE || machine.phase() == Machine.Phase.RETURNING) {
      // Late reports of a machine that is gone or being returned must not renew its lease.
      return Answer.error(503, "machine is being returned");
    }
    machine.setDescription(report.type(), report.zone(), report.spot());
    lastReportAtMs = context.nowMs();
    return mayBeOfOtherIncarnation(machine, report)
        ? queryRestart(machine, report)
        : answerCurrent(machine, report, receivingMember);
  }

  /**
   * Returns true if a report names a higher epoch than that of the term, and notifies the listener.
   */
  private boolean detectHigherEpoch(WorkerReport report) {
    long reportedEpoch = MachineFencingTokens.epochOf(report);
    if (reportedEpoch <= context.epoch()) {
      return false;
    }
    context.listener().onHigherEpochObserved(reportedEpoch);
    return true;
  }

  private boolean mayBeOfOtherIncarnation(Machine machine, WorkerReport report) {
    // The answer to a probe may have overtaken a report that the worker sent just before.
    boolean isOvertaken =
        report.session() == machine.session()
            && context.nowMs() - machine.contact().lastReportAtMs()
                < ProtocolConstants.WORKER_REPORT_TIMEOUT_MS;
    return machine.isUnderLowerToken(report) && !isOvertaken;
  }

  private Answer answerCurrent(Machine machine, WorkerReport report, String receivingMember) {
    boolean isNewest = machine.isNewer(report);
    if (isNewest) {
      raiseTokenIfAnswersMayBeLost(machine, report, receivingMember);
    } else if (!machine.isConfirmed(context.epoch())) {
      // The report that is taken for the newest may be a copy from an earlier incarnation of the
      // machine. The answer to a probe shows whether it is.
      probes.probe(machine);
    }
    apply(machine, report, ReportTrigger.UNSOLICITED);
    if (isUnreachable(machine)) {
      // Nothing that was sent has arrived for more than a lease, so this answer will not renew the
      // worker's lease either, and it must not count as a renewal here.
      return Answer.error(503, "answers do not arrive");
    }
    long nowMs = context.nowMs();
    machine.contact().onReportAnswered(nowMs);
    if (!machine.isConfirmed(context.epoch())) {
      machine.contact().onUnacknowledgedAnswer(nowMs);
    }
    if (isNewest) {
      starts.markUnreportedUnconfirmed(machine);
    }
    List<WorkerCommand> response = new ArrayList<>();
    if (machine.tokens().lastReported() >= 0) {
      response.addAll(context.listener().commandsFor(machine));
    }
    response.addAll(starts.startsForResponse(machine, isNewest));
    return responder.respond(report, machine.currentToken(context.epoch()), response);
  }

  /**
   * Raises the machine's token if earlier answers may not have arrived: the report is late, comes
   * through another member than the last, or is of a later session. Only a report that names the
   * raised token proves that answers arrive.
   */
  private void raiseTokenIfAnswersMayBeLost(
      Machine machine, WorkerReport report, String receivingMember) {
    boolean hasPathChanged = machine.contact().observeReportPath(receivingMember);
    double maxIntervalMs =
        context.reportMs() * FleetConstants.LATE_REPORT_INTERVALS
            + FleetConstants.LATE_REPORT_SLACK_MS;
    boolean isLate =
        context.nowMs() - machine.contact().lastReportAtMs() > maxIntervalMs
            && !context.isCatchingUp();
    boolean hasSessionChanged = report.session() > machine.session();
    if (machine.contact().lastReportAtMs() >= 0
        && machine.isConfirmed(context.epoch())
        && (hasPathChanged || hasSessionChanged || isLate)) {
      machine.tokens().raise(context.nowMs());
    }
  }

  /** Returns true if answers were sent for more than a lease without proof that one has arrived. */
  private boolean isUnreachable(Machine machine) {
    long sinceMs = machine.contact().unacknowledgedSinceMs();
    return !machine.isConfirmed(context.epoch())
        && sinceMs >= 0
        && context.nowMs() - sinceMs > context.maxLeaseMs();
  }

  /**
   * Probes a machine to find out whether it was restarted, after a report under a lower token than
   * it has named before. Such a report is an old copy, or the first one after a restart, in which
   * the worker has forgotten its tasks and tokens. The probe carries a raised token, so that the
   * new incarnation refuses starts that are still in flight or are delivered a second time.
   */
  private Answer queryRestart(Machine machine, WorkerReport report) {
    long nowMs = context.nowMs();
    MachineContact contact = machine.contact();
    if (!contact.isProbing()
        && nowMs - contact.restartQueriedAtMs() > FleetConstants.MIN_RESTART_QUERY_INTERVAL_MS) {
      contact.onRestartQuery(nowMs);
      machine.tokens().raise(context.nowMs());
      probes.send(machine, report.address(), report.session());
    }
    return Answer.error(503, "tokens were forgotten");
  }

  /**
   * Applies the report with which a worker has answered commands or a probe.
   *
   * @param known the newest report of the machine that was known when the commands were sent
   */
  void onCommandResponse(Machine machine, WorkerReport report, ReportPosition known) {
    if (!report.machine().equals(machine.name())) {
      // The address now belongs to another machine.
      return;
    }
    if (detectHigherEpoch(report)) {
      return;
    }
    machine.setDescription(report.type(), report.zone(), report.spot());
    if (!known.isBefore(report) && ReportPosition.of(machine).equals(known)) {
      // Within one incarnation, a report that answers commands is later than all that were known
      // when the commands were sent.
      log.info("machine restarted machine={}", machine.name());
      machine.onRestarted();
      machine.tokens().raise(context.nowMs());
    }
    apply(machine, report, ReportTrigger.COMMAND_RESPONSE);
  }

  /** Applies a report if it is newer than all others of its machine. */
  private void apply(Machine machine, WorkerReport report, ReportTrigger trigger) {
    if (!machine.isNewer(report) || machine.phase() == Machine.Phase.GONE) {
      return;
    }
    machine.setAddress(report.address());
    boolean isLaterSession = report.session() > machine.session() && machine.session() > 0;
    if (context.isOfCurrentEpoch(report)) {
      updatePhase(machine, trigger);
      updateLeaseStart(machine, report);
    }
    boolean wasConfirmed = machine.isConfirmed(context.epoch());
    List<Attempt> ended = reconcileAttempts(machine, report);
    if (!ended.isEmpty() || isLaterSession || !wasConfirmed) {
      context.listener().onFleetChanged();
    }
    if (!machine.isConfirmed(context.epoch())) {
      probes.probe(machine);
    }
  }

  private void updatePhase(Machine machine, ReportTrigger trigger) {
    boolean hasResumedReporting =
        machine.phase() == Machine.Phase.LOST && trigger == ReportTrigger.UNSOLICITED;
    if (machine.phase() == Machine.Phase.AWAITING_REPORT || hasResumedReporting) {
      machine.transitionTo(Machine.Phase.REPORTING);
      context.listener().onFleetChanged();
    }
  }

  /**
   * Counts a worker's lease from now if its session may have begun just now. To be called only for
   * reports under a token of this epoch, since starts are sent to no other sessions. A machine that
   * receives nothing reports a later session each time that its lease expires. If such sessions
   * counted, each would delay the expiry that ends the attempts of an earlier term on that machine
   * by another lease.
   */
  private void updateLeaseStart(Machine machine, WorkerReport report) {
    if (report.session() > machine.session()
        || !machine.tokens().isLastReportedOf(context.epoch())) {
      machine.contact().onLeaseBegan(context.nowMs());
    }
  }

  private List<Attempt> reconcileAttempts(Machine machine, WorkerReport report) {
    AttemptReconciler.AttemptChanges changes =
        AttemptReconciler.reconcile(
            machine,
            report,
            context.epoch(),
            context.nowMs(),
            task -> context.listener().startOfDiscoveredTask(machine, task));
    changes.discovered().forEach(context.listener()::onAttemptDiscovered);
    for (Attempt attempt : changes.ended()) {
      log.debug(
          "attempt ended attempt={} reason={} session={} seq={} token={}",
          attempt,
          attempt.endReason(),
          report.session(),
          report.seq(),
          report.token());
      context.listener().onAttemptEnded(machine, attempt);
    }
    return changes.ended();
  }
}
