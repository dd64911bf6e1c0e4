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

/** Stops and clears that machines are due, for answers to reports and for direct commands. */
final class CommandQueue {
  private static final Logger log = LoggerFactory.getLogger(CommandQueue.class);

  /** Takes workers' answers to direct commands. */
  @FunctionalInterface
  interface AnswerListener {
    /** A worker has answered what was sent when it was known as in {@code known}. */
    void answered(Machine machine, WorkerReport report, ReportPosition known);
  }

  private final FleetContext context;
  private final AnswerListener onAnswer;

  CommandQueue(FleetContext context, AnswerListener onAnswer) {
    this.context = context;
    this.onAnswer = onAnswer;
  }

  /**
   * What a worker is told of its tasks now. Clears go out under a higher token than the starts of
   * what they clear, and so are gathered: each rise has the worker report once more.
   */
  List<WorkerCommand> due(Machine machine) {
    List<WorkerCommand> commands = context.listener().commandsFor(machine);
    int waiting = 0;
    for (WorkerCommand command : commands) {
      waiting += needsHigherToken(machine, command) ? 1 : 0;
    }
    if (waiting == 0) {
      return commands;
    }
    long now = context.nowMs();
    double pauseMs = context.leaseMs() * FleetConstants.CLEARS_LEASE_SHARE;
    if (waiting >= FleetConstants.CLEARS_GATHERED
        || now - machine.tokens().clearedAtMs() >= pauseMs) {
      machine.tokens().raiseForClears(now);
      return commands;
    }
    List<WorkerCommand> atOnce = new ArrayList<>(commands);
    atOnce.removeIf(command -> needsHigherToken(machine, command));
    return atOnce;
  }

  private boolean needsHigherToken(Machine machine, WorkerCommand command) {
    if (!(command instanceof WorkerCommand.Clear clear)) {
      return false;
    }
    Attempt attempt = machine.find(clear.task(), clear.attempt());
    return attempt != null && attempt.token() >= machine.token(context.epoch());
  }

  /** Sends what is due right away instead of with the next report's answer. */
  void send(Machine machine) {
    if (machine.address() == null || machine.session() == 0) {
      return;
    }
    List<WorkerCommand> commands = due(machine);
    if (commands.isEmpty()) {
      return;
    }
    ReportPosition known = ReportPosition.of(machine);
    context
        .transport()
        .send(
            machine,
            machine.address(),
            call(machine.token(context.epoch()), machine.session(), commands),
            FleetConstants.COMMAND_TIMEOUT_MS,
            answer -> {
              WorkerReport report = reportOf(answer);
              if (!context.isClosed() && report != null) {
                onAnswer.answered(machine, report, known);
              }
            },
            tried -> {});
  }

  /** The request that carries commands to a worker. */
  static Call call(long token, long session, List<WorkerCommand> commands) {
    return Call.post("/commands", Codec.CBOR, WorkerCommand.write(token, session, commands));
  }

  /** The report in a worker's answer to commands, or null if there was no proper answer. */
  static WorkerReport reportOf(Answer answer) {
    if (answer == null || (answer.status() != 200 && answer.status() != 409)) {
      return null;
    }
    try {
      return WorkerReport.read(answer.fields());
    } catch (WireException e) {
      log.info("malformed answer of a worker: {}", e.getMessage());
      return null;
    }
  }
}
