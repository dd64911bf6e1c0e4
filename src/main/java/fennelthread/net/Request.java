package fennelthread.net;

/** A request received; {@code path} is without the query. */
public record Request(String method, String path, byte[] body) {}
