package fennelthread.cli;

import fennelthread.Controller;
import fennelthread.net.Call;
import fennelthread.net.Request;
import fennelthread.net.XnioEventLoop;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WorkerReport;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import picocli.CommandLine.Command;

/**
 * The command that the build runs under {@code -XX:ArchiveClassesAtExit} to create the class-data
 * archive, which makes later starts faster: loads the classes that a controller needs by serving a
 * few requests on the loopback interface.
 */
@Command(
    name = Train.NAME,
    hidden = true,
    description = "Loads classes for the class-data archive.")
final class Train implements Callable<Integer> {
  static final String NAME = "train";

  /** Prefixes of classes that a running controller never loads. */
  private static final List<String> EXCLUDED_PREFIXES =
      List.of("fennelthread/simulation/", "fennelthread/emulate/", "fennelthread/cli/Emulate");

  private static final String SETTINGS_FORMAT =
      """
      member = "training-0"
      site = "here"
      api_addr = "127.0.0.1:%1$d"
      mesh_addr = "127.0.0.1:%2$d"
      [[siblings]]
      member = "training-1"
      site = "here"
      addr = "127.0.0.1:%2$d"
      [endpoints]
      cloud = "127.0.0.1:%3$d"
      state = "127.0.0.1:%3$d"
      [cluster]
      zones = ["here"]
      [[cluster.teams]]
      name = "team"
      [cluster.workers]
      report_s = 1.0
      lease_s = 10.0
      cancel_s = 10.0
      [cluster.state]
      rps = 100.0
      write_rps = 100.0
      value_kb = 8.0
      txn_ops = 8
      [cluster.cloud]
      rps = 1.0
      list_lag_s = 1.0
      """;

  @Override
  public Integer call() throws Exception {
    loadControllerClasses();
    Path file = Files.createTempFile("fennelthread", ".toml");
    // Free ports, so that builds on one machine don't take each other's and fail.
    Files.writeString(file, SETTINGS_FORMAT.formatted(freePort(), freePort(), freePort()));
    Settings settings = Settings.load(file);
    Options options = Options.parse("training", "(fennelthread (max-machines 1))");
    Files.delete(file);
    XnioEventLoop eventLoop = Serve.createEventLoop(settings);
    List<Call> calls = trainingCalls();
    CountDownLatch openCalls = new CountDownLatch(calls.size());
    eventLoop.run(
        () -> {
          Controller controller = Serve.start(eventLoop, settings, options);
          for (Call call : calls) {
            eventLoop.call(settings.apiAddr(), call, 3_000, answer -> openCalls.countDown());
          }
          controller.peerService().handle(new Request("GET", "/none", null), answer -> {});
        });
    boolean allAnswered = openCalls.await(30, TimeUnit.SECONDS);
    Thread.sleep(500);
    return allAnswered ? 0 : 1;
  }

  /** Returns requests of each kind, which load the classes that serve them. */
  private static List<Call> trainingCalls() {
    JobSpec spec =
        JobSpec.builder("job-000001")
            .jobClass("c")
            .team("team")
            .tasks(1)
            .cpus(1)
            .memGb(1)
            .image("i")
            .imageGb(1)
            .spotAllowed(true)
            .estimateS(1)
            .build();
    WorkerReport report =
        new WorkerReport(
            "n-1", "127.0.0.1:1", "t", "here", false, 1, 1, 0, WorkerReport.NO_NOTICE, List.of());
    return List.of(
        Call.get("/up"),
        Call.get("/v1/jobs/job-000001"),
        Call.post("/v1/jobs", Codec.CBOR, spec.write()),
        Call.post("/agent/beat", Codec.CBOR, report.write()),
        Call.post("/v1/jobs", Codec.CBOR, Fields.create()));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private static void loadControllerClasses() throws Exception {
    Path jar = Path.of(Train.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    if (!Files.isRegularFile(jar)) {
      return;
    }
    try (JarFile file = new JarFile(jar.toFile())) {
      for (JarEntry entry : (Iterable<JarEntry>) file.stream()::iterator) {
        String name = entry.getName();
        boolean isControllerClass =
            name.startsWith("fennelthread/")
                && EXCLUDED_PREFIXES.stream().noneMatch(name::startsWith);
        if (isControllerClass && name.endsWith(".class")) {
          Class.forName(name.substring(0, name.length() - 6).replace('/', '.'));
        }
      }
    }
  }
}
