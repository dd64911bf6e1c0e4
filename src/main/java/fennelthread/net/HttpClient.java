package fennelthread.net;

import fennelthread.constants.NetConstants;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Our own connections to others: kept for the next call, few in all, and closed by whoever is no
 * longer worth one. Everything runs on the event loop's thread.
 */
final class HttpClient {
  private final EventLoop eventLoop;
  private final XnioIoThread thread;
  private final ByteBufferPool buffers;
  private final UndertowClient client = UndertowClient.getInstance();
  private final Map<String, Peer> peers = new HashMap<>();
  private final int mostOutbound;
  private final int mostSpareOpening;
  private final Set<String> essential;
  private final Set<Link> idle = new LinkedHashSet<>();
  private final ArrayDeque<Peer> starved = new ArrayDeque<>();
  private int outbound;
  private int spareOpening;

  /** Creates a client; {@code essential} addresses never wait for room among the connections. */
  HttpClient(
      EventLoop eventLoop,
      XnioIoThread thread,
      ByteBufferPool buffers,
      int mostOutbound,
      Set<String> essential) {
    this.eventLoop = eventLoop;
    this.thread = thread;
    this.buffers = buffers;
    this.mostOutbound = mostOutbound;
    this.mostSpareOpening =
        Math.max(1, (int) (mostOutbound * NetConstants.MAX_SPARE_CONNECT_SHARE));
    this.essential = essential;
  }

  /** Sockets that it holds, those that are still being opened included. */
  int sockets() {
    return outbound;
  }

  /** A connection of ours; it counts against the bound until it is closed. */
  private static final class Link {
    final ClientConnection connection;
    final Peer peer;
    long idleSinceMs;
    boolean counted = true;

    Link(ClientConnection connection, Peer peer) {
      this.connection = connection;
      this.peer = peer;
    }
  }

  private static final class Peer {
    final String address;
    final ArrayDeque<Link> idle = new ArrayDeque<>();
    final ArrayDeque<Pending> waiting = new ArrayDeque<>();
    int connecting;
    int opening;
    boolean starved;

    Peer(String address) {
      this.address = address;
    }
  }

  /** One call under way, answered exactly once. */
  private final class Pending {
    final String address;
    final Call call;
    final Consumer<Answer> done;
    final EventLoop.Unsent unsent;
    EventLoop.Cancellable timer;
    Link link;
    boolean over;

    Pending(String address, Call call, Consumer<Answer> done, EventLoop.Unsent unsent) {
      this.unsent = unsent;
      this.address = address;
      this.call = call;
      this.done = done;
    }

    void finish(Answer answer, boolean reusable) {
      if (over) {
        return;
      }
      if (answer == null && link == null) {
        // Never handed to a connection, and being over it never will be.
        leaveUnsent(!peers.get(address).starved);
        return;
      }
      end();
      if (link != null) {
        if (reusable && link.connection.isOpen()) {
          keep(link);
        } else {
          close(link);
        }
      }
      XnioEventLoop.guarded(() -> done.accept(answer)).run();
    }

    void leaveUnsent(boolean tried) {
      if (!over) {
        end();
        XnioEventLoop.guarded(() -> unsent.over(tried)).run();
      }
    }

    private void end() {
      over = true;
      timer.cancel();
    }
  }

  private void keep(Link link) {
    Pending next = nextWaiting(link.peer);
    if (next != null) {
      send(next, link);
    } else if (link.peer.idle.size() < NetConstants.MAX_IDLE_CONNECTIONS_PER_ADDRESS
        && starved.isEmpty()) {
      link.idleSinceMs = eventLoop.nowMs();
      link.peer.idle.push(link);
      idle.add(link);
    } else {
      close(link);
    }
  }

  private static Pending nextWaiting(Peer peer) {
    Pending next = peer.waiting.poll();
    while (next != null && next.over) {
      next = peer.waiting.poll();
    }
    return next;
  }

  private void close(Link link) {
    forget(link);
    IoUtils.safeClose(link.connection);
  }

  /** A connection no longer counts: another that waited for room may be opened. */
  private void forget(Link link) {
    idle.remove(link);
    link.peer.idle.remove(link);
    if (link.counted) {
      link.counted = false;
      outbound--;
      feedStarved();
    }
  }

  private void feedStarved() {
    while (outbound < mostOutbound && !starved.isEmpty()) {
      Peer peer = starved.poll();
      peer.starved = false;
      peer.waiting.removeIf(p -> p.over);
      if (!peer.waiting.isEmpty()) {
        open(peer, peer.waiting.stream().allMatch(p -> p.call.spare()));
      }
    }
  }

  /** Sends a request, as {@link EventLoop#call} says. */
  void call(
      String address, Call call, long timeoutMs, Consumer<Answer> done, EventLoop.Unsent unsent) {
    Pending p = new Pending(address, call, done, unsent);
    p.timer = eventLoop.after(timeoutMs, () -> p.finish(null, false));
    Peer peer = peers.computeIfAbsent(address, Peer::new);
    while (!peer.idle.isEmpty()) {
      Link link = peer.idle.pop();
      idle.remove(link);
      if (link.connection.isOpen()
          && eventLoop.nowMs() - link.idleSinceMs < NetConstants.IDLE_CONNECTION_TIMEOUT_MS) {
        send(p, link);
        return;
      }
      close(link);
    }
    if (call.spare() && peer.opening == 0 && spareOpening >= mostSpareOpening) {
      eventLoop.after(0, () -> p.leaveUnsent(false));
      return;
    }
    peer.waiting.add(p);
    // A spare call waits for an attempt under way, however long that takes.
    if (!call.spare() || peer.opening == 0) {
      open(peer, call.spare());
    }
  }

  /**
   * Opens a connection if there is room: hundreds of workers' own connections and the users' share
   * the process's sockets with ours, and past the limit nobody gets in any more.
   */
  private void open(Peer peer, boolean spare) {
    boolean vital = essential.contains(peer.address);
    int most = vital ? NetConstants.MAX_CONNECTS_PER_ADDRESS : NetConstants.MAX_CONNECTS_PER_WORKER;
    if (peer.connecting >= most
        || (!vital && peer.opening >= NetConstants.MAX_OPENING_SOCKETS_PER_WORKER)) {
      return;
    }
    if (outbound >= mostOutbound && !vital) {
      if (idle.isEmpty()) {
        if (!peer.starved) {
          peer.starved = true;
          starved.add(peer);
        }
        return;
      }
      close(idle.iterator().next());
    }
    connect(peer, spare);
  }

  private void connect(Peer peer, boolean spare) {
    client.connect(
        new ConnectAttempt(peer, spare),
        URI.create("http://" + peer.address),
        thread,
        buffers,
        OptionMap.create(Options.TCP_NODELAY, true));
  }

  /** One attempt to open a connection; it holds a socket until the system ends it. */
  private final class ConnectAttempt implements ClientCallback<ClientConnection> {
    private final Peer peer;
    private final boolean spare;
    private final EventLoop.Cancellable timeout;

    /** True once later calls may make an attempt of their own. */
    private boolean uncounted;

    /** Counts the attempt as under way. */
    ConnectAttempt(Peer peer, boolean spare) {
      this.peer = peer;
      this.spare = spare;
      peer.connecting++;
      peer.opening++;
      outbound++;
      spareOpening += spare ? 1 : 0;
      // A peer without power never refuses: after a while the attempt no longer counts, and a later
      // call makes a fresh one. Its socket is taken until the system gives up, though.
      this.timeout = eventLoop.after(NetConstants.CONNECT_TIMEOUT_MS, this::uncount);
    }

    private void uncount() {
      if (!uncounted) {
        uncounted = true;
        peer.connecting--;
      }
    }

    private void end() {
      peer.opening--;
      spareOpening -= spare ? 1 : 0;
      if (!uncounted) {
        uncount();
        timeout.cancel();
      }
    }

    @Override
    public void completed(ClientConnection connection) {
      end();
      Link link = new Link(connection, peer);
      connection.getCloseSetter().set(c -> forget(link));
      keep(link);
    }

    @Override
    public void failed(IOException e) {
      boolean timedOut = uncounted;
      end();
      outbound--;
      feedStarved();
      if (timedOut) {
        return;
      }
      Pending next = nextWaiting(peer);
      if (next != null) {
        next.finish(null, false);
      }
      if (!peer.waiting.isEmpty() && peer.connecting == 0) {
        open(peer, spare);
      }
    }
  }

  private void send(Pending p, Link link) {
    p.link = link;
    byte[] body = p.call.body();
    ClientRequest request =
        new ClientRequest()
            .setMethod(new HttpString(p.call.method()))
            .setPath(p.call.path())
            .setProtocol(Protocols.HTTP_1_1);
    request.getRequestHeaders().put(Headers.HOST, p.address);
    request.getRequestHeaders().put(Headers.CONTENT_LENGTH, body == null ? 0 : body.length);
    if (body != null) {
      request.getRequestHeaders().put(Headers.CONTENT_TYPE, p.call.codec().contentType());
    }
    link.connection.sendRequest(
        request,
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange exchange) {
            exchange.setResponseListener(
                new ClientCallback<>() {
                  @Override
                  public void completed(ClientExchange answered) {
                    receive(p, answered);
                  }

                  @Override
                  public void failed(IOException e) {
                    p.finish(null, false);
                  }
                });
            write(p, exchange.getRequestChannel(), body);
          }

          @Override
          public void failed(IOException e) {
            p.finish(null, false);
          }
        });
  }

  private static void write(Pending p, StreamSinkChannel channel, byte[] body) {
    ByteBuffer data = ByteBuffer.wrap(body == null ? new byte[0] : body);
    ChannelListener<StreamSinkChannel> writer =
        new ChannelListener<>() {
          private boolean shut;

          @Override
          public void handleEvent(StreamSinkChannel c) {
            try {
              while (data.hasRemaining()) {
                if (c.write(data) == 0) {
                  c.resumeWrites();
                  return;
                }
              }
              if (!shut) {
                shut = true;
                c.shutdownWrites();
              }
              if (!c.flush()) {
                c.resumeWrites();
                return;
              }
              c.suspendWrites();
            } catch (IOException e) {
              p.finish(null, false);
            }
          }
        };
    channel.getWriteSetter().set(writer);
    writer.handleEvent(channel);
  }

  private void receive(Pending pending, ClientExchange exchange) {
    StreamSourceChannel channel = exchange.getResponseChannel();
    ResponseReader reader = new ResponseReader(pending, exchange.getResponse());
    channel.getReadSetter().set(reader);
    reader.handleEvent(channel);
  }

  /** Collects the body of a response, and finishes its call at the end. */
  private final class ResponseReader implements ChannelListener<StreamSourceChannel> {
    private final Pending pending;
    private final ClientResponse response;
    private final ByteArrayOutputStream body =
        new ByteArrayOutputStream(NetConstants.INITIAL_RESPONSE_BUFFER_BYTES);

    ResponseReader(Pending pending, ClientResponse response) {
      this.pending = pending;
      this.response = response;
    }

    @Override
    public void handleEvent(StreamSourceChannel channel) {
      try (PooledByteBuffer pooled = buffers.allocate()) {
        ByteBuffer buffer = pooled.getBuffer();
        while (true) {
          buffer.clear();
          int count = channel.read(buffer);
          if (count == 0) {
            channel.resumeReads();
            return;
          }
          if (count < 0) {
            pending.finish(answer(), isReusable());
            return;
          }
          buffer.flip();
          byte[] chunk = new byte[count];
          buffer.get(chunk);
          body.write(chunk, 0, count);
          if (body.size() > NetConstants.MAX_ANSWER_BYTES) {
            pending.finish(null, false);
            return;
          }
        }
      } catch (IOException e) {
        pending.finish(null, false);
      }
    }

    private Answer answer() {
      return new Answer(
          response.getResponseCode(),
          body.toByteArray(),
          pending.call.codec(),
          retryAfterS(),
          Answer.Afterwards.KEEP);
    }

    private boolean isReusable() {
      String connection = response.getResponseHeaders().getFirst(Headers.CONNECTION);
      return connection == null || !connection.equalsIgnoreCase("close");
    }

    /** The pause that the response asks for, seconds; 0 if it asks for none that can be read. */
    private int retryAfterS() {
      String text = response.getResponseHeaders().getFirst(Headers.RETRY_AFTER);
      if (text == null) {
        return 0;
      }
      try {
        return Integer.parseInt(text.trim());
      } catch (NumberFormatException e) {
        return 0;
      }
    }
  }
}
