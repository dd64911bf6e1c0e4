package fennelthread.simulation;

import fennelthread.constants.ProtocolConstants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import fennelthread.wire.TaskRef;
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

/** A machine's worker as the protocol describes it: sessions, leases, tokens, commands. */
final class WorkerEmulator implements Service {

  /** What a worker meets. */
  interface Environment {
    /** The controllers' addresses, by member. */
    Map<String, String> controllers();

    /** A submitted job's description, or null. */
    JobSpec job(String id);

    /** A task is on the machine from now on. */
    void onTaskStart(WorkerEmulator worker, JobSpec spec, int index);

    /** A task is no longer on the machine. */
    void onTaskEnd(WorkerEmulator worker, JobSpec spec, int index, boolean completed);

    /** A running task will be complete at that time if nothing happens to it. */
    default void onExpectedCompletion(WorkerEmulator worker, JobSpec spec, int index, long atMs) {}

    /** A command has arrived that stops a task which is waiting for its image or runs. */
    default void onStopCommand(WorkerEmulator worker, JobSpec spec, int index) {}

    long reportMs();

    long leaseMs();
  }

  private static final class Task {
    final TaskRef ref;
    final long attempt;
    final JobSpec spec;
    WorkerReport.Phase phase = WorkerReport.Phase.FETCHING;
    WorkerReport.EndReason motive;
    boolean present;

    Task(TaskRef ref, long attempt, JobSpec spec) {
      this.ref = ref;
      this.attempt = attempt;
      this.spec = spec;
    }
  }

  private final SimulatedNetwork world;
  private final Environment around;
  private final String name;
  private final String address;
  private final MachineType machineType;
  private final String zone;
  private final boolean spot;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> completed = new HashSet<>();
  private SimulatedProcess process;
  private long session;
  private long seq;
  private long token;
  private long leaseFrom;
  private long noticeAt = -1;
  private boolean up;
  private boolean failed;
  private boolean sick;
  private int node;
  private long epochOfLife;
  private long lastSentAt;
  private boolean inFlight;

  /** Starts that came under a token lower than the highest one seen. */
  int staleRuns;

  /** Those of them that came under the token of an earlier leader than the highest one seen. */
  int runsOfEarlierLeaders;

  WorkerEmulator(
      SimulatedNetwork world,
      Environment around,
      String name,
      String address,
      MachineType machineType,
      String zone,
      boolean spot) {
    this.world = world;
    this.around = around;
    this.name = name;
    this.address = address;
    this.machineType = machineType;
    this.zone = zone;
    this.spot = spot;
    world.name(address, name);
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
    return up;
  }

  boolean isFailed() {
    return failed;
  }

  void boot() {
    if (up || failed || epochOfLife < 0) {
      return;
    }
    up = true;
    process = new SimulatedProcess(world, name);
    process.listen(address, this);
    node = world.random.nextInt(around.controllers().size());
    newSession();
    report();
    checkLease();
  }

  /**
   * The machine is started anew, under its name and address: its worker has forgotten sessions and
   * tokens.
   */
  void reboot(long downMs) {
    if (!up) {
      return;
    }
    up = false;
    process.kill();
    killAll();
    session = 0;
    seq = 0;
    token = 0;
    inFlight = false;
    world.after(downMs, this::boot);
  }

  /** The machine is gone with all that is on it. */
  void terminate(boolean asFailed) {
    failed = asFailed;
    epochOfLife = -1;
    if (up) {
      up = false;
      process.kill();
      killAll();
    }
  }

  void announceTermination(long inMs) {
    noticeAt = world.now() + inMs;
    changed();
  }

  void failTasks(long forMs) {
    sick = true;
    world.after(forMs, () -> sick = false);
  }

  private double fetchFactor = 1;

  /** True if the cloud has announced that it takes the machine away. */
  boolean hasNotice() {
    return noticeAt >= 0;
  }

  /** Images that are asked for meanwhile take so many times as long. */
  void slowFetches(double factor, long forMs) {
    fetchFactor = factor;
    world.after(forMs, () -> fetchFactor = 1);
  }

  /**
   * The machine hangs: nothing is executed, no timer runs, until it goes on or its lease is over.
   */
  void hang(long forMs) {
    if (up) {
      process.pause(forMs);
    }
  }

  private void newSession() {
    session++;
    leaseFrom = world.now();
  }

  private void killAll() {
    for (Task t : List.copyOf(tasks.values())) {
      leave(t, false);
    }
    tasks.clear();
  }

  private void leave(Task t, boolean done) {
    if (t.present) {
      t.present = false;
      around.onTaskEnd(this, t.spec, t.ref.index(), done);
    }
  }

  private void checkLease() {
    if (!up) {
      return;
    }
    if (world.now() - leaseFrom > around.leaseMs()) {
      killAll();
      newSession();
      changed();
    }
    world.after(50, this::checkLease);
  }

  private void changed() {
    if (up) {
      process.after(Math.max(0, lastSentAt + 500 - world.now()), this::reportIfIdle);
    }
  }

  private void reportIfIdle() {
    if (!inFlight && world.now() - lastSentAt >= 500) {
      send();
    }
  }

  private void report() {
    if (!up) {
      return;
    }
    long pause = (long) (around.reportMs() * (0.75 + 0.5 * world.random.nextDouble()));
    process.after(pause, this::report);
    if (!inFlight) {
      send();
    }
  }

  private void send() {
    inFlight = true;
    lastSentAt = world.now();
    long sentAt = lastSentAt;
    long sentSession = session;
    List<String> members = List.copyOf(around.controllers().keySet());
    String member = members.get(node % members.size());
    process.call(
        around.controllers().get(member),
        Call.post("/agent/beat", Codec.CBOR, currentReport().write()),
        4_000,
        answer -> {
          inFlight = false;
          answered(answer, member, members, sentAt, sentSession);
        });
  }

  private void answered(
      Answer answer, String member, List<String> members, long sentAt, long sentSession) {
    try {
      if (answer != null && answer.status() == 200) {
        Fields body = answer.fields();
        if (sentSession != session || !body.has("ficha") || body.count("ficha") < token) {
          return;
        }
        raise(body.count("ficha"));
        leaseFrom = Math.max(leaseFrom, sentAt);
        WorkerCommand.read(body).forEach(this::execute);
        return;
      }
      if (answer != null && answer.status() == 421) {
        String to = answer.fields().optText("informar_a");
        int index = to == null ? -1 : members.indexOf(to);
        if (index >= 0 && !to.equals(member)) {
          node = index;
          process.after(world.random.nextInt(500), this::reportSoon);
          return;
        }
      }
    } catch (WireException e) {
      throw new AssertionError("a controller's answer can't be read", e);
    }
    node++;
    process.after(1_000, this::reportSoon);
  }

  private void reportSoon() {
    if (!inFlight) {
      send();
    }
  }

  private void raise(long seen) {
    if (seen > token) {
      token = seen;
      changed();
    }
  }

  private WorkerReport currentReport() {
    List<WorkerReport.Task> list = new ArrayList<>();
    for (Task t : tasks.values()) {
      list.add(new WorkerReport.Task(t.ref, t.attempt, t.phase, t.motive, false));
    }
    return new WorkerReport(
        name,
        address,
        machineType.name(),
        zone,
        spot,
        session,
        ++seq,
        token,
        noticeAt < 0 ? WorkerReport.NO_NOTICE : Math.max(0, (noticeAt - world.now()) / 1000.0),
        list);
  }

  @Override
  public void handle(Request request, Consumer<Answer> reply) {
    if (!up) {
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
      for (WorkerCommand order : WorkerCommand.read(body)) {
        if (order instanceof WorkerCommand.Run && body.count("ficha") < token) {
          staleRuns++;
          boolean ofEarlier =
              body.count("ficha") >> ProtocolConstants.TOKEN_BITS
                  < token >> ProtocolConstants.TOKEN_BITS;
          runsOfEarlierLeaders += ofEarlier ? 1 : 0;
        }
      }
      boolean good = body.count("ficha") >= token && body.count("turno") == session;
      if (body.count("ficha") > token) {
        raise(body.count("ficha"));
      }
      if (good) {
        WorkerCommand.read(body).forEach(this::execute);
      }
      reply.accept(Answer.of(good ? 200 : 409, Codec.CBOR, currentReport().write()));
    } catch (WireException e) {
      throw new AssertionError("a command can't be read", e);
    }
  }

  /** A report as the worker would send it now. */
  WorkerReport nextReport() {
    return currentReport();
  }

  private void execute(WorkerCommand order) {
    if (order instanceof WorkerCommand.Run run) {
      run(run);
    } else if (order instanceof WorkerCommand.Stop stop) {
      Task t = tasks.get(stop.task() + "#" + stop.attempt());
      if (t != null && t.phase != WorkerReport.Phase.ENDED) {
        if (t.phase != WorkerReport.Phase.FLUSHING) {
          around.onStopCommand(this, t.spec, t.ref.index());
        }
        stop(t, stop.graceS());
      }
    } else if (order instanceof WorkerCommand.Clear clear) {
      Task t = tasks.get(clear.task() + "#" + clear.attempt());
      if (t != null && t.phase == WorkerReport.Phase.ENDED) {
        tasks.remove(clear.task() + "#" + clear.attempt());
      }
    }
  }

  /**
   * A running task that can save does so first if it is given the time; one that saves, only if it
   * is again.
   */
  private void stop(Task t, double graceS) {
    boolean saves = t.spec.checkpointS() > 0 && t.phase != WorkerReport.Phase.FETCHING;
    if (!saves || graceS < t.spec.saveS()) {
      finish(t, WorkerReport.EndReason.HALTED);
    } else if (t.phase == WorkerReport.Phase.RUNNING) {
      t.phase = WorkerReport.Phase.FLUSHING;
      changed();
      process.after(
          (long) (t.spec.saveS() * 1000), () -> finishIfHere(t, WorkerReport.EndReason.HALTED));
    }
  }

  private void run(WorkerCommand.Run run) {
    String key = run.task() + "#" + run.attempt();
    if (tasks.containsKey(key)) {
      return;
    }
    JobSpec spec = around.job(run.task().job());
    Task t = new Task(run.task(), run.attempt(), spec);
    boolean busy = false;
    double cpus = spec == null ? 0 : spec.cpus();
    double mem = spec == null ? 0 : spec.memGb();
    for (Task other : tasks.values()) {
      if (other.phase != WorkerReport.Phase.ENDED) {
        busy |= other.ref.equals(run.task());
        cpus += other.spec.cpus();
        mem += other.spec.memGb();
      }
    }
    tasks.put(key, t);
    if (spec == null || run.task().index() >= spec.tasks()) {
      finish(t, WorkerReport.EndReason.NO_SUCH);
    } else if (busy) {
      finish(t, WorkerReport.EndReason.BUSY);
    } else if (cpus > machineType.cpus() + 1e-6 || mem > machineType.memGb() + 1e-6) {
      finish(t, WorkerReport.EndReason.FULL);
    } else {
      t.present = true;
      around.onTaskStart(this, spec, t.ref.index());
      changed();
      long fetchMs = (long) ((200 + world.random.nextInt(1_500)) * fetchFactor);
      process.after(fetchMs, () -> started(t));
    }
  }

  private boolean isHere(Task t) {
    return t.phase != WorkerReport.Phase.ENDED && tasks.get(t.ref + "#" + t.attempt) == t;
  }

  private void started(Task t) {
    if (!isHere(t)) {
      return;
    }
    t.phase = WorkerReport.Phase.RUNNING;
    changed();
    if (sick) {
      process.after(300, () -> finishIfHere(t, WorkerReport.EndReason.ERROR));
    } else if (completed.contains(t.ref.toString())) {
      finishIfHere(t, WorkerReport.EndReason.DONE);
    } else if (!t.spec.service()) {
      long runMs = (long) (t.spec.estimateS() * 1000 * (0.5 + world.random.nextDouble()));
      around.onExpectedCompletion(this, t.spec, t.ref.index(), world.now() + runMs);
      process.after(runMs, () -> finishIfHere(t, WorkerReport.EndReason.DONE));
    }
  }

  private void finishIfHere(Task t, WorkerReport.EndReason motive) {
    if (isHere(t)) {
      finish(t, motive);
    }
  }

  private void finish(Task t, WorkerReport.EndReason motive) {
    t.phase = WorkerReport.Phase.ENDED;
    t.motive = motive;
    if (motive == WorkerReport.EndReason.DONE) {
      completed.add(t.ref.toString());
    }
    leave(t, motive == WorkerReport.EndReason.DONE);
    changed();
  }
}
