package fennelthread.emulate;

import fennelthread.constants.NetConstants;
import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.net.Service;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A listening socket whose requests a service answers. Unlike the controllers' server it hands over
 * the path with its query, which the state service and the cloud need.
 */
final class HttpListener {
  private final SelectorLoop loop;
  private final Service service;
  private final ServerSocketChannel socket;
  private final Set<Accepted> connections = new HashSet<>();
  private boolean refusing;

  /** Listens from now on; on the loop's thread. */
  HttpListener(SelectorLoop loop, InetSocketAddress address, Service service) throws IOException {
    this.loop = loop;
    this.service = service;
    socket = ServerSocketChannel.open();
    socket.configureBlocking(false);
    socket.bind(address, NetConstants.ACCEPT_BACKLOG);
    loop.register(socket, SelectionKey.OP_ACCEPT, this::accept);
  }

  /** Listens no more and closes all connections. */
  void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed is all that was wanted.
    }
    closeConnections();
  }

  /** From now on each connection is closed as soon as it is open, or is served again. */
  void refuse(boolean isRefusing) {
    refusing = isRefusing;
    if (isRefusing) {
      closeConnections();
    }
  }

  private void closeConnections() {
    List.copyOf(connections).forEach(HttpConnection::close);
  }

  private void accept(SelectionKey key) throws IOException {
    SocketChannel channel = socket.accept();
    if (channel != null && refusing) {
      channel.close();
    } else if (channel != null) {
      Accepted connection = new Accepted(channel);
      connections.add(connection);
      connection.serve();
    }
  }

  private final class Accepted extends HttpConnection {
    Accepted(SocketChannel channel) {
      super(loop, channel);
    }

    @Override
    void received(HttpMessage message) {
      Request request = new Request(message.method(), message.path(), message.body());
      service.handle(request, this::respond);
    }

    private void respond(Answer answer) {
      send(HttpMessage.encode(answer));
    }

    @Override
    void closed() {
      connections.remove(this);
    }
  }
}
