package fennelthread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The real sockets, on loopback. */
class XnioEventLoopTest {
  private static final int MOST_OUTBOUND = 10;

  /**
   * Questions to machines that are cut off hold their sockets until the system gives up. They once
   * took all connections there may be, and for twenty seconds no start found one.
   */
  @Test
  void questionsToSilentMachinesLeaveConnectionsForStarts() throws Exception {
    XnioEventLoop eventLoop = new XnioEventLoop(100, MOST_OUTBOUND, Set.of());
    String alive = "127.0.0.1:" + freePort();
    eventLoop.listen(
        alive,
        (request, reply) -> reply.accept(Answer.of(200, Codec.CBOR, Fields.create())),
        "127.0.0.1:" + freePort(),
        (request, reply) -> reply.accept(Answer.error(404, "unknown path")));
    List<SocketChannel> filling = new ArrayList<>();
    // One that never accepts: once its queue is full, attempts hang as at a machine that is cut
    // off.
    try (ServerSocket silent = new ServerSocket(0, 1, null)) {
      for (int i = 0; i < 4; i++) {
        SocketChannel c = SocketChannel.open();
        c.configureBlocking(false);
        c.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), silent.getLocalPort()));
        filling.add(c);
      }
      CompletableFuture<Boolean> unsent = new CompletableFuture<>();
      CompletableFuture<Answer> answer = new CompletableFuture<>();
      Call start = Call.post("/commands", Codec.CBOR, Fields.create());
      eventLoop.run(
          () -> {
            for (int i = 2; i < 40; i++) {
              String address = "127.0.0." + i + ":" + silent.getLocalPort();
              eventLoop.call(
                  address, start.asSpare(), 1_000, a -> {}, tried -> unsent.complete(tried));
            }
            eventLoop.after(200, () -> eventLoop.call(alive, start, 2_000, answer::complete));
          });
      Answer got = answer.get(10, TimeUnit.SECONDS);
      assertNotNull(got, "a start found no connection");
      assertEquals(200, got.status());
      // Those beyond the bound are told so at once, and that it says nothing of their machines.
      assertEquals(false, unsent.get(10, TimeUnit.SECONDS));
    } finally {
      for (SocketChannel c : filling) {
        c.close();
      }
      eventLoop.stop();
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0)) {
      return s.getLocalPort();
    }
  }
}
