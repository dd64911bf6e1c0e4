import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The controllers as processes of the deploy file, with a platform that restarts ended ones. */
final class Controllers {
  private final Path root;
  private final Path folder;
  private final BiConsumer<String, String> record;
  private final long restartDelayMs;
  private final List<String> command = new ArrayList<>();
  private final List<String> names = new ArrayList<>();
  private final List<String> api = new ArrayList<>();
  private final List<String> mesh = new ArrayList<>();
  private final Process[] processes;
  private final int[] selfEnded;
  private final boolean[] killed;
  private volatile boolean stopping;

  Controllers(
      Path root, Path folder, int count, long restartDelayMs, BiConsumer<String, String> record)
      throws IOException {
    this.root = root;
    this.folder = folder;
    this.record = record;
    this.restartDelayMs = restartDelayMs;
    this.processes = new Process[count];
    this.selfEnded = new int[count];
    this.killed = new boolean[count];
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$")
            .matcher(Files.readString(root.resolve("deploy/service.toml")));
    if (!run.find()) {
      throw new IOException("no run command in deploy/service.toml");
    }
    command.addAll(List.of(run.group(1).split(" ")));
    for (int i = 0; i < count; i++) {
      names.add("node-" + i);
      api.add("127.0.0.1:" + freePort());
      mesh.add("127.0.0.1:" + freePort());
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.getLocalPort();
    }
  }

  List<String> names() {
    return names;
  }

  List<String> api() {
    return api;
  }

  /** Writes the platform's files; {@code state} has an address of the state service for each. */
  void configure(List<String> state, String cloud, String cluster) throws IOException {
    for (int i = 0; i < names.size(); i++) {
      StringBuilder toml = new StringBuilder();
      toml.append("member = \"").append(names.get(i)).append("\"\nsite = \"").append(Cloud.ZONE).append("\"\n");
      toml.append("api_addr = \"").append(api.get(i)).append("\"\n");
      toml.append("mesh_addr = \"").append(mesh.get(i)).append("\"\n");
      for (int j = 0; j < names.size(); j++) {
        if (j != i) {
          toml.append("[[siblings]]\nmember = \"").append(names.get(j));
          toml.append("\"\nsite = \"").append(Cloud.ZONE).append("\"\naddr = \"").append(mesh.get(j)).append("\"\n");
        }
      }
      toml.append("[endpoints]\ncloud = \"").append(cloud);
      toml.append("\"\nstate = \"").append(state.get(i)).append("\"\n").append(cluster);
      Files.writeString(folder.resolve(names.get(i) + ".toml"), toml);
    }
  }

  void start() throws IOException {
    for (int i = 0; i < processes.length; i++) {
      start(i);
    }
    Thread platform = new Thread(this::restartEnded, "platform");
    platform.setDaemon(true);
    platform.start();
  }

  private synchronized void start(int i) throws IOException {
    if (stopping) {
      return;
    }
    List<String> full = new ArrayList<>(command);
    full.add(folder.resolve(names.get(i) + ".toml").toString());
    ProcessBuilder builder = new ProcessBuilder(full).directory(root.toFile());
    File logFile = folder.resolve(names.get(i) + ".log").toFile();
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile));
    builder.environment().put("LOG_LEVEL", "info");
    processes[i] = builder.start();
    record.accept("process", names.get(i) + " started, pid " + processes[i].pid());
  }

  private void restartEnded() {
    while (!stopping) {
      for (int i = 0; i < processes.length; i++) {
        Process process = processes[i];
        if (!stopping && process != null && !process.isAlive() && !killed[i]) {
          selfEnded[i]++;
          record.accept(
              "process", names.get(i) + " ended by itself, exit code " + process.exitValue());
          processes[i] = null;
          int node = i;
          Thread restart =
              new Thread(
                  () -> {
                    try {
                      Thread.sleep(restartDelayMs);
                      start(node);
                    } catch (IOException | InterruptedException e) {
                      record.accept("process", "restart failed: " + e);
                    }
                  });
          restart.setDaemon(true);
          restart.start();
        }
      }
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** How often a controller ended although nobody had ended it. */
  int selfEnded() {
    int sum = 0;
    for (int count : selfEnded) {
      sum += count;
    }
    return sum;
  }

  /** Sends a signal, such as STOP, CONT or KILL, to a controller that this test has started. */
  void signal(int i, String signal) throws IOException, InterruptedException {
    record.accept("signal", signal + " to " + names.get(i));
    new ProcessBuilder("kill", "-" + signal, Long.toString(processes[i].pid())).start().waitFor();
  }

  /** Ends a controller without a signal that it could handle; the platform does not restart it. */
  synchronized void kill(int i) {
    record.accept("kill", names.get(i));
    killed[i] = true;
    processes[i].destroyForcibly();
  }

  /** Starts a killed controller again. */
  synchronized void restart(int i) throws IOException {
    start(i);
    killed[i] = false;
  }

  /** Ends all controllers. */
  synchronized void stop() {
    stopping = true;
    for (Process process : processes) {
      if (process != null) {
        process.destroyForcibly();
      }
    }
  }

  /** Waits until all controllers answer {@code GET /up} with 200. */
  boolean awaitUp(long timeoutMs) throws InterruptedException {
    long end = System.nanoTime() + timeoutMs * 1_000_000;
    while (System.nanoTime() < end) {
      int up = 0;
      for (String address : api) {
        try (Http.Client client = new Http.Client(address)) {
          up += client.call("GET", "/up", null, 1_000).status() == 200 ? 1 : 0;
        } catch (IOException e) {
          // Not up yet.
        }
      }
      if (up == api.size()) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }
}
