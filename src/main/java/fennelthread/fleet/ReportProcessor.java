package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.net.Answer;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Takes what workers say: answers the reports that they send by themselves, and applies those and
 * the reports that answer commands.
 */
final class ReportProcessor {
  private static final Logger log = LoggerFactory.getLogger(ReportProcessor.class);

  private final FleetContext context;
  private final HeartbeatResponder responder;
  private final Function<String, Machine> machines;
  private final MachineProbes probes;
  private final StartSender starts;
  private final CommandQueue commands;
  private long lastReportAtMs = -1;

  /**
   * Creates it.
   *
   * @param machines gives the machine of a name, which is known from then on
   */
  ReportProcessor(
      FleetContext context,
      HeartbeatResponder responder,
      Function<String, Machine> machines,
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

  /** When a worker last reported by itself, or -1. */
  long lastReportAtMs() {
    return lastReportAtMs;
  }

  /**
   * Answers a report that has not come in before; null if nobody may be answered now, or if another
   * leads.
   *
   * @param by whom it came: a peer's name, or ours
   */
  Answer answer(WorkerReport report, String by) {
    if (!responder.mayRespond()) {
      // Users may have been told of cancellations that we know nothing of: those tasks must not
      // live on. A leader in a zone that was cut off for 75 s once kept them for all of it.
      return null;
    }
    Machine machine = machines.apply(report.machine());
    if (MachineFencingTokens.epochOf(report) > context.epoch()) {
      context.listener().onHigherEpochObserved(MachineFencingTokens.epochOf(report));
      return null;
    }
    if (machine.phase() == Machine.Phase.GONE || machine.phase() == Machine.Phase.RETURNING) {
      // Late packets of a machine that is gone, or about to be: not answered, so that its lease
      // isn't lengthened.
      return Answer.error(503, "machine is being returned");
    }
    machine.describe(report.type(), report.zone(), report.spot());
    lastReportAtMs = context.nowMs();
    return isOfOtherIncarnation(machine, report)
        ? queryRestart(machine, report)
        : answerNext(machine, report, by);
  }

  private boolean isOfOtherIncarnation(Machine machine, WorkerReport report) {
    // A report may be overtaken by the answer to a question that was put to its machine a moment
    // later.
    boolean overtaken =
        report.session() == machine.session()
            && context.nowMs() - machine.lastReportAtMs() < ProtocolConstants.WORKER_WAITS_MS;
    return machine.isOfOtherIncarnation(report) && !overtaken;
  }

  private Answer answerNext(Machine machine, WorkerReport report, String by) {
    boolean newest = machine.isNewer(report);
    if (newest) {
      raiseTokenIfAnswersMayBeLost(machine, report, by);
    } else if (!machine.isConfirmed(context.epoch())) {
      // What we take for newer may be a copy from an earlier life of the machine: it tells itself.
      probes.probe(machine);
    }
    apply(machine, report, true);
    if (isUnreachable(machine)) {
      // All that could be said was said for more than a lease, and nothing of it was heard. An
      // answer could not renew the worker's lease, and must not renew what we count of it.
      return Answer.error(503, "answers do not arrive");
    }
    long now = context.nowMs();
    machine.contact().onReportAnswered(now);
    machine.onUnacknowledgedAnswer(context.epoch(), now);
    if (newest) {
      starts.markUnshownUnconfirmed(machine);
    }
    List<WorkerCommand> all = new ArrayList<>();
    if (machine.tokens().shown() >= 0) {
      all.addAll(commands.due(machine));
    }
    all.addAll(starts.startsForResponse(machine, newest));
    return responder.respond(report, machine.token(context.epoch()), all);
  }

  /**
   * A report that comes late, by another way, or in a later session tells that answers may not have
   * arrived. The token is raised, and only a report that shows it tells that they do.
   */
  private void raiseTokenIfAnswersMayBeLost(Machine machine, WorkerReport report, String by) {
    boolean elsewhere = machine.contact().observeReportPath(by);
    double latestMs =
        context.reportMs() * FleetConstants.DOUBT_REPORTS + FleetConstants.DOUBT_SLACK_MS;
    boolean late = context.nowMs() - machine.lastReportAtMs() > latestMs && !context.isCatchingUp();
    boolean risen = report.session() > machine.session();
    if (machine.lastReportAtMs() >= 0
        && machine.isConfirmed(context.epoch())
        && (elsewhere || risen || late)) {
      machine.tokens().raise();
    }
  }

  /** True if for more than a lease nothing has shown that an answer arrived there. */
  private boolean isUnreachable(Machine machine) {
    long sinceMs = machine.contact().unacknowledgedSinceMs();
    return !machine.isConfirmed(context.epoch())
        && sinceMs >= 0
        && context.nowMs() - sinceMs > context.leaseAtMostMs();
  }

  /**
   * A report under a lower token than the machine has shown: an old copy, or the first of a machine
   * that was started anew and has forgotten everything. The machine itself tells which, under a
   * token that is raised before: a start that is still on its way, or comes a second time, must not
   * be carried out by the next life.
   */
  private Answer queryRestart(Machine machine, WorkerReport report) {
    long now = context.nowMs();
    if (!machine.contact().isProbing()
        && now - machine.contact().restartQueriedAtMs() > FleetConstants.ASK_WHICH_MS) {
      machine.contact().onRestartQuery(now);
      machine.tokens().raise();
      probes.send(machine, report.address(), report.session());
    }
    return Answer.error(503, "tokens were forgotten");
  }

  /** Applies a worker's answer to what we sent it when {@code known} was its newest report. */
  void answeredDirectly(Machine machine, WorkerReport report, ReportPosition known) {
    if (!report.machine().equals(machine.name())) {
      // The address belongs to another machine by now.
      return;
    }
    if (MachineFencingTokens.epochOf(report) > context.epoch()) {
      context.listener().onHigherEpochObserved(MachineFencingTokens.epochOf(report));
      return;
    }
    machine.describe(report.type(), report.zone(), report.spot());
    if (!known.isBefore(report) && ReportPosition.of(machine).equals(known)) {
      // Answered after what we knew, it would be later in the same life.
      log.info("{} was started anew", machine.name());
      machine.onRestarted();
      machine.tokens().raise();
    }
    apply(machine, report, false);
  }

  /**
   * Applies a report if it is the newest.
   *
   * @param ownReport whether the machine sent it by itself; false for the answer to a command,
   *     which does not bring back a machine whose lease is over
   */
  private void apply(Machine machine, WorkerReport report, boolean ownReport) {
    if (!machine.isNewer(report) || machine.phase() == Machine.Phase.GONE) {
      return;
    }
    machine.setAddress(report.address());
    boolean laterSession = report.session() > machine.session() && machine.session() > 0;
    if (context.isOurs(report)) {
      noteReporting(machine, ownReport);
      noteLease(machine, report);
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

  private void noteReporting(Machine machine, boolean ownReport) {
    boolean comesBack = machine.phase() == Machine.Phase.LOST && ownReport;
    if (machine.phase() == Machine.Phase.AWAITING_REPORT || comesBack) {
      machine.transitionTo(Machine.Phase.REPORTING);
      context.listener().onFleetChanged();
    }
  }

  /**
   * A worker's lease also counts from the start of its session, which may have begun just now
   * although we have known the machine for long and answered nothing yet. Only sessions that are
   * shown under our token count, as only in those we start anything: a machine that hears nothing
   * shows a later one each time that its lease ends, and each put the end of what a predecessor had
   * started there off for another lease.
   */
  private void noteLease(Machine machine, WorkerReport report) {
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
    outcome.adopted().forEach(context.listener()::onAttemptDiscovered);
    for (Attempt attempt : outcome.ended()) {
      log.debug(
          "{} is over ({}), by report {}/{} token {}",
          attempt,
          attempt.motive(),
          report.session(),
          report.seq(),
          report.token());
      context.listener().onAttemptEnded(machine, attempt);
    }
    return outcome.ended();
  }
}
