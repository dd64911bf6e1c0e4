package fennelthread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.NetConstants;
import fennelthread.wire.Codec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The HTTP client on real sockets: each call ends once, with the whole answer to its own request or
 * with none, however the answer arrives.
 */
class HttpClientTest {
  private static final int CALL_TIMEOUT_MS = 10_000;
  private static final int SHORT_TIMEOUT_MS = 100;
  private static final int CALLS = 3;
  private static final int MAX_SOCKETS = 100;
  private static final int MAX_OUTBOUND_SOCKETS = 10;

  private XnioEventLoop eventLoop;

  @BeforeEach
  void startEventLoop() throws IOException {
    eventLoop = new XnioEventLoop(MAX_SOCKETS, MAX_OUTBOUND_SOCKETS, Set.of());
  }

  @AfterEach
  void stopEventLoop() {
    eventLoop.stop();
  }

  /** How a response tells where its body ends, and whether its connection is kept. */
  private enum Framing {
    FIXED_LENGTH,
    CHUNKED,
    CLOSING,
    UNTIL_CLOSE;

    boolean isKept() {
      return this == FIXED_LENGTH || this == CHUNKED;
    }

    byte[] response(int status, String body) {
      String length = "Content-Length: " + body.length() + "\r\n";
      String headersAndBody =
          switch (this) {
            case FIXED_LENGTH -> length + "\r\n" + body;
            case CHUNKED -> "Transfer-Encoding: chunked\r\n\r\n" + inChunks(body);
            case CLOSING -> length + "Connection: close\r\n\r\n" + body;
            case UNTIL_CLOSE -> "Connection: close\r\n\r\n" + body;
          };
      return ScriptedServer.bytes("HTTP/1.1 " + status + " -\r\n" + headersAndBody);
    }

    private static String inChunks(String body) {
      int half = body.length() / 2;
      return String.format(
          "%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
          half, body.substring(0, half), body.length() - half, body.substring(half));
    }
  }

  private static Stream<Arguments> framingsAndPacketSizes() {
    return Stream.of(Framing.values())
        .flatMap(framing -> Stream.of(1, 7, 64, 4_096).map(bytes -> Arguments.of(framing, bytes)));
  }

  /** Guards against answers that are empty, cut short or those of another call. */
  @ParameterizedTest
  @MethodSource("framingsAndPacketSizes")
  void eachCallGetsItsOwnAnswer(Framing framing, int packetBytes) throws Exception {
    ScriptedServer.Script script =
        exchange -> {
          byte[] response = framing.response(422, "the answer to " + exchange.request);
          sendInPackets(exchange, response, packetBytes);
          if (!framing.isKept()) {
            exchange.close();
          }
        };
    try (ScriptedServer server = new ScriptedServer(script)) {
      for (int i = 0; i < CALLS; i++) {
        Optional<Answer> answer = call(server, "/call/" + i, CALL_TIMEOUT_MS);
        assertAnswer(422, "the answer to POST /call/" + i + " HTTP/1.1", answer);
      }
      assertEquals(framing.isKept() ? 1 : CALLS, server.connections());
    }
  }

  private static void sendInPackets(
      ScriptedServer.Exchange exchange, byte[] response, int packetBytes)
      throws IOException, InterruptedException {
    for (int from = 0; from < response.length; from += packetBytes) {
      exchange.send(
          Arrays.copyOfRange(response, from, Math.min(response.length, from + packetBytes)));
      Thread.sleep(1);
    }
  }

  private Optional<Answer> call(ScriptedServer server, String path, int timeoutMs)
      throws Exception {
    return start(server, path, timeoutMs).get(2L * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private CompletableFuture<Optional<Answer>> start(
      ScriptedServer server, String path, int timeoutMs) {
    CompletableFuture<Optional<Answer>> answer = new CompletableFuture<>();
    Call call = new Call("POST", path, ScriptedServer.bytes("a body"), Codec.CBOR);
    eventLoop.run(
        () ->
            eventLoop.call(
                server.address(),
                call,
                timeoutMs,
                received -> answer.complete(Optional.ofNullable(received)),
                wasTried -> answer.completeExceptionally(new IOException("unsent"))));
    return answer;
  }

  private static void assertAnswer(int status, String body, Optional<Answer> answer) {
    assertTrue(answer.isPresent(), "no answer");
    assertEquals(status, answer.get().status());
    assertEquals(body, new String(answer.get().body(), StandardCharsets.ISO_8859_1));
  }

  /** An interim response is not the answer. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4_096})
  void interimResponseIsPassedOver(int packetBytes) throws Exception {
    ScriptedServer.Script script =
        exchange -> {
          sendInPackets(
              exchange, ScriptedServer.bytes("HTTP/1.1 100 Continue\r\n\r\n"), packetBytes);
          sendInPackets(exchange, Framing.FIXED_LENGTH.response(201, "final"), packetBytes);
        };
    try (ScriptedServer server = new ScriptedServer(script)) {
      for (int i = 0; i < CALLS; i++) {
        assertAnswer(201, "final", call(server, "/", CALL_TIMEOUT_MS));
      }
    }
  }

  /** An answer that ends before its last byte is none, wherever it is cut off. */
  @ParameterizedTest
  @EnumSource(
      value = Framing.class,
      names = {"FIXED_LENGTH", "CHUNKED", "CLOSING"})
  void answerThatIsCutOffIsNone(Framing framing) throws Exception {
    byte[] response = framing.response(200, "an answer that is cut off");
    for (boolean isReset : new boolean[] {false, true}) {
      for (int length = 0; length < response.length; length++) {
        byte[] part = Arrays.copyOf(response, length);
        ScriptedServer.Script script =
            exchange -> {
              exchange.send(part);
              if (isReset) {
                exchange.reset();
              } else {
                exchange.close();
              }
            };
        try (ScriptedServer server = new ScriptedServer(script)) {
          Optional<Answer> answer = call(server, "/", CALL_TIMEOUT_MS);
          assertTrue(answer.isEmpty(), "cut after " + length + " bytes, reset: " + isReset);
        }
      }
    }
  }

  /** An answer as large as allowed is read, a larger one is none; the next call is not affected. */
  @Test
  void answersAreReadUpToTheLimit() throws Exception {
    String largest = "x".repeat(NetConstants.MAX_ANSWER_BYTES);
    ScriptedServer.Script script =
        exchange -> {
          String body = exchange.request.contains("larger") ? largest + "x" : largest;
          exchange.send(Framing.FIXED_LENGTH.response(200, body));
        };
    try (ScriptedServer server = new ScriptedServer(script)) {
      Optional<Answer> answer = call(server, "/largest", CALL_TIMEOUT_MS);
      assertEquals(largest.length(), answer.orElseThrow().body().length);
      assertTrue(call(server, "/larger", CALL_TIMEOUT_MS).isEmpty());
      answer = call(server, "/largest", CALL_TIMEOUT_MS);
      assertEquals(largest.length(), answer.orElseThrow().body().length);
    }
  }

  /** An answer that comes after its caller gave up is not the answer to the next call. */
  @ParameterizedTest
  @ValueSource(strings = {"head", "body", "all"})
  void lateAnswerIsNotThatOfTheNextCall(String latePart) throws Exception {
    ScriptedServer.Script script =
        exchange -> {
          byte[] response = Framing.FIXED_LENGTH.response(200, "the answer to " + exchange.request);
          boolean isLate = exchange.request.contains("late");
          int bytesInTime = bytesInTime(response.length, isLate ? latePart : "none");
          exchange.send(Arrays.copyOf(response, bytesInTime));
          if (isLate) {
            Thread.sleep(2 * SHORT_TIMEOUT_MS);
          }
          exchange.send(Arrays.copyOfRange(response, bytesInTime, response.length));
        };
    try (ScriptedServer server = new ScriptedServer(script)) {
      assertTrue(call(server, "/late", SHORT_TIMEOUT_MS).isEmpty());
      for (int i = 0; i < CALLS; i++) {
        Optional<Answer> answer = call(server, "/next/" + i, CALL_TIMEOUT_MS);
        assertAnswer(200, "the answer to POST /next/" + i + " HTTP/1.1", answer);
        Thread.sleep(SHORT_TIMEOUT_MS);
      }
    }
  }

  private static int bytesInTime(int length, String latePart) {
    return switch (latePart) {
      case "all" -> 0;
      case "head" -> 10;
      case "body" -> length - 10;
      default -> length;
    };
  }

  /** A connection that its server closed while it was kept is not used again. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void connectionClosedWhileIdleIsNotUsed(boolean isReset) throws Exception {
    ScriptedServer.Script script =
        exchange -> {
          exchange.send(Framing.FIXED_LENGTH.response(200, exchange.request));
          Thread.sleep(10);
          if (isReset) {
            exchange.reset();
          } else {
            exchange.close();
          }
        };
    try (ScriptedServer server = new ScriptedServer(script)) {
      for (int i = 0; i < CALLS; i++) {
        Optional<Answer> answer = call(server, "/" + i, CALL_TIMEOUT_MS);
        assertAnswer(200, "POST /" + i + " HTTP/1.1", answer);
        Thread.sleep(SHORT_TIMEOUT_MS);
      }
    }
  }

  /** Answers to calls that are under way together, on connections of their own, don't mix. */
  @Test
  void answersToCallsUnderWayTogetherDoNotMix() throws Exception {
    ScriptedServer.Script script =
        exchange -> sendInPackets(exchange, Framing.CHUNKED.response(200, exchange.request), 16);
    try (ScriptedServer server = new ScriptedServer(script)) {
      List<CompletableFuture<Optional<Answer>>> answers = new ArrayList<>();
      for (int i = 0; i < 50; i++) {
        answers.add(start(server, "/" + i, CALL_TIMEOUT_MS));
      }
      for (int i = 0; i < answers.size(); i++) {
        Optional<Answer> answer = answers.get(i).get(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertAnswer(200, "POST /" + i + " HTTP/1.1", answer);
      }
    }
  }

  /**
   * Guards against a process that grows with each machine that ever was: an address is forgotten
   * once its connections are closed, whether its calls were answered, timed out or met no server.
   */
  @Test
  void addressesThatNothingUsesAreForgotten() throws Exception {
    ScriptedServer.Script script =
        exchange -> {
          if (exchange.request.contains("/silent")) {
            Thread.sleep(4 * SHORT_TIMEOUT_MS);
          } else {
            exchange.send(Framing.FIXED_LENGTH.response(200, exchange.request));
          }
        };
    for (int i = 0; i < 3 * MAX_OUTBOUND_SOCKETS; i++) {
      try (ScriptedServer server = new ScriptedServer(script)) {
        assertTrue(call(server, "/answered", CALL_TIMEOUT_MS).isPresent());
        assertTrue(call(server, "/silent", SHORT_TIMEOUT_MS).isEmpty());
        server.close();
        awaitEnd(start(server, "/ended", CALL_TIMEOUT_MS));
      }
    }
    awaitNoDestinations();
  }

  private static void awaitEnd(CompletableFuture<Optional<Answer>> answer) throws Exception {
    answer.handle((received, failure) -> received).get(2L * CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
  }

  private void awaitNoDestinations() throws Exception {
    int count = Integer.MAX_VALUE;
    for (int i = 0; i < CALL_TIMEOUT_MS / SHORT_TIMEOUT_MS && count > 0; i++) {
      Thread.sleep(SHORT_TIMEOUT_MS);
      CompletableFuture<Integer> counted = new CompletableFuture<>();
      eventLoop.run(() -> counted.complete(eventLoop.destinationCount()));
      count = counted.get(CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
    assertEquals(0, count, "addresses held");
  }
}
