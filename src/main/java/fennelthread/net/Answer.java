package fennelthread.net;

import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;

/**
 * A response to a request, sent or received.
 *
 * @param status the HTTP status
 * @param body the encoded body
 * @param codec the codec of the body
 * @param retryAfterS the value of the Retry-After header, s; 0 for none
 * @param afterwards what happens to the connection that the response is sent on
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record Answer(int status, byte[] body, Codec codec, int retryAfterS, Afterwards afterwards) {

  /** What happens to a connection after a response was sent on it. */
  public enum Afterwards {
    /** It stays open for the next request. */
    KEEP,
    /** It stays open unless sockets are scarce: its client sends requests only rarely. */
    KEEP_IF_ROOM,
    /** It is closed. */
    CLOSE
  }

  /** A response whose connection stays open for the next request. */
  public static Answer of(int status, Codec codec, Object body) {
    return new Answer(status, codec.encode(body), codec, 0, Afterwards.KEEP);
  }

  /** An error response whose body, in CBOR, gives the reason. */
  public static Answer error(int status, String reason) {
    return of(status, Codec.CBOR, Fields.create().with("error", reason));
  }

  /** An error response that gives the reason, and tells the client when to retry. */
  public static Answer later(int status, String reason, int retryAfterS) {
    return new Answer(
        status,
        Codec.CBOR.encode(Fields.create().with("error", reason)),
        Codec.CBOR,
        retryAfterS,
        Afterwards.KEEP);
  }

  /** A copy of this response that differs in what happens to its connection. */
  public Answer then(Afterwards next) {
    return new Answer(status, body, codec, retryAfterS, next);
  }

  /**
   * Decodes the body.
   *
   * @throws WireException if it is malformed
   */
  public Fields fields() throws WireException {
    return codec.decode(body);
  }
}
