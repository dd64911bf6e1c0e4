package fennelthread.simulation;

import fennelthread.Controller;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The controllers' processes: their settings, starts and ends, and which of them leads. */
final class SimulatedControllers {
  private final SimulatedNetwork network;
  private final Deployment deployment;
  private final Set<String> inProduction = new HashSet<>();

  /** The members' addresses for users and workers. */
  final Map<String, String> addresses = new LinkedHashMap<>();

  /** The last process of each member. */
  final Map<String, SimulatedProcess> processes = new TreeMap<>();

  /** The last controller of each member. */
  final Map<String, SimulatedCluster.ControllerHandle> running = new TreeMap<>();

  /** The settings of the first member; those of the others differ in what is their own. */
  final Settings settings;

  /** Says what there will be; nothing is started yet. */
  SimulatedControllers(SimulatedNetwork network, Deployment deployment) {
    this.network = network;
    this.deployment = deployment;
    for (int i = 0; i < deployment.controllers(); i++) {
      addresses.put("nodo-" + i, "10.0.0." + (i + 1) + ":8080");
    }
    int small = deployment.small();
    int guaranteedToBlue = small * 8 / 3;
    Map<String, Settings.Team> teams = new TreeMap<>();
    teams.put("roja", new Settings.Team("roja", small * 4, deployment.teamCap(), 2, 4));
    teams.put("azul", new Settings.Team("azul", guaranteedToBlue, deployment.teamCap(), 0, 2));
    settings = settingsOf("nodo-0", teams);
  }

  /** Starts all of them. */
  void startAll() {
    for (String member : addresses.keySet()) {
      network.name(addresses.get(member), member);
      network.name(peerAddressOf(member), member);
      network.setZone(member, zoneOf(member));
      if (deployment.production()) {
        inProduction.add(member);
      }
      start(member);
    }
  }

  private static String peerAddressOf(String member) {
    return "10.0.0." + (indexOf(member) + 1) + ":8081";
  }

  private static int indexOf(String member) {
    return Integer.parseInt(member.substring(member.lastIndexOf('-') + 1));
  }

  /** The zone that a controller is in. */
  String zoneOf(String member) {
    List<String> zones = deployment.zones();
    return zones.get(indexOf(member) % zones.size());
  }

  private Settings settingsOf(String member, Map<String, Settings.Team> teams) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (String other : addresses.keySet()) {
      if (!other.equals(member)) {
        peers.add(new Settings.Peer(other, zoneOf(other), peerAddressOf(other)));
      }
    }
    return new Settings(
        member,
        zoneOf(member),
        addresses.get(member),
        peerAddressOf(member),
        peers,
        SimulatedCluster.CLOUD,
        SimulatedCluster.STATE,
        deployment.zones(),
        teams,
        List.of(new Settings.Objective("wait", "servicio", 1, 0.9, 0)),
        new Settings.WorkerTiming(
            deployment.reportMs(), deployment.leaseMs(), deployment.cancelMs()),
        deployment.next(),
        new Settings.CloudLimits(5, 2_000),
        500);
  }

  /** Starts a controller of the version that its member has at the moment. */
  void start(String member) {
    SimulatedProcess process = new SimulatedProcess(network, member);
    Settings own = settingsOf(member, settings.teams());
    SimulatedCluster.ControllerHandle controller =
        inProduction.contains(member)
            ? SimulatedCluster.productionControllerFactory.create(process, own, deployment.limits())
            : SimulatedCluster.ControllerHandle.of(new Controller(process, own, Options.DEFAULTS));
    process.listen(addresses.get(member), controller.api());
    process.listen(peerAddressOf(member), controller.peerService());
    processes.put(member, process);
    running.put(member, controller);
    controller.start();
  }

  /** True if none is of the version in production. */
  boolean areAllNew() {
    return inProduction.isEmpty();
  }

  /** Ends a controller of the old version; the next one is of the new. */
  void upgrade(String member, long downMs) {
    inProduction.remove(member);
    crash(member, downMs);
  }

  /** Ends a controller; the next one is of the version in production. */
  void downgrade(String member, long downMs) {
    inProduction.add(member);
    crash(member, downMs);
  }

  /** Ends a controller; another process of the same member begins after so long. */
  void crash(String member, long downMs) {
    processes.get(member).kill();
    SimulatedProcess dead = processes.get(member);
    network.after(
        downMs,
        () -> {
          if (processes.get(member) == dead) {
            start(member);
          }
        });
  }

  /** The member that leads, by its own account, or null. */
  String leader() {
    for (Map.Entry<String, SimulatedCluster.ControllerHandle> e : running.entrySet()) {
      if (processes.get(e.getKey()).alive && e.getValue().isLeading()) {
        return e.getKey();
      }
    }
    return null;
  }

  /** The same, passing over one member. */
  String leaderOtherThan(String member) {
    for (Map.Entry<String, SimulatedCluster.ControllerHandle> e : running.entrySet()) {
      if (!e.getKey().equals(member)
          && processes.get(e.getKey()).alive
          && e.getValue().isLeading()) {
        return e.getKey();
      }
    }
    return null;
  }

  /** A controller loses the state service and the other controllers, not its workers or users. */
  void isolateFromPeersAndState(String member, long forMs) {
    network.cut(member, "state", forMs);
    addresses.keySet().stream()
        .filter(m -> !m.equals(member))
        .forEach(m -> network.cut(member, m, forMs));
  }

  /** No controller reaches another for so long. */
  void cutPeerLinks(long forMs) {
    List<String> members = List.copyOf(addresses.keySet());
    for (int i = 0; i < members.size(); i++) {
      for (int j = i + 1; j < members.size(); j++) {
        network.cut(members.get(i), members.get(j), forMs);
      }
    }
  }
}
