package fennelthread.net;

import fennelthread.constants.NetConstants;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * The open connections on which clients have sent requests to this process, the least recently used
 * first. A process at its limit of sockets refuses every new connection, including those of users
 * and health checks, while it still holds connections that no client will use again: when a machine
 * fails or is cut off, its connection stays open in this process, and the machine opens another one
 * later. Near the limit, stale connections are closed. Used on the event loop's thread only.
 *
 * @param <C> the type of a connection
 */
final class InboundConnections<C> {
  private final LongSupplier nowMs;
  private final int maxOpenSockets;
  private final int scarceAboveSockets;
  private final IntSupplier outboundSockets;
  private final Consumer<C> close;
  private final Map<C, Long> lastRequestAtMs = new LinkedHashMap<>(64, 0.75f, true);

  /**
   * Creates an empty set of connections.
   *
   * @param nowMs the monotonic clock, ms
   * @param maxSockets the number of sockets that the process may hold
   * @param outboundSockets the number of sockets that connections to other components take
   * @param close closes a connection
   */
  InboundConnections(
      LongSupplier nowMs, int maxSockets, IntSupplier outboundSockets, Consumer<C> close) {
    this.nowMs = nowMs;
    this.maxOpenSockets = (int) (maxSockets * NetConstants.FULL_SOCKET_SHARE);
    this.scarceAboveSockets = (int) (maxSockets * NetConstants.CROWDED_SOCKET_SHARE);
    this.outboundSockets = outboundSockets;
    this.close = close;
  }

  /**
   * Records a request on a connection. If it is the first one, and more than {@link
   * NetConstants#FULL_SOCKET_SHARE} of the sockets are in use, closes stale connections.
   *
   * @return true if it is the first request on the connection
   */
  boolean recordRequest(C connection) {
    boolean isFirst = lastRequestAtMs.put(connection, nowMs.getAsLong()) == null;
    if (isFirst) {
      closeStaleConnections();
    }
    return isFirst;
  }

  /** Records that a connection was closed. */
  void recordClosed(C connection) {
    lastRequestAtMs.remove(connection);
  }

  /**
   * True if so many sockets are open that rarely used connections are to be closed after each
   * answer. This lets a process serve more workers than it has sockets: each worker needs one for a
   * moment only.
   */
  boolean areSocketsScarce() {
    return lastRequestAtMs.size() + outboundSockets.getAsInt() > scarceAboveSockets;
  }

  private void closeStaleConnections() {
    while (lastRequestAtMs.size() + outboundSockets.getAsInt() > maxOpenSockets) {
      Map.Entry<C, Long> leastRecent = lastRequestAtMs.entrySet().iterator().next();
      if (nowMs.getAsLong() - leastRecent.getValue() < NetConstants.STALE_CONNECTION_MS) {
        return;
      }
      C connection = leastRecent.getKey();
      lastRequestAtMs.remove(connection);
      close.accept(connection);
    }
  }
}
