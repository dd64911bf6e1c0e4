package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.emulate.EmulationConfig.CloudSettings;
import fennelthread.emulate.EmulationConfig.CurvePoint;
import fennelthread.emulate.EmulationConfig.Fault;
import fennelthread.emulate.EmulationConfig.FaultKind;
import fennelthread.emulate.EmulationConfig.FleetPart;
import fennelthread.emulate.EmulationConfig.JobClass;
import fennelthread.emulate.EmulationConfig.Load;
import fennelthread.emulate.EmulationConfig.NamedJobs;
import fennelthread.emulate.EmulationConfig.Range;
import fennelthread.emulate.EmulationConfig.StateSettings;
import fennelthread.emulate.EmulationConfig.TeamSettings;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.settings.SettingsException;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import fennelthread.wire.Priority;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Reads a run's configuration, an S-expression {@code (emulation (workers 50) ...)}. Strict:
 * unknown or repeated names, wrong types and values out of range are errors with their position.
 */
final class EmulationConfigReader {
  private static final String ROOT = "emulation";
  private static final String FAULTS_ROOT = "faults";
  private final SettingsNode root;
  private final SettingsNode faultsRoot;
  private final int workers;

  private EmulationConfigReader(SettingsNode root, SettingsNode faultsRoot, Integer workers)
      throws SettingsException {
    this.root = root;
    this.faultsRoot = faultsRoot;
    int written = root.count("workers", 1, 20_000, null);
    this.workers = workers == null ? written : workers;
  }

  /**
   * Reads and checks a file.
   *
   * @param faults a file {@code (faults (fault ...) ...)} whose faults replace those of the first
   *     file, null to keep these
   * @param workers replaces the file's number of workers, null to keep it
   */
  static EmulationConfig load(Path file, Path faults, Integer workers) throws SettingsException {
    SettingsNode root = SettingsNode.parse(file.toString(), text(file), ROOT);
    SettingsNode faultsRoot =
        faults == null ? root : SettingsNode.parse(faults.toString(), text(faults), FAULTS_ROOT);
    return new EmulationConfigReader(root, faultsRoot, workers).config();
  }

  private static String text(Path file) throws SettingsException {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new SettingsException(file + ": can't be read: " + e.getMessage());
    }
  }

  /** Parses a file's text; {@code name} is used in messages. */
  static EmulationConfig parse(String name, String text, Integer workers) throws SettingsException {
    SettingsNode root = SettingsNode.parse(name, text, ROOT);
    return new EmulationConfigReader(root, root, workers).config();
  }

  private EmulationConfig config() throws SettingsException {
    List<String> zones = root.words("zones");
    List<TeamSettings> teams = teams();
    List<JobClass> classes = jobClasses(teams);
    int controllers = root.count("controllers", 1, 9, 3);
    EmulationConfig config =
        new EmulationConfig(
            controllers,
            root.count("controller-heap-mb", 32, 8_192, 72),
            root.count("max-connections", 64, 20_000, 1_024),
            controllerOptions(),
            zones,
            workers,
            root.count("worker-processes", 1, 64, 1),
            root.count("worker-heap-mb", 64, 8_192, 256),
            root.count("spare-machines", 0, 20_000, 0),
            root.millis("boot-s", 0, 600, 2.0),
            machineTypes(zones),
            workerTiming(),
            state(),
            cloud(),
            teams,
            classes,
            load(classes),
            root.millis("measure-from-s", 0, EmulationConstants.MAX_RUN_S, 0.0),
            faults(controllers, zones));
    root.all("fault");
    root.refuseUnknown();
    faultsRoot.refuseUnknown();
    return config;
  }

  /** What operators give controllers with {@code --settings}; its own reader checks it. */
  private String controllerOptions() throws SettingsException {
    SettingsNode node = root.one("controller-options");
    if (node == null) {
      return "";
    }
    String text = "(fennelthread" + node.inner() + ")";
    Options.parse("controller-options", text);
    node.refuseUnknown();
    return text;
  }

  private List<FleetPart> machineTypes(List<String> zones) throws SettingsException {
    List<FleetPart> parts = new ArrayList<>();
    for (SettingsNode node : nonEmpty("machine-type")) {
      double price = node.number("price", 0, 10_000, 1.0);
      double bootS = node.number("boot-s", 0, 3_600, 5.0);
      MachineType type =
          new MachineType(
              node.word("name", null),
              node.number("cpus", 0.1, 10_000, null),
              node.number("cards", 0, 100, 0.0),
              node.number("mem-gb", 0.1, 100_000, null),
              node.number("cache-gb", 0, 100_000, 100.0),
              node.number("fetch-gb-per-s", 0.01, 1_000, 1.0),
              price,
              node.number("spot-price", 0, 10_000, price / 2),
              bootS,
              zones);
      parts.add(
          new FleetPart(
              type,
              node.number("share", 0.001, 1_000, 1.0),
              node.number("spot-share", 0, 1, 0.0),
              Math.round(bootS * 1000)));
      node.refuseUnknown();
    }
    return parts;
  }

  private List<SettingsNode> nonEmpty(String name) throws SettingsException {
    List<SettingsNode> nodes = root.all(name);
    if (nodes.isEmpty()) {
      throw root.wrong("needs (" + name + " ...)");
    }
    return nodes;
  }

  private Settings.WorkerTiming workerTiming() throws SettingsException {
    SettingsNode node = root.required("timing");
    Settings.WorkerTiming timing =
        new Settings.WorkerTiming(
            node.millis("report-s", 0.5, 60, 1.5),
            node.millis("lease-s", 2, 600, 10.0),
            node.millis("cancel-s", 2, 600, 30.0));
    node.refuseUnknown();
    return timing;
  }

  private StateSettings state() throws SettingsException {
    SettingsNode node = root.required("state");
    Settings.StateLimits limits =
        new Settings.StateLimits(
            node.number("rps", 10, 1_000_000, null),
            node.number("write-rps", 5, 1_000_000, null),
            (int) (node.number("value-kb", 1, 512, 8.0) * 1024),
            node.count("txn-ops", 2, 1_000, 16));
    StateSettings state = new StateSettings(limits, node.count("latency-ms", 0, 5_000, 3));
    node.refuseUnknown();
    return state;
  }

  private CloudSettings cloud() throws SettingsException {
    SettingsNode node = root.one("cloud");
    if (node == null) {
      return new CloudSettings(10, 2_000);
    }
    CloudSettings cloud =
        new CloudSettings(
            node.number("rps", 0.1, 10_000, 10.0), node.millis("list-lag-s", 0.1, 600, 2.0));
    node.refuseUnknown();
    return cloud;
  }

  private List<TeamSettings> teams() throws SettingsException {
    List<TeamSettings> teams = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (SettingsNode node : nonEmpty("team")) {
      TeamSettings team =
          new TeamSettings(
              node.word("name", null),
              node.number("guarantee", 0, 1, 0.0),
              node.number("limit", 0, 100, 0.0));
      if (!names.add(team.name())) {
        throw node.wrong("named " + team.name() + " is given twice");
      }
      teams.add(team);
      node.refuseUnknown();
    }
    return teams;
  }

  private List<JobClass> jobClasses(List<TeamSettings> teams) throws SettingsException {
    List<JobClass> classes = new ArrayList<>();
    for (SettingsNode node : nonEmpty("job-class")) {
      List<String> owners = node.words("teams");
      for (String owner : owners) {
        if (teams.stream().noneMatch(t -> t.name().equals(owner))) {
          throw node.wrong("names an unknown team: " + owner);
        }
      }
      boolean service = node.choice("kind", "array", "array", "service").equals("service");
      classes.add(
          new JobClass(
              node.word("name", null),
              service,
              priority(node),
              owners,
              node.number("share", 0.0001, 1_000, 1.0),
              range(node, "tasks", 1, JobSpec.MAX_TASKS),
              range(node, "task-s", 0.1, EmulationConstants.MAX_RUN_S),
              node.number("cpus", 0.01, 10_000, 1.0),
              node.number("mem-gb", 0.01, 100_000, 1.0),
              node.count("images", 1, 10_000, 4),
              node.number("image-gb", 0, 1_000, 0.2),
              isYes(node, "spot", "yes"),
              isYes(node, "one-place", "no"),
              isYes(node, "apart", "no"),
              node.number("cancel-share", 0, 1, 0.0),
              node.number("from-s", 0, EmulationConstants.MAX_RUN_S, 0.0),
              node.number(
                  "until-s",
                  0,
                  EmulationConstants.MAX_RUN_S,
                  (double) EmulationConstants.MAX_RUN_S),
              namedJobs(node)));
      node.refuseUnknown();
    }
    for (JobClass jobClass : classes) {
      NamedJobs named = jobClass.named();
      if (named != null && classes.stream().noneMatch(c -> isArrayOf(c, named.jobClass()))) {
        throw root.wrong("has no class of arrays that others wait for: " + named.jobClass());
      }
    }
    return classes;
  }

  private static boolean isArrayOf(JobClass jobClass, String name) {
    return !jobClass.service() && jobClass.name().equals(name);
  }

  private static NamedJobs namedJobs(SettingsNode jobClass) throws SettingsException {
    SettingsNode node = jobClass.one("waits-for");
    if (node == null) {
      return null;
    }
    List<String> values = node.values(2);
    double count = node.numberAt(1, 2, 1, EmulationConstants.MAX_NAMED_JOBS);
    return new NamedJobs(values.get(0), (int) count);
  }

  private static boolean isYes(SettingsNode node, String name, String fallback)
      throws SettingsException {
    return node.choice(name, fallback, "yes", "no").equals("yes");
  }

  private static Priority priority(SettingsNode node) throws SettingsException {
    String word =
        node.choice("priority", "standard", "critical", "urgent", "standard", "best-effort");
    return Priority.valueOf(word.replace('-', '_').toUpperCase(Locale.ROOT));
  }

  private static Range range(SettingsNode node, String name, double least, double most)
      throws SettingsException {
    double[] bounds = node.range(name, least, most);
    return new Range(bounds[0], bounds[1]);
  }

  private Load load(List<JobClass> classes) throws SettingsException {
    SettingsNode node = root.required("load");
    boolean perWorker = node.has("tasks-per-worker");
    if (perWorker == node.has("starts-per-s")) {
      throw node.wrong("needs either tasks-per-worker or starts-per-s");
    }
    double startsPerS;
    if (perWorker) {
      // Little's law: what runs at once is starts a second times a task's mean time.
      double running = workers * node.number("tasks-per-worker", 0.01, 1_000, null);
      double shares = classes.stream().mapToDouble(JobClass::share).sum();
      double meanS = classes.stream().mapToDouble(c -> c.share() * c.taskS().mean()).sum() / shares;
      startsPerS = running / meanS;
    } else {
      startsPerS = node.number("starts-per-s", 0.01, EmulationConstants.MAX_STARTS_PER_S, null);
    }
    List<CurvePoint> curve = new ArrayList<>();
    for (SettingsNode point : node.all("at")) {
      double atS = point.numberAt(0, 2, 0, EmulationConstants.MAX_RUN_S);
      if (!curve.isEmpty() && atS <= curve.get(curve.size() - 1).atS()) {
        throw point.wrong("must come later than the one before it");
      }
      curve.add(new CurvePoint(atS, point.numberAt(1, 2, 0, 1_000)));
    }
    if (curve.isEmpty()) {
      curve.add(new CurvePoint(0, 1));
    }
    node.refuseUnknown();
    return new Load(startsPerS, curve);
  }

  private List<Fault> faults(int controllers, List<String> zones) throws SettingsException {
    List<Fault> faults = new ArrayList<>();
    for (SettingsNode node : faultsRoot.all("fault")) {
      String[] words = Arrays.stream(FaultKind.values()).map(k -> k.word).toArray(String[]::new);
      String word = node.choice("kind", null, words);
      FaultKind kind =
          Arrays.stream(FaultKind.values()).filter(k -> k.word.equals(word)).findFirst().get();
      String target =
          switch (kind) {
            case KILL_CONTROLLER, PAUSE_CONTROLLER, STATE_REFUSE -> controller(node, controllers);
            case KILL_WORKERS -> Integer.toString(node.count("process", 0, 63, 0));
            case CUT_ZONE -> node.choice("zone", null, zones.toArray(String[]::new));
            case STATE_OUT, STATE_SLOW, CLOUD_OUT -> "";
          };
      faults.add(
          new Fault(
              kind,
              node.millis("at-s", 0, EmulationConstants.MAX_RUN_S, null),
              node.millis("every-s", 0, EmulationConstants.MAX_RUN_S, 0.0),
              target,
              node.millis("for-s", 0, 3_600, 2.0),
              kind == FaultKind.STATE_SLOW ? node.count("extra-ms", 1, 60_000, 200) : 0));
      node.refuseUnknown();
    }
    return faults;
  }

  private static String controller(SettingsNode node, int controllers) throws SettingsException {
    String word = node.word("controller", "leader");
    if (word.equals("leader") || word.equals("follower")) {
      return word;
    }
    return Integer.toString(node.count("controller", 0, controllers - 1, null));
  }
}
