package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.net.Call;
import java.util.ArrayList;
import java.util.List;

/**
 * Faults of single requests, by sender and recipient: blocked connections, slow links, and delayed
 * direct commands. Random choices come from {@link SimulatedNetwork#faults}.
 */
final class RequestFaults {
  private static final String COMMAND_PATH = "/commands";

  /** Observes each request as its sender hands it to the network. */
  @FunctionalInterface
  interface Observer {
    /** Called when a process sends a request; the names are those that cuts are given by. */
    void onRequestSent(String from, String to, Call call);
  }

  private record BlockedRoute(String fromPrefix, String toPrefix) {}

  private record SlowLink(String prefix, long extraMs) {}

  private final SimulatedNetwork network;
  private final List<Observer> observers = new ArrayList<>();
  private final List<BlockedRoute> blockedRoutes = new ArrayList<>();
  private final List<SlowLink> slowLinks = new ArrayList<>();
  private double heldCommandShare;

  /** Number of requests that got no connection because they were blocked. */
  int requestsBlocked;

  /** Number of direct commands that were delayed. */
  int commandsHeld;

  /** Number of delayed commands that have reached their machine. */
  int commandsDelivered;

  RequestFaults(SimulatedNetwork network) {
    this.network = network;
  }

  /** Adds an observer of all later requests. */
  void onRequest(Observer observer) {
    observers.add(observer);
  }

  /** Notifies the observers of a request. */
  void notifySent(String from, String to, Call call) {
    observers.forEach(observer -> observer.onRequestSent(from, to, call));
  }

  /**
   * Blocks connections from one group of names to another, given by prefixes, for {@code forMs}.
   */
  void blockRequests(String fromPrefix, String toPrefix, long forMs) {
    BlockedRoute route = new BlockedRoute(fromPrefix, toPrefix);
    blockedRoutes.add(route);
    network.after(forMs, () -> blockedRoutes.remove(route));
  }

  /** True if a request between these names gets no connection; counts such requests. */
  boolean blocksConnection(String from, String to) {
    for (BlockedRoute route : blockedRoutes) {
      if (from.startsWith(route.fromPrefix) && to.startsWith(route.toPrefix)) {
        requestsBlocked++;
        return true;
      }
    }
    return false;
  }

  /** Delays messages to and from names with this prefix by {@code extraMs} for {@code forMs}. */
  void slowLinks(String prefix, long extraMs, long forMs) {
    SlowLink link = new SlowLink(prefix, extraMs);
    slowLinks.add(link);
    network.after(forMs, () -> slowLinks.remove(link));
  }

  /** Extra delay of a message between these names, ms: that of the slowest link that matches. */
  long extraMs(String from, String to) {
    long longestMs = 0;
    for (SlowLink link : slowLinks) {
      if (from.startsWith(link.prefix) || to.startsWith(link.prefix)) {
        longestMs = Math.max(longestMs, link.extraMs);
      }
    }
    return longestMs;
  }

  /**
   * For {@code forMs}, delays this share of the direct commands by 2 to 16 s, without an answer.
   */
  void holdCommands(double share, long forMs) {
    heldCommandShare = share;
    network.after(forMs, () -> heldCommandShare = 0);
  }

  /** Draws the delay of a request, ms; 0 if it is not delayed. */
  long holdMs(String path) {
    if (heldCommandShare == 0
        || !path.equals(COMMAND_PATH)
        || network.faults.nextDouble() >= heldCommandShare) {
      return 0;
    }
    commandsHeld++;
    return SimulationConstants.MIN_COMMAND_DELAY_MS
        + network.faults.nextLong(
            SimulationConstants.MAX_COMMAND_DELAY_MS
                - SimulationConstants.MIN_COMMAND_DELAY_MS
                + 1);
  }
}
