package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.wire.Codec;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends commands to workers directly: the stop and clear commands that are due and should not wait
 * for the answer to a report. Also defines the request and response format of direct commands.
 */
final class DueCommandSender {
  private static final Logger log = LoggerFactory.getLogger(DueCommandSender.class);

  private final FleetContext context;
  private final WorkerResponseListener listener;

  DueCommandSender(FleetContext context, WorkerResponseListener listener) {
    this.context = context;
    this.listener = listener;
  }

  /** Returns true if a stop command is due for a machine. */
  boolean isStopDue(Machine machine) {
    return context.listener().commandsFor(machine).stream()
        .anyMatch(WorkerCommand.Stop.class::isInstance);
  }

  /** Sends the commands that are due now, without waiting for the next report. */
  void send(Machine machine) {
    if (!isAddressable(machine)) {
      return;
    }
    List<WorkerCommand> commands = context.listener().commandsFor(machine);
    if (!commands.isEmpty()) {
      send(machine, commands, () -> {}, wasTried -> {});
    }
  }

  /** Returns true if commands can be sent to a machine: its address and session are known. */
  static boolean isAddressable(Machine machine) {
    return machine.address() != null && machine.session() != 0;
  }

  /**
   * Sends commands under the machine's current token; a report in the answer is applied.
   *
   * @param onExecuted run once the worker has answered that it executed the commands
   * @param unsent called if nothing of the request was sent
   */
  void send(
      Machine machine, List<WorkerCommand> commands, Runnable onExecuted, EventLoop.Unsent unsent) {
    ReportPosition known = ReportPosition.of(machine);
    context
        .transport()
        .send(
            machine,
            machine.address(),
            createCommandCall(machine.currentToken(context.epoch()), machine.session(), commands),
            FleetConstants.COMMAND_TIMEOUT_MS,
            answer -> onAnswer(machine, known, answer, onExecuted),
            unsent);
  }

  private void onAnswer(Machine machine, ReportPosition known, Answer answer, Runnable onExecuted) {
    WorkerReport report = readReport(answer);
    if (context.isClosed() || report == null) {
      return;
    }
    if (!isRefused(answer)) {
      onExecuted.run();
    }
    listener.onResponse(machine, report, known);
  }

  /** Returns the request that carries commands to a worker. */
  static Call createCommandCall(long token, long session, List<WorkerCommand> commands) {
    return Call.post("/commands", Codec.CBOR, WorkerCommand.write(token, session, commands));
  }

  /**
   * Returns true if a worker has executed no command of a request, since it has seen a higher token
   * or is in another session.
   */
  static boolean isRefused(Answer answer) {
    return answer.status() == 409;
  }

  /**
   * Returns the report in a worker's answer to commands, or null if it holds no well-formed one.
   */
  static WorkerReport readReport(Answer answer) {
    if (answer == null || (answer.status() != 200 && !isRefused(answer))) {
      return null;
    }
    try {
      return WorkerReport.read(answer.fields());
    } catch (WireException e) {
      log.info("worker answer malformed error=\"{}\"", e.getMessage());
      return null;
    }
  }
}
