package fennelthread.emulate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.net.RawConnection;
import fennelthread.net.RawRequest;
import fennelthread.net.RawRequest.Framing;
import fennelthread.net.RawRequest.Packets;
import fennelthread.net.RawResponse;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Each kind of request to real controllers over real sockets gets its own answer, whole, in however
 * many packets it arrives: those answered during their call and those answered after requests of
 * the controller's own.
 */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ControllerRequestsTest {
  private static final int PACKET_INTERVAL_MS = 5;
  private static final int CHUNK_BYTES = 50;
  private static final int OUTAGE_MS = 3_000;
  private static final int SERVING_POLL_INTERVAL_MS = 200;
  private static final int MAX_SERVING_POLLS = 100;

  private RealControllers controllers;
  private int lastJob;
  private int lastMachine;

  @BeforeAll
  void startControllers(@TempDir Path directory) throws Exception {
    controllers = new RealControllers(directory);
  }

  @AfterAll
  void stopControllers() throws Exception {
    controllers.close();
  }

  private static List<Arguments> deliveries() {
    List<Arguments> deliveries = new ArrayList<>();
    for (Framing framing : Framing.values()) {
      for (Packets packets :
          List.of(Packets.ONE, Packets.HEAD_THEN_BODY, Packets.INSIDE_HEAD_AND_BODY)) {
        deliveries.add(Arguments.of(framing, packets));
      }
    }
    return deliveries;
  }

  private String newJobId() {
    return String.format("job-%06d", ++lastJob);
  }

  private static Fields job(String id, double cpus) {
    return Fields.create()
        .with("name_id", id)
        .with("clase", "batch")
        .with("dueno", "red")
        .with("tipo", "sweep")
        .with("prioridad", "standard")
        .with("tareas", 1L)
        .with("cpus", cpus)
        .with("cards", 0.0)
        .with("mem_gb", 0.5)
        .with("modelos", null)
        .with("zona", null)
        .with("same_place", false)
        .with("apart", false)
        .with("prestadas", true)
        .with("imagen", "img-01")
        .with("pull_gb", 0.1)
        .with("estimado_s", 2.0)
        .with("resguardo_s", 0.0)
        .with("guardado_s", 0.0)
        .with("plazo_s", null);
  }

  private Fields report(String machine) {
    return Fields.create()
        .with("equipo", machine)
        .with("address", controllers.workerAddress())
        .with("modelo", "standard")
        .with("zona", "z")
        .with("prestadas", false)
        .with("turno", 1L)
        .with("folio", System.nanoTime())
        .with("ficha", 0L)
        .with("aviso_s", null)
        .with("tareas", List.of());
  }

  /** Sends requests over one connection of a listener. */
  private static final class Client implements AutoCloseable {
    private final RawConnection connection;
    private final Codec codec;
    private final Framing framing;
    private final Packets packets;

    Client(String address, Codec codec, Framing framing, Packets packets) throws Exception {
      this.connection = new RawConnection(address);
      this.codec = codec;
      this.framing = framing;
      this.packets = packets;
    }

    /** Sends a request and decodes its answer, whose status must be the expected one. */
    Fields post(int expectedStatus, String path, Fields body) throws Exception {
      return post(expectedStatus, path, codec.encode(body));
    }

    Fields post(int expectedStatus, String path, byte[] body) throws Exception {
      RawRequest request = RawRequest.of("POST", path, body, framing, CHUNK_BYTES);
      for (byte[] packet : request.split(packets)) {
        connection.send(packet);
        Thread.sleep(PACKET_INTERVAL_MS);
      }
      return readAnswer(expectedStatus, path);
    }

    Fields get(int expectedStatus, String path) throws Exception {
      String head = "GET " + path + " HTTP/1.1\r\nHost: localhost\r\n\r\n";
      connection.send(head.getBytes(StandardCharsets.US_ASCII));
      return readAnswer(expectedStatus, path);
    }

    private Fields readAnswer(int expectedStatus, String path) throws Exception {
      RawResponse response = connection.readFinal();
      assertEquals(expectedStatus, response.status(), path);
      return codec.decode(response.body());
    }

    @Override
    public void close() throws Exception {
      connection.close();
    }
  }

  /** Guards against an empty 200 in place of the answer to a user's request. */
  @ParameterizedTest
  @MethodSource("deliveries")
  void usersGetTheirAnswers(Framing framing, Packets packets) throws Exception {
    for (RealControllers.Node node : controllers.nodes()) {
      try (Client user = new Client(node.apiAddress(), Codec.CBOR, framing, packets)) {
        String id = newJobId();
        assertEquals("pending", user.post(201, "/v1/jobs", job(id, 1.0)).text("estado"));
        assertEquals(id, user.post(200, "/v1/jobs", job(id, 1.0)).text("name_id"));
        String tooLarge = newJobId();
        assertTrue(user.post(422, "/v1/jobs", job(tooLarge, 64.0)).has("error"));
        user.get(404, "/v1/jobs/" + tooLarge);
        assertEquals("pending", user.get(200, "/v1/jobs/" + id).text("estado"));
        assertTrue(user.post(400, "/v1/jobs", new byte[] {0}).has("error"));
        String cancel = "/v1/jobs/" + id + "/withdraw";
        assertEquals("withdrawn", user.post(200, cancel, Fields.create()).text("estado"));
        assertEquals("withdrawn", user.get(200, "/v1/jobs/" + id).text("estado"));
        user.post(404, "/v1/jobs/" + tooLarge + "/withdraw", Fields.create());
        user.post(405, "/up", Fields.create());
        user.get(200, "/up");
      }
    }
  }

  /** Guards against an empty 200 in place of the answer to a worker's report. */
  @ParameterizedTest
  @MethodSource("deliveries")
  void workersGetTheirAnswers(Framing framing, Packets packets) throws Exception {
    RealControllers.Node leader = controllers.leader();
    for (RealControllers.Node node : controllers.nodes()) {
      try (Client worker = new Client(node.apiAddress(), Codec.CBOR, framing, packets)) {
        String machine = String.format("n-%06d", ++lastMachine);
        if (!node.equals(leader)) {
          Fields redirect = worker.post(421, "/agent/beat", report(machine));
          assertEquals(leader.settings().member(), redirect.text("informar_a"));
        }
        // A worker that comes back although it was redirected gets the leader's answer by relay.
        assertTrue(worker.post(200, "/agent/beat", report(machine)).count("ficha") > 0);
        assertTrue(worker.post(400, "/agent/beat", Fields.create()).has("error"));
      }
    }
  }

  /** Guards against an empty 200 in place of the answer to a request of a peer. */
  @ParameterizedTest
  @MethodSource("deliveries")
  void peersGetTheirAnswers(Framing framing, Packets packets) throws Exception {
    for (RealControllers.Node node : controllers.nodes()) {
      try (Client peer = new Client(node.peerAddress(), Codec.JSON, framing, packets)) {
        Fields commands =
            Fields.create()
                .with("epoch", 1L << 30)
                .with("address", controllers.workerAddress())
                .with("timeout_ms", 2_000L)
                .with("spare", false)
                .with("body", Fields.create());
        Fields outcome = peer.post(200, "/relay/commands", commands);
        assertEquals("n-000001", outcome.inner("body").text("equipo"));
        Fields report =
            Fields.create()
                .with("from", "node-9")
                .with("epoch", 1L)
                .with("beat", report("n-000001"));
        assertTrue(peer.post(200, "/relay/report", report).has("status"));
        Fields revocation = Fields.create().with("permiso", 1L << 40);
        assertEquals(404, peer.post(200, "/handover/end", revocation).count("status"));
        assertTrue(peer.post(400, "/hail", Fields.create()).has("error"));
      }
    }
  }

  /** Guards against an accepted job that is unknown: an outage is told to its user. */
  @Test
  void usersAreToldOfAnOutage() throws Exception {
    RealControllers.Node node = controllers.nodes().get(0);
    String id = newJobId();
    controllers.startStateOutage(OUTAGE_MS);
    try (Client user =
        new Client(node.apiAddress(), Codec.CBOR, Framing.FIXED_LENGTH, Packets.HEAD_THEN_BODY)) {
      assertTrue(user.post(503, "/v1/jobs", job(id, 1.0)).has("error"));
    }
    for (RealControllers.Node other : controllers.nodes()) {
      awaitServing(other);
    }
    try (Client user =
        new Client(node.apiAddress(), Codec.CBOR, Framing.FIXED_LENGTH, Packets.HEAD_THEN_BODY)) {
      user.get(404, "/v1/jobs/" + id);
      user.post(201, "/v1/jobs", job(id, 1.0));
    }
  }

  /** Waits until a controller answers questions, which it can't during an outage. */
  private static void awaitServing(RealControllers.Node node) throws Exception {
    for (int i = 0; i < MAX_SERVING_POLLS; i++) {
      try (RawConnection connection = new RawConnection(node.apiAddress())) {
        String head = "GET /v1/jobs/job-999999 HTTP/1.1\r\nHost: localhost\r\n\r\n";
        connection.send(head.getBytes(StandardCharsets.US_ASCII));
        if (connection.readFinal().status() == 404) {
          return;
        }
      }
      Thread.sleep(SERVING_POLL_INTERVAL_MS);
    }
    throw new TimeoutException(node.settings().member() + " does not serve again");
  }
}
