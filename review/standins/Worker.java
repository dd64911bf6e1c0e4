import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.Function;

/** The worker of one machine: reports, carries out commands, and keeps its lease. */
final class Worker {
  private static final class Task {
    final String tarea;
    final long intento;
    long endsNanos;
    String motivo;

    Task(String tarea, long intento) {
      this.tarea = tarea;
      this.intento = intento;
    }
  }

  private final String name;
  private final List<String> controllers;
  private final List<String> controllerNames;
  private final double cpus;
  private final long reportMs;
  private final long leaseMs;
  /** The CPUs and the seconds of a task's job. */
  private final Function<String, double[]> jobs;
  private final BiConsumer<String, String> record;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final HttpServer server;
  private volatile boolean gone;
  private long turno = 1;
  private long folio;
  private long ficha;
  private long leaseStartNanos = System.nanoTime();
  private boolean changed;
  private int started;

  Worker(
      String name,
      List<String> controllerNames,
      List<String> controllers,
      double cpus,
      long reportMs,
      long leaseMs,
      Function<String, double[]> jobs,
      BiConsumer<String, String> record)
      throws IOException {
    this.name = name;
    this.controllerNames = controllerNames;
    this.controllers = controllers;
    this.cpus = cpus;
    this.reportMs = reportMs;
    this.leaseMs = leaseMs;
    this.jobs = jobs;
    this.record = record;
    this.server = Http.serve(this::handle);
  }

  String name() {
    return name;
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  boolean isGone() {
    return gone;
  }

  /** How many tasks have been started here so far. */
  synchronized int started() {
    return started;
  }

  /** True if no task runs here. */
  synchronized boolean isIdle() {
    return !gone && tasks.values().stream().noneMatch(task -> task.motivo == null);
  }

  /** The machine is returned: everything on it is gone. */
  synchronized void remove() {
    gone = true;
    tasks.clear();
    server.stop(0);
  }

  void start() {
    Thread thread = new Thread(this::run, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void run() {
    int node = ThreadLocalRandom.current().nextInt(controllers.size());
    Http.Client client = new Http.Client(controllers.get(node));
    long nextNanos = System.nanoTime();
    long lastSentNanos = 0;
    while (!gone) {
      long now = System.nanoTime();
      boolean due;
      synchronized (this) {
        tick(now);
        due = now >= nextNanos || (changed && now - lastSentNanos >= 500_000_000L);
      }
      if (!due) {
        sleep(20);
        continue;
      }
      long sentNanos = System.nanoTime();
      lastSentNanos = sentNanos;
      long sentTurno;
      Map<String, Object> report;
      synchronized (this) {
        changed = false;
        sentTurno = turno;
        report = report();
      }
      double factor = 0.75 + ThreadLocalRandom.current().nextDouble() * 0.5;
      nextNanos = sentNanos + (long) (reportMs * factor * 1_000_000);
      int next = -1;
      long pauseMs = 0;
      try {
        Http.Answer answer = client.call("POST", "/agent/beat", report, 4_000);
        if (answer.status() == 200) {
          accept(answer.body(), sentNanos, sentTurno);
        } else {
          int named = controllerNames.indexOf(answer.body().get("informar_a"));
          if (answer.status() == 421 && named >= 0 && named != node) {
            next = named;
          } else {
            next = (node + 1) % controllers.size();
            pauseMs = 1_000;
          }
        }
      } catch (IOException e) {
        next = (node + 1) % controllers.size();
        pauseMs = 1_000;
      }
      if (next >= 0) {
        client.close();
        node = next;
        client = new Http.Client(controllers.get(node));
        nextNanos = System.nanoTime() + pauseMs * 1_000_000;
      }
    }
  }

  private static void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void tick(long now) {
    if (now - leaseStartNanos > leaseMs * 1_000_000) {
      tasks.clear();
      turno++;
      leaseStartNanos = now;
      changed = true;
      record.accept("lease", name + " lost its lease, session " + turno);
    }
    for (Task task : tasks.values()) {
      if (task.motivo == null && task.endsNanos <= now) {
        task.motivo = "done";
        changed = true;
      }
    }
  }

  @SuppressWarnings("unchecked")
  private synchronized void accept(Map<String, Object> answer, long sentNanos, long sentTurno) {
    if (gone || sentTurno != turno || !(answer.get("ficha") instanceof Number token)) {
      return;
    }
    if (token.longValue() < ficha) {
      return;
    }
    see(token.longValue());
    leaseStartNanos = Math.max(leaseStartNanos, sentNanos);
    execute((List<Map<String, Object>>) answer.getOrDefault("ordenes", List.of()));
  }

  private void see(long token) {
    if (token > ficha) {
      ficha = token;
      changed = true;
    }
  }

  private void execute(List<Map<String, Object>> commands) {
    for (Map<String, Object> command : commands) {
      String tarea = (String) command.get("tarea");
      long intento = ((Number) command.get("intento")).longValue();
      String key = tarea + "#" + intento;
      Task task = tasks.get(key);
      switch ((String) command.get("orden")) {
        case "run" -> {
          if (task == null) {
            tasks.put(key, run(tarea, intento));
            changed = true;
          }
        }
        case "stop" -> {
          if (task != null && task.motivo == null) {
            task.motivo = "halted";
            changed = true;
          }
        }
        default -> {
          if (task != null && task.motivo != null) {
            tasks.remove(key);
            changed = true;
          }
        }
      }
    }
  }

  private Task run(String tarea, long intento) {
    Task task = new Task(tarea, intento);
    double[] job = jobs.apply(tarea.substring(0, tarea.indexOf('/')));
    double used = 0;
    for (Task other : tasks.values()) {
      if (other.motivo == null) {
        used += jobs.apply(other.tarea.substring(0, other.tarea.indexOf('/')))[0];
        if (other.tarea.equals(tarea)) {
          task.motivo = "busy";
        }
      }
    }
    if (job == null) {
      task.motivo = "no_such";
    } else if (task.motivo == null && used + job[0] > cpus + 1e-9) {
      task.motivo = "full";
    } else if (task.motivo == null) {
      task.endsNanos = System.nanoTime() + (long) (job[1] * 1e9);
      started++;
      record.accept("start", tarea + " attempt " + intento + " on " + name);
    }
    return task;
  }

  private Map<String, Object> report() {
    List<Object> list = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> item =
          Http.map("tarea", task.tarea, "intento", task.intento, "estado", "running");
      if (task.motivo != null) {
        item.put("estado", "ended");
        item.put("motivo", task.motivo);
      }
      list.add(item);
    }
    return Http.map(
        "equipo", name, "address", address(), "modelo", Cloud.TYPE, "zona", Cloud.ZONE, "prestadas", false,
        "turno", turno, "folio", ++folio, "ficha", ficha, "aviso_s", null, "tareas", list);
  }

  @SuppressWarnings("unchecked")
  private synchronized Http.Answer handle(String method, String path, Map<String, Object> body) {
    if (path.equals("/show")) {
      return new Http.Answer(200, report());
    }
    if (!(body.get("ficha") instanceof Number token)
        || !(body.get("turno") instanceof Number session)) {
      return new Http.Answer(400, Map.of());
    }
    tick(System.nanoTime());
    if (token.longValue() < ficha || session.longValue() != turno) {
      return new Http.Answer(409, report());
    }
    see(token.longValue());
    execute((List<Map<String, Object>>) body.getOrDefault("ordenes", List.of()));
    return new Http.Answer(200, report());
  }
}
