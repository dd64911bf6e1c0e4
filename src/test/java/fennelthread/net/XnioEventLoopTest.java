package fennelthread.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
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

/** The event loop on real sockets of the loopback interface. */
class XnioEventLoopTest {
  private static final int MAX_OUTBOUND_SOCKETS = 10;

  /**
   * Connection attempts for probes of machines that are cut off hold their sockets until the
   * operating system gives up. If they could take all sockets, no command that starts a task could
   * be sent for twenty seconds.
   */
  @Test
  void probesOfSilentMachinesLeaveSocketsForStarts() throws Exception {
    XnioEventLoop eventLoop = new XnioEventLoop(100, MAX_OUTBOUND_SOCKETS, Set.of());
    String liveAddress = LoopbackAddresses.next();
    eventLoop.listen(
        liveAddress,
        (request, reply) -> reply.accept(Answer.of(200, Codec.CBOR, Fields.create())),
        LoopbackAddresses.next(),
        (request, reply) -> reply.accept(Answer.error(404, "unknown path")));
    List<SocketChannel> backlogFillers = new ArrayList<>();
    // The server never accepts: once its backlog is full, connection attempts hang, as they do for
    // machines that are cut off.
    try (ServerSocket silentServer = new ServerSocket()) {
      // Shared with nobody, or another process could listen on the same port first.
      silentServer.setReuseAddress(false);
      silentServer.bind(null, 1);
      for (int i = 0; i < 4; i++) {
        SocketChannel filler = SocketChannel.open();
        filler.configureBlocking(false);
        filler.connect(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), silentServer.getLocalPort()));
        backlogFillers.add(filler);
      }
      CompletableFuture<Boolean> wasUnsentTried = new CompletableFuture<>();
      CompletableFuture<Answer> answer = new CompletableFuture<>();
      Call start = Call.post("/commands", Codec.CBOR, Fields.create());
      eventLoop.run(
          () -> {
            for (int i = 2; i < 40; i++) {
              String address = "127.0.0." + i + ":" + silentServer.getLocalPort();
              eventLoop.call(
                  address,
                  start.asSpare(),
                  1_000,
                  a -> {},
                  wasTried -> wasUnsentTried.complete(wasTried));
            }
            eventLoop.after(200, () -> eventLoop.call(liveAddress, start, 2_000, answer::complete));
          });
      Answer startAnswer = answer.get(10, TimeUnit.SECONDS);
      assertNotNull(startAnswer, "the start got no answer");
      assertEquals(200, startAnswer.status());
      // Probes beyond the bound end as unsent and not tried, which says nothing about their
      // machines.
      assertEquals(false, wasUnsentTried.get(10, TimeUnit.SECONDS));
    } finally {
      for (SocketChannel filler : backlogFillers) {
        filler.close();
      }
      eventLoop.stop();
    }
  }
}
