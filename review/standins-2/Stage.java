import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback addresses: three controllers as processes, started with the command of the deploy file,
 * and stand-ins for the state service, the cloud and the workers. Its settings are those of the found-property office in
 * BRIEF-fennelthread.md, unless a case says otherwise.
 */
final class Stage {
  static final String ZONE = "sede-centro";
  static final long REPORT_MS = 1_500;
  static final long LEASE_MS = 10_000;
  static final long CANCEL_MS = 35_000;
  static final String[] MEMBERS = {"brote-0", "brote-1", "brote-2"};

  private static final long ORIGIN = System.nanoTime();

  final Path folder;
  final boolean trouble;
  final State state;
  final Cloud cloud;
  final Map<String, String> api = new LinkedHashMap<>();
  private final Path temporary;
  private final PrintWriter record;
  private final Process[] processes = new Process[MEMBERS.length];
  private final Path[] settings = new Path[MEMBERS.length];
  private final List<String> command;
  private final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
  private final Map<String, Long> runMs = new ConcurrentHashMap<>();
  private final Set<String> done = ConcurrentHashMap.newKeySet();
  private final Map<String, Set<String>> present = new HashMap<>();
  private final List<String> ranTwice = new ArrayList<>();
  private final Set<String> started = new HashSet<>();
  private final Set<String> unrecorded = ConcurrentHashMap.newKeySet();

  Stage(Path folder, int workers, double cpus, double memGb, String moreState) throws Exception {
    this.folder = folder;
    this.trouble = !"0".equals(System.getenv("TROUBLE"));
    this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    this.temporary = Files.createTempDirectory("review-");
    this.state = new State(MEMBERS.length, 200, 60, 16, 12);
    this.cloud = new Cloud(ZONE, cpus, memGb);
    this.command = command();
    List<Integer> ports = freePorts(2 * MEMBERS.length);
    for (int i = 0; i < MEMBERS.length; i++) {
      api.put(MEMBERS[i], "127.0.0.1:" + ports.get(i));
    }
    for (int i = 0; i < MEMBERS.length; i++) {
      settings[i] = temporary.resolve(MEMBERS[i] + ".toml");
      Files.writeString(settings[i], settings(i, ports, moreState));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    for (int i = 0; i < workers; i++) {
      Worker worker = new Worker(this, String.format("n-%06d", i + 1), cpus, memGb, api);
      cloud.add(worker);
      worker.start();
    }
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(run.split(" "));
      }
    }
    throw new IOException("deploy/service.toml has no run command");
  }

  /** Free ports below those that the system gives to outgoing connections, which could take one meanwhile. */
  private static List<Integer> freePorts(int count) {
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < count) {
      int port = ThreadLocalRandom.current().nextInt(15_000, 32_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (!ports.contains(port)) {
          ports.add(socket.getLocalPort());
        }
      } catch (IOException e) {
        // Taken: another one is tried.
      }
    }
    return ports;
  }

  private String settings(int node, List<Integer> ports, String moreState) {
    StringBuilder text = new StringBuilder();
    text.append("member = \"" + MEMBERS[node] + "\"\nsite = \"" + ZONE + "\"\n");
    text.append("api_addr = \"127.0.0.1:" + ports.get(node) + "\"\n");
    text.append("mesh_addr = \"127.0.0.1:" + ports.get(MEMBERS.length + node) + "\"\n");
    for (int i = 0; i < MEMBERS.length; i++) {
      if (i != node) {
        text.append("[[siblings]]\nmember = \"" + MEMBERS[i] + "\"\nsite = \"" + ZONE + "\"\n");
        text.append("addr = \"127.0.0.1:" + ports.get(MEMBERS.length + i) + "\"\n");
      }
    }
    text.append("[endpoints]\ncloud = \"" + cloud.server.address() + "\"\n");
    text.append("state = \"" + state.servers[node].address() + "\"\n");
    text.append("[cluster]\ncount = 3\nzones = [\"" + ZONE + "\"]\nclock_error_ms = 1000.0\n");
    for (String team : List.of("mostrador", "deposito")) {
      text.append("[[cluster.teams]]\nname = \"" + team + "\"\ncpus = 88.0\ncpus_max = 500.0\n");
      text.append("gpus = 0.0\ngpus_max = 0.0\n");
    }
    text.append("[cluster.workers]\nreport_s = 1.5\nlease_s = 10.0\ngang_wait_s = 35.0\n");
    text.append("gang_peer_s = 4.0\ncancel_s = 35.0\n");
    text.append("[cluster.state]\nrps = 200.0\nwrite_rps = 60.0\nvalue_kb = 16.0\ntxn_ops = 12\n");
    text.append(moreState);
    text.append("[cluster.cloud]\nrps = 3.0\nlist_lag_s = 12.0\n");
    text.append("[cluster.machine_limits]\ncpu = 0.17\nram_mb = 176.0\nmax_connections = 900\n");
    return text.toString();
  }

  // ---------------------------------------------------------------- time and record

  static long nowMs() {
    return (System.nanoTime() - ORIGIN) / 1_000_000;
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  synchronized void note(String text) {
    record.printf("%8.3f  %s%n", nowMs() / 1000.0, text);
  }

  /** Ends everything and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  void finish(int code, String verdict) {
    note(verdict);
    System.out.println(verdict);
    record.flush();
    endProcesses();
    Runtime.getRuntime().halt(code);
  }

  // ---------------------------------------------------------------- controllers

  void startController(int node) throws IOException {
    List<String> all = new ArrayList<>(command);
    all.add(settings[node].toString());
    ProcessBuilder builder = new ProcessBuilder(all);
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(temporary.resolve(MEMBERS[node] + ".log").toFile()));
    processes[node] = builder.start();
    note("start " + MEMBERS[node]);
  }

  void startControllers() throws IOException {
    for (int i = 0; i < MEMBERS.length; i++) {
      startController(i);
    }
  }

  Process process(int node) {
    return processes[node];
  }

  /** The exit code of a controller that has ended, null while it runs. */
  Integer exitCode(int node) {
    return processes[node].isAlive() ? null : processes[node].exitValue();
  }

  void kill(int node) throws InterruptedException {
    processes[node].destroyForcibly().waitFor();
    note("kill " + MEMBERS[node]);
  }

  /** Sends a signal to a controller: STOP or CONT. */
  void signal(int node, String signal) throws Exception {
    String command = "kill -" + signal + " " + processes[node].pid();
    new ProcessBuilder("/bin/sh", "-c", command).start().waitFor();
    note("signal " + signal + " to " + MEMBERS[node]);
  }

  String log(int node) throws IOException {
    return Files.readString(temporary.resolve(MEMBERS[node] + ".log"));
  }

  /** The number of the leader as the state service holds it, -1 if there is none. */
  int leader() {
    String member = state.leader();
    return member == null ? -1 : List.of(MEMBERS).indexOf(member);
  }

  /** Waits until all controllers answer /up with 200 and one leads; exits with 2 if they don't. */
  int awaitLeader() {
    long untilMs = nowMs() + 25_000;
    while (nowMs() < untilMs) {
      int up = 0;
      for (String member : MEMBERS) {
        Http.Client client = new Http.Client(api.get(member));
        Http.Answer answer = client.call("GET", "/up", null, 1_000);
        client.close();
        up += answer != null && answer.status() == 200 ? 1 : 0;
      }
      if (up == MEMBERS.length && leader() >= 0) {
        note("all controllers are up, " + MEMBERS[leader()] + " leads");
        return leader();
      }
      sleep(200);
    }
    finish(2, "could not run: the controllers did not come up");
    return -1;
  }

  private void endProcesses() {
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
    for (Process process : processes) {
      try {
        if (process != null) {
          process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        return;
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      return;
    }
    try (var files = Files.list(temporary)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(temporary);
    } catch (IOException e) {
      // A file that is left in the temporary folder does no harm.
    }
  }

  Path temporary() {
    return temporary;
  }

  // ---------------------------------------------------------------- jobs

  /** A job array of one-CPU tasks that run so long; the workers can fetch its description from now on. */
  Map<String, Object> job(String id, int tasks, long taskMs, List<String> needs) {
    Map<String, Object> job =
        Cbor.map(
            "name_id", id, "clase", "aviso-duenos", "dueno", "deposito", "tipo", "sweep",
            "prioridad", "urgent", "tareas", tasks, "cpus", 1.0, "cards", 0.0, "mem_gb", 3.6,
            "imagen", "img-07", "pull_gb", 0.1, "modelos", null, "zona", null, "same_place", false,
            "apart", false, "prestadas", true, "estimado_s", taskMs / 1000.0, "resguardo_s", 0.0,
            "guardado_s", 0.0, "plazo_s", null);
    if (!needs.isEmpty()) {
      job.put("espera", new ArrayList<Object>(needs));
    }
    jobs.put(id, job);
    runMs.put(id, taskMs);
    return job;
  }

  /** Leaves the runs of a job's tasks out of the record. */
  void leaveOutOfRecord(String id) {
    unrecorded.add(id);
  }

  private void noteTask(String task, String text) {
    if (!unrecorded.contains(task.substring(0, task.lastIndexOf('/')))) {
      note(text);
    }
  }

  Map<String, Object> described(String id) {
    return jobs.get(id);
  }

  long runMs(String task) {
    return runMs.get(task.substring(0, task.lastIndexOf('/')));
  }

  void onDone(String task) {
    done.add(task);
  }

  boolean wasDone(String task) {
    return done.contains(task);
  }

  synchronized void onStarted(String task, String machine, long attempt) {
    noteTask(task, "run    " + task + " attempt " + attempt + " on " + machine);
    started.add(task);
    Set<String> machines = present.computeIfAbsent(task, key -> new HashSet<>());
    machines.add(machine);
    if (machines.size() > 1) {
      ranTwice.add(task + " on " + machines);
    }
  }

  synchronized void onGone(String task, String machine, String why) {
    noteTask(task, "gone   " + task + " on " + machine + ": " + why);
    Set<String> machines = present.get(task);
    if (machines != null) {
      machines.remove(machine);
    }
  }

  synchronized List<String> ranTwice() {
    return List.copyOf(ranTwice);
  }

  synchronized boolean wasStarted(String task) {
    return started.contains(task);
  }

  synchronized boolean isPresent(String task) {
    return !present.getOrDefault(task, Set.of()).isEmpty();
  }

  /** A user's connection to one controller. */
  final class User {
    private final String member;
    private final Http.Client client;
    private final boolean quiet;

    User(int node) {
      this(node, false);
    }

    User(int node, boolean quiet) {
      this.member = MEMBERS[node];
      this.client = new Http.Client(api.get(member));
      this.quiet = quiet;
    }

    private Http.Answer call(String method, String path, Object body, int timeoutMs, String what) {
      Http.Answer answer = client.call(method, path, body, timeoutMs);
      if (!quiet) {
        note(
            what
                + " at "
                + member
                + " -> "
                + (answer == null
                    ? "no answer"
                    : answer.status()
                        + " "
                        + answer.body().getOrDefault("estado", answer.body().get("error"))));
      }
      return answer;
    }

    Http.Answer submit(Map<String, Object> job) {
      return call("POST", "/v1/jobs", job, 5_000, "submit " + job.get("name_id"));
    }

    Http.Answer ask(String id) {
      return call("GET", "/v1/jobs/" + id, null, 2_000, "ask    " + id);
    }

    Http.Answer cancel(String id) {
      return call("POST", "/v1/jobs/" + id + "/withdraw", Map.of(), 5_000, "cancel " + id);
    }

    /** Submits as users do, again after 1 s or more, for up to 60 s; true once it is accepted. */
    boolean submitUntilAccepted(Map<String, Object> job) {
      long untilMs = nowMs() + 60_000;
      while (nowMs() < untilMs) {
        Http.Answer answer = submit(job);
        if (answer != null && (answer.status() == 200 || answer.status() == 201)) {
          return true;
        }
        if (answer != null && (answer.status() == 400 || answer.status() == 422)) {
          return false;
        }
        sleep(1_000);
      }
      return false;
    }

    /** Cancels as users do; the state that the answer names, null if none came in 60 s. */
    String cancelUntilAnswered(String id) {
      long untilMs = nowMs() + 60_000;
      while (nowMs() < untilMs) {
        Http.Answer answer = cancel(id);
        if (answer != null && answer.status() == 200) {
          return (String) answer.body().get("estado");
        }
        sleep(1_000);
      }
      return null;
    }
  }
}
