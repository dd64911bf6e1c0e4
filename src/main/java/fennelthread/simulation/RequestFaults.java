package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.net.Call;
import java.util.ArrayList;
import java.util.List;

/**
 * Faults of single requests, by who sends them to whom: no connection, slow links, and direct
 * commands that are held up. Its chance is {@link SimulatedNetwork#faults}.
 */
final class RequestFaults {
  private static final String COMMAND_PATH = "/commands";

  /** Sees each request as its sender hands it to the network. */
  @FunctionalInterface
  interface Observer {
    /** A process sends a request; both are named as for cuts. */
    void sent(String from, String to, Call call);
  }

  private record Mute(String from, String to) {}

  private record SlowLink(String name, long extraMs) {}

  private final SimulatedNetwork world;
  private final List<Observer> observers = new ArrayList<>();
  private final List<Mute> mutes = new ArrayList<>();
  private final List<SlowLink> slowLinks = new ArrayList<>();
  private double heldCommandShare;

  /** How many requests found no connection because their sender was mute. */
  int requestsBlocked;

  /** How many direct commands were held up. */
  int commandsHeld;

  /** How many of them have reached their machine. */
  int commandsDelivered;

  RequestFaults(SimulatedNetwork world) {
    this.world = world;
  }

  /** Calls an observer with each request from now on. */
  void onRequest(Observer observer) {
    observers.add(observer);
  }

  /** Tells the observers of a request. */
  void sent(String from, String to, Call call) {
    observers.forEach(o -> o.sent(from, to, call));
  }

  /** Requests from those to those, given by prefixes of their names, get no connection. */
  void blockRequests(String fromPrefix, String toPrefix, long forMs) {
    Mute mute = new Mute(fromPrefix, toPrefix);
    mutes.add(mute);
    world.after(forMs, () -> mutes.remove(mute));
  }

  /** True if a request between these two gets no connection; it is counted. */
  boolean blocksConnection(String from, String to) {
    for (Mute m : mutes) {
      if (from.startsWith(m.from) && to.startsWith(m.to)) {
        requestsBlocked++;
        return true;
      }
    }
    return false;
  }

  /** Messages to and from those take so much longer. */
  void slowLinks(String prefix, long extraMs, long forMs) {
    SlowLink link = new SlowLink(prefix, extraMs);
    slowLinks.add(link);
    world.after(forMs, () -> slowLinks.remove(link));
  }

  /** How much longer a message between these two takes, ms. */
  long extraMs(String from, String to) {
    long most = 0;
    for (SlowLink link : slowLinks) {
      if (from.startsWith(link.name) || to.startsWith(link.name)) {
        most = Math.max(most, link.extraMs);
      }
    }
    return most;
  }

  /** That share of the direct commands is held up for 2 to 16 s and gets no answer. */
  void holdCommands(double share, long forMs) {
    heldCommandShare = share;
    world.after(forMs, () -> heldCommandShare = 0);
  }

  /** How long a request is held up, ms; 0 if it isn't. */
  long holdMs(String path) {
    if (heldCommandShare == 0
        || !path.equals(COMMAND_PATH)
        || world.faults.nextDouble() >= heldCommandShare) {
      return 0;
    }
    commandsHeld++;
    return SimulationConstants.MIN_COMMAND_DELAY_MS
        + world.faults.nextLong(
            SimulationConstants.MAX_COMMAND_DELAY_MS
                - SimulationConstants.MIN_COMMAND_DELAY_MS
                + 1);
  }
}
