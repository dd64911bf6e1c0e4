package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.wire.Codec;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Selects the stop and clear commands that are due for a machine. They are sent with the answer to
 * its next report, or directly by this class when they should not wait for one. Also defines the
 * request and response format of direct commands.
 */
final class DueCommandSender {
  private static final Logger log = LoggerFactory.getLogger(DueCommandSender.class);

  private final FleetContext context;
  private final WorkerResponseListener listener;

  DueCommandSender(FleetContext context, WorkerResponseListener listener) {
    this.context = context;
    this.listener = listener;
  }

  /**
   * Returns the commands to send to a worker now. A clear must be sent under a higher token than
   * the start of its attempt. As each raised token makes the worker send one more report, clears
   * that need a higher token are held back until there are several, or until enough time has passed
   * since the token was last raised for clears.
   */
  List<WorkerCommand> dueCommands(Machine machine) {
    List<WorkerCommand> commands = context.listener().commandsFor(machine);
    int clearsNeedingToken = 0;
    for (WorkerCommand command : commands) {
      clearsNeedingToken += needsHigherToken(machine, command) ? 1 : 0;
    }
    if (clearsNeedingToken == 0) {
      return commands;
    }
    long nowMs = context.nowMs();
    double minIntervalMs = context.leaseMs() * FleetConstants.CLEAR_INTERVAL_LEASE_SHARE;
    if (clearsNeedingToken >= FleetConstants.CLEAR_BATCH_SIZE
        || nowMs - machine.tokens().raisedForClearsAtMs() >= minIntervalMs) {
      machine.tokens().raiseForClears(nowMs);
      return commands;
    }
    List<WorkerCommand> otherCommands = new ArrayList<>(commands);
    otherCommands.removeIf(command -> needsHigherToken(machine, command));
    return otherCommands;
  }

  private boolean needsHigherToken(Machine machine, WorkerCommand command) {
    if (!(command instanceof WorkerCommand.Clear clear)) {
      return false;
    }
    Attempt attempt = machine.findAttempt(clear.task(), clear.attempt());
    return attempt != null && attempt.token() >= machine.currentToken(context.epoch());
  }

  /** Sends the commands that are due now, without waiting for the next report. */
  void send(Machine machine) {
    if (machine.address() == null || machine.session() == 0) {
      return;
    }
    List<WorkerCommand> commands = dueCommands(machine);
    if (commands.isEmpty()) {
      return;
    }
    ReportPosition known = ReportPosition.of(machine);
    context
        .transport()
        .send(
            machine,
            machine.address(),
            createCommandCall(machine.currentToken(context.epoch()), machine.session(), commands),
            FleetConstants.COMMAND_TIMEOUT_MS,
            answer -> onAnswer(machine, known, answer),
            wasTried -> {});
  }

  private void onAnswer(Machine machine, ReportPosition known, Answer answer) {
    WorkerReport report = readReport(answer);
    if (!context.isClosed() && report != null) {
      listener.onResponse(machine, report, known);
    }
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
