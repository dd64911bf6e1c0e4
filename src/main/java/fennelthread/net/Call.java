package fennelthread.net;

import fennelthread.wire.Codec;

/** A request to another component; {@code body} may be null. */
public record Call(String method, String path, byte[] body, Codec codec) {

  /** A request without a body. */
  public static Call get(String path) {
    return new Call("GET", path, null, Codec.CBOR);
  }

  /** A request with a body. */
  public static Call post(String path, Codec codec, Object body) {
    return new Call("POST", path, codec.encode(body), codec);
  }
}
