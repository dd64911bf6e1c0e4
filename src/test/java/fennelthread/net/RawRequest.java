package fennelthread.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The bytes of a request.
 *
 * @param head the request line and the headers with the empty line behind them
 * @param body the body as it is sent, in chunks if the head says so
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record RawRequest(byte[] head, byte[] body) {

  /** How the end of the body is told, and whether the client asks before it sends one. */
  public enum Framing {
    FIXED_LENGTH("Content-Length: %d\r\n"),
    CHUNKED("Transfer-Encoding: chunked\r\n"),
    EXPECT_CONTINUE("Content-Length: %d\r\nExpect: 100-continue\r\n"),
    CHUNKED_EXPECT_CONTINUE("Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n");

    private final String headers;

    Framing(String headers) {
      this.headers = headers;
    }

    boolean isChunked() {
      return this == CHUNKED || this == CHUNKED_EXPECT_CONTINUE;
    }

    boolean isAskingToContinue() {
      return this == EXPECT_CONTINUE || this == CHUNKED_EXPECT_CONTINUE;
    }
  }

  /** In which packets the bytes of a request arrive. */
  public enum Packets {
    ONE,
    HEAD_THEN_BODY,
    INSIDE_HEAD_AND_BODY,
    BYTE_BY_BYTE
  }

  /** Encodes a request with a body; chunks have at most {@code chunkBytes}. */
  public static RawRequest of(
      String method, String path, byte[] body, Framing framing, int chunkBytes) {
    String head =
        method
            + " "
            + path
            + " HTTP/1.1\r\nHost: localhost\r\n"
            + String.format(framing.headers, body.length)
            + "\r\n";
    return new RawRequest(
        head.getBytes(StandardCharsets.ISO_8859_1),
        framing.isChunked() ? inChunks(body, chunkBytes) : body);
  }

  private static byte[] inChunks(byte[] body, int chunkBytes) {
    ByteArrayOutputStream chunks = new ByteArrayOutputStream();
    for (int from = 0; from < body.length; from += chunkBytes) {
      int length = Math.min(chunkBytes, body.length - from);
      chunks.writeBytes(
          (Integer.toHexString(length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      chunks.write(body, from, length);
      chunks.writeBytes("\r\n".getBytes(StandardCharsets.ISO_8859_1));
    }
    chunks.writeBytes("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    return chunks.toByteArray();
  }

  /** The head and the body. */
  public byte[] whole() {
    byte[] whole = Arrays.copyOf(head, head.length + body.length);
    System.arraycopy(body, 0, whole, head.length, body.length);
    return whole;
  }

  /** The head and the body as they arrive, packet by packet. */
  public List<byte[]> split(Packets packets) {
    byte[] whole = whole();
    return switch (packets) {
      case ONE -> List.of(whole);
      case HEAD_THEN_BODY -> List.of(head, body);
      case INSIDE_HEAD_AND_BODY ->
          cut(whole, head.length / 2, head.length - 1, head.length + body.length / 2);
      case BYTE_BY_BYTE -> cut(whole, everyIndexOf(whole));
    };
  }

  private static int[] everyIndexOf(byte[] bytes) {
    int[] indexes = new int[bytes.length - 1];
    Arrays.setAll(indexes, i -> i + 1);
    return indexes;
  }

  private static List<byte[]> cut(byte[] bytes, int... ends) {
    List<byte[]> parts = new ArrayList<>();
    int from = 0;
    for (int end : ends) {
      parts.add(Arrays.copyOfRange(bytes, from, end));
      from = end;
    }
    parts.add(Arrays.copyOfRange(bytes, from, bytes.length));
    return parts;
  }
}
