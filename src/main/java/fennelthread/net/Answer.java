package fennelthread.net;

import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;

/** A response, sent or received. */
@SuppressWarnings("ArrayRecordComponent") // handed on, never compared
public record Answer(int status, byte[] body, Codec codec, int retryAfterS, Afterwards afterwards) {

  /** What becomes of the connection that a response was sent on. */
  public enum Afterwards {
    /** It stays open for the next request. */
    KEEP,
    /** It stays open while the process has sockets to spare: its owner comes back rarely. */
    KEEP_IF_ROOM,
    /** It is closed. */
    CLOSE
  }

  /** A response with a body. */
  public static Answer of(int status, Codec codec, Object body) {
    return new Answer(status, codec.encode(body), codec, 0, Afterwards.KEEP);
  }

  /** A refusal whose body says why. */
  public static Answer error(int status, String why) {
    return of(status, Codec.CBOR, Fields.create().with("error", why));
  }

  /** A refusal that says when to come back. */
  public static Answer later(int status, String why, int retryAfterS) {
    return new Answer(
        status,
        Codec.CBOR.encode(Fields.create().with("error", why)),
        Codec.CBOR,
        retryAfterS,
        Afterwards.KEEP);
  }

  /** The same response, with something else to become of its connection. */
  public Answer then(Afterwards next) {
    return new Answer(status, body, codec, retryAfterS, next);
  }

  /** Decodes the body. */
  public Fields fields() throws WireException {
    return codec.decode(body);
  }
}
