package fennelthread.api;

import fennelthread.admission.MemoryBudget;
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
 * Serves submissions of jobs. They are idempotent: the submission of a job that was accepted before
 * is answered with its state, even if the repeated body differs or is invalid.
 */
final class Submissions {
  private final JobStore store;
  private final Feasibility feasibility;
  private final ServingConditions conditions;
  private final MemoryBudget budget;
  private final JobRequests jobRequests;
  private final UnavailableAnswers unavailableAnswers;

  Submissions(
      JobStore store,
      Feasibility feasibility,
      ServingConditions conditions,
      MemoryBudget budget,
      JobRequests jobRequests,
      UnavailableAnswers unavailableAnswers) {
    this.store = store;
    this.feasibility = feasibility;
    this.conditions = conditions;
    this.budget = budget;
    this.jobRequests = jobRequests;
    this.unavailableAnswers = unavailableAnswers;
  }

  /** Validates a job, accepts it and answers with its state. */
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
    Submission submission;
    try {
      JobSpec spec = JobSpec.read(body);
      Optional<Answer> rejection = feasibility.rejection(spec);
      if (rejection.isPresent()) {
        rejectUnlessAccepted(id, rejection.get(), reply);
        return;
      }
      submission = store.prepareSubmission(spec);
    } catch (WireException e) {
      rejectUnlessAccepted(id, Answer.error(400, e.getMessage()), reply);
      return;
    }
    admit(submission, reply);
  }

  private void admit(Submission submission, Consumer<Answer> reply) {
    JobSpec spec = submission.spec();
    if (store.isKnownAccepted(spec.id())) {
      accept(submission, reply);
      return;
    }
    MemoryBudget.Refusal refusal = budget.reserve(spec);
    if (refusal != null) {
      rejectForMemory(spec.id(), refusal, reply);
      return;
    }
    Consumer<Answer> releasingReply =
        answer -> {
          budget.release(spec);
          reply.accept(answer);
        };
    if (spec.dependencies().isEmpty()) {
      accept(submission, releasingReply);
    } else {
      checkDependencies(submission, releasingReply);
    }
  }

  private void rejectForMemory(String id, MemoryBudget.Refusal refusal, Consumer<Answer> reply) {
    unavailableAnswers.count(refusal.text());
    rejectUnlessAccepted(
        id, Answer.later(503, refusal.text(), ApiConstants.MEMORY_SHORT_RETRY_AFTER_S), reply);
  }

  private void checkDependencies(Submission submission, Consumer<Answer> reply) {
    String id = submission.spec().id();
    if (conditions.isOutdatedPeerServing()) {
      // If that peer became leader, it would run the job without waiting for its dependencies.
      String cause = "a controller that does not know " + JobSpec.DEPENDENCIES + " still serves";
      rejectUnlessAccepted(id, unavailableAnswers.answer(cause), reply);
      return;
    }
    store.checkDependencies(
        submission.spec(),
        result -> {
          if (result instanceof DependencyCheckResult.Valid valid) {
            accept(
                valid.hasCancelledDependency()
                    ? store.prepareCancelledSubmission(submission)
                    : submission,
                reply);
          } else if (result instanceof DependencyCheckResult.Invalid invalid) {
            String reason = JobSpec.DEPENDENCIES + ": " + invalid.reason();
            rejectUnlessAccepted(id, Answer.error(422, reason), reply);
          } else if (result instanceof DependencyCheckResult.Unavailable unavailable) {
            reply.accept(unavailableAnswers.answer(unavailable.reason().text()));
          }
        });
  }

  private void accept(Submission submission, Consumer<Answer> reply) {
    String id = submission.spec().id();
    store.accept(
        submission,
        result -> {
          if (result instanceof AcceptResult.Accepted) {
            JobState state = submission.initialState();
            reply.accept(Answer.of(201, Codec.CBOR, JobStatus.writeAccepted(id, state)));
          } else if (result instanceof AcceptResult.AlreadyAccepted) {
            store.lookup(id, found -> reply.accept(jobRequests.statusAnswer(id, found)));
          } else if (result instanceof AcceptResult.TooLarge) {
            rejectUnlessAccepted(id, Answer.error(400, "body: is too large"), reply);
          } else if (result instanceof AcceptResult.Unavailable unavailable) {
            reply.accept(unavailableAnswers.answer(unavailable.reason().text()));
          }
        });
  }

  /** Answers with the job's state if it was accepted before, otherwise with the rejection. */
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
