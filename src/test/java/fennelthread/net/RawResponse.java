package fennelthread.net;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A response of HTTP/1.1 as it came over the connection.
 *
 * @param status the status of the status line
 * @param headers the headers by name, in lower case
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record RawResponse(int status, Map<String, String> headers, byte[] body) {

  /**
   * Reads one response from its first byte to its last; reads nothing behind it.
   *
   * @throws EOFException if the connection ends before the response does
   */
  public static RawResponse read(InputStream input) throws IOException {
    String statusLine = readLine(input);
    if (!statusLine.startsWith("HTTP/1.1 ")) {
      throw new IOException("not a status line: " + statusLine);
    }
    int status = Integer.parseInt(statusLine.substring(9, 12));
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(input); !line.isEmpty(); line = readLine(input)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new RawResponse(status, headers, status < 200 ? new byte[0] : readBody(input, headers));
  }

  private static byte[] readBody(InputStream input, Map<String, String> headers)
      throws IOException {
    String length = headers.get("content-length");
    if (length == null) {
      throw new IOException("a response without a length: " + headers);
    }
    byte[] body = input.readNBytes(Integer.parseInt(length));
    if (body.length < Integer.parseInt(length)) {
      throw new EOFException("the connection ended in a response's body");
    }
    return body;
  }

  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended in a response's head");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** True if the server closes the connection after this response. */
  public boolean isLast() {
    return "close".equalsIgnoreCase(headers.get("connection"));
  }

  /** The body as text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
