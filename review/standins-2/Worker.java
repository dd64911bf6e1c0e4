import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A machine's worker as in PROTOCOL-fennelthread.md: reports, tasks, tokens, and a lease. */
final class Worker {
  private static final class Task {
    final String id;
    final long attempt;
    String state;
    String why;
    long nextAtMs;
    long runMs;
    double cpus;
    double memGb;

    Task(String id, long attempt) {
      this.id = id;
      this.attempt = attempt;
    }
  }

  final String name;
  final String zone;
  final Http.Server server;
  private final Stage stage;
  private final double cpus;
  private final double memGb;
  private final List<String> controllers;
  private final Map<String, String> addresses;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private long session = 1;
  private long seq;
  private long token;
  private long leaseFromMs = Stage.nowMs();
  private boolean changed = true;
  private boolean ended;

  Worker(Stage stage, String name, double cpus, double memGb, Map<String, String> addresses)
      throws Exception {
    this.stage = stage;
    this.name = name;
    this.zone = Stage.ZONE;
    this.cpus = cpus;
    this.memGb = memGb;
    this.addresses = addresses;
    this.controllers = List.copyOf(addresses.keySet());
    this.server = new Http.Server(this::handle);
  }

  /** Begins to report and to run tasks. */
  void start() {
    Http.daemon(name + " reports", this::reportLoop);
    Http.daemon(name + " tasks", this::taskLoop);
  }

  /** The machine and all on it are gone. */
  synchronized void end() {
    ended = true;
    tasks.values().forEach(task -> gone(task, "machine gone"));
    tasks.clear();
  }

  // ---------------------------------------------------------------- tasks

  private static boolean isPresent(Task task) {
    return task.state.equals("running");
  }

  private void gone(Task task, String why) {
    if (isPresent(task)) {
      stage.onGone(task.id, name, why);
    }
  }

  private void exit(Task task, String why) {
    gone(task, why);
    task.state = "ended";
    task.why = why;
    changed = true;
  }

  private void taskLoop() {
    while (true) {
      Stage.sleep(20);
      synchronized (this) {
        if (ended) {
          return;
        }
        long now = Stage.nowMs();
        if (now - leaseFromMs > Stage.LEASE_MS) {
          tasks.values().forEach(task -> gone(task, "lease over"));
          tasks.clear();
          session++;
          leaseFromMs = now;
          changed = true;
        }
        for (Task task : tasks.values()) {
          if (task.state.equals("fetching") && now >= task.nextAtMs) {
            task.state = "running";
            task.nextAtMs = now + task.runMs;
            changed = true;
            stage.onStarted(task.id, name, task.attempt);
          } else if (task.state.equals("running") && now >= task.nextAtMs) {
            exit(task, "done");
            stage.onDone(task.id);
          }
        }
      }
    }
  }

  @SuppressWarnings("unchecked")
  private void execute(List<Object> orders) {
    for (Object item : orders) {
      Map<String, Object> order = (Map<String, Object>) item;
      String id = (String) order.get("tarea");
      long attempt = (Long) order.get("intento");
      String key = id + "#" + attempt;
      Task task = tasks.get(key);
      switch ((String) order.get("orden")) {
        case "run" -> {
          if (task == null) {
            tasks.put(key, begin(id, attempt));
            changed = true;
          }
        }
        case "stop" -> {
          if (task != null && !task.state.equals("ended")) {
            exit(task, "halted");
          }
        }
        case "clear" -> {
          if (task != null && task.state.equals("ended")) {
            tasks.remove(key);
            changed = true;
          }
        }
        default -> throw new IllegalArgumentException("unknown command");
      }
    }
  }

  private Task begin(String id, long attempt) {
    Task task = new Task(id, attempt);
    Map<String, Object> job = stage.described(id.substring(0, id.lastIndexOf('/')));
    double usedCpus = 0;
    double usedGb = 0;
    boolean busy = false;
    for (Task other : tasks.values()) {
      if (!other.state.equals("ended")) {
        usedCpus += other.cpus;
        usedGb += other.memGb;
        busy |= other.id.equals(id);
      }
    }
    task.state = "ended";
    if (job == null) {
      task.why = "no_such";
      return task;
    }
    task.cpus = (Double) job.get("cpus");
    task.memGb = (Double) job.get("mem_gb");
    if (busy) {
      task.why = "busy";
    } else if (usedCpus + task.cpus > cpus + 1e-9 || usedGb + task.memGb > memGb + 1e-9) {
      task.why = "full";
    } else {
      task.state = "fetching";
      task.nextAtMs = Stage.nowMs() + 150;
      task.runMs = stage.wasDone(id) ? 0 : stage.runMs(id);
    }
    return task;
  }

  // ---------------------------------------------------------------- messages

  private Map<String, Object> report() {
    List<Object> list = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> item =
          Cbor.map("tarea", task.id, "intento", task.attempt, "estado", task.state);
      if (task.why != null) {
        item.put("motivo", task.why);
      }
      list.add(item);
    }
    return Cbor.map(
        "equipo", name, "address", server.address(), "modelo", "galpon", "zona", zone, "prestadas",
        false, "turno", session, "folio", ++seq, "ficha", token, "aviso_s", null, "tareas", list);
  }

  @SuppressWarnings("unchecked")
  private synchronized Http.Answer handle(Http.Request request) {
    if (ended) {
      return null;
    }
    if (request.path().equals("/show")) {
      return new Http.Answer(200, report());
    }
    Map<String, Object> body = Cbor.decode(request.body());
    if (body.get("ficha") == null || body.get("turno") == null) {
      return new Http.Answer(400, Cbor.map("error", "ficha or turno is missing"));
    }
    long given = (Long) body.get("ficha");
    if (given < token || (Long) body.get("turno") != session) {
      return new Http.Answer(409, report());
    }
    changed |= given > token;
    token = given;
    execute((List<Object>) body.get("ordenes"));
    return new Http.Answer(200, report());
  }

  @SuppressWarnings("unchecked")
  private void reportLoop() {
    int at = ThreadLocalRandom.current().nextInt(controllers.size());
    Http.Client client = new Http.Client(addresses.get(controllers.get(at)));
    long sentAtMs = 0;
    while (true) {
      long pauseMs = (long) (Stage.REPORT_MS * (0.75 + ThreadLocalRandom.current().nextDouble() / 2));
      while (Stage.nowMs() - sentAtMs < pauseMs
          && !(changed && Stage.nowMs() - sentAtMs >= 500)) {
        Stage.sleep(20);
      }
      Map<String, Object> body;
      long sentSession;
      synchronized (this) {
        if (ended) {
          return;
        }
        changed = false;
        sentSession = session;
        body = report();
      }
      sentAtMs = Stage.nowMs();
      Http.Answer answer = client.call("POST", "/agent/beat", body, 4_000);
      if (answer != null && answer.status() == 200) {
        synchronized (this) {
          Object given = answer.body().get("ficha");
          if (!ended && sentSession == session && given != null && (Long) given >= token) {
            changed |= (Long) given > token;
            token = (Long) given;
            leaseFromMs = sentAtMs;
            execute((List<Object>) answer.body().get("ordenes"));
          }
        }
        continue;
      }
      client.close();
      Object target = answer == null || answer.status() != 421 ? null : answer.body().get("informar_a");
      int named = target == null ? -1 : controllers.indexOf(target);
      if (named < 0 || named == at) {
        Stage.sleep(1_000);
        at = (at + 1) % controllers.size();
      } else {
        at = named;
      }
      changed = true;
      sentAtMs = Math.min(sentAtMs, Stage.nowMs() - 500);
      client = new Http.Client(addresses.get(controllers.get(at)));
    }
  }
}
