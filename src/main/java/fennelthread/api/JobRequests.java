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

/** Serves users' requests for a job's state and for its cancellation. */
final class JobRequests {
  private final JobStore store;
  private final JobTable table;
  private final UnavailableAnswers unavailableAnswers;

  JobRequests(JobStore store, JobTable table, UnavailableAnswers unavailableAnswers) {
    this.store = store;
    this.table = table;
    this.unavailableAnswers = unavailableAnswers;
  }

  /** Answers with a job's state, or status 404 if there is no such job. */
  void get(String id, Consumer<Answer> reply) {
    if (!JobSpec.isId(id)) {
      reply.accept(Answer.error(404, "unknown job"));
      return;
    }
    store.lookup(id, found -> reply.accept(statusAnswer(id, found)));
  }

  /**
   * Cancels a job and answers with its final state: cancelled, or done if the job had finished
   * before. The answer has status 503 if the job is still live because its cancellation did not
   * succeed.
   */
  void cancel(String id, Consumer<Answer> reply) {
    if (!JobSpec.isId(id)) {
      reply.accept(Answer.error(404, "unknown job"));
      return;
    }
    store.cancel(
        id,
        found -> {
          boolean isStillLive = found instanceof LookupResult.Live;
          reply.accept(
              isStillLive ? unavailableAnswers.answer("try again") : statusAnswer(id, found));
        });
  }

  /** Returns the answer to a question about a job, given the result of its lookup. */
  Answer statusAnswer(String id, LookupResult found) {
    if (found instanceof LookupResult.Live live) {
      return liveAnswer(id, live.job());
    }
    if (found instanceof FinalRecord record) {
      return ok(new JobStatus(id, record.state(), record.finishedTaskCount(), 0, List.of()));
    }
    if (found instanceof LookupResult.Unknown) {
      return Answer.error(404, "unknown job");
    }
    return unavailableAnswers.answer(
        found instanceof LookupResult.Unavailable unavailable
            ? unavailable.reason().text()
            : "the job's state is not known");
  }

  private Answer liveAnswer(String id, Job job) {
    int startedTasks = table.startedTaskCount(job);
    JobState state = startedTasks > 0 ? JobState.RUNNING : JobState.PENDING;
    List<String> unmet = store.dependencyTracker().graph().unmetDependencies(id);
    return ok(new JobStatus(id, state, job.finishedTasks().cardinality(), startedTasks, unmet));
  }

  private static Answer ok(JobStatus status) {
    return Answer.of(200, Codec.CBOR, status.write());
  }
}
