package fennelthread.emulate;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Messages are read whole, however the network cuts them. */
class HttpMessageTest {
  @ParameterizedTest
  @ValueSource(ints = {1, 7, 64, 1000})
  void piecesOfAnySizeMakeTheSameMessages(int pieceBytes) throws IOException {
    Call call = Call.post("/keys?under=a", Codec.CBOR, Fields.create().with("a", 1L));
    Answer answer = Answer.error(503, "trouble");
    String late = "HTTP/1.1 429 -\r\nRetry-After: 7\r\nConnection: close\r\n\r\n";
    ByteBuffer all = ByteBuffer.allocate(1000);
    all.put(HttpMessage.encode("127.0.0.1:1", call)).put(HttpMessage.encode(answer));
    all.put(late.getBytes(StandardCharsets.US_ASCII)).flip();

    HttpMessage.Parser parser = new HttpMessage.Parser();
    HttpMessage[] read = new HttpMessage[3];
    int count = 0;
    while (all.hasRemaining()) {
      ByteBuffer piece = all.slice(all.position(), Math.min(pieceBytes, all.remaining()));
      all.position(all.position() + piece.remaining());
      parser.add(piece);
      for (HttpMessage m = parser.next(); m != null; m = parser.next()) {
        read[count++] = m;
      }
    }

    assertNull(parser.next());
    assertEquals("POST", read[0].method());
    assertEquals("/keys?under=a", read[0].path());
    assertArrayEquals(call.body(), read[0].body());
    assertEquals(503, read[1].answer(Codec.CBOR).status());
    assertArrayEquals(answer.body(), read[1].body());
    assertEquals(429, read[2].answer(Codec.CBOR).status());
    assertEquals(7, read[2].retryAfterS());
    assertTrue(read[2].close());
  }
}
