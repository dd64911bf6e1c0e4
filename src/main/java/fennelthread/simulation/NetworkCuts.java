package fennelthread.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Interruptions of the network, between groups of names or around zones, one way or both. */
final class NetworkCuts {
  private final SimulatedNetwork network;
  private final Set<String> cuts = new HashSet<>();
  private final Set<String> oneWay = new HashSet<>();
  private final Set<ZoneCut> zoneCuts = new HashSet<>();
  private final Map<String, String> zoneOf = new HashMap<>();
  private final Map<String, List<Runnable>> held = new HashMap<>();

  NetworkCuts(SimulatedNetwork network) {
    this.network = network;
  }

  /** Holds a packet back until that cut is over; it arrives right after. */
  void holdBack(String cut, Runnable deliver) {
    held.computeIfAbsent(cut, k -> new ArrayList<>()).add(() -> network.after(1, deliver));
  }

  /** Cuts the network between two groups of names, both ways. */
  void cut(String a, String b, long forMs) {
    String link = a + "|" + b;
    cuts.add(link);
    network.after(
        forMs,
        () -> {
          cuts.remove(link);
          release(link);
        });
  }

  /** What one side says does not reach the other, for so long; what that one says does. */
  void cutOneWay(String from, String to, long forMs) {
    String link = from + ">" + to;
    oneWay.add(link);
    network.after(
        forMs,
        () -> {
          oneWay.remove(link);
          release(link);
        });
  }

  private String oneWayBetween(String from, String to) {
    for (String link : oneWay) {
      int arrow = link.indexOf('>');
      if (from.startsWith(link.substring(0, arrow)) && to.startsWith(link.substring(arrow + 1))) {
        return link;
      }
    }
    return null;
  }

  private record ZoneCut(String zone, SimulatedNetwork.CutDirection way, double share) {}

  /**
   * Says in which zone something is; what is in none is reached from everywhere but cut-off zones.
   */
  void setZone(String name, String zone) {
    zoneOf.put(name, zone);
  }

  /** Cuts a zone off from all that is not in it; inside it everything goes on. */
  void cutZone(String zone, long forMs) {
    cutZone(zone, forMs, SimulatedNetwork.CutDirection.BOTH, 1);
  }

  /** The same for one way, or for a share of what is in the zone: always the same ones. */
  void cutZone(String zone, long forMs, SimulatedNetwork.CutDirection way, double share) {
    ZoneCut cut = new ZoneCut(zone, way, share);
    zoneCuts.add(cut);
    network.after(
        forMs,
        () -> {
          zoneCuts.remove(cut);
          release("zone " + zone);
        });
  }

  private void release(String link) {
    List<Runnable> packets = held.remove(link);
    if (packets != null) {
      packets.forEach(Runnable::run);
    }
  }

  private String zoneCutBetween(String from, String to) {
    if (zoneCuts.isEmpty()) {
      return null;
    }
    String fromZone = zoneOf.getOrDefault(from, "");
    String toZone = zoneOf.getOrDefault(to, "");
    if (fromZone.equals(toZone)) {
      return null;
    }
    for (ZoneCut c : zoneCuts) {
      boolean out =
          c.zone.equals(fromZone) && c.way != SimulatedNetwork.CutDirection.IN && isPartOf(from, c);
      boolean in =
          c.zone.equals(toZone) && c.way != SimulatedNetwork.CutDirection.OUT && isPartOf(to, c);
      if (out || in) {
        return "zone " + c.zone;
      }
    }
    return null;
  }

  private static boolean isPartOf(String name, ZoneCut cut) {
    return Math.floorMod(name.hashCode() * 0x9E3779B9, 1000) < cut.share * 1000;
  }

  /** A cut between two names, or null; what is on its way over it is held back under that. */
  String between(String from, String to) {
    String zone = zoneCutBetween(from, to);
    if (zone != null) {
      return zone;
    }
    String way = oneWayBetween(from, to);
    if (way != null) {
      return way;
    }
    for (String link : cuts) {
      int bar = link.indexOf('|');
      String a = link.substring(0, bar);
      String b = link.substring(bar + 1);
      if ((from.startsWith(a) && to.startsWith(b)) || (from.startsWith(b) && to.startsWith(a))) {
        return link;
      }
    }
    return null;
  }
}
