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
    Machine m = machines.apply(report.machine());
    if (MachineTokens.epochOf(report) > context.epoch()) {
      context.listener().onHigherEpochObserved(MachineTokens.epochOf(report));
      return null;
    }
    if (m.phase() == Machine.Phase.GONE || m.phase() == Machine.Phase.RETURNING) {
      // Late packets of a machine that is gone, or about to be: not answered, so that its lease
      // isn't lengthened.
      return Answer.error(503, "machine is being returned");
    }
    m.describe(report.type(), report.zone(), report.spot());
    lastReportAtMs = context.nowMs();
    return isOfAnotherLife(m, report) ? askWhichLife(m, report) : answerNext(m, report, by);
  }

  private boolean isOfAnotherLife(Machine m, WorkerReport report) {
    // A report may be overtaken by the answer to a question that was put to its machine a moment
    // later.
    boolean overtaken =
        report.session() == m.session()
            && context.nowMs() - m.heardAtMs() < ProtocolConstants.WORKER_WAITS_MS;
    return m.isOfAnotherLife(report) && !overtaken;
  }

  private Answer answerNext(Machine m, WorkerReport report, String by) {
    boolean newest = m.isNewer(report);
    if (newest) {
      doubtAnswersArrive(m, report, by);
    } else if (!m.isConfirmed(context.epoch())) {
      // What we take for newer may be a copy from an earlier life of the machine: it tells itself.
      probes.probe(m);
    }
    apply(m, report, true);
    if (isUnreachable(m)) {
      // All that could be said was said for more than a lease, and nothing of it was heard. An
      // answer could not renew the worker's lease, and must not renew what we count of it.
      return Answer.error(503, "answers do not arrive");
    }
    long now = context.nowMs();
    m.contact().reportAnswered(now);
    m.answeredUnshown(context.epoch(), now);
    if (newest) {
      starts.doubtUnshown(m);
    }
    List<WorkerCommand> all = new ArrayList<>();
    if (m.tokens().shown() >= 0) {
      all.addAll(commands.due(m));
    }
    all.addAll(starts.withAnswer(m, newest));
    return responder.respond(report, m.token(context.epoch()), all);
  }

  /**
   * A report that comes late, by another way, or in a later session tells that answers may not have
   * arrived. The token is raised, and only a report that shows it tells that they do.
   */
  private void doubtAnswersArrive(Machine m, WorkerReport report, String by) {
    boolean elsewhere = m.contact().cameBy(by);
    double latestMs =
        context.reportMs() * FleetConstants.DOUBT_REPORTS + FleetConstants.DOUBT_SLACK_MS;
    boolean late = context.nowMs() - m.heardAtMs() > latestMs && !context.isCatchingUp();
    boolean risen = report.session() > m.session();
    if (m.heardAtMs() >= 0 && m.isConfirmed(context.epoch()) && (elsewhere || risen || late)) {
      m.tokens().raise();
    }
  }

  /** True if for more than a lease nothing has shown that an answer arrived there. */
  private boolean isUnreachable(Machine m) {
    long sinceMs = m.contact().unshownSinceMs();
    return !m.isConfirmed(context.epoch())
        && sinceMs >= 0
        && context.nowMs() - sinceMs > context.leaseAtMostMs();
  }

  /**
   * A report under a lower token than the machine has shown: an old copy, or the first of a machine
   * that was started anew and has forgotten everything. The machine itself tells which, under a
   * token that is raised before: a start that is still on its way, or comes a second time, must not
   * be carried out by the next life.
   */
  private Answer askWhichLife(Machine m, WorkerReport report) {
    long now = context.nowMs();
    if (!m.contact().isProbing()
        && now - m.contact().askedWhichLifeAtMs() > FleetConstants.ASK_WHICH_MS) {
      m.contact().askedWhichLife(now);
      m.tokens().raise();
      probes.send(m, report.address(), report.session());
    }
    return Answer.error(503, "tokens were forgotten");
  }

  /** Applies a worker's answer to what we sent it when {@code known} was its newest report. */
  void answeredDirectly(Machine m, WorkerReport report, KnownReport known) {
    if (!report.machine().equals(m.name())) {
      // The address belongs to another machine by now.
      return;
    }
    if (MachineTokens.epochOf(report) > context.epoch()) {
      context.listener().onHigherEpochObserved(MachineTokens.epochOf(report));
      return;
    }
    m.describe(report.type(), report.zone(), report.spot());
    if (!known.isBefore(report) && KnownReport.of(m).equals(known)) {
      // Answered after what we knew, it would be later in the same life.
      log.info("{} was started anew", m.name());
      m.startedAnew();
      m.tokens().raise();
    }
    apply(m, report, false);
  }

  /**
   * Applies a report if it is the newest.
   *
   * @param ownReport whether the machine sent it by itself; false for the answer to a command,
   *     which does not bring back a machine whose lease is over
   */
  private void apply(Machine m, WorkerReport report, boolean ownReport) {
    if (!m.isNewer(report) || m.phase() == Machine.Phase.GONE) {
      return;
    }
    m.setAddress(report.address());
    boolean laterSession = report.session() > m.session() && m.session() > 0;
    if (context.isOurs(report)) {
      noteReporting(m, ownReport);
      noteLease(m, report);
    }
    boolean confirmedBefore = m.isConfirmed(context.epoch());
    List<Attempt> ended = applyEvidence(m, report);
    if (!ended.isEmpty() || laterSession || !confirmedBefore) {
      context.listener().onFleetChanged();
    }
    if (!m.isConfirmed(context.epoch())) {
      probes.probe(m);
    }
  }

  private void noteReporting(Machine m, boolean ownReport) {
    boolean comesBack = m.phase() == Machine.Phase.LOST && ownReport;
    if (m.phase() == Machine.Phase.UNHEARD || comesBack) {
      m.moveTo(Machine.Phase.REPORTING);
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
  private void noteLease(Machine m, WorkerReport report) {
    if (report.session() > m.session() || !m.tokens().areOf(context.epoch())) {
      m.contact().leaseBegan(context.nowMs());
    }
  }

  private List<Attempt> applyEvidence(Machine m, WorkerReport report) {
    ReportEvidence.Outcome outcome =
        ReportEvidence.apply(
            m,
            report,
            context.epoch(),
            context.nowMs(),
            task -> context.listener().startOfDiscoveredTask(m, task));
    outcome.adopted().forEach(context.listener()::onAttemptDiscovered);
    for (Attempt a : outcome.ended()) {
      log.debug(
          "{} is over ({}), by report {}/{} token {}",
          a,
          a.motive(),
          report.session(),
          report.seq(),
          report.token());
      context.listener().onAttemptEnded(m, a);
    }
    return outcome.ended();
  }
}
