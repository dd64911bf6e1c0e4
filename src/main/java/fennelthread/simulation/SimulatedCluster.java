package fennelthread.simulation;

import fennelthread.Controller;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.Host;
import fennelthread.net.Service;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Controllers and everything around them, in one seeded world. */
final class SimulatedCluster implements WorkerEmulator.Surroundings {
  static final String STATE = "10.2.0.1:2379";
  static final String CLOUD = "10.2.0.2:8443";

  /**
   * Makes controllers of the version in production, which is not part of this one: the tests set
   * it, since they take it from the repository's history.
   */
  static OldVersion oldVersion =
      (host, settings, limits) -> {
        throw new IllegalStateException("nobody knows the version in production here");
      };

  /**
   * Makes a controller of an older version; {@code limits} are those of the state service that it
   * knows.
   */
  @FunctionalInterface
  interface OldVersion {
    Node controller(Host host, Settings settings, Settings.State limits);
  }

  final SimulatedNetwork world;
  final InvariantChecker rules;
  final StateEmulator state;
  final CloudEmulator cloud;
  final Settings settings;
  final Map<String, SimulatedNetwork.Process> processes = new TreeMap<>();
  final Map<String, Node> controllers = new TreeMap<>();
  final Deployment deployment;
  private final Set<String> inProduction = new HashSet<>();
  final List<JobSpec> jobs = new ArrayList<>();
  private final SimulatedNetwork.Process users;
  private final Map<String, String> addresses = new LinkedHashMap<>();
  private int nextJob;

  private final List<Consumer<String>> onNews = new ArrayList<>();

  /** Called with each task that a command stops which has arrived at its machine. */
  final List<StopObserver> onStop = new ArrayList<>();

  /** Sees the commands that stop tasks as workers execute them. */
  @FunctionalInterface
  interface StopObserver {
    void stopOrdered(WorkerEmulator worker, JobSpec spec, int index);
  }

  final ReportCopies reportCopies;
  final JobCancellations cancellations;
  final CloseLooks closeLooks;
  final OddRequests oddRequests;

  /** A running controller, whatever its version. */
  interface Node {
    Service api();

    Service mesh();

    void start();

    boolean isLeading();

    static Node of(Controller controller) {
      return new Node() {
        @Override
        public Service api() {
          return controller.api();
        }

        @Override
        public Service mesh() {
          return controller.mesh();
        }

        @Override
        public void start() {
          controller.start();
        }

        @Override
        public boolean isLeading() {
          return controller.isLeading();
        }
      };
    }
  }

  SimulatedCluster(long seed) {
    this(seed, 60);
  }

  SimulatedCluster(long seed, double teamCap) {
    this(seed, Deployment.tiny().withTeamCap(teamCap));
  }

  /** A cluster whose state service will have lower limits, which its controllers know of. */
  static SimulatedCluster limited(long seed, Settings.State next, boolean production) {
    Deployment d = Deployment.tiny().withNext(next);
    return new SimulatedCluster(seed, production ? d.inProduction() : d);
  }

  /**
   * A cluster of so many small machines at the start, with ordinary limits at the state service.
   */
  static SimulatedCluster large(long seed, int machines) {
    return new SimulatedCluster(seed, Deployment.large(machines));
  }

  SimulatedCluster(long seed, Deployment deployment) {
    this.deployment = deployment;
    world = new SimulatedNetwork(seed);
    for (int i = 0; i < deployment.controllers(); i++) {
      addresses.put("nodo-" + i, "10.0.0." + (i + 1) + ":8080");
    }
    int small = deployment.small();
    Map<String, Settings.Team> teams = new TreeMap<>();
    teams.put("roja", new Settings.Team("roja", small * 4, deployment.teamCap(), 2, 4));
    teams.put("azul", new Settings.Team("azul", small * 8 / 3, deployment.teamCap(), 0, 2));
    settings = settingsOf("nodo-0", teams);
    rules = new InvariantChecker(world, settings);
    SimulatedNetwork.Process stateProcess = world.new Process("state");
    state = new StateEmulator(world, stateProcess, deployment.limits());
    stateProcess.listen(STATE, state);
    world.name(STATE, "state");
    SimulatedNetwork.Process cloudProcess = world.new Process("cloud");
    cloud = new CloudEmulator(world, this, w -> {}, deployment);
    cloudProcess.listen(CLOUD, cloud);
    world.name(CLOUD, "cloud");
    users = world.new Process("users");
    for (String member : addresses.keySet()) {
      world.name(addresses.get(member), member);
      world.name(meshOf(member), member);
      world.place(member, siteOf(member));
      if (deployment.production()) {
        inProduction.add(member);
      }
      start(member);
    }
    List<String> zones = deployment.zones();
    for (int i = 0; i < deployment.firstSmall(); i++) {
      cloud.rent("mesa", zones.get(i % zones.size()), false, 0);
    }
    for (int i = 0; i < deployment.firstBig(); i++) {
      cloud.rent("torre", zones.get(0), false, 0);
    }
    world.afterEach(rules::check);
    state.onWrite.add(this::checkFence);
    state.onWrite.add(this::checkFinished);
    rules.watch(cloud.types(), () -> cloud.machines().values());
    reportCopies = new ReportCopies(world, state, addresses.values());
    cancellations = new JobCancellations(this);
    closeLooks = new CloseLooks(this);
    oddRequests = new OddRequests(this);
  }

  private static String meshOf(String member) {
    return "10.0.0." + (indexOf(member) + 1) + ":8081";
  }

  private static int indexOf(String member) {
    return Integer.parseInt(member.substring(member.lastIndexOf('-') + 1));
  }

  /** The zone that a controller is in. */
  String siteOf(String member) {
    List<String> zones = deployment.zones();
    return zones.get(indexOf(member) % zones.size());
  }

  private Settings settingsOf(String member, Map<String, Settings.Team> teams) {
    List<Settings.Sibling> siblings = new ArrayList<>();
    for (String other : addresses.keySet()) {
      if (!other.equals(member)) {
        siblings.add(new Settings.Sibling(other, siteOf(other), meshOf(other)));
      }
    }
    return new Settings(
        member,
        siteOf(member),
        addresses.get(member),
        meshOf(member),
        siblings,
        CLOUD,
        STATE,
        deployment.zones(),
        teams,
        List.of(new Settings.Objective("wait", "servicio", 1, 0.9, 0)),
        new Settings.Workers(deployment.reportMs(), deployment.leaseMs(), deployment.cancelMs()),
        deployment.next(),
        new Settings.Cloud(5, 2_000),
        500);
  }

  void start(String member) {
    SimulatedNetwork.Process process = world.new Process(member);
    Settings own = settingsOf(member, settings.teams());
    Node controller =
        inProduction.contains(member)
            ? oldVersion.controller(process, own, deployment.limits())
            : Node.of(new Controller(process, own, Options.DEFAULTS));
    process.listen(addresses.get(member), controller.api());
    process.listen(meshOf(member), controller.mesh());
    processes.put(member, process);
    controllers.put(member, controller);
    controller.start();
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

  void crash(String member, long downMs) {
    processes.get(member).kill();
    SimulatedNetwork.Process dead = processes.get(member);
    world.after(
        downMs,
        () -> {
          if (processes.get(member) == dead) {
            start(member);
          }
        });
  }

  String leader() {
    for (Map.Entry<String, Node> e : controllers.entrySet()) {
      if (processes.get(e.getKey()).alive && e.getValue().isLeading()) {
        return e.getKey();
      }
    }
    return null;
  }

  /** Known to the stand-in alone: a round of an older epoch than the one claimed last. */
  private void checkFence(String key) {
    try {
      if (key.startsWith("live/round/")
          && Long.parseLong(key.substring("live/round/".length(), key.lastIndexOf('-')))
              < state.epoch()) {
        throw new AssertionError("t=" + world.now() + " written after a takeover: " + key);
      }
    } catch (WireException e) {
      throw new AssertionError(e);
    }
  }

  private final Map<String, BitSet> finishedTasks = new HashMap<>();

  /** Known to the stand-in alone: a record of finished tasks that has lost some. */
  private void checkFinished(String key) {
    if (!key.startsWith("live/finished/")) {
      return;
    }
    BitSet now = new BitSet();
    for (Fields value : state.values(key)) {
      if (value.map().get("r") instanceof List<?> ranges) {
        for (int i = 0; i + 1 < ranges.size(); i += 2) {
          now.set(((Number) ranges.get(i)).intValue(), ((Number) ranges.get(i + 1)).intValue() + 1);
        }
      }
    }
    BitSet lost = finishedTasks.getOrDefault(key, new BitSet());
    lost.andNot(now);
    if (!lost.isEmpty()) {
      throw new AssertionError("t=" + world.now() + " " + key + " has lost " + lost);
    }
    finishedTasks.put(key, now);
  }

  int withheld;

  /** The next round record that a controller sends arrives so much later. */
  void withholdRounds(String member, long byMs) {
    state.delay =
        (caller, body) -> {
          if (withheld == 0 && caller.equals(member) && body.contains("live/round/")) {
            withheld++;
            return byMs;
          }
          return 0;
        };
  }

  String leaderOtherThan(String member) {
    for (Map.Entry<String, Node> e : controllers.entrySet()) {
      if (!e.getKey().equals(member)
          && processes.get(e.getKey()).alive
          && e.getValue().isLeading()) {
        return e.getKey();
      }
    }
    return null;
  }

  // ---------------------------------------------------------------- users

  JobSpec job(
      boolean service, int tasks, double cpus, boolean spot, boolean onePlace, boolean apart) {
    boolean red = world.random.nextBoolean();
    return new JobSpec(
        String.format("job-%06d", ++nextJob),
        service ? "servicio" : "lote",
        red ? "roja" : "azul",
        service,
        service
            ? Priority.CRITICAL
            : world.random.nextBoolean() ? Priority.URGENT : Priority.STANDARD,
        tasks,
        cpus,
        0,
        2,
        "img-" + world.random.nextInt(4),
        1,
        world.random.nextInt(8) == 0 ? List.of("torre") : null,
        world.random.nextInt(8) == 0 && !apart ? "sur" : null,
        onePlace,
        apart,
        spot,
        service ? 0 : 1 + world.random.nextInt(12),
        0,
        0,
        service ? JobSpec.NO_DEADLINE : 60);
  }

  /** A job that may run on any machine, or on any ordinary one if it is a service. */
  JobSpec plain(boolean service, int tasks) {
    JobSpec any = job(service, tasks, 1, !service, false, false);
    return new JobSpec(
        any.id(),
        any.jobClass(),
        any.team(),
        service,
        any.priority(),
        tasks,
        1,
        0,
        2,
        any.image(),
        1,
        null,
        null,
        false,
        false,
        !service,
        any.estimateS(),
        0,
        0,
        any.deadlineS());
  }

  /** True if all replicas of these services are on machines. */
  boolean allRun(List<JobSpec> services) {
    return services.stream().allMatch(job -> rules.running(job.id()) == job.tasks());
  }

  /** A controller loses the state service and the other controllers, not its workers or users. */
  void leaveAlone(String member, long forMs) {
    world.cut(member, "state", forMs);
    addresses.keySet().stream()
        .filter(m -> !m.equals(member))
        .forEach(m -> world.cut(member, m, forMs));
  }

  /** No controller reaches another for so long. */
  void refuseMesh(long forMs) {
    List<String> members = List.copyOf(addresses.keySet());
    for (int i = 0; i < members.size(); i++) {
      for (int j = i + 1; j < members.size(); j++) {
        world.cut(members.get(i), members.get(j), forMs);
      }
    }
  }

  JobSpec randomJob() {
    boolean service = world.random.nextInt(4) == 0;
    boolean apart = world.random.nextInt(5) == 0;
    return job(
        service,
        service ? 1 + world.random.nextInt(3) : 1 + world.random.nextInt(14),
        1 + world.random.nextInt(4),
        world.random.nextBoolean(),
        !apart && world.random.nextInt(4) == 0,
        apart);
  }

  void submit(JobSpec spec) {
    rules.submits(spec);
    jobs.add(spec);
    submit(spec, 40);
  }

  /** The same by a user who never asks about it. */
  void submitOnly(JobSpec spec) {
    rules.submits(spec);
    jobs.add(spec);
    ask("POST", "/v1/jobs", Codec.CBOR.encode(spec.write()), spec.id(), 5_000, good -> {});
  }

  private void submit(JobSpec spec, int tries) {
    ask(
        "POST",
        "/v1/jobs",
        Codec.CBOR.encode(spec.write()),
        spec.id(),
        5_000,
        good -> {
          if (good) {
            poll(spec.id());
          } else if (tries > 0) {
            world.after(1_000, () -> submit(spec, tries - 1));
          }
        });
  }

  private void poll(String id) {
    // Of one that is over users ask again now and then, for ever.
    world.after(
        rules.isOver(id)
            ? 5_000 + world.random.nextInt(20_000)
            : 2_000 + world.random.nextInt(3_000),
        () -> {
          rules.asks(id);
          question(id);
        });
  }

  private void question(String id) {
    ask(
        "GET",
        "/v1/jobs/" + id,
        null,
        id,
        2_000,
        good -> {
          if (good) {
            poll(id);
          } else {
            world.after(1_000, () -> question(id));
          }
        });
  }

  private JobSpec stage(List<String> needs) {
    return job(false, 1 + world.random.nextInt(5), 1, true, false, false).withNeeds(needs);
  }

  /**
   * Users' pipelines: a first job, which may need an earlier one of anybody, two that need it, and
   * a last one that needs both, submitted at once or only when they are over. Each is submitted as
   * soon as those that it needs are accepted; now and then some job of it is cancelled.
   */
  void pipelines(long untilMs) {
    world.after(
        1_000 + world.random.nextInt(5_000),
        () -> {
          if (world.now() > untilMs) {
            return;
          }
          pipeline();
          pipelines(untilMs);
        });
  }

  private void pipeline() {
    List<String> earlier = new ArrayList<>();
    for (JobSpec job : jobs) {
      if (!job.service() && rules.isAccepted(job.id())) {
        earlier.add(job.id());
      }
    }
    JobSpec first =
        stage(
            earlier.isEmpty() || world.random.nextInt(3) > 0
                ? List.of()
                : List.of(earlier.get(world.random.nextInt(earlier.size()))));
    List<JobSpec> middle = List.of(stage(List.of(first.id())), stage(List.of(first.id())));
    List<String> ids = middle.stream().map(JobSpec::id).toList();
    JobSpec last = stage(ids);
    boolean late = world.random.nextInt(4) == 0;
    submit(first);
    when(
        () -> rules.isAccepted(first.id()),
        () -> {
          middle.forEach(this::submit);
          when(
              () -> ids.stream().allMatch(late ? rules::isOver : rules::isAccepted),
              () -> submit(last));
        });
    if (world.random.nextInt(3) == 0) {
      List<JobSpec> all = List.of(first, middle.get(0), middle.get(1), last);
      String unlucky = all.get(world.random.nextInt(4)).id();
      world.after(
          world.random.nextInt(30_000),
          () -> {
            if (rules.isAccepted(unlucky)) {
              withdraw(unlucky);
            }
          });
    }
  }

  /** Does something as soon as something else holds; looked at every 200 ms, for ten minutes. */
  private void when(BooleanSupplier holds, Runnable task) {
    when(holds, task, 3_000);
  }

  private void when(BooleanSupplier holds, Runnable task, int tries) {
    if (holds.getAsBoolean()) {
      task.run();
    } else if (tries > 0) {
      world.after(200, () -> when(holds, task, tries - 1));
    }
  }

  void withdraw(String id) {
    rules.asksToCancel(id);
    ask(
        "POST",
        "/v1/jobs/" + id + "/withdraw",
        new byte[0],
        id,
        5_000,
        good -> {
          if (!good) {
            world.after(1_000, () -> withdraw(id));
          }
        });
  }

  /** A user asks one controller to cancel a job, as often as it takes or its user has patience. */
  void withdrawThrough(String member, String id, int tries) {
    rules.asksToCancel(id);
    ask(
        addresses.get(member),
        "POST",
        "/v1/jobs/" + id + "/withdraw",
        new byte[0],
        id,
        5_000,
        good -> {
          if (!good && tries > 1) {
            world.after(1_000, () -> withdrawThrough(member, id, tries - 1));
          }
        });
  }

  /** A user asks one controller about a job, once. */
  void askThrough(String member, String id) {
    ask(addresses.get(member), "GET", "/v1/jobs/" + id, null, id, 2_000, good -> {});
  }

  /** A user asks one controller about a job, once. */
  void askAt(String member, String id) {
    askAt(member, id, answer -> {});
  }

  /** The same; {@code then} gets the answer, or null if there was none. */
  void askAt(String member, String id, Consumer<Answer> then) {
    InvariantChecker.Known before = rules.known(id);
    ask(addresses.get(member), Call.get("/v1/jobs/" + id), id, 2_000, before, then);
  }

  /** A user submits a body to one controller, once; {@code then} gets the answer, or null. */
  void submitAt(String member, String id, Fields body, Consumer<Answer> then) {
    Call call = Call.post("/v1/jobs", Codec.CBOR, body);
    ask(addresses.get(member), call, id, 5_000, rules.known(id), then);
  }

  /** A user asks one controller to cancel a job that is known to be done, once. */
  void cancelAt(String member, String id) {
    Call call = new Call("POST", "/v1/jobs/" + id + "/withdraw", new byte[0], Codec.CBOR);
    ask(addresses.get(member), call, id, 5_000, rules.known(id), answer -> {});
  }

  private void ask(
      String to,
      Call call,
      String id,
      long timeoutMs,
      InvariantChecker.Known before,
      Consumer<Answer> then) {
    users.call(
        to,
        call,
        timeoutMs,
        answer -> {
          note(id, answer, before);
          then.accept(answer);
        });
  }

  /** Calls a listener with a job's id when a user is first told that it is accepted or over. */
  void onNews(Consumer<String> listener) {
    onNews.add(listener);
  }

  /** A job with an id of its own that is not counted as submitted; it draws from the faults. */
  JobSpec nextOddJob() {
    boolean red = world.faults.nextBoolean();
    return new JobSpec(
        String.format("job-%06d", ++nextJob),
        "lote",
        red ? "roja" : "azul",
        false,
        Priority.STANDARD,
        1,
        1,
        0,
        2,
        "img-0",
        1,
        null,
        null,
        false,
        false,
        true,
        5,
        0,
        0,
        60);
  }

  void askUnknown() {
    String id = "job-9" + world.random.nextInt(100_000);
    ask("GET", "/v1/jobs/" + id, null, id, 2_000, good -> {});
  }

  private void ask(
      String method, String path, byte[] body, String id, long timeoutMs, Consumer<Boolean> done) {
    List<String> all = List.copyOf(addresses.values());
    ask(all.get(world.random.nextInt(all.size())), method, path, body, id, timeoutMs, done);
  }

  private void ask(
      String to,
      String method,
      String path,
      byte[] body,
      String id,
      long timeoutMs,
      Consumer<Boolean> done) {
    InvariantChecker.Known before = rules.known(id);
    users.call(
        to,
        new Call(method, path, body, Codec.CBOR),
        timeoutMs,
        answer -> done.accept(note(id, answer, before)));
  }

  private boolean note(String id, Answer answer, InvariantChecker.Known before) {
    if (answer == null) {
      return false;
    }
    if (answer.status() != 200 && answer.status() != 201) {
      rules.refused(id, answer.status(), before);
      return false;
    }
    try {
      Fields body = answer.fields();
      InvariantChecker.Known then = rules.known(id);
      rules.told(id, body.text("estado"), body.count("done", -1), before);
      if (rules.known(id).isNewsAfter(then)) {
        onNews.forEach(listener -> listener.accept(id));
      }
    } catch (WireException e) {
      throw new AssertionError(e);
    }
    return true;
  }

  // ---------------------------------------------------------------- troubles

  /**
   * Copies of that share of the reports are kept; when a controller has claimed the leadership,
   * each is handed to every controller {@code afterClaimMs} later.
   */
  void keepReportsForNextLeader(double share, long forMs, long afterClaimMs) {
    reportCopies.keep(share, forMs, afterClaimMs);
  }

  /** The machine reaches no controller; direct commands reach it. */
  void mute(WorkerEmulator worker, long forMs) {
    world.muteRequests(worker.name(), "nodo", forMs);
  }

  /**
   * That share of the direct commands is held 2 to 16 s, unanswered, and carried out once if token
   * and session still match.
   */
  void holdCommands(double share, long forMs) {
    world.requestFaults.holdCommands(share, forMs);
  }

  /** Cancels that many running jobs at once, see {@link JobCancellations#cancelNow}. */
  List<String> cancelNow(int count, long hangMs) {
    return cancellations.cancelNow(count, hangMs);
  }

  /** Cancels that share of the jobs as they end, see {@link JobCancellations#cancelAtEnd}. */
  void cancelAtEnd(double share, long forMs) {
    cancellations.cancelAtEnd(share, forMs);
  }

  /** Users look closely at whatever they are told, see {@link CloseLooks}. */
  void closeLooks(long forMs) {
    closeLooks.begin(forMs);
  }

  /** Users send odd requests, see {@link OddRequests}. */
  void oddRequests(long forMs) {
    oddRequests.begin(forMs);
  }

  /** A zone with its workers and controllers is cut off from all else. */
  void cutZoneWithControllers(String zone, long forMs) {
    if (addresses.keySet().stream().noneMatch(member -> siteOf(member).equals(zone))) {
      throw new IllegalArgumentException("no controller is in zone " + zone);
    }
    world.cutZone(zone, forMs);
  }

  /** Users and troubles at random until {@code untilMs}. */
  void storm(long untilMs) {
    world.after(
        500 + world.random.nextInt(3_000),
        () -> {
          if (world.now() > untilMs) {
            return;
          }
          submit(randomJob());
          if (!jobs.isEmpty() && world.random.nextInt(5) == 0) {
            withdraw(jobs.get(world.random.nextInt(jobs.size())).id());
          }
          askUnknown();
          if (world.random.nextInt(4) == 0) {
            trouble();
          }
          storm(untilMs);
        });
  }

  private void trouble() {
    String member = "nodo-" + world.random.nextInt(addresses.size());
    String leads = leader();
    String busiest = leads == null ? member : leads;
    List<WorkerEmulator> all = List.copyOf(cloud.machines().values());
    WorkerEmulator worker = all.isEmpty() ? null : all.get(world.random.nextInt(all.size()));
    long span = 1_000 + world.random.nextInt(20_000);
    switch (world.random.nextInt(14)) {
      case 0 -> crash(member, 3_000);
      case 1 -> crash(busiest, 5_000);
      case 2 -> List.copyOf(addresses.keySet()).forEach(m -> crash(m, span / 2));
      case 3 -> state.outage(span);
      case 4 -> state.refuse(busiest, span);
      case 5 -> cloud.outage(span);
      case 6 -> processes.get(busiest).pause(span);
      case 7 -> world.cut(busiest, "state", span);
      case 8 -> world.cut(busiest, "n-", span);
      case 9 -> world.cut(member, busiest, span);
      case 10 -> {
        if (worker != null) {
          world.cut(worker.name(), "nodo", span);
        }
      }
      case 11 -> {
        if (worker != null) {
          worker.hang(span);
        }
      }
      case 12 -> {
        if (worker != null) {
          cloud.end(worker, true);
        }
      }
      default -> {
        if (worker != null && worker.spot()) {
          worker.notice(4_000);
          world.after(4_000, () -> cloud.end(worker, false));
        } else if (worker != null) {
          worker.sicken(span);
        }
      }
    }
  }

  // ---------------------------------------------------------------- surroundings

  @Override
  public Map<String, String> controllers() {
    return addresses;
  }

  @Override
  public JobSpec job(String id) {
    return rules.job(id);
  }

  @Override
  public void begins(WorkerEmulator worker, JobSpec spec, int index) {
    rules.begins(worker, spec, index);
  }

  @Override
  public void stopOrdered(WorkerEmulator worker, JobSpec spec, int index) {
    onStop.forEach(o -> o.stopOrdered(worker, spec, index));
  }

  @Override
  public void ends(WorkerEmulator worker, JobSpec spec, int index, boolean completed) {
    rules.ends(worker, spec, index, completed);
  }

  @Override
  public void willComplete(WorkerEmulator worker, JobSpec spec, int index, long atMs) {
    cancellations.expect(spec, index, atMs);
  }

  @Override
  public long reportMs() {
    return settings.workers().reportMs();
  }

  @Override
  public long leaseMs() {
    return settings.workers().leaseMs();
  }
}
