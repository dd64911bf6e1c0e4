package fennelthread.simulation;

import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/** Emulates a machine and its worker: reports, lease, session, fencing token and commands. */
final class WorkerEmulator implements Service {

  /** What a worker needs from its surroundings, and the events that it reports to them. */
  interface Environment {
    /** The controllers' API addresses, by member name. */
    Map<String, String> controllers();

    /** The specification of a submitted job, or null. */
    JobSpec job(String id);

    /** Called when a task is placed on the machine. */
    void onTaskStart(WorkerEmulator worker, JobSpec spec, int index);

    /** Called when a task leaves the machine. */
    void onTaskEnd(WorkerEmulator worker, JobSpec spec, int index, boolean completed);

    /** Called when the worker forgets a completed task of which nobody has told it to. */
    default void onCompletionForgotten(JobSpec spec, int index) {}

    /** Called when a task starts to run that completes at {@code atMs} if nothing stops it. */
    default void onExpectedCompletion(WorkerEmulator worker, JobSpec spec, int index, long atMs) {}

    /** Called when a command arrives that stops a task which is fetching its image or running. */
    default void onStopCommand(WorkerEmulator worker, JobSpec spec, int index) {}

    /** Mean interval between reports, ms. */
    long reportMs();

    /** Duration of the worker's lease, ms. */
    long leaseMs();
  }

  private final SimulatedNetwork network;
  private final Environment environment;
  private final String name;
  private final String address;
  private final MachineType machineType;
  private final String zone;
  private final boolean spot;
  private final Map<String, WorkerTask> tasks = new LinkedHashMap<>();
  private final Set<String> completedAcrossReboots = new HashSet<>();
  private SimulatedProcess process;
  private long session;
  private long lastReportNumber;
  private long highestToken;
  private long leaseStartMs;
  private long terminationAtMs = -1;
  private boolean isUp;
  private boolean isFailed;
  private boolean failsTasks;
  private int controllerIndex;
  private boolean isTerminated;
  private long lastSentAtMs;
  private boolean isReportInFlight;

  final CommandCounts commandCounts = new CommandCounts();

  WorkerEmulator(
      SimulatedNetwork network,
      Environment environment,
      String name,
      String address,
      MachineType machineType,
      String zone,
      boolean spot) {
    this.network = network;
    this.environment = environment;
    this.name = name;
    this.address = address;
    this.machineType = machineType;
    this.zone = zone;
    this.spot = spot;
    network.name(address, name);
  }

  String name() {
    return name;
  }

  String address() {
    return address;
  }

  MachineType machineType() {
    return machineType;
  }

  String zone() {
    return zone;
  }

  boolean spot() {
    return spot;
  }

  boolean isUp() {
    return isUp;
  }

  boolean isFailed() {
    return isFailed;
  }

  /** Starts the worker in a new session, unless it is up or the machine has ended. */
  void boot() {
    if (isUp || isFailed || isTerminated) {
      return;
    }
    isUp = true;
    process = new SimulatedProcess(network, name);
    process.listen(address, this);
    controllerIndex = network.random.nextInt(environment.controllers().size());
    beginSession();
    reportPeriodically();
    checkLease();
  }

  /** Restarts the machine with its name and address; tasks, session and token are lost. */
  void reboot(long downMs) {
    if (!isUp) {
      return;
    }
    isUp = false;
    process.kill();
    killAllTasks();
    session = 0;
    lastReportNumber = 0;
    highestToken = 0;
    isReportInFlight = false;
    network.after(downMs, this::boot);
  }

  /** Ends the machine and all its tasks for good. */
  void terminate(boolean asFailed) {
    isFailed = asFailed;
    isTerminated = true;
    if (isUp) {
      isUp = false;
      process.kill();
      killAllTasks();
    }
  }

  /** Announces, in reports, that the cloud takes the machine back after {@code inMs}. */
  void announceTermination(long inMs) {
    terminationAtMs = network.now() + inMs;
    scheduleReport();
  }

  /** For {@code forMs}, makes each task that starts to run end with an error after 300 ms. */
  void failTasks(long forMs) {
    failsTasks = true;
    network.after(forMs, () -> failsTasks = false);
  }

  private double fetchFactor = 1;

  /** True if the cloud has announced that it takes the machine back. */
  boolean hasNotice() {
    return terminationAtMs >= 0;
  }

  /** Multiplies the fetch time of images requested within {@code forMs}. */
  void slowFetches(double factor, long forMs) {
    fetchFactor = factor;
    network.after(forMs, () -> fetchFactor = 1);
  }

  /** Pauses the worker process for {@code forMs}; its lease goes on and may expire meanwhile. */
  void hang(long forMs) {
    if (isUp) {
      process.pause(forMs);
    }
  }

  private void beginSession() {
    session++;
    leaseStartMs = network.now();
  }

  private void killAllTasks() {
    for (WorkerTask task : List.copyOf(tasks.values())) {
      removeFromMachine(task, false);
      if (task.endReason == WorkerReport.EndReason.DONE) {
        environment.onCompletionForgotten(task.spec, task.ref.index());
      }
    }
    tasks.clear();
  }

  private void removeFromMachine(WorkerTask task, boolean done) {
    if (task.isPresent) {
      task.isPresent = false;
      environment.onTaskEnd(this, task.spec, task.ref.index(), done);
    }
  }

  private void checkLease() {
    if (!isUp) {
      return;
    }
    if (network.now() - leaseStartMs > environment.leaseMs()) {
      killAllTasks();
      beginSession();
      scheduleReport();
    }
    network.after(50, this::checkLease);
  }

  private void scheduleReport() {
    if (isUp) {
      process.after(Math.max(0, lastSentAtMs + 500 - network.now()), this::reportIfIdle);
    }
  }

  private void reportIfIdle() {
    if (!isReportInFlight && network.now() - lastSentAtMs >= 500) {
      sendReport();
    }
  }

  private void reportPeriodically() {
    if (!isUp) {
      return;
    }
    long pause = (long) (environment.reportMs() * (0.75 + 0.5 * network.random.nextDouble()));
    process.after(pause, this::reportPeriodically);
    if (!isReportInFlight) {
      sendReport();
    }
  }

  private void sendReport() {
    isReportInFlight = true;
    lastSentAtMs = network.now();
    long sentAtMs = lastSentAtMs;
    long sentSession = session;
    List<String> members = List.copyOf(environment.controllers().keySet());
    String member = members.get(controllerIndex % members.size());
    process.call(
        environment.controllers().get(member),
        Call.post("/agent/beat", Codec.CBOR, currentReport().write()),
        4_000,
        answer -> {
          isReportInFlight = false;
          handleAnswer(answer, member, members, sentAtMs, sentSession);
        });
  }

  private void handleAnswer(
      Answer answer, String member, List<String> members, long sentAtMs, long sentSession) {
    try {
      if (answer != null && answer.status() == 200) {
        Fields body = answer.fields();
        commandCounts.recordAnswer(body, highestToken);
        if (sentSession != session || !body.has("ficha") || body.count("ficha") < highestToken) {
          return;
        }
        raiseToken(body.count("ficha"));
        leaseStartMs = Math.max(leaseStartMs, sentAtMs);
        WorkerCommand.read(body).forEach(this::execute);
        return;
      }
      if (answer != null && answer.status() == 421) {
        String redirect = answer.fields().optText("informar_a");
        int index = redirect == null ? -1 : members.indexOf(redirect);
        if (index >= 0 && !redirect.equals(member)) {
          controllerIndex = index;
          process.after(network.random.nextInt(500), this::reportUnlessInFlight);
          return;
        }
      }
    } catch (WireException e) {
      throw new AssertionError("a controller's answer can't be read", e);
    }
    controllerIndex++;
    process.after(1_000, this::reportUnlessInFlight);
  }

  private void reportUnlessInFlight() {
    if (!isReportInFlight) {
      sendReport();
    }
  }

  private void raiseToken(long seenToken) {
    if (seenToken > highestToken) {
      highestToken = seenToken;
      scheduleReport();
    }
  }

  private WorkerReport currentReport() {
    List<WorkerReport.Task> reported = new ArrayList<>();
    for (WorkerTask task : tasks.values()) {
      reported.add(
          new WorkerReport.Task(task.ref, task.attempt, task.phase, task.endReason, false));
    }
    return new WorkerReport(
        name,
        address,
        machineType.name(),
        zone,
        spot,
        session,
        ++lastReportNumber,
        highestToken,
        terminationAtMs < 0
            ? WorkerReport.NO_NOTICE
            : Math.max(0, (terminationAtMs - network.now()) / 1000.0),
        reported);
  }

  @Override
  public void handle(Request request, Consumer<Answer> reply) {
    if (!isUp) {
      return;
    }
    if (request.path().equals("/show")) {
      reply.accept(Answer.of(200, Codec.CBOR, currentReport().write()));
      return;
    }
    try {
      Fields body = Codec.CBOR.decode(request.body());
      if (!body.has("ficha") || !body.has("turno")) {
        reply.accept(Answer.error(400, "missing"));
        return;
      }
      commandCounts.recordCommand(body, highestToken);
      boolean isAccepted = body.count("ficha") >= highestToken && body.count("turno") == session;
      if (body.count("ficha") > highestToken) {
        raiseToken(body.count("ficha"));
      }
      if (isAccepted) {
        WorkerCommand.read(body).forEach(this::execute);
      }
      reply.accept(Answer.of(isAccepted ? 200 : 409, Codec.CBOR, currentReport().write()));
    } catch (WireException e) {
      throw new AssertionError("a command can't be read", e);
    }
  }

  /** A report as the worker sends it now; it takes a sequence number. */
  WorkerReport nextReport() {
    return currentReport();
  }

  private void execute(WorkerCommand command) {
    if (command instanceof WorkerCommand.Run run) {
      run(run);
    } else if (command instanceof WorkerCommand.Stop stop) {
      WorkerTask task = tasks.get(stop.task() + "#" + stop.attempt());
      if (task != null && task.phase != WorkerReport.Phase.ENDED) {
        if (task.phase != WorkerReport.Phase.FLUSHING) {
          environment.onStopCommand(this, task.spec, task.ref.index());
        }
        stop(task, stop.graceS());
      }
    } else if (command instanceof WorkerCommand.Clear clear) {
      WorkerTask task = tasks.get(clear.task() + "#" + clear.attempt());
      if (task != null && task.phase == WorkerReport.Phase.ENDED) {
        tasks.remove(clear.task() + "#" + clear.attempt());
      }
    }
  }

  /**
   * Stops a task. A running task with checkpoints saves first if the grace period is long enough. A
   * task that is already saving goes on unless the new grace period is too short.
   */
  private void stop(WorkerTask task, double graceS) {
    boolean saves = task.spec.checkpointS() > 0 && task.phase != WorkerReport.Phase.FETCHING;
    if (!saves || graceS < task.spec.saveS()) {
      finish(task, WorkerReport.EndReason.HALTED);
    } else if (task.phase == WorkerReport.Phase.RUNNING) {
      task.phase = WorkerReport.Phase.FLUSHING;
      scheduleReport();
      process.after(
          (long) (task.spec.saveS() * 1000),
          () -> finishIfLive(task, WorkerReport.EndReason.HALTED));
    }
  }

  private void run(WorkerCommand.Run run) {
    String key = run.task() + "#" + run.attempt();
    if (tasks.containsKey(key)) {
      return;
    }
    JobSpec spec = environment.job(run.task().job());
    WorkerTask task = new WorkerTask(run.task(), run.attempt(), spec);
    boolean isTaskPresent = false;
    double cpus = spec == null ? 0 : spec.cpus();
    double memGb = spec == null ? 0 : spec.memGb();
    for (WorkerTask other : tasks.values()) {
      if (other.phase != WorkerReport.Phase.ENDED) {
        isTaskPresent |= other.ref.equals(run.task());
        cpus += other.spec.cpus();
        memGb += other.spec.memGb();
      }
    }
    tasks.put(key, task);
    if (spec == null || run.task().index() >= spec.tasks()) {
      finish(task, WorkerReport.EndReason.NO_SUCH);
    } else if (isTaskPresent) {
      finish(task, WorkerReport.EndReason.BUSY);
    } else if (cpus > machineType.cpus() + 1e-6 || memGb > machineType.memGb() + 1e-6) {
      finish(task, WorkerReport.EndReason.FULL);
    } else {
      task.isPresent = true;
      environment.onTaskStart(this, spec, task.ref.index());
      scheduleReport();
      long fetchMs = (long) ((200 + network.random.nextInt(1_500)) * fetchFactor);
      process.after(fetchMs, () -> startRunning(task));
    }
  }

  private boolean isLive(WorkerTask task) {
    return task.phase != WorkerReport.Phase.ENDED
        && tasks.get(task.ref + "#" + task.attempt) == task;
  }

  private void startRunning(WorkerTask task) {
    if (!isLive(task)) {
      return;
    }
    task.phase = WorkerReport.Phase.RUNNING;
    scheduleReport();
    if (failsTasks) {
      process.after(300, () -> finishIfLive(task, WorkerReport.EndReason.ERROR));
    } else if (completedAcrossReboots.contains(task.ref.toString())) {
      finishIfLive(task, WorkerReport.EndReason.DONE);
    } else if (!task.spec.service()) {
      long runMs = (long) (task.spec.estimateS() * 1000 * (0.5 + network.random.nextDouble()));
      environment.onExpectedCompletion(this, task.spec, task.ref.index(), network.now() + runMs);
      process.after(runMs, () -> finishIfLive(task, WorkerReport.EndReason.DONE));
    }
  }

  private void finishIfLive(WorkerTask task, WorkerReport.EndReason endReason) {
    if (isLive(task)) {
      finish(task, endReason);
    }
  }

  private void finish(WorkerTask task, WorkerReport.EndReason endReason) {
    task.phase = WorkerReport.Phase.ENDED;
    task.endReason = endReason;
    if (endReason == WorkerReport.EndReason.DONE) {
      completedAcrossReboots.add(task.ref.toString());
    }
    removeFromMachine(task, endReason == WorkerReport.EndReason.DONE);
    scheduleReport();
  }
}
