package fennelthread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.net.RawRequest.Framing;
import fennelthread.net.RawRequest.Packets;
import fennelthread.net.ServerFixture.Listener;
import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** The HTTP server on real sockets: each request gets its handler's answer, however it arrives. */
class HttpServerTest extends ServerTestBase {
  private static final int CHUNK_BYTES = 16;
  private static final int REQUESTS_ON_A_CONNECTION = 2;

  private static Stream<Arguments> listenersAndFramings() {
    return ServerFixture.listenersAnd(Framing.FIXED_LENGTH, Framing.CHUNKED);
  }

  private static Stream<Arguments> deliveries() {
    List<Arguments> deliveries = new ArrayList<>();
    for (Listener listener : Listener.values()) {
      for (String path : List.of("/now", "/later")) {
        for (Framing framing : List.of(Framing.FIXED_LENGTH, Framing.CHUNKED)) {
          for (Packets packets : Packets.values()) {
            deliveries.add(Arguments.of(listener, path, framing, packets));
          }
        }
      }
    }
    return deliveries.stream();
  }

  /** Guards against an empty 200 that is sent in place of the answer of a handler. */
  @ParameterizedTest
  @MethodSource("deliveries")
  void eachRequestGetsItsOwnAnswer(Listener listener, String path, Framing framing, Packets packets)
      throws Exception {
    try (RawConnection connection = server.connect(listener)) {
      for (int i = 0; i < REQUESTS_ON_A_CONNECTION; i++) {
        byte[] body = bytes("request " + i + " on a kept connection");
        RawRequest request = RawRequest.of("POST", path + "/" + i, body, framing, CHUNK_BYTES);
        server.sendInPackets(connection, request, packets);
        ServerFixture.assertAnswered(listener, "POST", path + "/" + i, body, connection.read());
      }
      assertFalse(connection.isReadableWithin(2 * ServerFixture.ANSWER_DELAY_MS));
    }
    assertEquals(REQUESTS_ON_A_CONNECTION, server.handled.size());
  }

  /** A question has no body, wherever its head is cut. */
  @ParameterizedTest
  @EnumSource(Packets.class)
  void requestsWithoutBodyAreAnswered(Packets packets) throws Exception {
    for (String path : List.of("/now", "/later")) {
      for (String method : List.of("GET", "POST")) {
        String lengthHeader = method.equals("POST") ? "Content-Length: 0\r\n" : "";
        byte[] head =
            bytes(method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + lengthHeader + "\r\n");
        try (RawConnection connection = server.connect(Listener.API)) {
          for (int i = 0; i < REQUESTS_ON_A_CONNECTION; i++) {
            server.sendInPackets(connection, new RawRequest(head, new byte[0]), packets);
            byte[] body = method.equals("POST") ? new byte[0] : null;
            ServerFixture.assertAnswered(Listener.API, method, path, body, connection.read());
          }
        }
      }
    }
  }

  /** Half a request is no request: it is not handled and gets no answer that looks like success. */
  @ParameterizedTest
  @MethodSource("listenersAndFramings")
  void requestThatIsCutOffIsNotHandled(Listener listener, Framing framing) throws Exception {
    RawRequest request =
        RawRequest.of("POST", "/later", bytes("a body that is cut off"), framing, CHUNK_BYTES);
    byte[] whole = request.whole();
    for (int length = 1; length < whole.length; length++) {
      try (RawConnection connection = server.connect(listener)) {
        connection.send(Arrays.copyOf(whole, length));
        server.awaitRead();
        connection.shutDownOutput();
        assertTrue(endsWithoutSuccess(connection), "cut after " + length + " bytes");
      }
    }
    assertTrue(server.handled.isEmpty());
  }

  private static boolean endsWithoutSuccess(RawConnection connection) throws IOException {
    try {
      RawResponse response = connection.readFinal();
      return response.status() == 400 && connection.isEnded();
    } catch (EOFException | SocketException e) {
      return true;
    }
  }

  /** A client may end its own direction once its request is whole, and still gets its answer. */
  @ParameterizedTest
  @MethodSource("listenersAndFramings")
  void clientThatSendsNoMoreGetsItsAnswer(Listener listener, Framing framing) throws Exception {
    byte[] body = bytes("the only request");
    for (String path : List.of("/now", "/later")) {
      for (Packets packets : Packets.values()) {
        try (RawConnection connection = server.connect(listener)) {
          RawRequest request = RawRequest.of("POST", path, body, framing, CHUNK_BYTES);
          server.sendInPackets(connection, request, packets);
          connection.shutDownOutput();
          ServerFixture.assertAnswered(listener, "POST", path, body, connection.read());
        }
      }
    }
  }

  /** Clients that leave before their answer take nothing from others. */
  @ParameterizedTest
  @EnumSource(Listener.class)
  void clientsThatLeaveDoNotDisturbOthers(Listener listener) throws Exception {
    RawRequest abandoned =
        RawRequest.of("POST", "/later", bytes("nobody waits"), Framing.FIXED_LENGTH, CHUNK_BYTES);
    for (Packets packets : List.of(Packets.ONE, Packets.HEAD_THEN_BODY)) {
      RawConnection leaving = server.connect(listener);
      server.sendInPackets(leaving, abandoned, packets);
      leaving.reset();
    }
    byte[] body = bytes("one that waits");
    RawRequest request = RawRequest.of("POST", "/later", body, Framing.FIXED_LENGTH, CHUNK_BYTES);
    try (RawConnection connection = server.connect(listener)) {
      server.sendInPackets(connection, request, Packets.HEAD_THEN_BODY);
      ServerFixture.assertAnswered(listener, "POST", "/later", body, connection.read());
    }
    assertEquals(3, server.handled.size());
  }

  /** Of two answers to one request only the first is sent. */
  @ParameterizedTest
  @EnumSource(Packets.class)
  void secondAnswerIsNotSent(Packets packets) throws Exception {
    try (RawConnection connection = server.connect(Listener.API)) {
      for (int i = 0; i < REQUESTS_ON_A_CONNECTION; i++) {
        byte[] body = bytes("answered twice " + i);
        server.sendInPackets(
            connection,
            RawRequest.of("POST", "/twice", body, Framing.FIXED_LENGTH, CHUNK_BYTES),
            packets);
        ServerFixture.assertAnswered(Listener.API, "POST", "/twice", body, connection.read());
        assertFalse(connection.isReadableWithin(2 * ServerFixture.ANSWER_DELAY_MS));
      }
    }
  }

  /** A handler that fails is an internal error for its client, never a success. */
  @ParameterizedTest
  @EnumSource(Packets.class)
  void failedHandlerGetsAnErrorAnswer(Packets packets) throws Exception {
    byte[] body = bytes("a body");
    try (RawConnection connection = server.connect(Listener.API)) {
      server.sendInPackets(
          connection,
          RawRequest.of("POST", "/fail", body, Framing.FIXED_LENGTH, CHUNK_BYTES),
          packets);
      assertEquals(500, connection.read().status());
    }
  }
}
