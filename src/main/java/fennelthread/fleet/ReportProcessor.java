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
 * <p>Begin with {@link #handleReport}; what a report proves about attempts is in {@link
 * ReportEvidence}.
 */
final class ReportProcessor {
  private static final Logger log = LoggerFactory.getLogger(ReportProcessor.class);

  /** Why a worker sent a report. */
  private enum Source {
    /** The worker reported by itself: its lease is renewed by the answer. */
    UNSOLICITED,
    /** The report answers a command, and does not bring back a machine whose lease is over. */
    COMMAND_RESPONSE
  }

  /** Finds machines by name. */
  @FunctionalInterface
  interface MachineRegistry {
    /** Returns the machine of a name and adds it if it is not known. */
    Machine getOrAddMachine(String name);
  }

  private final FleetContext context;
  private final HeartbeatResponder responder;
  private final MachineRegistry machines;
  private final MachineProbes probes;
  private final StartSender starts;
  private final CommandQueue commands;
  private long lastReportAtMs = -1;

  ReportProcessor(
      FleetContext context,
      HeartbeatResponder responder,
      MachineRegistry machines,
      MachineProbes probes,
      StartSender starts,
      CommandQueue commands) {
    this.context = context;
    this.responder = responder;
    this.machines = machines;
    this.probes = probes;
    this.starts = starts;
    this.commands = commands;
  }

  /** Returns when a worker last reported by itself, ms, or -1. */
  long lastReportAtMs() {
    return lastReportAtMs;
  }

  /**
   * Answers a report that has not arrived before.
   *
   * @param via the member through which it arrived: a peer's name, or our own
   * @return the answer, or null if nobody may be answered now or another controller leads
   */
  Answer handleReport(WorkerReport report, String via) {
    if (!responder.mayRespond()) {
      // Cancellations that we do not know of may have been acknowledged to users: those tasks must
      // not live on. A leader in a zone that was cut off for 75 s once kept them for all of it.
      return null;
    }
    Machine machine = machines.getOrAddMachine(report.machine());
    if (isFencedOff(report)) {
      return null;
    }
    if (machine.phase() == Machine.Phase.GONE || machine.phase() == Machine.Phase.RETURNING) {
      // Late packets of a machine that is gone, or about to be, are not answered, so that its lease
      // is not renewed.
      return Answer.error(503, "machine is being returned");
    }
    machine.describe(report.type(), report.zone(), report.spot());
    lastReportAtMs = context.nowMs();
    return isOfOtherIncarnation(machine, report)
        ? queryRestart(machine, report)
        : answerCurrent(machine, report, via);
  }

  /** Reports a higher epoch to the listener; returns true if the report shows one. */
  private boolean isFencedOff(WorkerReport report) {
    long shownEpoch = MachineFencingTokens.epochOf(report);
    if (shownEpoch <= context.epoch()) {
      return false;
    }
    context.listener().onHigherEpochObserved(shownEpoch);
    return true;
  }

  private boolean isOfOtherIncarnation(Machine machine, WorkerReport report) {
    // A report may be overtaken by the answer to a probe that was sent a moment later.
    boolean overtaken =
        report.session() == machine.session()
            && context.nowMs() - machine.contact().lastReportAtMs()
                < ProtocolConstants.WORKER_WAITS_MS;
    return machine.isOfOtherIncarnation(report) && !overtaken;
  }

  private Answer answerCurrent(Machine machine, WorkerReport report, String via) {
    boolean newest = machine.isNewer(report);
    if (newest) {
      raiseTokenIfAnswersMayBeLost(machine, report, via);
    } else if (!machine.isConfirmed(context.epoch())) {
      // What seems newer may be a copy from an earlier incarnation of the machine: a probe shows.
      probes.probe(machine);
    }
    apply(machine, report, Source.UNSOLICITED);
    if (isUnreachable(machine)) {
      // For more than a lease, nothing that was sent has arrived. An answer could not renew the
      // worker's lease, and must not renew what we count of it.
      return Answer.error(503, "answers do not arrive");
    }
    long nowMs = context.nowMs();
    machine.contact().onReportAnswered(nowMs);
    if (!machine.isConfirmed(context.epoch())) {
      machine.contact().onUnacknowledgedAnswer(nowMs);
    }
    if (newest) {
      starts.markUnshownUnconfirmed(machine);
    }
    List<WorkerCommand> response = new ArrayList<>();
    if (machine.tokens().lastShown() >= 0) {
      response.addAll(commands.dueCommands(machine));
    }
    response.addAll(starts.startsForResponse(machine, newest));
    return responder.respond(report, machine.token(context.epoch()), response);
  }

  /**
   * Raises the machine's token if earlier answers may not have arrived: the report is late, comes
   * through another member, or is of a later session. Only a report that shows the raised token
   * proves that answers arrive.
   */
  private void raiseTokenIfAnswersMayBeLost(Machine machine, WorkerReport report, String via) {
    boolean pathChanged = machine.contact().observeReportPath(via);
    double maxIntervalMs =
        context.reportMs() * FleetConstants.LATE_REPORT_INTERVALS
            + FleetConstants.LATE_REPORT_SLACK_MS;
    boolean late =
        context.nowMs() - machine.contact().lastReportAtMs() > maxIntervalMs
            && !context.isCatchingUp();
    boolean sessionChanged = report.session() > machine.session();
    if (machine.contact().lastReportAtMs() >= 0
        && machine.isConfirmed(context.epoch())
        && (pathChanged || sessionChanged || late)) {
      machine.tokens().raise();
    }
  }

  /** Returns true if for more than a lease nothing has shown that an answer arrived. */
  private boolean isUnreachable(Machine machine) {
    long sinceMs = machine.contact().unacknowledgedSinceMs();
    return !machine.isConfirmed(context.epoch())
        && sinceMs >= 0
        && context.nowMs() - sinceMs > context.maxLeaseMs();
  }

  /**
   * Asks a machine whether it was restarted, after a report under a lower token than it has shown:
   * this is an old copy, or the first report of a machine that was restarted and has forgotten
   * everything. The question carries a token that is raised before: a start that is still in
   * flight, or arrives a second time, must not be carried out by the next incarnation.
   */
  private Answer queryRestart(Machine machine, WorkerReport report) {
    long nowMs = context.nowMs();
    MachineContact contact = machine.contact();
    if (!contact.isProbing()
        && nowMs - contact.restartQueriedAtMs() > FleetConstants.MIN_RESTART_QUERY_INTERVAL_MS) {
      contact.onRestartQuery(nowMs);
      machine.tokens().raise();
      probes.send(machine, report.address(), report.session());
    }
    return Answer.error(503, "tokens were forgotten");
  }

  /**
   * Applies a worker's answer to commands.
   *
   * @param known the newest report of the machine that was known when the commands were sent
   */
  void onCommandResponse(Machine machine, WorkerReport report, ReportPosition known) {
    if (!report.machine().equals(machine.name())) {
      // The address belongs to another machine by now.
      return;
    }
    if (isFencedOff(report)) {
      return;
    }
    machine.describe(report.type(), report.zone(), report.spot());
    if (!known.isBefore(report) && ReportPosition.of(machine).equals(known)) {
      // Answered after what we knew, it would be later in the same incarnation.
      log.info("machine restarted machine={}", machine.name());
      machine.onRestarted();
      machine.tokens().raise();
    }
    apply(machine, report, Source.COMMAND_RESPONSE);
  }

  /** Applies a report if it is the newest of its machine. */
  private void apply(Machine machine, WorkerReport report, Source source) {
    if (!machine.isNewer(report) || machine.phase() == Machine.Phase.GONE) {
      return;
    }
    machine.setAddress(report.address());
    boolean laterSession = report.session() > machine.session() && machine.session() > 0;
    if (context.isOfOurEpoch(report)) {
      updatePhase(machine, source);
      updateLeaseStart(machine, report);
    }
    boolean confirmedBefore = machine.isConfirmed(context.epoch());
    List<Attempt> ended = applyEvidence(machine, report);
    if (!ended.isEmpty() || laterSession || !confirmedBefore) {
      context.listener().onFleetChanged();
    }
    if (!machine.isConfirmed(context.epoch())) {
      probes.probe(machine);
    }
  }

  private void updatePhase(Machine machine, Source source) {
    boolean returns = machine.phase() == Machine.Phase.LOST && source == Source.UNSOLICITED;
    if (machine.phase() == Machine.Phase.AWAITING_REPORT || returns) {
      machine.transitionTo(Machine.Phase.REPORTING);
      context.listener().onFleetChanged();
    }
  }

  /**
   * Counts a worker's lease from now if its session may have begun just now, although the machine
   * has been known for long and was not answered yet. Only sessions that are shown under our epoch
   * count, as starts are sent to no others: a machine that receives nothing shows a later session
   * each time that its lease expires, and each once postponed the end of what a predecessor had
   * started there by another lease.
   */
  private void updateLeaseStart(Machine machine, WorkerReport report) {
    if (report.session() > machine.session() || !machine.tokens().areOf(context.epoch())) {
      machine.contact().onLeaseBegan(context.nowMs());
    }
  }

  private List<Attempt> applyEvidence(Machine machine, WorkerReport report) {
    ReportEvidence.Outcome outcome =
        ReportEvidence.apply(
            machine,
            report,
            context.epoch(),
            context.nowMs(),
            task -> context.listener().startOfDiscoveredTask(machine, task));
    outcome.discovered().forEach(context.listener()::onAttemptDiscovered);
    for (Attempt attempt : outcome.ended()) {
      log.debug(
          "attempt ended attempt={} reason={} session={} seq={} token={}",
          attempt,
          attempt.endReason(),
          report.session(),
          report.seq(),
          report.token());
      context.listener().onAttemptEnded(machine, attempt);
    }
    return outcome.ended();
  }
}
