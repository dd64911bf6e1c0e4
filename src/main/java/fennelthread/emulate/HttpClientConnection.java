package fennelthread.emulate;

import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;

/**
 * A client's connection to one address, opened when it is needed and kept while the other side
 * keeps it; one request at a time. Each hollow worker has one of its own, as a real worker has.
 */
final class HttpClientConnection {
  private final SelectorLoop loop;
  private final InetAddress source;
  private final String address;
  private final InetSocketAddress target;
  private Link link;
  private Pending pending;
  private boolean failedToConnect;

  /** Bytes of requests and responses, heads included. */
  long bytes;

  /**
   * Creates it unconnected.
   *
   * @param source the local address that it is opened from, or null for any
   */
  HttpClientConnection(SelectorLoop loop, InetAddress source, String address) {
    this.loop = loop;
    this.source = source;
    this.address = address;
    this.target = Addresses.parse(address);
  }

  private record Pending(Call call, Consumer<Answer> done, EventLoop.Cancellable timeout) {}

  /** True while a request is under way. */
  boolean isBusy() {
    return pending != null;
  }

  /** True if the last request failed since no connection could be had: it was never sent. */
  boolean failedToConnect() {
    return failedToConnect;
  }

  /** The address that it leads to. */
  String address() {
    return address;
  }

  /** Sends a request; {@code done} gets the answer, or null if there was none in time. */
  void call(Call call, long timeoutMs, Consumer<Answer> done) {
    pending = new Pending(call, done, loop.after(timeoutMs, this::fail));
    try {
      if (link == null) {
        SocketChannel channel = SocketChannel.open();
        link = new Link(channel);
        if (source != null) {
          channel.bind(new InetSocketAddress(source, 0));
        }
        link.connect(target);
      }
      ByteBuffer request = HttpMessage.encode(address, call);
      bytes += request.remaining();
      link.send(request);
    } catch (IOException e) {
      // Told later, so that a caller never hears before its call has returned.
      loop.after(0, this::fail);
    }
  }

  /** Closes the connection; a request under way gets no answer. */
  void close() {
    fail();
  }

  private void fail() {
    Link old = link;
    link = null;
    failedToConnect = old == null || !old.isConnected();
    if (old != null) {
      old.close();
    }
    finish(null);
  }

  private void finish(Answer answer) {
    Pending finished = pending;
    if (finished != null) {
      pending = null;
      finished.timeout.cancel();
      finished.done.accept(answer);
    }
  }

  private final class Link extends HttpConnection {
    Link(SocketChannel channel) {
      super(loop, channel);
    }

    @Override
    void received(HttpMessage message) throws IOException {
      if (link != this || pending == null) {
        return;
      }
      bytes += message.body().length + message.first().length();
      Answer answer = message.answer(pending.call.codec());
      if (message.close()) {
        link = null;
        close();
      }
      finish(answer);
    }

    @Override
    void closed() {
      if (link == this) {
        fail();
      }
    }
  }
}
