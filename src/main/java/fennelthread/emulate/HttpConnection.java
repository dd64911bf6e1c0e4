package fennelthread.emulate;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;

/** One TCP connection of an event loop that carries HTTP messages, in either role. */
abstract class HttpConnection {
  private final SelectorLoop loop;
  private final SocketChannel channel;
  private final HttpMessage.Parser parser = new HttpMessage.Parser();
  private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
  private SelectionKey key;
  private boolean connected;
  private boolean closed;

  /** Creates it over a channel that one of the two methods below sets going. */
  HttpConnection(SelectorLoop loop, SocketChannel channel) {
    this.loop = loop;
    this.channel = channel;
  }

  /** A whole message has come in. */
  abstract void received(HttpMessage message) throws IOException;

  /** The connection is closed, by whichever side; called once. */
  abstract void closed();

  /** Begins to read from a connection that was accepted. */
  final void serve() throws IOException {
    connected = true;
    prepare();
    key = loop.register(channel, SelectionKey.OP_READ, this::ready);
  }

  /** Begins to connect; what is sent meanwhile waits. */
  final void connect(InetSocketAddress to) throws IOException {
    prepare();
    connected = channel.connect(to);
    key =
        loop.register(
            channel, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, this::ready);
  }

  private void prepare() throws IOException {
    channel.configureBlocking(false);
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
  }

  /** Sends a message after those before it. */
  final void send(ByteBuffer bytes) {
    if (closed) {
      return;
    }
    unsent.add(bytes);
    if (connected) {
      try {
        flush();
      } catch (IOException e) {
        close();
      }
    }
  }

  /** Closes the connection. */
  final void close() {
    if (!closed) {
      closed = true;
      try {
        channel.close();
      } catch (IOException e) {
        // Closed is all that was wanted.
      }
      closed();
    }
  }

  /** True once the other side has taken the connection. */
  final boolean isConnected() {
    return connected;
  }

  private void ready(SelectionKey ready) {
    try {
      if (ready.isConnectable()) {
        channel.finishConnect();
        connected = true;
        flush();
        return;
      }
      if (ready.isWritable()) {
        flush();
      }
      if (ready.isValid() && ready.isReadable()) {
        read();
      }
    } catch (IOException e) {
      close();
    }
  }

  private void flush() throws IOException {
    while (!unsent.isEmpty()) {
      ByteBuffer next = unsent.peek();
      channel.write(next);
      if (next.hasRemaining()) {
        key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
        return;
      }
      unsent.poll();
    }
    key.interestOps(SelectionKey.OP_READ);
  }

  private void read() throws IOException {
    ByteBuffer buffer = loop.readBuffer();
    int count = channel.read(buffer);
    if (count < 0) {
      close();
      return;
    }
    parser.add(buffer.flip());
    for (HttpMessage m = parser.next(); m != null && !closed; m = parser.next()) {
      received(m);
    }
  }
}
