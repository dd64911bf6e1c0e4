package fennelthread.net;

import fennelthread.emulate.Addresses;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A client process that holds connections open, so that the measuring process holds only the
 * server's side of them. Reads the total number of connections from each line of standard input,
 * opens the missing ones, sends one request on each, and prints {@code open}.
 */
final class OpenConnections {
  private static final String REQUEST =
      "POST /agent/beat HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/cbor\r\n"
          + "Content-Length: 1\r\n\r\n\u0000";

  private OpenConnections() {}

  public static void main(String[] args) throws IOException {
    InetSocketAddress address = Addresses.parse(args[0]);
    List<Socket> open = new ArrayList<>();
    BufferedReader input =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.US_ASCII));
    byte[] buffer = new byte[1_024];
    for (String line = input.readLine(); line != null; line = input.readLine()) {
      while (open.size() < Integer.parseInt(line)) {
        Socket socket = new Socket();
        socket.connect(address);
        socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        InputStream response = socket.getInputStream();
        if (response.read(buffer) <= 0) {
          throw new IOException("the server closed the connection");
        }
        open.add(socket);
      }
      System.out.println("open");
    }
  }
}
