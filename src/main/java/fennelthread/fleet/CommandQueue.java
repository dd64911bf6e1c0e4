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

/** Selects the stops and clears that machines are due, for reports' answers and direct commands. */
final class CommandQueue {
  private static final Logger log = LoggerFactory.getLogger(CommandQueue.class);

  private final FleetContext context;
  private final WorkerResponseListener listener;

  CommandQueue(FleetContext context, WorkerResponseListener listener) {
    this.context = context;
    this.listener = listener;
  }

  /**
   * Returns the commands that a worker is sent now. Clears leave under a higher token than the
   * starts of what they clear, and so are batched: each raised token makes the worker report once
   * more.
   */
  List<WorkerCommand> dueCommands(Machine machine) {
    List<WorkerCommand> commands = context.listener().commandsFor(machine);
    int waiting = 0;
    for (WorkerCommand command : commands) {
      waiting += needsHigherToken(machine, command) ? 1 : 0;
    }
    if (waiting == 0) {
      return commands;
    }
    long nowMs = context.nowMs();
    double minIntervalMs = context.leaseMs() * FleetConstants.CLEAR_INTERVAL_LEASE_SHARE;
    if (waiting >= FleetConstants.CLEAR_BATCH_SIZE
        || nowMs - machine.tokens().raisedForClearsAtMs() >= minIntervalMs) {
      machine.tokens().raiseForClears(nowMs);
      return commands;
    }
    List<WorkerCommand> withoutWaiting = new ArrayList<>(commands);
    withoutWaiting.removeIf(command -> needsHigherToken(machine, command));
    return withoutWaiting;
  }

  private boolean needsHigherToken(Machine machine, WorkerCommand command) {
    if (!(command instanceof WorkerCommand.Clear clear)) {
      return false;
    }
    Attempt attempt = machine.find(clear.task(), clear.attempt());
    return attempt != null && attempt.token() >= machine.token(context.epoch());
  }

  /** Sends what is due at once instead of with the next report's answer. */
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
            commandCall(machine.token(context.epoch()), machine.session(), commands),
            FleetConstants.COMMAND_TIMEOUT_MS,
            answer -> onAnswer(machine, known, answer),
            tried -> {});
  }

  private void onAnswer(Machine machine, ReportPosition known, Answer answer) {
    WorkerReport report = reportIn(answer);
    if (!context.isClosed() && report != null) {
      listener.onResponse(machine, report, known);
    }
  }

  /** Returns the request that carries commands to a worker. */
  static Call commandCall(long token, long session, List<WorkerCommand> commands) {
    return Call.post("/commands", Codec.CBOR, WorkerCommand.write(token, session, commands));
  }

  /**
   * Returns true if a worker has executed no command of a request, since it has seen a higher
   * token.
   */
  static boolean isRefused(Answer answer) {
    return answer.status() == 409;
  }

  /** Returns the report in a worker's answer to commands, or null without a proper answer. */
  static WorkerReport reportIn(Answer answer) {
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
