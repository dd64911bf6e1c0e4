package fennelthread.net;

import fennelthread.constants.NetConstants;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

/**
 * The connections that others have opened to us, the longest unused first. A process at its limit
 * of sockets refuses whoever comes next, users and health checks among them, while it still holds
 * connections that nobody will ever use again: machines that were cut off or died leave theirs, and
 * come back on new ones. Near the limit those go.
 *
 * @param <C> a connection
 */
final class InboundConnections<C> {
  private final LongSupplier nowMs;
  private final int most;
  private final int crowded;
  private final IntSupplier outbound;
  private final Consumer<C> close;
  private final Map<C, Long> usedAtMs = new LinkedHashMap<>(64, 0.75f, true);

  /**
   * Creates it empty.
   *
   * @param nowMs the steady clock, ms
   * @param mostSockets how many sockets the process may hold
   * @param outbound how many of them our own connections take
   * @param close closes a connection
   */
  InboundConnections(LongSupplier nowMs, int mostSockets, IntSupplier outbound, Consumer<C> close) {
    this.nowMs = nowMs;
    this.most = (int) (mostSockets * NetConstants.FULL_SOCKET_SHARE);
    this.crowded = (int) (mostSockets * NetConstants.CROWDED_SOCKET_SHARE);
    this.outbound = outbound;
    this.close = close;
  }

  /** A request came in on a connection; true if it is the first one there. */
  boolean used(C connection) {
    boolean first = usedAtMs.put(connection, nowMs.getAsLong()) == null;
    if (first) {
      makeRoom();
    }
    return first;
  }

  /** A connection was closed. */
  void gone(C connection) {
    usedAtMs.remove(connection);
  }

  /**
   * True if connections that are used rarely had better be closed after an answer. A fleet with
   * more workers than there are sockets is served that way: each worker needs one for a moment
   * only.
   */
  boolean isCrowded() {
    return usedAtMs.size() + outbound.getAsInt() > crowded;
  }

  private void makeRoom() {
    while (usedAtMs.size() + outbound.getAsInt() > most) {
      Map.Entry<C, Long> longest = usedAtMs.entrySet().iterator().next();
      if (nowMs.getAsLong() - longest.getValue() < NetConstants.STALE_CONNECTION_MS) {
        return;
      }
      C connection = longest.getKey();
      usedAtMs.remove(connection);
      close.accept(connection);
    }
  }
}
