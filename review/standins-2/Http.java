import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** HTTP/1.1 over TCP as the protocol asks for: connections stay open, no request is pipelined. */
final class Http {
  private Http() {}

  /** A request that was received; {@code path} holds the query too. */
  record Request(String method, String path, byte[] body) {}

  /** An answer; a null body is an empty map. */
  record Answer(int status, Map<String, Object> body) {}

  interface Handler {
    /** Answers a request; null closes the connection without an answer. */
    Answer handle(Request request) throws Exception;
  }

  /** A listening server on a loopback address, a thread for each connection. */
  static final class Server {
    final ServerSocket socket;

    Server(Handler handler) throws IOException {
      socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
      daemon("server", () -> accept(handler));
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    private void accept(Handler handler) {
      while (true) {
        try {
          Socket connection = socket.accept();
          connection.setTcpNoDelay(true);
          daemon("connection", () -> serve(connection, handler));
        } catch (IOException e) {
          return;
        }
      }
    }

    private static void serve(Socket connection, Handler handler) {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream(), 1 << 16);
        OutputStream out = connection.getOutputStream();
        while (true) {
          String start = line(in);
          if (start == null) {
            return;
          }
          String[] parts = start.split(" ");
          byte[] body = body(in, headers(in));
          Answer answer = handler.handle(new Request(parts[0], parts[1], body));
          if (answer == null) {
            return;
          }
          byte[] encoded = Cbor.encode(answer.body() == null ? Map.of() : answer.body());
          String head =
              "HTTP/1.1 "
                  + answer.status()
                  + " X\r\nContent-Type: application/cbor\r\nContent-Length: "
                  + encoded.length
                  + "\r\n\r\n";
          out.write(join(head, encoded));
          out.flush();
        }
      } catch (Exception e) {
        // The other side is gone; it opens another connection if it wants to.
      }
    }
  }

  static Thread daemon(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, 1 << 19);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static byte[] join(String head, byte[] body) {
    byte[] bytes = head.getBytes(StandardCharsets.US_ASCII);
    byte[] all = new byte[bytes.length + body.length];
    System.arraycopy(bytes, 0, all, 0, bytes.length);
    System.arraycopy(body, 0, all, bytes.length, body.length);
    return all;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        return null;
      }
      if (b != '\r') {
        out.write(b);
      }
    }
    return out.toString(StandardCharsets.US_ASCII);
  }

  private static Map<String, String> headers(InputStream in) throws IOException {
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
    return headers;
  }

  private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
    if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      for (int size = chunk(in); size > 0; size = chunk(in)) {
        out.writeBytes(in.readNBytes(size));
        line(in);
      }
      line(in);
      return out.toByteArray();
    }
    return in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
  }

  private static int chunk(InputStream in) throws IOException {
    return Integer.parseInt(line(in).trim(), 16);
  }

  /** A client with one connection that stays open while the other side keeps it. */
  static final class Client {
    private final String address;
    private Socket socket;
    private InputStream in;

    Client(String address) {
      this.address = address;
    }

    /** Sends one request; null if there was no answer within the time. */
    synchronized Answer call(String method, String path, Object body, int timeoutMs) {
      boolean kept = socket != null;
      try {
        return exchange(method, path, body, timeoutMs);
      } catch (IOException | RuntimeException e) {
        close();
        // A connection that the other side had closed meanwhile says nothing about the request.
        if (!kept || e instanceof java.net.SocketTimeoutException) {
          return null;
        }
      }
      try {
        return exchange(method, path, body, timeoutMs);
      } catch (IOException | RuntimeException e) {
        close();
        return null;
      }
    }

    private Answer exchange(String method, String path, Object body, int timeoutMs)
        throws IOException {
      if (socket == null) {
        Socket opened = new Socket();
        opened.setTcpNoDelay(true);
        int colon = address.lastIndexOf(':');
        opened.connect(
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            500);
        socket = opened;
        in = new BufferedInputStream(opened.getInputStream(), 1 << 16);
      }
      socket.setSoTimeout(timeoutMs);
      byte[] encoded = body == null ? new byte[0] : Cbor.encode(body);
      String head =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: "
              + address
              + "\r\nContent-Type: application/cbor\r\nContent-Length: "
              + encoded.length
              + "\r\n\r\n";
      socket.getOutputStream().write(join(head, encoded));
      String start = line(in);
      if (start == null) {
        throw new IOException("closed");
      }
      Map<String, String> headers = headers(in);
      byte[] answered = body(in, headers);
      if (headers.getOrDefault("Connection", "").equalsIgnoreCase("close")) {
        close();
      }
      Map<String, Object> decoded = answered.length == 0 ? Map.of() : Cbor.decode(answered);
      return new Answer(Integer.parseInt(start.split(" ")[1]), decoded);
    }

    synchronized void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // Closed all the same.
      }
      socket = null;
    }
  }
}
