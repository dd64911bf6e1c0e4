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

/** Starts and stops the controllers' processes, builds their settings and finds the leader. */
final class SimulatedControllers {
  private final SimulatedNetwork network;
  private final Deployment deployment;
  private final Set<String> productionMembers = new HashSet<>();

  /** The API addresses for users and workers, by member name. */
  final Map<String, String> addresses = new LinkedHashMap<>();

  /** The latest process of each member; it may have been killed. */
  final Map<String, SimulatedProcess> processes = new TreeMap<>();

  /** The latest controller of each member; its process may have been killed. */
  final Map<String, SimulatedCluster.ControllerHandle> controllers = new TreeMap<>();

  /** The settings of the first member; the others' differ in names, zones, addresses and peers. */
  final Settings settings;

  /** Prepares addresses and settings; starts nothing. */
  SimulatedControllers(SimulatedNetwork network, Deployment deployment) {
    this.network = network;
    this.deployment = deployment;
    for (int i = 0; i < deployment.controllers(); i++) {
      addresses.put("nodo-" + i, "10.0.0." + (i + 1) + ":8080");
    }
    int small = deployment.smallPerZone();
    int azulGuaranteeCpus = small * 8 / 3;
    Map<String, Settings.Team> teams = new TreeMap<>();
    teams.put("roja", new Settings.Team("roja", small * 4, deployment.teamCap(), 2, 4));
    teams.put("azul", new Settings.Team("azul", azulGuaranteeCpus, deployment.teamCap(), 0, 2));
    settings = settingsOf("nodo-0", teams);
  }

  /** Starts all controllers. */
  void startAll() {
    for (String member : addresses.keySet()) {
      network.name(addresses.get(member), member);
      network.name(peerAddressOf(member), member);
      network.setZone(member, zoneOf(member));
      if (deployment.production()) {
        productionMembers.add(member);
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

  /** The zone of a controller. */
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
        deployment.announcedLimits(),
        new Settings.CloudLimits(5, 2_000),
        500);
  }

  /** Starts a controller of the version that its member has now. */
  void start(String member) {
    SimulatedProcess process = new SimulatedProcess(network, member);
    if (processes.containsKey(member)) {
      process.heapBytes = processes.get(member).heapBytes;
    }
    Settings memberSettings = settingsOf(member, settings.teams());
    SimulatedCluster.ControllerHandle controller =
        productionMembers.contains(member)
            ? SimulatedCluster.productionControllerFactory.create(
                process, memberSettings, deployment.limits())
            : SimulatedCluster.ControllerHandle.of(
                new Controller(process, memberSettings, Options.DEFAULTS));
    process.listen(addresses.get(member), controller.api());
    process.listen(peerAddressOf(member), controller.peerService());
    processes.put(member, process);
    controllers.put(member, controller);
    controller.start();
  }

  /** True if no member has the version in production. */
  boolean hasNoProductionMembers() {
    return productionMembers.isEmpty();
  }

  /** Restarts a controller of the version in production as one of this version. */
  void upgrade(String member, long downMs) {
    productionMembers.remove(member);
    crash(member, downMs);
  }

  /** Restarts a controller as one of the version in production. */
  void downgrade(String member, long downMs) {
    productionMembers.add(member);
    crash(member, downMs);
  }

  /** Kills a controller and starts a new process of the same member after {@code downMs}. */
  void crash(String member, long downMs) {
    processes.get(member).kill();
    SimulatedProcess killed = processes.get(member);
    network.after(
        downMs,
        () -> {
          if (processes.get(member) == killed) {
            start(member);
          }
        });
  }

  /** The first running member that considers itself the leader, or null. */
  String leader() {
    for (Map.Entry<String, SimulatedCluster.ControllerHandle> entry : controllers.entrySet()) {
      if (processes.get(entry.getKey()).isAlive && entry.getValue().isLeading()) {
        return entry.getKey();
      }
    }
    return null;
  }

  /** The first running member except {@code member} that considers itself the leader, or null. */
  String leaderOtherThan(String member) {
    for (Map.Entry<String, SimulatedCluster.ControllerHandle> entry : controllers.entrySet()) {
      if (!entry.getKey().equals(member)
          && processes.get(entry.getKey()).isAlive
          && entry.getValue().isLeading()) {
        return entry.getKey();
      }
    }
    return null;
  }

  /** Cuts a controller off from the state service and its peers, but not from workers and users. */
  void isolateFromPeersAndState(String member, long forMs) {
    network.cut(member, "state", forMs);
    addresses.keySet().stream()
        .filter(m -> !m.equals(member))
        .forEach(m -> network.cut(member, m, forMs));
  }

  /** Cuts the links between all controllers for {@code forMs}. */
  void cutPeerLinks(long forMs) {
    List<String> members = List.copyOf(addresses.keySet());
    for (int i = 0; i < members.size(); i++) {
      for (int j = i + 1; j < members.size(); j++) {
        network.cut(members.get(i), members.get(j), forMs);
      }
    }
  }
}
