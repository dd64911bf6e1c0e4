package fennelthread.api;

import fennelthread.jobs.FinalRecord;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;
import fennelthread.jobs.LookupResult;
import fennelthread.net.Answer;
import fennelthread.wire.Codec;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import fennelthread.wire.JobStatus;
import java.util.List;
import java.util.function.Consumer;

/** Serves questions about jobs and their cancellation. */
final class JobRequests {
  private final JobStore store;
  private final JobTable table;
  private final UnavailableAnswers unavailableAnswers;

  JobRequests(JobStore store, JobTable table, UnavailableAnswers unavailableAnswers) {
    this.store = store;
    this.table = table;
    this.unavailableAnswers = unavailableAnswers;
  }

  /** Answers with a job's state. */
  void get(String id, Consumer<Answer> reply) {
    if (!JobSpec.isId(id)) {
      reply.accept(Answer.error(404, "unknown job"));
      return;
    }
    store.lookup(id, found -> reply.accept(statusAnswer(id, found)));
  }

  /** Cancels a job, and answers with the state that it then has. */
  void cancel(String id, Consumer<Answer> reply) {
    if (!JobSpec.isId(id)) {
      reply.accept(Answer.error(404, "unknown job"));
      return;
    }
    store.cancel(
        id,
        found -> {
          boolean stillLive = found instanceof LookupResult.Live;
          reply.accept(
              stillLive ? unavailableAnswers.answer("try again") : statusAnswer(id, found));
        });
  }

  /** The answer to a user who asked about a job that was looked up. */
  Answer statusAnswer(String id, LookupResult found) {
    if (found instanceof LookupResult.Live live) {
      return statusOf(id, live.job());
    }
    if (found instanceof FinalRecord end) {
      return ok(new JobStatus(id, end.state(), end.finishedTaskCount(), 0, List.of()));
    }
    if (found instanceof LookupResult.Unknown) {
      return Answer.error(404, "unknown job");
    }
    return unavailableAnswers.answer(
        found instanceof LookupResult.Unavailable unavailable
            ? unavailable.reason().text()
            : "the job's state is not known");
  }

  private Answer statusOf(String id, Job job) {
    int started = table.startedTaskCount(job);
    JobState state = started > 0 ? JobState.RUNNING : JobState.PENDING;
    List<String> unmet = store.dependencyTracker().graph().unmetDependencies(id);
    return ok(new JobStatus(id, state, job.finishedTasks().cardinality(), started, unmet));
  }

  private static Answer ok(JobStatus status) {
    return Answer.of(200, Codec.CBOR, status.write());
  }
}
