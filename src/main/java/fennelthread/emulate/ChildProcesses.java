package fennelthread.emulate;

import fennelthread.settings.SettingsException;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Starts this program's own code as further processes, from the jar or, in tests, from the class
 * path, and ends all that it has started.
 */
final class ChildProcesses implements AutoCloseable {
  /** The options of deploy/service.toml, but for the largest heap. */
  private static final List<String> CONTROLLER_OPTIONS =
      List.of(
          "-XX:TieredStopAtLevel=1",
          "-XX:+UseSerialGC",
          "-Xms24m",
          "-XX:MaxMetaspaceSize=48m",
          "-XX:ReservedCodeCacheSize=24m",
          "-XX:MaxDirectMemorySize=12m",
          "-Xss256k",
          "-XX:-UsePerfData",
          "-XX:+ExitOnOutOfMemoryError",
          "-Xshare:auto",
          "-Xlog:disable");

  private final Path directory;
  private final Path jar;
  private final List<Process> started = new CopyOnWriteArrayList<>();
  private volatile boolean closed;

  /** Creates it; logs go to files in the directory. */
  ChildProcesses(Path directory) throws SettingsException {
    this.directory = directory;
    this.jar = ownJar();
  }

  /** The jar that this code comes from, or null if it comes from directories. */
  private static Path ownJar() throws SettingsException {
    try {
      Path source =
          Path.of(ChildProcesses.class.getProtectionDomain().getCodeSource().getLocation().toURI());
      return Files.isRegularFile(source) ? source : null;
    } catch (java.net.URISyntaxException e) {
      throw new SettingsException("can't find the program's own code: " + e.getMessage());
    }
  }

  private static String java() {
    return Path.of(System.getProperty("java.home"), "bin", "java").toString();
  }

  /** Starts a controller with the arguments that name its settings. */
  Process startController(String member, List<String> arguments, int heapMb) throws IOException {
    List<String> command = new ArrayList<>(List.of(java()));
    command.addAll(CONTROLLER_OPTIONS);
    command.add("-Xmx" + heapMb + "m");
    if (jar != null) {
      String name = jar.getFileName().toString().replaceAll("\\.jar$", ".jsa");
      command.add("-XX:SharedArchiveFile=" + jar.resolveSibling(name));
      command.addAll(List.of("-jar", jar.toString()));
    } else {
      command.addAll(List.of("-cp", classPath(), "fennelthread.cli.Main"));
    }
    command.addAll(arguments);
    File log = directory.resolve(member + ".log").toFile();
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().putIfAbsent("LOG_LEVEL", "info");
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
    return start(builder);
  }

  /** Starts a process with hollow workers, whose input and output are pipes to us. */
  Process startWorkers(int number, int heapMb) throws IOException {
    ProcessBuilder builder =
        new ProcessBuilder(
            java(),
            "-XX:+UseSerialGC",
            "-Xmx" + heapMb + "m",
            "-XX:-UsePerfData",
            "-XX:+ExitOnOutOfMemoryError",
            "-cp",
            classPath(),
            WorkerProcess.class.getName());
    builder.redirectError(
        ProcessBuilder.Redirect.appendTo(directory.resolve("workers-" + number + ".log").toFile()));
    return start(builder);
  }

  private String classPath() {
    return jar != null ? jar.toString() : System.getProperty("java.class.path");
  }

  private Process start(ProcessBuilder builder) throws IOException {
    synchronized (started) {
      if (closed) {
        throw new IOException("the run is over");
      }
      Process process = builder.start();
      started.add(process);
      return process;
    }
  }

  /** Sends a signal to a process that was started here; SIGKILL goes by {@link Process}. */
  static void signal(Process process, String signal) throws IOException {
    if (process.isAlive()) {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
    }
  }

  /** Ends all processes that were started here, also those that are stopped. */
  @Override
  public void close() {
    synchronized (started) {
      closed = true;
    }
    started.forEach(Process::destroyForcibly);
    for (Process process : started) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
