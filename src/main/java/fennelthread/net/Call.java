package fennelthread.net;

import fennelthread.wire.Codec;

/**
 * A request to another component; {@code body} may be null. A {@code spare} one is worth no more
 * than a hint: it must not take the connections that others need.
 */
@SuppressWarnings("ArrayRecordComponent") // handed on, never compared
public record Call(String method, String path, byte[] body, Codec codec, boolean spare) {

  /** A request that somebody waits for. */
  public Call(String method, String path, byte[] body, Codec codec) {
    this(method, path, body, codec, false);
  }

  /** A request without a body. */
  public static Call get(String path) {
    return new Call("GET", path, null, Codec.CBOR);
  }

  /** A request with a body. */
  public static Call post(String path, Codec codec, Object body) {
    return new Call("POST", path, codec.encode(body), codec);
  }

  /** The same request as a spare one. */
  public Call asSpare() {
    return new Call(method, path, body, codec, true);
  }
}
