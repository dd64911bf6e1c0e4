package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/** A command to a worker about one attempt at a task. */
public sealed interface WorkerCommand {

  /** Starts a task. */
  record Run(TaskRef task, long attempt) implements WorkerCommand {}

  /** Stops a task; it has {@code graceS} seconds to save its progress. */
  record Stop(TaskRef task, long attempt, double graceS) implements WorkerCommand {}

  /** Tells the worker to drop an ended task from its reports. */
  record Clear(TaskRef task, long attempt) implements WorkerCommand {}

  /**
   * Writes a body with commands.
   *
   * @param token the fencing token of the sender
   * @param session the session that the worker must be in to execute commands that are sent to it
   *     directly; 0 in the answer to a report
   */
  static Fields write(long token, long session, List<WorkerCommand> commands) {
    List<Object> list = new ArrayList<>(commands.size());
    for (WorkerCommand command : commands) {
      Fields fields = Fields.create();
      if (command instanceof Run run) {
        fields.with("orden", "run").with("tarea", run.task.toString()).with("intento", run.attempt);
      } else if (command instanceof Stop stop) {
        fields
            .with("orden", "stop")
            .with("tarea", stop.task.toString())
            .with("intento", stop.attempt)
            .with("gracia_s", stop.graceS);
      } else if (command instanceof Clear clear) {
        fields
            .with("orden", "clear")
            .with("tarea", clear.task.toString())
            .with("intento", clear.attempt);
      }
      list.add(fields.map());
    }
    Fields body = Fields.create().with("ficha", token);
    if (session != 0) {
      body.with("turno", session);
    }
    return body.with("ordenes", list);
  }

  /** Reads the commands in a body; throws if one is of an unknown kind. */
  static List<WorkerCommand> read(Fields body) throws WireException {
    List<WorkerCommand> commands = new ArrayList<>();
    for (Fields fields : body.maps("ordenes")) {
      TaskRef task = TaskRef.parse(fields.text("tarea"));
      long attempt = fields.count("intento");
      switch (fields.text("orden")) {
        case "run" -> commands.add(new Run(task, attempt));
        case "stop" -> commands.add(new Stop(task, attempt, fields.amount("gracia_s", 0)));
        case "clear" -> commands.add(new Clear(task, attempt));
        default -> throw new WireException("orden", "is not a known command");
      }
    }
    return commands;
  }
}
