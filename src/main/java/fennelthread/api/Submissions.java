package fennelthread.api;

import fennelthread.constants.ApiConstants;
import fennelthread.jobs.AcceptResult;
import fennelthread.jobs.DependencyCheckResult;
import fennelthread.jobs.JobStore;
import fennelthread.jobs.LookupResult;
import fennelthread.jobs.Submission;
import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import fennelthread.wire.JobStatus;
import fennelthread.wire.WireException;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Serves submissions. They are idempotent: a job that was accepted before is answered with its
 * state, whatever else the repeated body holds.
 */
final class Submissions {
  private static final String NO_MEMORY = "no memory for more jobs";

  private final JobStore store;
  private final Feasibility feasibility;
  private final ServingConditions conditions;
  private final JobRequests jobRequests;
  private final UnavailableAnswers unavailableAnswers;

  Submissions(
      JobStore store,
      Feasibility feasibility,
      ServingConditions conditions,
      JobRequests jobRequests,
      UnavailableAnswers unavailableAnswers) {
    this.store = store;
    this.feasibility = feasibility;
    this.conditions = conditions;
    this.jobRequests = jobRequests;
    this.unavailableAnswers = unavailableAnswers;
  }

  /** Validates and accepts a job. */
  void submit(Request request, Consumer<Answer> reply) {
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
      Optional<Answer> rejection = feasibility.rejection(spec);
      if (rejection.isPresent()) {
        rejectUnlessAccepted(id, rejection.get(), reply);
        return;
      }
      job = store.prepareSubmission(spec);
    } catch (WireException e) {
      rejectUnlessAccepted(id, Answer.error(400, e.getMessage()), reply);
      return;
    }
    admit(job, reply);
  }

  private void admit(Submission job, Consumer<Answer> reply) {
    String id = job.spec().id();
    if (conditions.isMemoryShort() && !store.isKnownAccepted(id)) {
      unavailableAnswers.count(NO_MEMORY);
      rejectUnlessAccepted(
          id, Answer.later(503, NO_MEMORY, ApiConstants.MEMORY_SHORT_RETRY_AFTER_S), reply);
    } else if (job.spec().dependencies().isEmpty() || store.isKnownAccepted(id)) {
      accept(job, reply);
    } else {
      checkDependencies(job, reply);
    }
  }

  private void checkDependencies(Submission job, Consumer<Answer> reply) {
    String id = job.spec().id();
    if (conditions.isOutdatedPeerServing()) {
      // It would run the job without waiting, if it came to lead.
      String cause = "a controller that does not know " + JobSpec.DEPENDENCIES + " still serves";
      rejectUnlessAccepted(id, unavailableAnswers.answer(cause), reply);
      return;
    }
    store.checkDependencies(
        job.spec(),
        result -> {
          if (result instanceof DependencyCheckResult.Valid valid) {
            accept(valid.hasCancelledDependency() ? store.cancelledOnAcceptance(job) : job, reply);
          } else if (result instanceof DependencyCheckResult.Invalid invalid) {
            String why = JobSpec.DEPENDENCIES + ": " + invalid.reason();
            rejectUnlessAccepted(id, Answer.error(422, why), reply);
          } else if (result instanceof DependencyCheckResult.Unavailable unavailable) {
            reply.accept(unavailableAnswers.answer(unavailable.reason().text()));
          }
        });
  }

  private void accept(Submission job, Consumer<Answer> reply) {
    String id = job.spec().id();
    store.accept(
        job,
        result -> {
          if (result instanceof AcceptResult.Accepted) {
            JobState state = job.initialState();
            reply.accept(Answer.of(201, Codec.CBOR, JobStatus.accepted(id, state)));
          } else if (result instanceof AcceptResult.AlreadyAccepted) {
            store.lookup(id, found -> reply.accept(jobRequests.statusAnswer(id, found)));
          } else if (result instanceof AcceptResult.TooLarge) {
            rejectUnlessAccepted(id, Answer.error(400, "body: is too large"), reply);
          } else if (result instanceof AcceptResult.Unavailable unavailable) {
            reply.accept(unavailableAnswers.answer(unavailable.reason().text()));
          }
        });
  }

  /** Answers with the state of a job that was accepted before, with a rejection otherwise. */
  private void rejectUnlessAccepted(String id, Answer rejection, Consumer<Answer> reply) {
    store.lookup(
        id,
        found ->
            reply.accept(
                found instanceof LookupResult.Unknown
                    ? rejection
                    : jobRequests.statusAnswer(id, found)));
  }
}
