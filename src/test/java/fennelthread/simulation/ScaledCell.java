package fennelthread.simulation;

import fennelthread.Controller;
import fennelthread.capacity.Quantity;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * A cell of three real controllers on an emulated state service, cloud and workers, in which all
 * that controllers send, store and compute is counted. Nothing fails here, and rules aren't
 * checked: other tests do.
 */
final class ScaledCell implements WorkerEmulator.Environment {
  static final String STATE = "10.2.0.1:2379";
  static final String CLOUD = "10.2.0.2:8443";
  static final String FULL_TEAM = "llena";
  private static final int CONTROLLERS = 3;
  private static final long LEASE_MS = 22_000;
  private static final long CANCEL_MS = 47_000;
  private static final double NO_LIMIT = 1e9;

  /** What a cell consists of. */
  record Shape(int workers, int teams, long reportMs, Settings.StateLimits limits) {
    static Shape of(int workers) {
      return new Shape(workers, 2, 4_000, new Settings.StateLimits(20_000, 20_000, 16 * 1024, 12));
    }

    Shape withTeams(int number) {
      return new Shape(workers, number, reportMs, limits);
    }

    Shape withReport(long ms) {
      return new Shape(workers, teams, ms, limits);
    }

    Shape withLimits(Settings.StateLimits other) {
      return new Shape(workers, teams, reportMs, other);
    }
  }

  final SimulatedNetwork world;
  final StateEmulator state;
  final CloudEmulator cloud;
  final Map<String, Meter> meters = new LinkedHashMap<>();
  final Map<String, Controller> controllers = new LinkedHashMap<>();
  final Map<String, SimulatedProcess> processes = new HashMap<>();
  final List<Fields> startRecords = new ArrayList<>();
  private final Shape shape;
  private final Map<String, String> addresses = new LinkedHashMap<>();
  private final Map<String, JobSpec> jobs = new HashMap<>();
  private final SimulatedProcess users;
  private int nextJob;
  private int nextUser;

  /** Tasks that began on machines, and answers to users by status. */
  int starts;

  int ends;

  final Map<Integer, Integer> answers = new TreeMap<>();

  ScaledCell(Shape shape, long seed) {
    this.shape = shape;
    world = new SimulatedNetwork(seed);
    world.loss = 0;
    world.late = 0;
    SimulatedProcess stateProcess = new SimulatedProcess(world, "state");
    state = new StateEmulator(world, stateProcess, shape.limits);
    stateProcess.listen(STATE, state);
    world.name(STATE, "state");
    Deployment deployment =
        Deployment.large(shape.workers).withLease(shape.reportMs, LEASE_MS, CANCEL_MS);
    SimulatedProcess cloudProcess = new SimulatedProcess(world, "cloud");
    cloud = new CloudEmulator(world, this, w -> {}, deployment);
    cloudProcess.listen(CLOUD, cloud);
    world.name(CLOUD, "cloud");
    users = new SimulatedProcess(world, "users");
    for (int i = 0; i < CONTROLLERS; i++) {
      addresses.put("nodo-" + i, "10.0.0." + (i + 1) + ":8080");
    }
    for (String member : addresses.keySet()) {
      world.name(addresses.get(member), member);
      world.name(meshOf(member), member);
      start(member, deployment);
    }
    List<String> zones = deployment.zones();
    for (int i = 0; i < shape.workers; i++) {
      cloud.rent("mesa", zones.get(i % zones.size()), false, i * 4_000L / shape.workers);
    }
  }

  private String meshOf(String member) {
    return addresses.get(member).replace(":8080", ":8081");
  }

  private void start(String member, Deployment deployment) {
    SimulatedProcess process = new SimulatedProcess(world, member);
    Meter meter = new Meter();
    Controller controller =
        new Controller(
            meter.counted(process),
            settingsOf(member, deployment),
            new Options(0, Options.DEFAULTS.roundGapMs(), shape.workers, 2, 900_000));
    process.listen(addresses.get(member), meter.counted(controller.api()));
    process.listen(meshOf(member), meter.counted(controller.peerService()));
    meters.put(member, meter);
    controllers.put(member, controller);
    processes.put(member, process);
    controller.start();
  }

  private Settings settingsOf(String member, Deployment deployment) {
    List<Settings.Peer> peers = new ArrayList<>();
    for (String other : addresses.keySet()) {
      if (!other.equals(member)) {
        peers.add(new Settings.Peer(other, deployment.zones().get(0), meshOf(other)));
      }
    }
    Map<String, Settings.Team> teams = new TreeMap<>();
    for (int i = 0; i < shape.teams; i++) {
      teams.put(team(i), new Settings.Team(team(i), 1, NO_LIMIT, 0, 0));
    }
    teams.put(FULL_TEAM, new Settings.Team(FULL_TEAM, 0, 1, 0, 0));
    return new Settings(
        member,
        deployment.zones().get(0),
        addresses.get(member),
        meshOf(member),
        peers,
        CLOUD,
        STATE,
        deployment.zones(),
        teams,
        List.of(),
        new Settings.WorkerTiming(shape.reportMs, LEASE_MS, CANCEL_MS),
        shape.limits,
        new Settings.CloudLimits(6, 12_000),
        20_000);
  }

  private static String team(int index) {
    return "equipo-" + index;
  }

  // ---------------------------------------------------------------- users

  /** An array of a team, the teams in turn; each task takes a fortieth of a machine. */
  JobSpec array(int tasks, double estimateS) {
    return spec(team(nextJob % shape.teams), tasks, 0.1, estimateS);
  }

  /** A job of one task that waits as long as another one of its team runs. */
  JobSpec waiting() {
    return spec(FULL_TEAM, 1, 1, 100_000);
  }

  private JobSpec spec(String team, int tasks, double cpus, double estimateS) {
    JobSpec spec =
        JobSpec.builder(String.format("job-%06d", ++nextJob))
            .jobClass("lote")
            .team(team)
            .tasks(tasks)
            .cpus(cpus)
            .memGb(0.2)
            .image("img-1")
            .imageGb(1)
            .spotAllowed(true)
            .estimateS(estimateS)
            .build();
    jobs.put(spec.id(), spec);
    return spec;
  }

  void submit(JobSpec spec) {
    ask("POST", "/v1/jobs", Codec.CBOR.encode(spec.write()), a -> {});
  }

  void question(String id) {
    ask("GET", "/v1/jobs/" + id, null, a -> {});
  }

  void cancel(String id) {
    ask("POST", "/v1/jobs/" + id + "/withdraw", new byte[0], a -> {});
  }

  private void ask(String method, String path, byte[] body, Consumer<Answer> then) {
    // The load balancer passes over controllers that don't answer.
    List<String> all =
        addresses.keySet().stream()
            .filter(member -> processes.get(member).isAlive)
            .map(addresses::get)
            .toList();
    users.call(
        all.get(nextUser++ % all.size()),
        new Call(method, path, body, Codec.CBOR),
        5_000,
        answer -> {
          answers.merge(answer == null ? 0 : answer.status(), 1, Integer::sum);
          then.accept(answer);
        });
  }

  /** Does something so many times a second, evenly, for so long from now on. */
  void repeat(double perSecond, long forMs, Runnable task) {
    for (int i = 0; i < perSecond * forMs / 1000; i++) {
      world.after((long) (i * 1000 / perSecond), task);
    }
  }

  // ---------------------------------------------------------------- measuring

  void run(long ms) {
    world.runUntil(world.now() + ms);
  }

  String leader() {
    return controllers.entrySet().stream()
        .filter(e -> processes.get(e.getKey()).isAlive && e.getValue().isLeading())
        .map(Map.Entry::getKey)
        .findFirst()
        .orElse(null);
  }

  void collectStartRecords() {
    state.onWrite.add(
        key -> {
          if (key.startsWith("live/round/")) {
            startRecords.addAll(state.valuesUnder(key));
          }
        });
  }

  /** Runs for so long and gives what each role did a second, and holds at the end. */
  Map<String, Map<Quantity, Double>> sample(long ms) {
    meters.values().forEach(Meter::reset);
    long changesBefore = state.changes;
    run(ms);
    double seconds = ms / 1000.0;
    Map<String, Map<Quantity, Double>> sample = new TreeMap<>();
    String leader = leader();
    ObjectGraph graph = new ObjectGraph();
    for (Map.Entry<String, Controller> e : controllers.entrySet()) {
      if (!processes.get(e.getKey()).isAlive) {
        continue;
      }
      Meter m = meters.get(e.getKey());
      boolean leads = e.getKey().equals(leader);
      Map<Quantity, Double> of =
          sample.computeIfAbsent(leads ? "leader" : "follower", k -> new TreeMap<>());
      double share = leads ? 1 : 1.0 / (CONTROLLERS - 1);
      if (ObjectGraph.isOpen()) {
        of.merge(Quantity.HEAP, share * graph.bytes(e.getValue()), Double::sum);
      }
      of.merge(Quantity.MESSAGES, share * m.messages() / seconds, Double::sum);
      of.merge(Quantity.TRAFFIC, share * m.bytes() / seconds, Double::sum);
      of.merge(Quantity.CPU_TIME, share * m.processorMs() / seconds, Double::sum);
    }
    shared(sample, "state", Meter.Partner.STATE, seconds, 1);
    sample.get("state").put(Quantity.STORED, storedBytes());
    sample.get("state").put(Quantity.STATE_REQUESTS, sum(Meter.Partner.STATE, false) / seconds);
    sample.get("state").put(Quantity.STATE_CHANGES, (state.changes - changesBefore) / seconds);
    shared(sample, "cloud", Meter.Partner.CLOUD, seconds, 1);
    shared(sample, "front", Meter.Partner.USER, seconds, 1);
    shared(sample, "worker", Meter.Partner.WORKER, seconds, shape.workers);
    return sample;
  }

  private void shared(
      Map<String, Map<Quantity, Double>> sample,
      String role,
      Meter.Partner partner,
      double seconds,
      int among) {
    Map<Quantity, Double> of = sample.computeIfAbsent(role, k -> new TreeMap<>());
    of.put(Quantity.MESSAGES, sum(partner, false) / seconds / among);
    of.put(Quantity.TRAFFIC, sum(partner, true) / seconds / among);
  }

  private double sum(Meter.Partner partner, boolean bytes) {
    double sum = 0;
    for (Meter m : meters.values()) {
      Meter.Exchange e = m.exchanges.get(partner);
      sum += e == null ? 0 : bytes ? e.bytes : e.messages;
    }
    return sum;
  }

  private double storedBytes() {
    return state.valuesUnder("").stream().mapToDouble(v -> Codec.JSON.encode(v).length).sum();
  }

  // ---------------------------------------------------------------- surroundings

  @Override
  public Map<String, String> controllers() {
    return addresses;
  }

  @Override
  public JobSpec job(String id) {
    return jobs.get(id);
  }

  @Override
  public void onTaskStart(WorkerEmulator worker, JobSpec spec, int index) {
    starts++;
  }

  @Override
  public void onTaskEnd(WorkerEmulator worker, JobSpec spec, int index, boolean completed) {
    ends += completed ? 1 : 0;
  }

  @Override
  public long reportMs() {
    return shape.reportMs;
  }

  @Override
  public long leaseMs() {
    return LEASE_MS;
  }
}
