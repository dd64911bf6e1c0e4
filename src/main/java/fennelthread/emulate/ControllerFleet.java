package fennelthread.emulate;

import fennelthread.settings.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The real controllers, one process each, with the settings files that they read. */
final class ControllerFleet {
  private final EmulationConfig config;
  private final Addresses addresses;
  private final ChildProcesses processes;
  private final Path directory;
  private final List<Process> running = new ArrayList<>();
  private final Set<Process> killed = new HashSet<>();
  private int kills;

  ControllerFleet(
      EmulationConfig config, Addresses addresses, ChildProcesses processes, Path directory) {
    this.config = config;
    this.addresses = addresses;
    this.processes = processes;
    this.directory = directory;
  }

  /** A controller's name. */
  static String name(int member) {
    return "controller-" + member;
  }

  /** How many there are. */
  int size() {
    return config.controllers();
  }

  /** The number of the controller with this name, or -1. */
  int indexOf(String name) {
    for (int i = 0; i < config.controllers(); i++) {
      if (name(i).equals(name)) {
        return i;
      }
    }
    return -1;
  }

  /** Starts all controllers. */
  synchronized void start() throws IOException {
    for (int i = 0; i < config.controllers(); i++) {
      Files.writeString(settingsFile(i), settings(i));
    }
    if (!config.controllerOptions().isEmpty()) {
      Files.writeString(optionsFile(), config.controllerOptions());
    }
    for (int i = 0; i < config.controllers(); i++) {
      running.add(startProcess(i));
    }
  }

  private Process startProcess(int member) throws IOException {
    List<String> arguments = new ArrayList<>();
    if (!config.controllerOptions().isEmpty()) {
      arguments.addAll(List.of("--settings", optionsFile().toString()));
    }
    arguments.addAll(List.of("--config", settingsFile(member).toString()));
    return processes.startController(name(member), arguments, config.controllerHeapMb());
  }

  private Path optionsFile() {
    return directory.resolve("options.sexp");
  }

  private Path settingsFile(int member) {
    return directory.resolve(name(member) + ".toml");
  }

  /** The process of a controller as it is now. */
  synchronized Process process(int member) {
    return running.get(member);
  }

  /** Ends a controller with SIGKILL. */
  synchronized void kill(int member) {
    kills++;
    killed.add(running.get(member));
    running.get(member).destroyForcibly();
  }

  /** How often a controller was ended. */
  synchronized int kills() {
    return kills;
  }

  /** Starts a controller anew, if it has ended. */
  synchronized void restart(int member) throws IOException {
    Process old = running.get(member);
    if (!old.isAlive()) {
      running.set(member, startProcess(member));
    }
  }

  /** Controllers whose process has ended without having been killed. */
  synchronized List<Integer> endedByThemselves() {
    List<Integer> ended = new ArrayList<>();
    for (int i = 0; i < running.size(); i++) {
      if (!running.get(i).isAlive() && !killed.contains(running.get(i))) {
        ended.add(i);
      }
    }
    return ended;
  }

  /** The teams of the settings: shares of the fleet turned into CPUs. */
  static Map<String, Settings.Team> teams(EmulationConfig config) {
    Map<String, Settings.Team> teams = new TreeMap<>();
    for (EmulationConfig.TeamSettings t : config.teams()) {
      double cpus = Math.floor(t.guarantee() * config.fleetCpus());
      double cpusMax = Math.floor(t.limit() * config.fleetCpus());
      teams.put(t.name(), new Settings.Team(t.name(), cpus, cpusMax, 0, 0));
    }
    return teams;
  }

  private String settings(int member) {
    StringBuilder text = new StringBuilder();
    line(text, "member = \"%s\"", name(member));
    line(text, "site = \"%s\"", zone(member));
    line(text, "api_addr = \"%s\"", addresses.api(member));
    line(text, "mesh_addr = \"%s\"", addresses.peer(member));
    for (int other = 0; other < config.controllers(); other++) {
      if (other != member) {
        line(text, "[[siblings]]");
        line(text, "member = \"%s\"", name(other));
        line(text, "site = \"%s\"", zone(other));
        line(text, "addr = \"%s\"", addresses.peer(other));
      }
    }
    line(text, "[endpoints]");
    line(text, "cloud = \"%s\"", addresses.cloud(member));
    line(text, "state = \"%s\"", addresses.state(member));
    line(text, "[cluster]");
    line(text, "zones = [%s]", "\"" + String.join("\", \"", config.zones()) + "\"");
    for (Settings.Team team : teams(config).values()) {
      line(text, "[[cluster.teams]]");
      line(text, "name = \"%s\"", team.name());
      line(text, "cpus = %f", team.cpus());
      line(text, "cpus_max = %f", team.cpusMax());
    }
    Settings.WorkerTiming timing = config.workerTiming();
    line(text, "[cluster.workers]");
    line(text, "report_s = %f", timing.reportMs() / 1000.0);
    line(text, "lease_s = %f", timing.leaseMs() / 1000.0);
    line(text, "cancel_s = %f", timing.cancelMs() / 1000.0);
    Settings.StateLimits limits = config.state().limits();
    line(text, "[cluster.state]");
    line(text, "rps = %f", limits.rps());
    line(text, "write_rps = %f", limits.writeRps());
    line(text, "value_kb = %f", limits.valueBytes() / 1024.0);
    line(text, "txn_ops = %d", limits.txnOps());
    line(text, "[cluster.cloud]");
    line(text, "rps = %f", config.cloud().rps());
    line(text, "list_lag_s = %f", config.cloud().listLagMs() / 1000.0);
    line(text, "[cluster.machine_limits]");
    line(text, "max_connections = %d", config.maxConnections());
    return text.toString();
  }

  private String zone(int member) {
    return config.zones().get(member % config.zones().size());
  }

  private static void line(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append('\n');
  }
}
