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

/**
 * A simulated cluster: real controllers, and emulators of the services, workers and users around
 * them. Its seed determines the whole run.
 */
final class SimulatedCluster implements WorkerEmulator.Environment {
  static final String STATE = "10.2.0.1:2379";
  static final String CLOUD = "10.2.0.2:8443";

  /**
   * Creates controllers of the version in production, whose classes are not part of this version.
   * The tests set it after they have compiled that version from the repository's history.
   */
  static ProductionControllerFactory productionControllerFactory =
      (eventLoop, settings, limits) -> {
        throw new IllegalStateException(
            "no factory for controllers of the version in production is set");
      };

  /**
   * Creates a controller of the version in production; {@code limits} are the state service limits
   * that it uses.
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

  /** Called for each stop command that arrives at a machine and stops a task. */
  final List<StopObserver> stopObservers = new ArrayList<>();

  /** Observes the commands that stop tasks, when workers execute them. */
  @FunctionalInterface
  interface StopObserver {
    void onStopCommand(WorkerEmulator worker, JobSpec spec, int index);
  }

  /** A running controller of any version. */
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

  /**
   * A small cluster whose controllers are configured with the limits {@code next} while the state
   * service still has its old ones; {@code production} starts the version in production.
   */
  static SimulatedCluster limited(long seed, Settings.StateLimits next, boolean production) {
    Deployment deployment = Deployment.tiny().withAnnouncedLimits(next);
    return new SimulatedCluster(seed, production ? deployment.withProductionVersion() : deployment);
  }

  /** A cluster with about {@code machines} machines, see {@link Deployment#large}. */
  static SimulatedCluster large(long seed, int machines) {
    return new SimulatedCluster(seed, Deployment.large(machines));
  }

  SimulatedCluster(long seed, Deployment deployment) {
    this.deployment = deployment;
    world = new SimulatedNetwork(seed);
    members = new SimulatedControllers(world, deployment);
    processes = members.processes;
    controllers = members.controllers;
    settings = members.settings;
    checker = new InvariantChecker(world, settings);
    // The version in production counts completed tasks in its replica of the state, which may lag.
    checker.countsMustNotFall = members::hasNoProductionMembers;
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
    rentInitialMachines();
    world.afterEach(checker::check);
    new StateInvariants(world, state);
    checker.watch(cloud.types(), () -> cloud.machines().values());
    reportCopies = new ReportCopies(world, state, members.addresses.values());
    cancellations = new JobCancellations(this);
    repeatedQueries = new RepeatedQueries(this);
    oddRequests = new OddRequests(this);
  }

  private void rentInitialMachines() {
    List<String> zones = deployment.zones();
    for (int i = 0; i < deployment.initialSmall(); i++) {
      cloud.rent("mesa", zones.get(i % zones.size()), false, 0);
    }
    for (int i = 0; i < deployment.initialLarge(); i++) {
      cloud.rent("torre", zones.get(0), false, 0);
    }
  }

  // ---------------------------------------------------------------- controllers

  /** The zone of a controller. */
  String zoneOf(String member) {
    return members.zoneOf(member);
  }

  /** Restarts a controller of the version in production as one of this version. */
  void upgrade(String member, long downMs) {
    members.upgrade(member, downMs);
  }

  /** Restarts a controller as one of the version in production. */
  void downgrade(String member, long downMs) {
    members.downgrade(member, downMs);
  }

  /** Kills a controller and starts a new process of the same member after {@code downMs}. */
  void crash(String member, long downMs) {
    members.crash(member, downMs);
  }

  /** The first running member that considers itself the leader, or null. */
  String leader() {
    return members.leader();
  }

  /** The first running member except {@code member} that considers itself the leader, or null. */
  String leaderOtherThan(String member) {
    return members.leaderOtherThan(member);
  }

  // ---------------------------------------------------------------- users

  /** A job of a random team, see {@link RandomJobs#job}. */
  JobSpec job(
      boolean service,
      int tasks,
      double cpus,
      boolean spotAllowed,
      boolean sameZone,
      boolean spreadAcrossZones) {
    return randomJobs.job(service, tasks, cpus, spotAllowed, sameZone, spreadAcrossZones);
  }

  /** A job without placement rules, see {@link RandomJobs#plainJob}. */
  JobSpec plainJob(boolean service, int tasks) {
    return randomJobs.plainJob(service, tasks);
  }

  /** An array or service with random properties. */
  JobSpec randomJob() {
    return randomJobs.randomJob();
  }

  /** A job that is not recorded as submitted, see {@link RandomJobs#oddJob}. */
  JobSpec nextOddJob() {
    return randomJobs.oddJob();
  }

  /** True if all replicas of all these services are on machines. */
  boolean allRun(List<JobSpec> services) {
    return services.stream().allMatch(job -> checker.running(job.id()) == job.tasks());
  }

  /**
   * Submits a job with retries and asks about it once accepted, see {@link SimulatedUsers#submit}.
   */
  void submit(JobSpec spec) {
    users.submit(spec);
  }

  /** Submits a job once and never asks about it. */
  void submitOnce(JobSpec spec) {
    users.submitOnce(spec);
  }

  /** Asks random controllers to cancel a job until one of them confirms it. */
  void cancel(String id) {
    users.cancel(id);
  }

  /** Asks one controller to cancel a job until it confirms it, at most {@code tries} times. */
  void cancelThrough(String member, String id, int tries) {
    users.cancelThrough(member, id, tries);
  }

  /** Asks one controller about a job once and ignores the answer. */
  void askThrough(String member, String id) {
    users.askAt(member, id, answer -> {});
  }

  /** Asks one controller about a job once and ignores the answer. */
  void askAt(String member, String id) {
    users.askAt(member, id, answer -> {});
  }

  /**
   * Asks one controller about a job once; {@code then} gets the answer, or null if there is none.
   */
  void askAt(String member, String id, Consumer<Answer> then) {
    users.askAt(member, id, then);
  }

  /** Submits a body to one controller once; {@code then} gets the answer, or null. */
  void submitAt(String member, String id, Fields body, Consumer<Answer> then) {
    users.submitAt(member, id, body, then);
  }

  /**
   * Asks one controller once to cancel a job and ignores the answer, see {@link #cancelAt(String,
   * String, Consumer)}.
   */
  void cancelAt(String member, String id) {
    cancelAt(member, id, answer -> {});
  }

  /**
   * Asks one controller once to cancel a job; {@code then} gets the answer, or null. The checker
   * does not record the request: it fails if the job is cancelled and no other request asked for
   * it.
   */
  void cancelAt(String member, String id, Consumer<Answer> then) {
    users.cancelAt(member, id, then);
  }

  /** Adds a listener that gets a job's id when a user is first told that it is accepted or over. */
  void onNewStatus(Consumer<String> listener) {
    users.onNewStatus(listener);
  }

  /** Submits pipelines of jobs until {@code untilMs}, see {@link JobPipelines#submitUntil}. */
  void submitPipelines(long untilMs) {
    new JobPipelines(world, users, randomJobs, checker).submitUntil(untilMs);
  }

  // ---------------------------------------------------------------- faults

  /** Adds random user requests and faults until {@code untilMs}, see {@link RandomFaults}. */
  void addRandomUsersAndFaults(long untilMs) {
    new RandomFaults(this, users, randomJobs).runUntil(untilMs);
  }

  /** Number of start records delayed by {@link #delayNextStartRecord}. */
  int delayedStartRecords;

  /**
   * Delays the next start record that a controller writes by {@code byMs}. Only one record is
   * delayed per cluster: later calls have no effect.
   */
  void delayNextStartRecord(String member, long byMs) {
    state.transactionDelayMs =
        (caller, body) -> {
          if (delayedStartRecords == 0 && caller.equals(member) && body.contains("live/round/")) {
            delayedStartRecords++;
            return byMs;
          }
          return 0;
        };
  }

  /** Cuts a controller off from the state service and its peers, but not from workers and users. */
  void isolateFromPeersAndState(String member, long forMs) {
    members.isolateFromPeersAndState(member, forMs);
  }

  /** Cuts the links between all controllers for {@code forMs}. */
  void cutPeerLinks(long forMs) {
    members.cutPeerLinks(forMs);
  }

  /**
   * Copies a share of the reports sent within {@code forMs} and delivers the copies to every
   * controller {@code afterClaimMs} after the next claim of the leadership.
   */
  void replayReportsToNextLeader(double share, long forMs, long afterClaimMs) {
    reportCopies.keep(share, forMs, afterClaimMs);
  }

  /** Blocks a machine's requests to controllers; direct commands still reach it. */
  void blockRequests(WorkerEmulator worker, long forMs) {
    world.blockRequests(worker.name(), "nodo", forMs);
  }

  /**
   * For {@code forMs}, delays this share of the direct commands by 2 to 16 s. They are not
   * answered, and the worker executes them only if token and session still match.
   */
  void holdCommands(double share, long forMs) {
    world.requestFaults.holdCommands(share, forMs);
  }

  /** Cancels running jobs at once, see {@link JobCancellations#cancelRunningJobs}. */
  List<String> cancelRunningJobs(int count, long hangMs) {
    return cancellations.cancelRunningJobs(count, hangMs);
  }

  /** Cancels jobs around their end, see {@link JobCancellations#cancelAtCompletion}. */
  void cancelAtCompletion(double share, long forMs) {
    cancellations.cancelAtCompletion(share, forMs);
  }

  /** Repeats queries about every new status, see {@link RepeatedQueries}. */
  void beginRepeatedQueries(long forMs) {
    repeatedQueries.begin(forMs);
  }

  /** Sends redundant and invalid requests, see {@link OddRequests}. */
  void beginOddRequests(long forMs) {
    oddRequests.begin(forMs);
  }

  /** Cuts a zone with its workers and controllers off; fails if no controller is in the zone. */
  void cutZoneWithControllers(String zone, long forMs) {
    if (members.addresses.keySet().stream().noneMatch(member -> zoneOf(member).equals(zone))) {
      throw new IllegalArgumentException("no controller is in zone " + zone);
    }
    world.cutZone(zone, forMs);
  }

  // ---------------------------------------------------------------- environment of the workers

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
  public void onCompletionForgotten(JobSpec spec, int index) {
    checker.recordCompletionForgotten(spec, index);
  }

  @Override
  public void onExpectedCompletion(WorkerEmulator worker, JobSpec spec, int index, long atMs) {
    cancellations.recordExpectedEnd(spec, index, atMs);
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
