package fennelthread.emulate;

import fennelthread.Controller;
import fennelthread.constants.EmulationConstants;
import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.net.XnioEventLoop;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * Three controllers on real sockets in this process, with the emulated state service, a cloud that
 * has no machines to rent, and one address at which a worker answers commands.
 */
final class RealControllers implements AutoCloseable {
  private static final int CONTROLLERS = 3;
  private static final int START_TIMEOUT_MS = 30_000;
  private static final int START_POLL_INTERVAL_MS = 50;
  private static final long RANDOM_SEED = 1;

  private static final String SHARED_SETTINGS =
      """
      [cluster]
      count = 3
      zones = ["z"]
      [[cluster.teams]]
      name = "red"
      cpus = 10.0
      cpus_max = 100.0
      [cluster.workers]
      report_s = 1.5
      lease_s = 10.0
      cancel_s = 35.0
      [cluster.state]
      rps = 500.0
      write_rps = 300.0
      value_kb = 16.0
      txn_ops = 12
      [cluster.cloud]
      rps = 50.0
      list_lag_s = 1.0
      [cluster.machine_limits]
      max_connections = 500
      """;

  /** One controller. */
  record Node(Settings settings, XnioEventLoop eventLoop, Controller controller) {
    String apiAddress() {
      return settings.apiAddr();
    }

    String peerAddress() {
      return settings.peerAddr();
    }
  }

  private final SelectorLoop loop;
  private final EmulatedStateService state;
  private final List<Node> nodes = new ArrayList<>();
  private final Addresses addresses = Addresses.claim(new Random());

  /** Starts everything and waits until a controller leads. */
  RealControllers(Path directory) throws Exception {
    loop = new SelectorLoop("emulated services");
    Settings.StateLimits limits = new Settings.StateLimits(500, 300, 16 * 1024, 12);
    state =
        new EmulatedStateService(
            loop, new EmulationConfig.StateSettings(limits, 2), new Random(RANDOM_SEED));
    loop.execute(this::startServices);
    loop.start();
    for (int member = 0; member < CONTROLLERS; member++) {
      Path file = Files.writeString(directory.resolve(name(member) + ".toml"), settings(member));
      nodes.add(startNode(Settings.load(file)));
    }
    leader();
  }

  private static String name(int member) {
    return "node-" + member;
  }

  private String settings(int member) {
    StringBuilder text = new StringBuilder();
    text.append("member = \"%s\"\nsite = \"z\"\n".formatted(name(member)));
    text.append("api_addr = \"%s\"\n".formatted(addresses.api(member)));
    text.append("mesh_addr = \"%s\"\n".formatted(addresses.peer(member)));
    for (int other = 0; other < CONTROLLERS; other++) {
      if (other != member) {
        text.append(
            "[[siblings]]\nmember = \"%s\"\nsite = \"z\"\naddr = \"%s\"\n"
                .formatted(name(other), addresses.peer(other)));
      }
    }
    text.append(
        "[endpoints]\ncloud = \"%s\"\nstate = \"%s\"\n"
            .formatted(addresses.cloud(member), addresses.state(member)));
    return text + SHARED_SETTINGS;
  }

  private static Node startNode(Settings settings) throws Exception {
    Set<String> essential = Set.of(settings.stateAddr(), settings.cloudAddr());
    XnioEventLoop eventLoop =
        new XnioEventLoop(settings.maxConnections(), settings.maxOutboundConnections(), essential);
    CompletableFuture<Controller> started = new CompletableFuture<>();
    eventLoop.run(
        () -> {
          Controller controller = new Controller(eventLoop, settings, Options.DEFAULTS);
          eventLoop.listen(
              settings.apiAddr(), controller.api(), settings.peerAddr(), controller.peerService());
          controller.start();
          started.complete(controller);
        });
    return new Node(settings, eventLoop, started.get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS));
  }

  private void startServices() {
    try {
      for (int member = 0; member < CONTROLLERS; member++) {
        listen(addresses.state(member), state.serviceFor(member));
        listen(addresses.cloud(member), RealControllers::answerAsCloud);
      }
      listen(workerAddress(), RealControllers::answerAsWorker);
      state.start();
    } catch (IOException e) {
      throw new IllegalStateException("can't listen", e);
    }
  }

  private void listen(String address, Service service) throws IOException {
    new HttpListener(loop, Addresses.parse(address), service);
  }

  private static void answerAsCloud(Request request, Consumer<Answer> reply) {
    if (request.path().equals("/flavors")) {
      Fields type =
          Fields.create()
              .with("label", "standard")
              .with("cpus", 16.0)
              .with("cards", 0.0)
              .with("mem_gb", 64.0)
              .with("local_gb", 100.0)
              .with("pull_gb_per_s", 1.0)
              .with("hourly", 1.0)
              .with("low_price", 0.3)
              .with("startup_s", 30.0)
              .with("zonas", List.of("z"));
      reply.accept(
          Answer.of(200, Codec.CBOR, Fields.create().with("modelos", List.of(type.map()))));
    } else if (request.path().startsWith("/hosts?")) {
      Fields none = Fields.create().with("equipos", List.of()).with("more", false);
      reply.accept(Answer.of(200, Codec.CBOR, none));
    } else {
      reply.accept(Answer.error(503, "no capacity"));
    }
  }

  private static void answerAsWorker(Request request, Consumer<Answer> reply) {
    reply.accept(Answer.of(200, Codec.CBOR, Fields.create().with("equipo", "n-000001")));
  }

  /** The address at which a worker answers commands, host and port. */
  String workerAddress() {
    return addresses.machine(0);
  }

  /** All controllers. */
  List<Node> nodes() {
    return nodes;
  }

  /** The controller that leads; waits until one does. */
  Node leader() throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MS);
    while (System.nanoTime() < endNanos) {
      for (Node node : nodes) {
        CompletableFuture<Boolean> isLeading = new CompletableFuture<>();
        node.eventLoop().run(() -> isLeading.complete(node.controller().isLeading()));
        if (isLeading.get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
          return node;
        }
      }
      Thread.sleep(START_POLL_INTERVAL_MS);
    }
    throw new TimeoutException("no controller leads");
  }

  /** Answers everybody's requests to the state service with 503 for so long. */
  void startStateOutage(long forMs) throws Exception {
    CompletableFuture<Void> started = new CompletableFuture<>();
    loop.execute(
        () -> {
          state.outage(forMs);
          started.complete(null);
        });
    started.get(EmulationConstants.MAX_SELECT_WAIT_MS * 10L, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() throws IOException {
    nodes.forEach(node -> node.eventLoop().stop());
    loop.stop();
    addresses.close();
  }
}
