package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.RelayConstants;
import fennelthread.net.Answer;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends starts whose record is written, each exactly once: directly, or with the answer to the
 * machine's next report if no connection is to be had.
 */
final class StartSender {
  private static final Logger log = LoggerFactory.getLogger(StartSender.class);

  private final FleetContext context;
  private final CommandQueue.AnswerListener onAnswer;
  private final MachineProbes probes;
  private final Set<Machine> machinesWithDeferredStarts = new LinkedHashSet<>();

  StartSender(FleetContext context, MachineProbes probes, CommandQueue.AnswerListener onAnswer) {
    this.context = context;
    this.probes = probes;
    this.onAnswer = onAnswer;
  }

  /**
   * Sends starts directly. The caller has just checked the local lease. An answer that stays away
   * means that the worker may act minutes later: the token is raised, and until a report under it
   * arrives, the attempts count as present.
   */
  void send(Machine machine, List<Attempt> attempts) {
    long token = machine.token(context.epoch());
    List<WorkerCommand> commands = new ArrayList<>();
    for (Attempt attempt : attempts) {
      attempt.onStartSent(token);
      commands.add(new WorkerCommand.Run(attempt.start().task(), attempt.start().attempt()));
    }
    long session = attempts.get(0).start().session();
    ReportPosition known = new ReportPosition(session, machine.seq());
    log.debug("{}: starts {} under token {}", machine.name(), commands, token);
    machine
        .contact()
        .onStartSent(
            context.nowMs() + FleetConstants.COMMAND_TIMEOUT_MS + RelayConstants.RELAY_SLACK_MS);
    context
        .transport()
        .send(
            machine,
            machine.address(),
            CommandQueue.call(token, session, commands),
            FleetConstants.COMMAND_TIMEOUT_MS,
            answer -> answered(machine, attempts, known, answer),
            tried -> onNotSent(machine, attempts, tried));
  }

  private void answered(
      Machine machine, List<Attempt> attempts, ReportPosition known, Answer answer) {
    if (context.isClosed()) {
      return;
    }
    WorkerReport report = CommandQueue.reportOf(answer);
    if (report == null) {
      onUnanswered(machine, attempts);
    } else if (answer.status() == 409) {
      // Nothing was executed, and this was the only time these attempts were sent.
      attempts.forEach(attempt -> onNeverStarted(machine, attempt));
    } else {
      // Executed: whether it is still there, this report or a newer one tells.
      transitionSent(attempts, Attempt.Phase.FETCHING);
    }
    if (report != null) {
      onAnswer.answered(machine, report, known);
    }
    context.listener().onFleetChanged();
  }

  private void onUnanswered(Machine machine, List<Attempt> attempts) {
    context
        .aggregatedLog()
        .add("starts without an answer, tokens raised", machine.name(), attempts.size());
    machine.tokens().raise();
    transitionSent(attempts, Attempt.Phase.UNCONFIRMED);
    probes.probe(machine);
  }

  private static void transitionSent(List<Attempt> attempts, Attempt.Phase next) {
    for (Attempt attempt : attempts) {
      if (attempt.phase() == Attempt.Phase.SENT) {
        attempt.transitionTo(next);
      }
    }
  }

  /**
   * No connection could be had, so that nothing left: these attempts are nowhere. Taking them for
   * unsure once raised hundreds of tokens when connections were short, each of which then needed a
   * connection to be confirmed.
   */
  private void onNotSent(Machine machine, List<Attempt> attempts, boolean tried) {
    if (context.isClosed()) {
      return;
    }
    if (tried) {
      context.aggregatedLog().add("starts not sent", machine.name(), attempts.size());
      machine.contact().onUnreachable(context.nowMs());
      attempts.forEach(attempt -> onNeverStarted(machine, attempt));
    } else {
      // We are short of connections ourselves: the worker's next report brings one.
      context
          .aggregatedLog()
          .add("starts carried by the next report", machine.name(), attempts.size());
      transitionSent(attempts, Attempt.Phase.DEFERRED);
      machinesWithDeferredStarts.add(machine);
    }
    context.listener().onFleetChanged();
  }

  /** The starts that go out with the answer to a report, checked as if they were sent directly. */
  List<WorkerCommand> startsForResponse(Machine machine, boolean newest) {
    if (!machinesWithDeferredStarts.contains(machine)) {
      return List.of();
    }
    List<WorkerCommand> starts = new ArrayList<>();
    boolean left = false;
    for (Attempt attempt : deferredStarts(machine)) {
      if (attempt.start().session() != machine.session() || !context.listener().mayStart(attempt)) {
        onNeverStarted(machine, attempt);
      } else if (newest && starts.size() < FleetConstants.STARTS_PER_ANSWER) {
        attempt.onStartSentInResponse(machine.token(context.epoch()));
        starts.add(new WorkerCommand.Run(attempt.start().task(), attempt.start().attempt()));
      } else {
        left = true;
      }
    }
    if (!left) {
      machinesWithDeferredStarts.remove(machine);
    }
    return starts;
  }

  /**
   * Starts that an earlier answer held and the newest report does not show: whether that answer
   * arrived, nobody says. The token is raised, and the next report under it tells.
   */
  void markUnshownUnconfirmed(Machine machine) {
    boolean doubted = false;
    for (Attempt attempt : machine.attempts()) {
      if (attempt.isSentInResponse()) {
        attempt.transitionTo(Attempt.Phase.UNCONFIRMED);
        doubted = true;
      }
    }
    if (doubted) {
      machine.tokens().raise();
    }
  }

  /** Gives up starts whose machine does not report: they are better tried elsewhere. */
  void dropOverdueStarts() {
    long patienceMs = (long) (context.reportMs() * FleetConstants.CARRY_REPORTS);
    boolean dropped = false;
    for (Machine machine : List.copyOf(machinesWithDeferredStarts)) {
      boolean left = false;
      for (Attempt attempt : deferredStarts(machine)) {
        if (context.nowMs() - attempt.createdAtMs() > patienceMs) {
          onNeverStarted(machine, attempt);
          dropped = true;
        } else {
          left = true;
        }
      }
      if (!left) {
        machinesWithDeferredStarts.remove(machine);
      }
    }
    if (dropped) {
      context.listener().onFleetChanged();
    }
  }

  private static List<Attempt> deferredStarts(Machine machine) {
    List<Attempt> deferredStarts = new ArrayList<>();
    for (Attempt attempt : machine.attempts()) {
      if (attempt.phase() == Attempt.Phase.DEFERRED) {
        deferredStarts.add(attempt);
      }
    }
    return deferredStarts;
  }

  private void onNeverStarted(Machine machine, Attempt attempt) {
    if (attempt.phase() == Attempt.Phase.SENT || attempt.phase() == Attempt.Phase.DEFERRED) {
      attempt.transitionTo(Attempt.Phase.GONE);
      machine.remove(attempt);
      context.listener().onAttemptEnded(machine, attempt);
    }
  }
}
