package fennelthread.net;

/** A request received; {@code path} is without the query. */
@SuppressWarnings("ArrayRecordComponent") // handed on, never compared
public record Request(String method, String path, byte[] body) {}
