package fennelthread.net;

import fennelthread.wire.Codec;

/**
 * A request to be sent to another component.
 *
 * @param method the HTTP method
 * @param path the path
 * @param body the encoded body, or null for none
 * @param codec the codec of the body and of the answer
 * @param spare true for a request that may be dropped, such as a probe: attempts to connect for
 *     such requests may take only a part of the sockets, so that enough remain for the others
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record Call(String method, String path, byte[] body, Codec codec, boolean spare) {

  /** A request that is not spare. */
  public Call(String method, String path, byte[] body, Codec codec) {
    this(method, path, body, codec, false);
  }

  /** A GET request without a body, whose answer is in CBOR. */
  public static Call get(String path) {
    return new Call("GET", path, null, Codec.CBOR);
  }

  /** A POST request; {@code body} is encoded. */
  public static Call post(String path, Codec codec, Object body) {
    return new Call("POST", path, codec.encode(body), codec);
  }

  /** A copy of this request that is spare. */
  public Call asSpare() {
    return new Call(method, path, body, codec, true);
  }
}
