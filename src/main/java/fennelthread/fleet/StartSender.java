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
 * Sends starts whose records are committed, each at most once: directly, or with the answer to the
 * machine's next report if this process has no connection left.
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
   * Sends starts directly; the caller has just checked that the leader's lease is valid. If no
   * answer arrives, the worker may still execute them minutes later: then the token is raised, and
   * the attempts count as present until a report under the raised token arrives.
   */
  void send(Machine machine, List<Attempt> attempts) {
    long token = machine.currentToken(context.epoch());
    List<WorkerCommand> commands = new ArrayList<>();
    for (Attempt attempt : attempts) {
      attempt.onStartSent(token);
      commands.add(createRunCommand(attempt));
      log.debug("start sent attempt={} token={}", attempt, token);
    }
    long session = attempts.get(0).start().session();
    ReportPosition known = new ReportPosition(session, machine.seq());
    machine
        .contact()
        .onStartSent(
            context.nowMs() + FleetConstants.COMMAND_TIMEOUT_MS + RelayConstants.RELAY_HOP_MS);
    context
        .transport()
        .send(
            machine,
            machine.address(),
            DueCommandSender.createCommandCall(token, session, commands),
            FleetConstants.COMMAND_TIMEOUT_MS,
            answer -> onAnswer(machine, attempts, known, answer),
            wasTried -> onNotSent(machine, attempts, wasTried));
  }

  private static WorkerCommand createRunCommand(Attempt attempt) {
    return new WorkerCommand.Run(attempt.start().task(), attempt.start().attempt());
  }

  private void onAnswer(
      Machine machine, List<Attempt> attempts, ReportPosition known, Answer answer) {
    if (context.isClosed()) {
      return;
    }
    WorkerReport report = DueCommandSender.readReport(answer);
    if (report == null) {
      onUnanswered(machine, attempts);
    } else if (DueCommandSender.isRefused(answer)) {
      // Nothing was executed, and starts are not sent again.
      attempts.forEach(attempt -> onNeverStarted(machine, attempt));
    } else {
      // The starts were executed. This report or a newer one shows the state of the attempts.
      transitionIfSent(attempts, Attempt.Phase.FETCHING);
    }
    if (report != null) {
      listener.onResponse(machine, report, known);
    }
    context.listener().onFleetChanged();
  }

  private void onUnanswered(Machine machine, List<Attempt> attempts) {
    context
        .aggregatedLog()
        .add("starts unanswered action=raiseToken", machine.name(), attempts.size());
    machine.tokens().raise();
    transitionIfSent(attempts, Attempt.Phase.UNCONFIRMED);
    probes.probe(machine);
  }

  private static void transitionIfSent(List<Attempt> attempts, Attempt.Phase next) {
    for (Attempt attempt : attempts) {
      if (attempt.phase() == Attempt.Phase.SENT) {
        attempt.transitionTo(next);
      }
    }
  }

  /**
   * Handles starts of which nothing was sent, so that the attempts are not on the machine. They
   * must not count as unconfirmed: when connections are short, that would raise the tokens of
   * hundreds of machines, each of which would then need a connection to be confirmed.
   *
   * @param wasTried whether opening a connection was tried; false if this process had none left
   */
  private void onNotSent(Machine machine, List<Attempt> attempts, boolean wasTried) {
    if (context.isClosed()) {
      return;
    }
    if (wasTried) {
      context.aggregatedLog().add("starts not sent", machine.name(), attempts.size());
      machine.contact().onUnreachable(context.nowMs());
      attempts.forEach(attempt -> onNeverStarted(machine, attempt));
    } else {
      // The worker's next report arrives on a connection of its own.
      context.aggregatedLog().add("starts deferred to report", machine.name(), attempts.size());
      transitionIfSent(attempts, Attempt.Phase.DEFERRED);
      machinesWithDeferredStarts.add(machine);
    }
    context.listener().onFleetChanged();
  }

  /**
   * Returns the deferred starts to send with the answer to a report. Those that may not be sent any
   * more, by the same rules as for direct starts, are dropped.
   *
   * @param isNewest whether the report is the newest of its machine; only then starts are returned
   */
  List<WorkerCommand> startsForResponse(Machine machine, boolean isNewest) {
    if (!machinesWithDeferredStarts.contains(machine)) {
      return List.of();
    }
    List<WorkerCommand> starts = new ArrayList<>();
    boolean hasRemaining = false;
    for (Attempt attempt : deferredStarts(machine)) {
      if (attempt.start().session() != machine.session() || !context.listener().mayStart(attempt)) {
        onNeverStarted(machine, attempt);
      } else if (isNewest && starts.size() < FleetConstants.MAX_STARTS_PER_ANSWER) {
        attempt.onStartSentInResponse(machine.currentToken(context.epoch()));
        starts.add(createRunCommand(attempt));
      } else {
        hasRemaining = true;
      }
    }
    if (!hasRemaining) {
      machinesWithDeferredStarts.remove(machine);
    }
    return starts;
  }

  /**
   * Marks starts as unconfirmed that were sent with an earlier answer and that the newest report
   * does not show, since that answer may or may not have arrived. The token is raised; the next
   * report under it shows whether it did.
   */
  void markUnreportedUnconfirmed(Machine machine) {
    boolean hasUnconfirmed = false;
    for (Attempt attempt : machine.attempts()) {
      if (attempt.isSentInResponse()) {
        attempt.transitionTo(Attempt.Phase.UNCONFIRMED);
        hasUnconfirmed = true;
      }
    }
    if (hasUnconfirmed) {
      machine.tokens().raise();
    }
  }

  /**
   * Drops deferred starts whose machine has not reported in time, so that their tasks can be placed
   * on other machines.
   */
  void dropOverdueStarts() {
    long maxDelayMs = (long) (context.reportMs() * FleetConstants.MAX_DEFERRAL_REPORT_INTERVALS);
    boolean hasDropped = false;
    for (Machine machine : List.copyOf(machinesWithDeferredStarts)) {
      boolean hasRemaining = false;
      for (Attempt attempt : deferredStarts(machine)) {
        if (context.nowMs() - attempt.createdAtMs() > maxDelayMs) {
          onNeverStarted(machine, attempt);
          hasDropped = true;
        } else {
          hasRemaining = true;
        }
      }
      if (!hasRemaining) {
        machinesWithDeferredStarts.remove(machine);
      }
    }
    if (hasDropped) {
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
      machine.removeAttempt(attempt);
      context.listener().onAttemptEnded(machine, attempt);
    }
  }
}
