package fennelthread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.net.RawRequest.Framing;
import fennelthread.net.RawRequest.Packets;
import fennelthread.wire.Codec;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.provider.Arguments;

/**
 * The real HTTP server of a controller on loopback sockets, with a service on each listener that
 * answers each request with what it received. How is told by the request's path: {@code /now}
 * during the call, {@code /later} after it, {@code /twice} with two answers, {@code /fail} with an
 * exception.
 */
final class ServerFixture implements AutoCloseable {
  /** The status of the answers: one that no server sends by itself. */
  static final int STATUS = 422;

  /** How long after its call a request is answered, ms. */
  static final int ANSWER_DELAY_MS = 30;

  private static final int MAX_SOCKETS = 1_000;
  private static final int MAX_OUTBOUND_SOCKETS = 10;

  /** The two listeners of a controller. */
  enum Listener {
    API,
    PEERS
  }

  final XnioEventLoop eventLoop;

  /** The methods, paths and bodies of the requests that were handled, as their answers say. */
  final Queue<String> handled = new ConcurrentLinkedQueue<>();

  private final String apiAddress = LoopbackAddresses.next();
  private final String peerAddress = LoopbackAddresses.next();

  /** Starts the server on two addresses of its own. */
  ServerFixture() throws IOException {
    eventLoop = new XnioEventLoop(MAX_SOCKETS, MAX_OUTBOUND_SOCKETS, Set.of());
    eventLoop.listen(apiAddress, serviceOf(Listener.API), peerAddress, serviceOf(Listener.PEERS));
  }

  private Service serviceOf(Listener listener) {
    return (request, reply) -> {
      String description = describe(listener, request.method(), request.path(), request.body());
      handled.add(description);
      Answer answer =
          new Answer(
              STATUS,
              description.getBytes(StandardCharsets.UTF_8),
              Codec.CBOR,
              0,
              Answer.Afterwards.KEEP);
      reply(request.path(), reply, answer);
    };
  }

  private void reply(String path, Consumer<Answer> reply, Answer answer) {
    if (path.startsWith("/later")) {
      eventLoop.after(ANSWER_DELAY_MS, () -> reply.accept(answer));
    } else if (path.startsWith("/twice")) {
      reply.accept(answer);
      eventLoop.after(ANSWER_DELAY_MS, () -> reply.accept(Answer.error(500, "second answer")));
    } else if (path.startsWith("/fail")) {
      throw new IllegalStateException("a handler that fails");
    } else {
      reply.accept(answer);
    }
  }

  /** The text of the answer that the service of a listener gives to a request. */
  static String describe(Listener listener, String method, String path, byte[] body) {
    String text = body == null ? "no body" : new String(body, StandardCharsets.UTF_8);
    return listener + " " + method + " " + path + " " + text;
  }

  /** Connects to a listener. */
  RawConnection connect(Listener listener) throws IOException, InterruptedException {
    RawConnection connection =
        new RawConnection(listener == Listener.API ? apiAddress : peerAddress);
    awaitRead();
    return connection;
  }

  /** Waits until the event loop has read what arrived before. */
  void awaitRead() throws InterruptedException {
    CountDownLatch hasRead = new CountDownLatch(1);
    // The loop may look at its timers before its sockets once, but not twice.
    eventLoop.run(() -> eventLoop.after(1, () -> eventLoop.after(1, hasRead::countDown)));
    if (!hasRead.await(10, TimeUnit.SECONDS)) {
      throw new IllegalStateException("the event loop stands still");
    }
  }

  /** Sends the packets of a request, each after the server has read the one before. */
  void sendInPackets(RawConnection connection, RawRequest request, Packets packets)
      throws IOException, InterruptedException {
    for (byte[] packet : request.split(packets)) {
      connection.send(packet);
      awaitRead();
    }
  }

  /** Asserts that a response is the one that the service of a listener gave to a request. */
  static void assertAnswered(
      Listener listener, String method, String path, byte[] body, RawResponse response) {
    assertEquals(STATUS, response.status());
    String expected = describe(listener, method, path, body);
    assertTrue(expected.equals(response.text()), () -> "not the answer to " + path);
  }

  /** Each listener with each of the framings. */
  static Stream<Arguments> listenersAnd(Framing... framings) {
    return Stream.of(Listener.values())
        .flatMap(listener -> Stream.of(framings).map(framing -> Arguments.of(listener, framing)));
  }

  @Override
  public void close() {
    eventLoop.stop();
  }
}
