package fennelthread.relay;

import java.util.HashMap;
import java.util.Map;

/**
 * Through which peer each worker was last heard from. A route is of no use once the worker has
 * missed some reports; those of workers that are gone are dropped when others are recorded. Times
 * are ms of the local clock.
 */
final class RelayRoutes {
  private record Route(String peer, long heardAtMs) {}

  private final long validForMs;
  private final Map<String, Route> routesByWorker = new HashMap<>();
  private long prunedAtMs;

  /** Creates an empty table of routes that are valid for so long after they were recorded. */
  RelayRoutes(long validForMs) {
    this.validForMs = validForMs;
  }

  /** Records that a worker was heard from through a peer. */
  void record(String worker, String peer, long nowMs) {
    if (nowMs - prunedAtMs > validForMs) {
      prunedAtMs = nowMs;
      routesByWorker.values().removeIf(route -> !isValid(route, nowMs));
    }
    routesByWorker.put(worker, new Route(peer, nowMs));
  }

  /** The peer of a worker's route; null if it has none that is valid. */
  String peerOf(String worker, long nowMs) {
    Route route = routesByWorker.get(worker);
    return route != null && isValid(route, nowMs) ? route.peer : null;
  }

  private boolean isValid(Route route, long nowMs) {
    return nowMs - route.heardAtMs <= validForMs;
  }

  /** Forgets the route of a worker. */
  void forget(String worker) {
    routesByWorker.remove(worker);
  }

  /** Forgets all routes. */
  void clear() {
    routesByWorker.clear();
  }

  /** The number of routes held, valid or not. */
  int size() {
    return routesByWorker.size();
  }
}
