package fennelthread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.ProtocolConstants;
import fennelthread.net.RawRequest.Framing;
import fennelthread.net.RawRequest.Packets;
import fennelthread.net.ServerFixture.Listener;
import java.net.SocketException;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/** The limit on the size of a request's body, on real sockets. */
class BodyLimitTest extends ServerTestBase {
  private static final int CHUNK_BYTES = 5_000;
  private static final int END_OF_CHUNKS_BYTES = "0\r\n\r\n".length();

  /** More than the server and the buffers of both sides take. */
  private static final int ENDLESS_BODY_CHUNKS = 2_000;

  private static final int REQUESTS_ON_A_CONNECTION = 2;

  private static Stream<Arguments> listenersAndFramings() {
    return ServerFixture.listenersAnd(Framing.values());
  }

  /** A body as large as allowed is handled, in however many reads it arrives. */
  @ParameterizedTest
  @MethodSource("listenersAndFramings")
  void largestBodyIsHandled(Listener listener, Framing framing) throws Exception {
    byte[] body = new byte[ProtocolConstants.MAX_BODY_BYTES];
    Arrays.fill(body, (byte) 'x');
    for (String path : List.of("/now", "/later")) {
      try (RawConnection connection = server.connect(listener)) {
        for (int i = 0; i < REQUESTS_ON_A_CONNECTION; i++) {
          RawRequest request = RawRequest.of("POST", path, body, framing, CHUNK_BYTES);
          server.sendInPackets(connection, request, Packets.HEAD_THEN_BODY);
          ServerFixture.assertAnswered(listener, "POST", path, body, connection.readFinal());
        }
      }
    }
  }

  /** A body above the limit is refused with 413, never handled, and its connection ends. */
  @ParameterizedTest
  @MethodSource("listenersAndFramings")
  void tooLargeBodyIsRefused(Listener listener, Framing framing) throws Exception {
    for (int excessBytes : new int[] {1, 3 * ProtocolConstants.MAX_BODY_BYTES}) {
      byte[] body = new byte[ProtocolConstants.MAX_BODY_BYTES + excessBytes];
      for (Packets packets :
          List.of(Packets.ONE, Packets.HEAD_THEN_BODY, Packets.INSIDE_HEAD_AND_BODY)) {
        try (RawConnection connection = server.connect(listener)) {
          RawRequest request = RawRequest.of("POST", "/later", body, framing, CHUNK_BYTES);
          server.sendInPackets(connection, request, packets);
          RawResponse response = connection.readFinal();
          assertEquals(413, response.status());
          assertTrue(response.isLast());
          assertTrue(response.body().length > 0, "an empty answer");
          assertTrue(connection.isEnded());
        }
      }
    }
    assertTrue(server.handled.isEmpty());
  }

  /** A client that asks first does not have to send a body that is too large. */
  @ParameterizedTest
  @EnumSource(Listener.class)
  void tooLargeBodyIsRefusedBeforeItIsSent(Listener listener) throws Exception {
    byte[] body = new byte[ProtocolConstants.MAX_BODY_BYTES + 1];
    try (RawConnection connection = server.connect(listener)) {
      connection.send(
          RawRequest.of("POST", "/later", body, Framing.EXPECT_CONTINUE, CHUNK_BYTES).head());
      assertEquals(413, connection.read().status());
      assertTrue(connection.isEnded());
    }
  }

  /** A body without end does not keep its connection, nor the event loop from others. */
  @ParameterizedTest
  @EnumSource(Listener.class)
  void bodyWithoutEndIsCutOff(Listener listener) throws Exception {
    byte[] block = new byte[ProtocolConstants.MAX_BODY_BYTES];
    RawRequest endless = RawRequest.of("POST", "/later", block, Framing.CHUNKED, block.length);
    byte[] chunk = Arrays.copyOf(endless.body(), endless.body().length - END_OF_CHUNKS_BYTES);
    try (RawConnection connection = server.connect(listener)) {
      connection.send(endless.head());
      assertThrows(
          SocketException.class,
          () -> {
            for (int i = 0; i < ENDLESS_BODY_CHUNKS; i++) {
              connection.send(chunk);
            }
          });
    }
    try (RawConnection connection = server.connect(listener)) {
      byte[] body = new byte[] {'x'};
      connection.send(RawRequest.of("POST", "/now", body, Framing.CHUNKED, 1).whole());
      ServerFixture.assertAnswered(listener, "POST", "/now", body, connection.read());
    }
  }
}
