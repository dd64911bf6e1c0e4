import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import fennelthread.wire.Codec;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Small HTTP helpers of the stand-ins: a server for CBOR bodies and a client of one connection. */
final class Http {
  /** An answer: a status and a body, which is empty if the answer holds none. */
  record Answer(int status, Map<String, Object> body) {}

  /** Handles one request; {@code path} includes the query. */
  interface Handler {
    Answer handle(String method, String path, Map<String, Object> body) throws Exception;
  }

  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(null, task, "standin", 256 * 1024);
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  static Map<String, Object> map(Object... keysAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      map.put((String) keysAndValues[i], keysAndValues[i + 1]);
    }
    return map;
  }

  /** Starts a server on a free loopback port and returns it. */
  static HttpServer serve(Handler handler) throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    server.setExecutor(THREADS);
    server.createContext("/", exchange -> handle(exchange, handler));
    server.start();
    return server;
  }

  private static void handle(HttpExchange exchange, Handler handler) throws IOException {
    try {
      byte[] bytes = exchange.getRequestBody().readAllBytes();
      Map<String, Object> body =
          bytes.length == 0 ? Map.of() : Codec.CBOR.decode(bytes).map();
      Answer answer =
          handler.handle(
              exchange.getRequestMethod(), exchange.getRequestURI().toString(), body);
      byte[] out = Codec.CBOR.encode(answer.body());
      exchange.getResponseHeaders().set("Content-Type", "application/cbor");
      exchange.sendResponseHeaders(answer.status(), out.length);
      try (OutputStream stream = exchange.getResponseBody()) {
        stream.write(out);
      }
    } catch (IOException e) {
      exchange.close();
    } catch (Exception e) {
      e.printStackTrace();
      exchange.sendResponseHeaders(500, -1);
      exchange.close();
    }
  }

  /** One keep-alive connection to an address, for one caller at a time. */
  static final class Client implements AutoCloseable {
    private final String address;
    private Socket socket;

    Client(String address) {
      this.address = address;
    }

    /** Sends a request and returns the answer; throws if there is none within the time. */
    Answer call(String method, String path, Map<String, Object> body, int timeoutMs)
        throws IOException {
      try {
        if (socket == null) {
          int colon = address.lastIndexOf(':');
          socket = new Socket();
          socket.setTcpNoDelay(true);
          socket.connect(
              new InetSocketAddress(
                  address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
              Math.min(timeoutMs, 500));
        }
        socket.setSoTimeout(timeoutMs);
        byte[] out = body == null ? new byte[0] : Codec.CBOR.encode(body);
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.write(
            (method
                    + " "
                    + path
                    + " HTTP/1.1\r\nHost: "
                    + address
                    + "\r\nContent-Type: application/cbor\r\nContent-Length: "
                    + out.length
                    + "\r\n\r\n")
                .getBytes("US-ASCII"));
        request.write(out);
        socket.getOutputStream().write(request.toByteArray());
        return read(socket.getInputStream());
      } catch (IOException e) {
        close();
        throw e;
      }
    }

    private Answer read(InputStream in) throws IOException {
      String statusLine = line(in);
      int status = Integer.parseInt(statusLine.split(" ")[1]);
      int length = 0;
      boolean close = false;
      for (String header = line(in); !header.isEmpty(); header = line(in)) {
        String lower = header.toLowerCase();
        if (lower.startsWith("content-length:")) {
          length = Integer.parseInt(lower.substring(15).trim());
        }
        close |= lower.startsWith("connection:") && lower.contains("close");
      }
      byte[] bytes = in.readNBytes(length);
      if (bytes.length < length) {
        throw new IOException("connection ended");
      }
      if (close) {
        close();
      }
      try {
        return new Answer(status, length == 0 ? Map.of() : Codec.CBOR.decode(bytes).map());
      } catch (Exception e) {
        return new Answer(status, Map.of());
      }
    }

    private static String line(InputStream in) throws IOException {
      StringBuilder text = new StringBuilder();
      for (int c = in.read(); c != '\n'; c = in.read()) {
        if (c < 0) {
          throw new IOException("connection ended");
        }
        if (c != '\r') {
          text.append((char) c);
        }
      }
      return text.toString();
    }

    @Override
    public void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // Nothing is left to do with it.
      }
      socket = null;
    }
  }
}
