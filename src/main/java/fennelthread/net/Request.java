package fennelthread.net;

/**
 * A request received.
 *
 * @param method the HTTP method
 * @param path the path without the query
 * @param body the encoded body; null for a GET request without one
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record Request(String method, String path, byte[] body) {}
