package fennelthread.net;

import fennelthread.emulate.Addresses;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A server that sends bytes exactly as it is told. It serves its connections one after another and
 * each request on them in turn.
 */
final class ScriptedServer implements AutoCloseable {
  /** What the server does with one request, once it has read it whole. */
  interface Script {
    /** Sends bytes to the client, or closes its connection. */
    void run(Exchange exchange) throws IOException, InterruptedException;
  }

  /** A request and the connection on which its response is sent. */
  static final class Exchange {
    /** The request line. */
    final String request;

    private final Socket socket;

    Exchange(String request, Socket socket) {
      this.request = request;
      this.socket = socket;
    }

    /** Sends bytes as one packet, if they are few enough for one. */
    void send(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
    }

    /** Closes the connection, after what was sent before. */
    void close() throws IOException {
      socket.close();
    }

    /** Closes the connection with a reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** The request lines of all requests so far. */
  final List<String> requests = new CopyOnWriteArrayList<>();

  private final ServerSocket listener;
  private final Script script;
  private final AtomicInteger connections = new AtomicInteger();
  private final List<Socket> accepted = new CopyOnWriteArrayList<>();
  private final String address = LoopbackAddresses.next();

  /** Starts to listen on an address of its own. */
  ScriptedServer(Script script) throws IOException {
    this.script = script;
    this.listener = new ServerSocket();
    listener.bind(Addresses.parse(address));
    startThread(this::acceptConnections);
  }

  /** The address to connect to, host and port. */
  String address() {
    return address;
  }

  /** The number of connections so far. */
  int connections() {
    return connections.get();
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "scripted server");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        accepted.add(socket);
        connections.incrementAndGet();
        if (listener.isClosed()) {
          socket.close();
          return;
        }
        socket.setTcpNoDelay(true);
        startThread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      while (!socket.isClosed()) {
        String request = readRequest(input);
        if (request == null) {
          return;
        }
        requests.add(request);
        script.run(new Exchange(request, socket));
      }
    } catch (IOException | UncheckedIOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads a request with its body and returns its first line; null at the connection's end. */
  private static String readRequest(InputStream input) throws IOException {
    String first = readLine(input);
    int bodyBytes = 0;
    String line = first;
    while (line != null && !line.isEmpty()) {
      if (line.startsWith("Content-Length:")) {
        bodyBytes = Integer.parseInt(line.substring("Content-Length:".length()).trim());
      }
      line = readLine(input);
    }
    input.skipNBytes(bodyBytes);
    return line == null ? null : first;
  }

  private static String readLine(InputStream input) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = input.read(); next >= 0; next = input.read()) {
      if (next == '\n') {
        return line.toString().stripTrailing();
      }
      line.append((char) next);
    }
    return null;
  }

  /** The bytes of a head with an empty line behind it, or of a body. */
  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Listens no more and closes all connections. */
  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : accepted) {
      socket.close();
    }
  }
}
