package fennelthread.net;

import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;

/** A response, sent or received. */
public record Answer(int status, byte[] body, Codec codec, int retryAfterS, boolean close) {

  /** A response with a body. */
  public static Answer of(int status, Codec codec, Object body) {
    return new Answer(status, codec.encode(body), codec, 0, false);
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
        false);
  }

  /** Decodes the body. */
  public Fields fields() throws WireException {
    return codec.decode(body);
  }
}
