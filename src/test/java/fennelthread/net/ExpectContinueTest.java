package fennelthread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import fennelthread.net.RawRequest.Framing;
import fennelthread.net.RawRequest.Packets;
import fennelthread.net.ServerFixture.Listener;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Requests with {@code Expect: 100-continue} to the HTTP server on real sockets. */
class ExpectContinueTest extends ServerTestBase {
  private static final int CHUNK_BYTES = 16;
  private static final int REQUESTS_ON_A_CONNECTION = 2;

  private static Stream<Arguments> listenersAndFramings() {
    return ServerFixture.listenersAnd(Framing.values());
  }

  /** A client that asks before it sends a body waits for ever if nobody tells it to go on. */
  @ParameterizedTest
  @MethodSource("listenersAndFramings")
  void clientIsToldToSendItsBody(Listener listener, Framing framing) throws Exception {
    for (String path : List.of("/now", "/later")) {
      try (RawConnection connection = server.connect(listener)) {
        for (int i = 0; i < REQUESTS_ON_A_CONNECTION; i++) {
          byte[] body = bytes("a body that waits for a word");
          RawRequest request = RawRequest.of("POST", path, body, framing, CHUNK_BYTES);
          connection.send(request.head());
          server.awaitRead();
          if (framing.isAskingToContinue()) {
            assertEquals(100, connection.read().status());
          }
          connection.send(request.body());
          ServerFixture.assertAnswered(listener, "POST", path, body, connection.read());
        }
      }
    }
  }

  /** A client that asks but does not wait is answered like any other. */
  @ParameterizedTest
  @MethodSource("listenersAndFramings")
  void clientThatDoesNotWaitIsAnswered(Listener listener, Framing framing) throws Exception {
    for (Packets packets : Packets.values()) {
      for (String path : List.of("/now", "/later")) {
        try (RawConnection connection = server.connect(listener)) {
          for (int i = 0; i < REQUESTS_ON_A_CONNECTION; i++) {
            byte[] body = bytes("a body that comes at once " + i);
            server.sendInPackets(
                connection, RawRequest.of("POST", path, body, framing, CHUNK_BYTES), packets);
            ServerFixture.assertAnswered(listener, "POST", path, body, connection.readFinal());
          }
        }
      }
    }
  }
}
