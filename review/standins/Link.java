import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A link between users and a controller. It carries the head and the body of a request as two
 * packets. If it loses packets, each second packet arrives later, since it was sent again.
 */
final class Link {
  private final ServerSocket server;
  private final String target;
  private final long resendMs;

  /**
   * Opens the link on a free loopback port.
   *
   * @param resendMs how much later the second packet arrives, ms; 0: both arrive together
   */
  Link(String target, long resendMs) throws IOException {
    this.target = target;
    this.resendMs = resendMs;
    this.server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    thread(this::accept);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private static void thread(Runnable task) {
    Thread thread = new Thread(task, "link");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket user = server.accept();
        int colon = target.lastIndexOf(':');
        Socket node =
            new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        user.setTcpNoDelay(true);
        node.setTcpNoDelay(true);
        thread(() -> carryRequests(user, node));
        thread(() -> carryAnswers(node, user));
      } catch (IOException e) {
        // The controller refused the connection: the user's connection ends.
      }
    }
  }

  /** The users of these tests write each request at once, so that one read returns all of it. */
  private void carryRequests(Socket user, Socket node) {
    byte[] buffer = new byte[64 * 1024];
    try (user;
        node) {
      InputStream in = user.getInputStream();
      OutputStream out = node.getOutputStream();
      for (int count = in.read(buffer); count > 0; count = in.read(buffer)) {
        int head = resendMs == 0 ? count : headLength(buffer, count);
        out.write(buffer, 0, head);
        if (head < count) {
          Thread.sleep(resendMs);
          out.write(buffer, head, count - head);
        }
      }
    } catch (IOException | InterruptedException e) {
      // Either side has ended the connection.
    }
  }

  private static int headLength(byte[] buffer, int count) {
    for (int i = 3; i < count; i++) {
      if (buffer[i] == '\n' && buffer[i - 1] == '\r' && buffer[i - 2] == '\n') {
        return i + 1;
      }
    }
    return count;
  }

  private static void carryAnswers(Socket node, Socket user) {
    try (node;
        user) {
      node.getInputStream().transferTo(user.getOutputStream());
    } catch (IOException e) {
      // Either side has ended the connection.
    }
  }
}
