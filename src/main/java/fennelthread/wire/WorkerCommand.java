package fennelthread.wire;

import java.util.ArrayList;
import java.util.List;

/** A command to a worker. */
public sealed interface WorkerCommand {

  /** Starts a task. */
  record Run(TaskRef task, long attempt) implements WorkerCommand {}

  /** Stops a task, giving it time to save. */
  record Stop(TaskRef task, long attempt, double graceS) implements WorkerCommand {}

  /** Removes an ended task from the reports. */
  record Clear(TaskRef task, long attempt) implements WorkerCommand {}

  /** Writes a body with commands; {@code session} is added for direct commands only, if not 0. */
  static Fields write(long token, long session, List<WorkerCommand> orders) {
    List<Object> list = new ArrayList<>(orders.size());
    for (WorkerCommand order : orders) {
      Fields f = Fields.create();
      if (order instanceof Run run) {
        f.with("orden", "run").with("tarea", run.task.toString()).with("intento", run.attempt);
      } else if (order instanceof Stop stop) {
        f.with("orden", "stop")
            .with("tarea", stop.task.toString())
            .with("intento", stop.attempt)
            .with("gracia_s", stop.graceS);
      } else if (order instanceof Clear clear) {
        f.with("orden", "clear")
            .with("tarea", clear.task.toString())
            .with("intento", clear.attempt);
      }
      list.add(f.map());
    }
    Fields body = Fields.create().with("ficha", token);
    if (session != 0) {
      body.with("turno", session);
    }
    return body.with("ordenes", list);
  }

  /** Reads the commands of a body. */
  static List<WorkerCommand> read(Fields body) throws WireException {
    List<WorkerCommand> orders = new ArrayList<>();
    for (Fields f : body.maps("ordenes")) {
      TaskRef task = TaskRef.parse(f.text("tarea"));
      long attempt = f.count("intento");
      switch (f.text("orden")) {
        case "run" -> orders.add(new Run(task, attempt));
        case "stop" -> orders.add(new Stop(task, attempt, f.amount("gracia_s", 0)));
        case "clear" -> orders.add(new Clear(task, attempt));
        default -> throw new WireException("orden", "is not a known command");
      }
    }
    return orders;
  }
}
