package fennelthread.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Network partitions between groups of processes or around zones, in one direction or both. */
final class NetworkCuts {
  private final SimulatedNetwork network;
  private final Set<String> twoWayCuts = new HashSet<>();
  private final Set<String> oneWayCuts = new HashSet<>();
  private final Set<ZoneCut> zoneCuts = new HashSet<>();
  private final Map<String, String> zoneOf = new HashMap<>();
  private final Map<String, List<Runnable>> heldPackets = new HashMap<>();

  NetworkCuts(SimulatedNetwork network) {
    this.network = network;
  }

  /** Holds a packet until the cut ends; it arrives 1 ms later. */
  void holdPacket(String cut, Runnable deliver) {
    heldPackets.computeIfAbsent(cut, k -> new ArrayList<>()).add(() -> network.after(1, deliver));
  }

  /** Cuts the links between two groups of names, given by prefixes, in both directions. */
  void cut(String prefixA, String prefixB, long forMs) {
    String link = prefixA + "|" + prefixB;
    twoWayCuts.add(link);
    network.after(
        forMs,
        () -> {
          twoWayCuts.remove(link);
          release(link);
        });
  }

  /**
   * Cuts the links from one group of names to another, given by prefixes, in that direction only.
   */
  void cutOneWay(String from, String to, long forMs) {
    String link = from + ">" + to;
    oneWayCuts.add(link);
    network.after(
        forMs,
        () -> {
          oneWayCuts.remove(link);
          release(link);
        });
  }

  private String findOneWayCut(String from, String to) {
    for (String link : oneWayCuts) {
      int arrow = link.indexOf('>');
      if (from.startsWith(link.substring(0, arrow)) && to.startsWith(link.substring(arrow + 1))) {
        return link;
      }
    }
    return null;
  }

  private record ZoneCut(String zone, SimulatedNetwork.CutDirection direction, double share) {}

  /** Assigns a name to a zone; a name without a zone is outside every zone that is cut off. */
  void setZone(String name, String zone) {
    zoneOf.put(name, zone);
  }

  /** Cuts a zone off from everything outside it; links inside the zone stay up. */
  void cutZone(String zone, long forMs) {
    cutZone(zone, forMs, SimulatedNetwork.CutDirection.BOTH, 1);
  }

  /**
   * Cuts a zone off in the given direction, for a share of its names. A hash of the name selects
   * them, so that every cut with this share affects the same ones.
   */
  void cutZone(String zone, long forMs, SimulatedNetwork.CutDirection direction, double share) {
    ZoneCut cut = new ZoneCut(zone, direction, share);
    zoneCuts.add(cut);
    network.after(
        forMs,
        () -> {
          zoneCuts.remove(cut);
          release("zone " + zone);
        });
  }

  private void release(String link) {
    List<Runnable> packets = heldPackets.remove(link);
    if (packets != null) {
      packets.forEach(Runnable::run);
    }
  }

  private String findZoneCut(String from, String to) {
    if (zoneCuts.isEmpty()) {
      return null;
    }
    String fromZone = zoneOf.getOrDefault(from, "");
    String toZone = zoneOf.getOrDefault(to, "");
    if (fromZone.equals(toZone)) {
      return null;
    }
    for (ZoneCut cut : zoneCuts) {
      boolean isOutbound =
          cut.zone.equals(fromZone)
              && cut.direction != SimulatedNetwork.CutDirection.IN
              && isAffected(from, cut);
      boolean isInbound =
          cut.zone.equals(toZone)
              && cut.direction != SimulatedNetwork.CutDirection.OUT
              && isAffected(to, cut);
      if (isOutbound || isInbound) {
        return "zone " + cut.zone;
      }
    }
    return null;
  }

  private static boolean isAffected(String name, ZoneCut cut) {
    return Math.floorMod(name.hashCode() * 0x9E3779B9, 1000) < cut.share * 1000;
  }

  /** Returns the active cut between two names, under which packets are held, or null. */
  String findCut(String from, String to) {
    String zoneCut = findZoneCut(from, to);
    if (zoneCut != null) {
      return zoneCut;
    }
    String oneWayCut = findOneWayCut(from, to);
    if (oneWayCut != null) {
      return oneWayCut;
    }
    for (String link : twoWayCuts) {
      int bar = link.indexOf('|');
      String prefixA = link.substring(0, bar);
      String prefixB = link.substring(bar + 1);
      if ((from.startsWith(prefixA) && to.startsWith(prefixB))
          || (from.startsWith(prefixB) && to.startsWith(prefixA))) {
        return link;
      }
    }
    return null;
  }
}
