package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.emulate.EmulatedCloud.MachineId;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.Request;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * A machine's worker that speaks the real protocol over its own listening socket and its own
 * connection: reports, sessions, leases, tokens, commands. Its tasks do nothing but take time.
 */
final class HollowWorker {
  /** What all workers of a process share. */
  interface Context {
    /** The controllers' members in order, and the addresses that they serve workers at. */
    List<Member> members();

    Settings.WorkerTiming timing();

    /** A job's description, or null if no user has submitted it. */
    JobSpec job(String id);

    MachineTasks.Listener history();

    /** Called before anything leaves the process that may let others know what happened here. */
    void beforeSend();

    Traffic traffic();
  }

  /** A controller. */
  record Member(String name, String address) {}

  /** Counters of all workers of a process. */
  static final class Traffic {
    long reports;
    long reportBytes;
    long failedReports;
    long commandRequests;
    long expiredLeases;
  }

  private final SelectorLoop loop;
  private final Context context;
  private final MachineId machine;
  private final RandomGenerator random;
  private final MachineTasks tasks;
  private final HttpListener listener;
  private HttpClientConnection connection;
  private int member;
  private long session;
  private long sequence;
  private long token;
  private long tokenChangeAtMs;
  private long leaseFromMs;
  private long lastSentAtMs;
  private boolean reportDue;
  private boolean alive = true;
  private boolean cut;

  /** Brings the machine up; on the loop's thread. */
  HollowWorker(SelectorLoop loop, Context context, MachineId machine, RandomGenerator random)
      throws IOException {
    this.loop = loop;
    this.context = context;
    this.machine = machine;
    this.random = random;
    this.tasks = new MachineTasks(loop, machine, context::job, random, new TaskHistory());
    this.listener = new HttpListener(loop, Addresses.parse(machine.address()), this::handle);
    this.member = random.nextInt(context.members().size());
    beginSession();
    send();
    scheduleReport();
    scheduleLeaseCheck();
  }

  private final class TaskHistory implements MachineTasks.Listener {
    @Override
    public void began(MachineId on, TaskRef task, long attempt) {
      context.history().began(on, task, attempt);
    }

    @Override
    public void running(MachineId on, TaskRef task) {
      context.history().running(on, task);
    }

    @Override
    public void ended(MachineId on, TaskRef task, boolean completed) {
      context.history().ended(on, task, completed);
    }

    @Override
    public void changed() {
      reportSoon();
    }
  }

  /** The zone that the machine is in. */
  String zone() {
    return machine.zone();
  }

  /** The machine is gone with all that is on it. */
  void end() {
    alive = false;
    tasks.killAll();
    listener.close();
    closeConnection();
  }

  /** From now on it reaches no controller and none reaches it, or all do again. */
  void cutOff(boolean isCut) {
    cut = isCut;
    listener.refuse(isCut);
    if (isCut) {
      closeConnection();
    }
  }

  private void closeConnection() {
    if (connection != null) {
      HttpClientConnection old = connection;
      connection = null;
      old.close();
    }
  }

  // ---------------------------------------------------------------- sessions and leases

  private void beginSession() {
    session++;
    leaseFromMs = SelectorLoop.nowMs();
  }

  private void scheduleLeaseCheck() {
    long endsInMs = leaseFromMs + context.timing().leaseMs() + 1 - SelectorLoop.nowMs();
    loop.after(endsInMs, this::checkLease);
  }

  private void checkLease() {
    if (!alive) {
      return;
    }
    if (SelectorLoop.nowMs() - leaseFromMs > context.timing().leaseMs()) {
      context.traffic().expiredLeases++;
      tasks.killAll();
      beginSession();
      reportSoon();
    }
    scheduleLeaseCheck();
  }

  private void raiseToken(long seen) {
    if (seen > token) {
      token = seen;
      long now = SelectorLoop.nowMs();
      if (now - tokenChangeAtMs >= context.timing().leaseMs() / 2) {
        tokenChangeAtMs = now;
        reportSoon();
      }
    }
  }

  // ---------------------------------------------------------------- reports

  private void scheduleReport() {
    long pauseMs = (long) (context.timing().reportMs() * (0.75 + 0.5 * random.nextDouble()));
    loop.after(
        pauseMs,
        () -> {
          if (alive) {
            scheduleReport();
            if (!isReporting()) {
              send();
            }
          }
        });
  }

  private boolean isReporting() {
    return connection != null && connection.isBusy();
  }

  /** Something has changed: a report follows as soon as the protocol allows. */
  private void reportSoon() {
    if (!reportDue && alive) {
      reportDue = true;
      long earliestMs = lastSentAtMs + EmulationConstants.MIN_REPORT_GAP_MS;
      loop.after(earliestMs - SelectorLoop.nowMs(), this::reportIfDue);
    }
  }

  private void reportIfDue() {
    if (reportDue && alive && !isReporting()) {
      send();
    }
  }

  private void send() {
    reportDue = false;
    lastSentAtMs = SelectorLoop.nowMs();
    if (cut) {
      tryNextMember();
      return;
    }
    Member to = context.members().get(member);
    if (connection == null || !connection.address().equals(to.address())) {
      closeConnection();
      connection =
          new HttpClientConnection(
              loop, Addresses.parse(machine.address()).getAddress(), to.address());
    }
    long sentAtMs = lastSentAtMs;
    long sentSession = session;
    HttpClientConnection used = connection;
    long bytesBefore = used.bytes;
    context.beforeSend();
    used.call(
        Call.post("/agent/beat", Codec.CBOR, report().write()),
        EmulationConstants.REPORT_TIMEOUT_MS,
        answer -> {
          context.traffic().reports++;
          context.traffic().reportBytes += used.bytes - bytesBefore;
          if (alive && connection == used) {
            answered(answer, to, sentAtMs, sentSession);
          }
        });
  }

  private WorkerReport report() {
    return new WorkerReport(
        machine.name(),
        machine.address(),
        machine.type().name(),
        machine.zone(),
        machine.spot(),
        session,
        ++sequence,
        token,
        WorkerReport.NO_NOTICE,
        tasks.report());
  }

  private void answered(Answer answer, Member from, long sentAtMs, long sentSession) {
    try {
      if (answer != null && answer.status() == 200) {
        accepted(answer.fields(), sentAtMs, sentSession);
        reportIfChangedMeanwhile();
        return;
      }
      if (answer != null && answer.status() == 421) {
        int named = indexOf(answer.fields().optText("informar_a"));
        if (named >= 0 && named != context.members().indexOf(from)) {
          member = named;
          loop.after(random.nextInt(EmulationConstants.MAX_REDIRECT_PAUSE_MS), this::sendIfIdle);
          return;
        }
      }
    } catch (WireException e) {
      System.err.println("emulation: a controller's answer can't be read: " + e.getMessage());
    }
    context.traffic().failedReports++;
    tryNextMember();
  }

  private void reportIfChangedMeanwhile() {
    if (reportDue) {
      reportDue = false;
      reportSoon();
    }
  }

  private int indexOf(String name) {
    List<Member> members = context.members();
    for (int i = 0; i < members.size(); i++) {
      if (members.get(i).name().equals(name)) {
        return i;
      }
    }
    return -1;
  }

  private void tryNextMember() {
    member = (member + 1) % context.members().size();
    loop.after(EmulationConstants.NEXT_CONTROLLER_PAUSE_MS, this::sendIfIdle);
  }

  private void sendIfIdle() {
    if (alive && !isReporting()) {
      send();
    }
  }

  private void accepted(Fields body, long sentAtMs, long sentSession) throws WireException {
    if (sentSession != session || !body.has("ficha") || body.count("ficha") < token) {
      return;
    }
    raiseToken(body.count("ficha"));
    leaseFromMs = Math.max(leaseFromMs, sentAtMs);
    WorkerCommand.read(body).forEach(tasks::execute);
  }

  // ---------------------------------------------------------------- direct commands

  private void handle(Request request, Consumer<Answer> reply) {
    context.traffic().commandRequests++;
    if (request.path().equals("/show")) {
      respond(200, reply);
      return;
    }
    try {
      Fields body = Codec.CBOR.decode(request.body());
      if (!body.has("ficha") || !body.has("turno")) {
        reply.accept(Answer.error(400, "ficha or turno is missing"));
        return;
      }
      List<WorkerCommand> commands = WorkerCommand.read(body);
      boolean valid = body.count("ficha") >= token && body.count("turno") == session;
      raiseToken(body.count("ficha"));
      if (valid) {
        commands.forEach(tasks::execute);
      }
      respond(valid ? 200 : 409, reply);
    } catch (WireException e) {
      reply.accept(Answer.error(400, e.getMessage()));
    }
  }

  private void respond(int status, Consumer<Answer> reply) {
    Answer answer = Answer.of(status, Codec.CBOR, report().write());
    context.beforeSend();
    reply.accept(answer);
  }
}
