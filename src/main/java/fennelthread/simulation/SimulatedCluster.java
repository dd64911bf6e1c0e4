package fennelthread.simulation;

import fennelthread.Controller;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.net.Service;
import fennelthread.settings.Settings;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Controllers and everything around them, in one seeded world. */
final class SimulatedCluster implements WorkerEmulator.Environment {
  static final String STATE = "10.2.0.1:2379";
  static final String CLOUD = "10.2.0.2:8443";

  /**
   * Makes controllers of the version in production, which is not part of this one: the tests set
   * it, since they take it from the repository's history.
   */
  static ProductionControllerFactory productionControllerFactory =
      (eventLoop, settings, limits) -> {
        throw new IllegalStateException("nobody knows the version in production here");
      };

  /**
   * Makes a controller of an older version; {@code limits} are those of the state service that it
   * knows.
   */
  @FunctionalInterface
  interface ProductionControllerFactory {
    ControllerHandle create(EventLoop eventLoop, Settings settings, Settings.StateLimits limits);
  }

  final SimulatedNetwork world;
  final InvariantChecker checker;
  final StateEmulator state;
  final CloudEmulator cloud;
  final Settings settings;
  final Deployment deployment;
  final SimulatedControllers members;
  final SimulatedUsers users;
  final Map<String, SimulatedProcess> processes;
  final Map<String, ControllerHandle> controllers;
  final List<JobSpec> jobs;
  final ReportCopies reportCopies;
  final JobCancellations cancellations;
  final RepeatedQueries repeatedQueries;
  final OddRequests oddRequests;
  private final RandomJobs randomJobs;

  /** Called with each task that a command stops which has arrived at its machine. */
  final List<StopObserver> stopObservers = new ArrayList<>();

  /** Sees the commands that stop tasks as workers execute them. */
  @FunctionalInterface
  interface StopObserver {
    void onStopCommand(WorkerEmulator worker, JobSpec spec, int index);
  }

  /** A running controller, whatever its version. */
  interface ControllerHandle {
    Service api();

    Service peerService();

    void start();

    boolean isLeading();

    static ControllerHandle of(Controller controller) {
      return new ControllerHandle() {
        @Override
        public Service api() {
          return controller.api();
        }

        @Override
        public Service peerService() {
          return controller.peerService();
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
  static SimulatedCluster limited(long seed, Settings.StateLimits next, boolean production) {
    Deployment d = Deployment.tiny().withAnnouncedLimits(next);
    return new SimulatedCluster(seed, production ? d.withProductionVersion() : d);
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
    members = new SimulatedControllers(world, deployment);
    processes = members.processes;
    controllers = members.running;
    settings = members.settings;
    checker = new InvariantChecker(world, settings);
    // The version in production takes counts from its own copy of the state, which may be behind.
    checker.countsMustNotFall = members::areAllNew;
    randomJobs = new RandomJobs(world);
    SimulatedProcess stateProcess = new SimulatedProcess(world, "state");
    state = new StateEmulator(world, stateProcess, deployment.limits());
    stateProcess.listen(STATE, state);
    world.name(STATE, "state");
    SimulatedProcess cloudProcess = new SimulatedProcess(world, "cloud");
    cloud = new CloudEmulator(world, this, w -> {}, deployment);
    cloudProcess.listen(CLOUD, cloud);
    world.name(CLOUD, "cloud");
    users =
        new SimulatedUsers(world, checker, new SimulatedProcess(world, "users"), members.addresses);
    jobs = users.jobs;
    members.startAll();
    rentFirstMachines();
    world.afterEach(checker::check);
    new StateInvariants(world, state);
    checker.watch(cloud.types(), () -> cloud.machines().values());
    reportCopies = new ReportCopies(world, state, members.addresses.values());
    cancellations = new JobCancellations(this);
    repeatedQueries = new RepeatedQueries(this);
    oddRequests = new OddRequests(this);
  }

  private void rentFirstMachines() {
    List<String> zones = deployment.zones();
    for (int i = 0; i < deployment.firstSmall(); i++) {
      cloud.rent("mesa", zones.get(i % zones.size()), false, 0);
    }
    for (int i = 0; i < deployment.firstBig(); i++) {
      cloud.rent("torre", zones.get(0), false, 0);
    }
  }

  // ---------------------------------------------------------------- controllers

  /** The zone that a controller is in. */
  String zoneOf(String member) {
    return members.zoneOf(member);
  }

  /** Ends a controller of the old version; the next one is of the new. */
  void upgrade(String member, long downMs) {
    members.upgrade(member, downMs);
  }

  /** Ends a controller; the next one is of the version in production. */
  void downgrade(String member, long downMs) {
    members.downgrade(member, downMs);
  }

  /** Ends a controller; another process of the same member begins after so long. */
  void crash(String member, long downMs) {
    members.crash(member, downMs);
  }

  /** The member that leads, by its own account, or null. */
  String leader() {
    return members.leader();
  }

  /** The same, passing over one member. */
  String leaderOtherThan(String member) {
    return members.leaderOtherThan(member);
  }

  // ---------------------------------------------------------------- users

  /** A job of a random team, see {@link RandomJobs#job}. */
  JobSpec job(
      boolean service, int tasks, double cpus, boolean spot, boolean onePlace, boolean apart) {
    return randomJobs.job(service, tasks, cpus, spot, onePlace, apart);
  }

  /** A job that may run on any machine, or on any ordinary one if it is a service. */
  JobSpec plainJob(boolean service, int tasks) {
    return randomJobs.plainJob(service, tasks);
  }

  /** A random array or service. */
  JobSpec randomJob() {
    return randomJobs.any();
  }

  /** A job that is not counted as submitted, see {@link RandomJobs#odd}. */
  JobSpec nextOddJob() {
    return randomJobs.odd();
  }

  /** True if all replicas of these services are on machines. */
  boolean allRun(List<JobSpec> services) {
    return services.stream().allMatch(job -> checker.running(job.id()) == job.tasks());
  }

  /** A user submits a job until it is accepted, and asks about it for ever. */
  void submit(JobSpec spec) {
    users.submit(spec);
  }

  /** The same by a user who never asks about it. */
  void submitOnce(JobSpec spec) {
    users.submitOnce(spec);
  }

  /** A user asks some controller to cancel a job until it is answered. */
  void cancel(String id) {
    users.cancel(id);
  }

  /** A user asks one controller to cancel a job, as often as it takes or its user has patience. */
  void cancelThrough(String member, String id, int tries) {
    users.cancelThrough(member, id, tries);
  }

  /** A user asks one controller about a job, once. */
  void askThrough(String member, String id) {
    users.askAt(member, id, answer -> {});
  }

  /** The same. */
  void askAt(String member, String id) {
    users.askAt(member, id, answer -> {});
  }

  /** The same; {@code then} gets the answer, or null if there was none. */
  void askAt(String member, String id, Consumer<Answer> then) {
    users.askAt(member, id, then);
  }

  /** A user submits a body to one controller, once; {@code then} gets the answer, or null. */
  void submitAt(String member, String id, Fields body, Consumer<Answer> then) {
    users.submitAt(member, id, body, then);
  }

  /** A user asks one controller to cancel a job that is known to be done, once. */
  void cancelAt(String member, String id) {
    cancelAt(member, id, answer -> {});
  }

  /** A user asks one controller to cancel a job, once; {@code then} gets the answer, or null. */
  void cancelAt(String member, String id, Consumer<Answer> then) {
    users.cancelAt(member, id, then);
  }

  /** Calls a listener with a job's id when a user is first told that it is accepted or over. */
  void onNewStatus(Consumer<String> listener) {
    users.onNewStatus(listener);
  }

  /** Users' pipelines until then, see {@link JobPipelines#submitUntil}. */
  void pipelines(long untilMs) {
    new JobPipelines(world, users, randomJobs, checker).submitUntil(untilMs);
  }

  // ---------------------------------------------------------------- troubles

  /** Users and troubles at random until {@code untilMs}. */
  void addRandomUsersAndFaults(long untilMs) {
    new RandomFaults(this, users, randomJobs).until(untilMs);
  }

  int delayedRoundRecords;

  /** The next round record that a controller sends arrives so much later. */
  void delayNextRoundRecord(String member, long byMs) {
    state.transactionDelayMs =
        (caller, body) -> {
          if (delayedRoundRecords == 0 && caller.equals(member) && body.contains("live/round/")) {
            delayedRoundRecords++;
            return byMs;
          }
          return 0;
        };
  }

  /** A controller loses the state service and the other controllers, not its workers or users. */
  void isolateFromPeersAndState(String member, long forMs) {
    members.isolateFromPeersAndState(member, forMs);
  }

  /** No controller reaches another for so long. */
  void cutPeerLinks(long forMs) {
    members.cutPeerLinks(forMs);
  }

  /**
   * Copies of that share of the reports are kept; when a controller has claimed the leadership,
   * each is handed to every controller {@code afterClaimMs} later.
   */
  void replayReportsToNextLeader(double share, long forMs, long afterClaimMs) {
    reportCopies.keep(share, forMs, afterClaimMs);
  }

  /** The machine reaches no controller; direct commands reach it. */
  void blockRequests(WorkerEmulator worker, long forMs) {
    world.blockRequests(worker.name(), "nodo", forMs);
  }

  /**
   * That share of the direct commands is held 2 to 16 s, unanswered, and carried out once if token
   * and session still match.
   */
  void holdCommands(double share, long forMs) {
    world.requestFaults.holdCommands(share, forMs);
  }

  /** Cancels that many running jobs at once, see {@link JobCancellations#cancelRunningJobs}. */
  List<String> cancelRunningJobs(int count, long hangMs) {
    return cancellations.cancelRunningJobs(count, hangMs);
  }

  /**
   * Cancels that share of the jobs as they end, see {@link JobCancellations#cancelAtCompletion}.
   */
  void cancelAtCompletion(double share, long forMs) {
    cancellations.cancelAtCompletion(share, forMs);
  }

  /** Users look closely at whatever they are told, see {@link RepeatedQueries}. */
  void repeatedQueries(long forMs) {
    repeatedQueries.begin(forMs);
  }

  /** Users send odd requests, see {@link OddRequests}. */
  void oddRequests(long forMs) {
    oddRequests.begin(forMs);
  }

  /** A zone with its workers and controllers is cut off from all else. */
  void cutZoneWithControllers(String zone, long forMs) {
    if (members.addresses.keySet().stream().noneMatch(member -> zoneOf(member).equals(zone))) {
      throw new IllegalArgumentException("no controller is in zone " + zone);
    }
    world.cutZone(zone, forMs);
  }

  // ---------------------------------------------------------------- surroundings

  @Override
  public Map<String, String> controllers() {
    return members.addresses;
  }

  @Override
  public JobSpec job(String id) {
    return checker.job(id);
  }

  @Override
  public void onTaskStart(WorkerEmulator worker, JobSpec spec, int index) {
    checker.recordTaskStart(worker, spec, index);
  }

  @Override
  public void onStopCommand(WorkerEmulator worker, JobSpec spec, int index) {
    stopObservers.forEach(o -> o.onStopCommand(worker, spec, index));
  }

  @Override
  public void onTaskEnd(WorkerEmulator worker, JobSpec spec, int index, boolean completed) {
    checker.recordTaskEnd(worker, spec, index, completed);
  }

  @Override
  public void onExpectedCompletion(WorkerEmulator worker, JobSpec spec, int index, long atMs) {
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
