package fennelthread.emulate;

import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.wire.Codec;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

/**
 * A request or a response of HTTP/1.1 as the protocol uses it: a body of known length, no chunks.
 *
 * @param first the request or status line
 * @param close true if the sender closes the connection afterwards
 * @param retryAfterS the value of {@code Retry-After}, 0 if absent
 * @param body the body, empty if there is none
 */
@SuppressWarnings("ArrayRecordComponent") // handed on, never compared
record HttpMessage(String first, boolean close, int retryAfterS, byte[] body) {
  private static final byte[] END_OF_HEAD = "\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

  /** Collects received bytes until they form messages. */
  static final class Parser {
    private byte[] received = new byte[0];
    private int length;

    /** Adds what a connection has delivered. */
    void add(ByteBuffer buffer) {
      int more = buffer.remaining();
      if (received.length < length + more) {
        received = Arrays.copyOf(received, Math.max(length + more, 2 * length));
      }
      buffer.get(received, length, more);
      length += more;
    }

    /** The next complete message, or null. */
    HttpMessage next() throws IOException {
      int headLength = endOfHead();
      if (headLength < 0) {
        return null;
      }
      String[] lines =
          new String(received, 0, headLength, StandardCharsets.ISO_8859_1).split("\r\n", -1);
      int bodyLength = 0;
      int retryAfterS = 0;
      boolean close = false;
      for (int i = 1; i < lines.length; i++) {
        int colon = lines[i].indexOf(':');
        String name = lines[i].substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
        String value = lines[i].substring(colon + 1).trim();
        switch (name) {
          case "content-length" -> bodyLength = number(value);
          case "retry-after" -> retryAfterS = number(value);
          case "connection" -> close = value.equalsIgnoreCase("close");
          case "transfer-encoding" -> throw new IOException("chunked bodies are not read here");
          default -> {}
        }
      }
      int bodyStart = headLength + END_OF_HEAD.length;
      if (length < bodyStart + bodyLength) {
        return null;
      }
      byte[] body = Arrays.copyOfRange(received, bodyStart, bodyStart + bodyLength);
      removeFirst(bodyStart + bodyLength);
      return new HttpMessage(lines[0], close, retryAfterS, body);
    }

    private int endOfHead() {
      for (int i = 0; i + END_OF_HEAD.length <= length; i++) {
        if (Arrays.equals(received, i, i + END_OF_HEAD.length, END_OF_HEAD, 0, 4)) {
          return i;
        }
      }
      return -1;
    }

    private void removeFirst(int count) {
      length -= count;
      received = length == 0 ? new byte[0] : Arrays.copyOfRange(received, count, count + length);
    }

    private static int number(String text) throws IOException {
      try {
        return Integer.parseInt(text);
      } catch (NumberFormatException e) {
        throw new IOException("not a number in a header: " + text, e);
      }
    }
  }

  /** The method of a request. */
  String method() {
    return first.substring(0, first.indexOf(' '));
  }

  /** The path of a request with its query. */
  String path() {
    int start = first.indexOf(' ') + 1;
    return first.substring(start, first.indexOf(' ', start));
  }

  /** The message as a response. */
  Answer answer(Codec codec) throws IOException {
    try {
      int status = Integer.parseInt(first.substring(9, 12));
      return new Answer(status, body, codec, retryAfterS, Answer.Afterwards.KEEP);
    } catch (RuntimeException e) {
      throw new IOException("not a status line: " + first, e);
    }
  }

  /** The bytes of a request. */
  static ByteBuffer encode(String address, Call call) {
    byte[] body = call.body() == null ? new byte[0] : call.body();
    String head =
        call.method()
            + " "
            + call.path()
            + " HTTP/1.1\r\nHost: "
            + address
            + "\r\nContent-Type: "
            + call.codec().contentType()
            + "\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    return join(head, body);
  }

  /** The bytes of a response. */
  static ByteBuffer encode(Answer answer) {
    String head =
        "HTTP/1.1 "
            + answer.status()
            + " -\r\nContent-Type: "
            + answer.codec().contentType()
            + "\r\nContent-Length: "
            + answer.body().length
            + "\r\n\r\n";
    return join(head, answer.body());
  }

  private static ByteBuffer join(String head, byte[] body) {
    byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = Arrays.copyOf(start, start.length + body.length);
    System.arraycopy(body, 0, all, start.length, body.length);
    return ByteBuffer.wrap(all);
  }
}
