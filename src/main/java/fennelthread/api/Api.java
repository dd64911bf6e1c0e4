package fennelthread.api;

import fennelthread.admission.MemoryBudget;
import fennelthread.constants.ApiConstants;
import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerReport;
import java.util.function.Consumer;

/** Routes the HTTP requests of users, workers and the load balancer by path and method. */
public final class Api implements Service {
  private static final String JOBS = "/v1/jobs";
  private static final String JOB_PREFIX = JOBS + "/";
  private static final String CANCEL_SUFFIX = "/withdraw";

  private final EventLoop eventLoop;
  private final ServingConditions conditions;
  private final ReportReceiver reports;
  private final UnavailableAnswers unavailableAnswers;
  private final Submissions submissions;
  private final JobRequests jobRequests;

  /** Creates the service; the caller registers it with an HTTP server. */
  public Api(
      EventLoop eventLoop,
      Settings settings,
      JobStore store,
      JobTable table,
      ServingConditions conditions,
      MemoryBudget budget,
      ReportReceiver reports) {
    this.eventLoop = eventLoop;
    this.conditions = conditions;
    this.reports = reports;
    this.unavailableAnswers = new UnavailableAnswers(eventLoop);
    this.jobRequests = new JobRequests(store, table, unavailableAnswers);
    this.submissions =
        new Submissions(
            store,
            new Feasibility(settings, conditions, unavailableAnswers),
            conditions,
            budget,
            jobRequests,
            unavailableAnswers);
  }

  @Override
  public void handle(Request request, Consumer<Answer> reply) {
    String path = request.path();
    if (path.equals("/agent/beat")) {
      route(request, "POST", reply, () -> handleReport(request, reply));
    } else if (path.equals(JOBS)) {
      route(request, "POST", reply, () -> submissions.submit(request, withDeadline(reply)));
    } else if (path.startsWith(JOB_PREFIX) && path.endsWith(CANCEL_SUFFIX)) {
      String id = jobIdInCancelPath(path);
      route(request, "POST", reply, () -> jobRequests.cancel(id, withDeadline(reply)));
    } else if (path.startsWith(JOB_PREFIX)) {
      String id = path.substring(JOB_PREFIX.length());
      route(request, "GET", reply, () -> jobRequests.get(id, withDeadline(reply)));
    } else if (path.equals("/up")) {
      route(request, "GET", reply, () -> reply.accept(readinessAnswer()));
    } else {
      reply.accept(Answer.error(404, "unknown path"));
    }
  }

  private static void route(
      Request request, String method, Consumer<Answer> reply, Runnable handler) {
    if (request.method().equals(method)) {
      handler.run();
    } else {
      reply.accept(Answer.error(405, "use " + method));
    }
  }

  private static String jobIdInCancelPath(String path) {
    int begin = JOB_PREFIX.length();
    int end = path.length() - CANCEL_SUFFIX.length();
    return path.substring(begin, Math.max(begin, end));
  }

  /** Answers the load balancer's health check. */
  private Answer readinessAnswer() {
    return conditions.isUp()
        ? Answer.of(200, Codec.CBOR, Fields.create())
        : Answer.later(503, "can't serve now", ApiConstants.RETRY_AFTER_S);
  }

  private void handleReport(Request request, Consumer<Answer> reply) {
    WorkerReport report;
    try {
      report = WorkerReport.read(Codec.CBOR.decode(request.body()));
    } catch (WireException e) {
      reply.accept(Answer.error(400, e.getMessage()));
      return;
    }
    reports.handle(report, answer -> reply.accept(answer.then(Answer.Afterwards.KEEP_IF_ROOM)));
  }

  /**
   * Wraps a reply so that status 503 is sent if there is no answer within {@link
   * ApiConstants#ANSWER_DEADLINE_MS}. The request may still take effect afterwards; a repeated
   * request then gets the resulting state.
   */
  private Consumer<Answer> withDeadline(Consumer<Answer> reply) {
    boolean[] hasAnswered = new boolean[1];
    EventLoop.Cancellable timeout =
        eventLoop.after(
            ApiConstants.ANSWER_DEADLINE_MS,
            () -> {
              if (!hasAnswered[0]) {
                hasAnswered[0] = true;
                reply.accept(unavailableAnswers.answer("took too long"));
              }
            });
    return answer -> {
      if (!hasAnswered[0]) {
        hasAnswered[0] = true;
        timeout.cancel();
        reply.accept(answer);
      }
    };
  }
}
