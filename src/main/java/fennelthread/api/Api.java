package fennelthread.api;

import fennelthread.constants.ApiConstants;
import fennelthread.jobs.AcceptResult;
import fennelthread.jobs.DependencyCheckResult;
import fennelthread.jobs.FinalRecord;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;
import fennelthread.jobs.LookupResult;
import fennelthread.jobs.Submission;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import fennelthread.wire.JobStatus;
import fennelthread.wire.MachineType;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerReport;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** What users, workers and the load balancer ask of a controller. */
public final class Api implements Service {
  private static final String JOBS = "/v1/jobs";
  private static final String CANCEL = "/withdraw";

  private final EventLoop eventLoop;
  private final Settings settings;
  private final JobStore store;
  private final JobTable table;
  private final Supplier<Map<String, MachineType>> machineTypes;
  private final BooleanSupplier up;
  private final BooleanSupplier oldPeer;
  private final BooleanSupplier tight;
  private final BiConsumer<WorkerReport, Consumer<Answer>> reports;
  private final Refusals refusals;

  /**
   * Creates the interface; {@code reports} answers reports, {@code oldPeer} tells whether a peer
   * serves that does not know of chained jobs, {@code tight} whether there is no memory for new
   * ones.
   */
  public Api(
      EventLoop eventLoop,
      Settings settings,
      JobStore store,
      JobTable table,
      Supplier<Map<String, MachineType>> machineTypes,
      BooleanSupplier up,
      BooleanSupplier oldPeer,
      BooleanSupplier tight,
      BiConsumer<WorkerReport, Consumer<Answer>> reports) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.store = store;
    this.table = table;
    this.machineTypes = machineTypes;
    this.up = up;
    this.oldPeer = oldPeer;
    this.tight = tight;
    this.reports = reports;
    this.refusals = new Refusals(eventLoop);
  }

  @Override
  public void handle(Request request, Consumer<Answer> reply) {
    String path = request.path();
    String method = request.method();
    if (path.equals("/agent/beat")) {
      if (allowed(method, "POST", reply)) {
        handleReport(request, reply);
      }
    } else if (path.equals(JOBS)) {
      if (allowed(method, "POST", reply)) {
        submit(request, bounded(reply));
      }
    } else if (path.startsWith(JOBS + "/") && path.endsWith(CANCEL)) {
      if (allowed(method, "POST", reply)) {
        String id =
            path.substring(
                JOBS.length() + 1, Math.max(JOBS.length() + 1, path.length() - CANCEL.length()));
        cancel(id, bounded(reply));
      }
    } else if (path.startsWith(JOBS + "/")) {
      if (allowed(method, "GET", reply)) {
        poll(path.substring(JOBS.length() + 1), bounded(reply));
      }
    } else if (path.equals("/up")) {
      if (allowed(method, "GET", reply)) {
        reply.accept(
            up.getAsBoolean()
                ? Answer.of(200, Codec.CBOR, Fields.create())
                : Answer.later(503, "can't serve now", ApiConstants.RETRY_AFTER_S));
      }
    } else {
      reply.accept(Answer.error(404, "unknown path"));
    }
  }

  private static boolean allowed(String method, String wanted, Consumer<Answer> reply) {
    if (method.equals(wanted)) {
      return true;
    }
    reply.accept(Answer.error(405, "use " + wanted));
    return false;
  }

  /**
   * Answers 503 by itself when the state service takes longer than it ever should. What was asked
   * of it may still happen: a repeated request then finds it done.
   */
  private Consumer<Answer> bounded(Consumer<Answer> reply) {
    boolean[] answered = new boolean[1];
    EventLoop.Cancellable timer =
        eventLoop.after(
            ApiConstants.ANSWER_MS,
            () -> {
              if (!answered[0]) {
                answered[0] = true;
                reply.accept(later("took too long"));
              }
            });
    return answer -> {
      if (!answered[0]) {
        answered[0] = true;
        timer.cancel();
        reply.accept(answer);
      }
    };
  }

  private Answer later(String why) {
    refusals.add(why);
    return Answer.later(503, why, ApiConstants.RETRY_AFTER_S);
  }

  private void handleReport(Request request, Consumer<Answer> reply) {
    WorkerReport report;
    try {
      report = WorkerReport.read(Codec.CBOR.decode(request.body()));
    } catch (WireException e) {
      reply.accept(Answer.error(400, e.getMessage()));
      return;
    }
    reports.accept(report, answer -> reply.accept(answer.then(Answer.Afterwards.KEEP_IF_ROOM)));
  }

  private void submit(Request request, Consumer<Answer> reply) {
    Fields body;
    String id;
    try {
      body = Codec.CBOR.decode(request.body());
      id = JobSpec.readId(body);
    } catch (WireException e) {
      reply.accept(Answer.error(400, e.getMessage()));
      return;
    }
    Submission job;
    try {
      JobSpec spec = JobSpec.read(body);
      Answer impossible = impossible(spec);
      if (impossible != null) {
        refuse(id, impossible, reply);
        return;
      }
      job = store.prepare(spec);
    } catch (WireException e) {
      refuse(id, Answer.error(400, e.getMessage()), reply);
      return;
    }
    if (tight.getAsBoolean() && !store.isKnownAccepted(id)) {
      refusals.add("no memory for more jobs");
      refuse(id, Answer.later(503, "no memory for more jobs", ApiConstants.HEAP_RETRY_S), reply);
    } else if (job.spec().dependencies().isEmpty() || store.isKnownAccepted(id)) {
      accept(job, reply);
    } else {
      checkDependencies(job, reply);
    }
  }

  private void checkDependencies(Submission job, Consumer<Answer> reply) {
    String id = job.spec().id();
    if (oldPeer.getAsBoolean()) {
      // It would run the job without waiting, if it came to lead.
      refuse(
          id,
          later("a controller that does not know " + JobSpec.DEPENDENCIES + " still serves"),
          reply);
      return;
    }
    store.checkDependencies(
        job.spec(),
        dependencies -> {
          if (dependencies instanceof DependencyCheckResult.Valid good) {
            accept(good.cancelled() ? store.cancelledOnAcceptance(job) : job, reply);
          } else if (dependencies instanceof DependencyCheckResult.Invalid bad) {
            refuse(id, Answer.error(422, JobSpec.DEPENDENCIES + ": " + bad.why()), reply);
          } else if (dependencies instanceof DependencyCheckResult.Unavailable unavailable) {
            reply.accept(later(unavailable.why().text()));
          }
        });
  }

  /**
   * An accepted job gets 200 again whatever else the repeated body holds; only others a refusal.
   */
  private void refuse(String id, Answer refusal, Consumer<Answer> reply) {
    store.lookup(
        id,
        found -> reply.accept(found instanceof LookupResult.Unknown ? refusal : known(id, found)));
  }

  private void accept(Submission job, Consumer<Answer> reply) {
    String id = job.spec().id();
    store.accept(
        job,
        outcome -> {
          if (outcome instanceof AcceptResult.Accepted) {
            JobState state = job.initialState();
            reply.accept(Answer.of(201, Codec.CBOR, JobStatus.accepted(id, state)));
          } else if (outcome instanceof AcceptResult.AlreadyAccepted) {
            store.lookup(id, found -> reply.accept(known(id, found)));
          } else if (outcome instanceof AcceptResult.TooLarge) {
            refuse(id, Answer.error(400, "body: is too large"), reply);
          } else if (outcome instanceof AcceptResult.Unavailable unavailable) {
            reply.accept(later(unavailable.why().text()));
          }
        });
  }

  /** The answer to a job that can never run or can't be judged yet; null if it can run. */
  private Answer impossible(JobSpec spec) {
    Settings.Team team = settings.teams().get(spec.team());
    if (team == null) {
      return Answer.error(422, "dueno: is not a team here");
    }
    int together = spec.service() ? spec.tasks() : 1;
    if ((team.cpusMax() > 0 && spec.cpus() * together > team.cpusMax())
        || (team.cardsMax() > 0 && spec.cards() * together > team.cardsMax())) {
      return Answer.error(422, "dueno: the job needs more than the team's limit");
    }
    Map<String, MachineType> types = machineTypes.get();
    if (types.isEmpty()) {
      return later("machine types are not known yet");
    }
    for (MachineType f : types.values()) {
      if ((spec.types() == null || spec.types().contains(f.name()))
          && (spec.zone() == null || f.zones().isEmpty() || f.zones().contains(spec.zone()))
          && spec.cpus() <= f.cpus()
          && spec.cards() <= f.cards()
          && spec.memGb() <= f.memGb()) {
        return null;
      }
    }
    return Answer.error(422, "modelos: a task fits no allowed machine type");
  }

  private void poll(String id, Consumer<Answer> reply) {
    if (!JobSpec.isId(id)) {
      reply.accept(Answer.error(404, "unknown job"));
      return;
    }
    store.lookup(id, found -> reply.accept(known(id, found)));
  }

  private void cancel(String id, Consumer<Answer> reply) {
    if (!JobSpec.isId(id)) {
      reply.accept(Answer.error(404, "unknown job"));
      return;
    }
    store.cancel(
        id,
        found -> {
          if (found instanceof LookupResult.Live) {
            reply.accept(later("try again"));
          } else {
            reply.accept(known(id, found));
          }
        });
  }

  private Answer known(String id, LookupResult found) {
    if (found instanceof LookupResult.Live live) {
      Job job = live.job();
      int started = table.startedTasks(job);
      JobState state = started > 0 ? JobState.RUNNING : JobState.PENDING;
      List<String> unmet = store.dependencies().graph().unmetDependencies(id);
      return answer(new JobStatus(id, state, job.finished().cardinality(), started, unmet));
    }
    if (found instanceof FinalRecord end) {
      return answer(new JobStatus(id, end.state(), end.done(), 0, List.of()));
    }
    if (found instanceof LookupResult.Unknown) {
      return Answer.error(404, "unknown job");
    }
    return later(
        found instanceof LookupResult.Unavailable unavailable
            ? unavailable.why().text()
            : "the job's state is not known");
  }

  private static Answer answer(JobStatus status) {
    return Answer.of(200, Codec.CBOR, status.write());
  }
}
