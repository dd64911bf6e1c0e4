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
 * Sends starts whose record is committed, each exactly once: directly, or with the answer to the
 * machine's next report if no connection can be opened.
 */
final class StartSender {
  private static final Logger log = LoggerFactory.getLogger(StartSender.class);

  private final FleetContext context;
  private final WorkerResponseListener listener;
  private final MachineProbes probes;
  private final Set<Machine> machinesWithDeferredStarts = new LinkedHashSet<>();

  StartSender(FleetContext context, MachineProbes probes, WorkerResponseListener listener) {
    this.context = context;
    this.probes = probes;
    this.listener = listener;
  }

  /**
   * Sends starts directly. The caller has just checked the leader lease. Without an answer the
   * worker may act minutes later: the token is raised, and until a report under it arrives, the
   * attempts count as present.
   */
  void send(Machine machine, List<Attempt> attempts) {
    long token = machine.token(context.epoch());
    List<WorkerCommand> commands = new ArrayList<>();
    for (Attempt attempt : attempts) {
      attempt.onStartSent(token);
      commands.add(runCommand(attempt));
    }
    long session = attempts.get(0).start().session();
    ReportPosition known = new ReportPosition(session, machine.seq());
    log.debug("starts sent machine={} token={} commands={}", machine.name(), token, commands);
    machine
        .contact()
        .onStartSent(
            context.nowMs() + FleetConstants.COMMAND_TIMEOUT_MS + RelayConstants.RELAY_SLACK_MS);
    context
        .transport()
        .send(
            machine,
            machine.address(),
            CommandQueue.commandCall(token, session, commands),
            FleetConstants.COMMAND_TIMEOUT_MS,
            answer -> onAnswer(machine, attempts, known, answer),
            tried -> onNotSent(machine, attempts, tried));
  }

  private static WorkerCommand runCommand(Attempt attempt) {
    return new WorkerCommand.Run(attempt.start().task(), attempt.start().attempt());
  }

  private void onAnswer(
      Machine machine, List<Attempt> attempts, ReportPosition known, Answer answer) {
    if (context.isClosed()) {
      return;
    }
    WorkerReport report = CommandQueue.reportIn(answer);
    if (report == null) {
      onUnanswered(machine, attempts);
    } else if (CommandQueue.isRefused(answer)) {
      // Nothing was executed, and this was the only time these attempts were sent.
      attempts.forEach(attempt -> onNeverStarted(machine, attempt));
    } else {
      // Executed: whether it is still there, this report or a newer one tells.
      transitionSent(attempts, Attempt.Phase.FETCHING);
    }
    if (report != null) {
      listener.onResponse(machine, report, known);
    }
    context.listener().onFleetChanged();
  }

  private void onUnanswered(Machine machine, List<Attempt> attempts) {
    context.aggregatedLog().add("starts unanswered, token raised", machine.name(), attempts.size());
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
   * Handles that no connection could be opened, so that nothing left: these attempts are nowhere.
   * Taking them for unconfirmed once raised hundreds of tokens when connections were short, each of
   * which then needed a connection to be confirmed.
   *
   * @param tried false if we were short of connections ourselves
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
      // The worker's next report brings a connection.
      context.aggregatedLog().add("starts deferred to report", machine.name(), attempts.size());
      transitionSent(attempts, Attempt.Phase.DEFERRED);
      machinesWithDeferredStarts.add(machine);
    }
    context.listener().onFleetChanged();
  }

  /**
   * Returns the deferred starts that leave with the answer to a report, after the checks that
   * precede a direct start.
   *
   * @param newest whether the report is the newest of its machine
   */
  List<WorkerCommand> startsForResponse(Machine machine, boolean newest) {
    if (!machinesWithDeferredStarts.contains(machine)) {
      return List.of();
    }
    List<WorkerCommand> starts = new ArrayList<>();
    boolean remaining = false;
    for (Attempt attempt : deferredStarts(machine)) {
      if (attempt.start().session() != machine.session() || !context.listener().mayStart(attempt)) {
        onNeverStarted(machine, attempt);
      } else if (newest && starts.size() < FleetConstants.MAX_STARTS_PER_ANSWER) {
        attempt.onStartSentInResponse(machine.token(context.epoch()));
        starts.add(runCommand(attempt));
      } else {
        remaining = true;
      }
    }
    if (!remaining) {
      machinesWithDeferredStarts.remove(machine);
    }
    return starts;
  }

  /**
   * Marks starts as unconfirmed that an earlier answer held and the newest report does not show:
   * nothing tells whether that answer arrived. The token is raised, and the next report under it
   * tells.
   */
  void markUnshownUnconfirmed(Machine machine) {
    boolean anyUnconfirmed = false;
    for (Attempt attempt : machine.attempts()) {
      if (attempt.isSentInResponse()) {
        attempt.transitionTo(Attempt.Phase.UNCONFIRMED);
        anyUnconfirmed = true;
      }
    }
    if (anyUnconfirmed) {
      machine.tokens().raise();
    }
  }

  /** Drops deferred starts whose machine does not report: they are better tried elsewhere. */
  void dropOverdueStarts() {
    long maxDelayMs = (long) (context.reportMs() * FleetConstants.MAX_DEFERRAL_REPORT_INTERVALS);
    boolean anyDropped = false;
    for (Machine machine : List.copyOf(machinesWithDeferredStarts)) {
      boolean remaining = false;
      for (Attempt attempt : deferredStarts(machine)) {
        if (context.nowMs() - attempt.createdAtMs() > maxDelayMs) {
          onNeverStarted(machine, attempt);
          anyDropped = true;
        } else {
          remaining = true;
        }
      }
      if (!remaining) {
        machinesWithDeferredStarts.remove(machine);
      }
    }
    if (anyDropped) {
      context.listener().onFleetChanged();
    }
  }

  private static List<Attempt> deferredStarts(Machine machine) {
    List<Attempt> deferred = new ArrayList<>();
    for (Attempt attempt : machine.attempts()) {
      if (attempt.phase() == Attempt.Phase.DEFERRED) {
        deferred.add(attempt);
      }
    }
    return deferred;
  }

  private void onNeverStarted(Machine machine, Attempt attempt) {
    if (attempt.phase() == Attempt.Phase.SENT || attempt.phase() == Attempt.Phase.DEFERRED) {
      attempt.transitionTo(Attempt.Phase.GONE);
      machine.remove(attempt);
      context.listener().onAttemptEnded(machine, attempt);
    }
  }
}
