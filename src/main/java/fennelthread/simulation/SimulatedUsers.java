package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Emulates users who submit, query and cancel jobs; the invariant checker sees every answer. */
final class SimulatedUsers {
  private static final String JOBS_PATH = "/v1/jobs";

  private final SimulatedNetwork network;
  private final InvariantChecker checker;
  private final SimulatedProcess process;
  private final Map<String, String> addresses;
  private final List<Consumer<String>> statusListeners = new ArrayList<>();

  /** The submitted jobs, without the invalid ones of {@link #submitAt}. */
  final List<JobSpec> jobs = new ArrayList<>();

  /**
   * Creates users that run in one process.
   *
   * @param addresses the controllers' API addresses, by member name
   */
  SimulatedUsers(
      SimulatedNetwork network,
      InvariantChecker checker,
      SimulatedProcess process,
      Map<String, String> addresses) {
    this.network = network;
    this.checker = checker;
    this.process = process;
    this.addresses = addresses;
  }

  /**
   * Submits a job, retrying up to {@link SimulationConstants#MAX_SUBMISSION_RETRIES} times until it
   * is accepted, and then asks about it until the run ends.
   */
  void submit(JobSpec spec) {
    recordSubmission(spec);
    submit(spec, SimulationConstants.MAX_SUBMISSION_RETRIES);
  }

  /** Submits a job once and never asks about it. */
  void submitOnce(JobSpec spec) {
    recordSubmission(spec);
    send(
        pickAddress(),
        submissionCall(spec.write()),
        spec.id(),
        SimulationConstants.SUBMIT_TIMEOUT_MS,
        answer -> {});
  }

  private void recordSubmission(JobSpec spec) {
    checker.recordSubmission(spec);
    jobs.add(spec);
  }

  private void submit(JobSpec spec, int triesLeft) {
    send(
        pickAddress(),
        submissionCall(spec.write()),
        spec.id(),
        SimulationConstants.SUBMIT_TIMEOUT_MS,
        answer -> {
          if (isSuccess(answer)) {
            scheduleQuery(spec.id());
          } else if (triesLeft > 0) {
            network.after(
                SimulationConstants.USER_RETRY_DELAY_MS, () -> submit(spec, triesLeft - 1));
          }
        });
  }

  private void scheduleQuery(String id) {
    // Users go on asking about a job that is over, less often.
    network.after(
        checker.isOver(id)
            ? 5_000 + network.random.nextInt(20_000)
            : 2_000 + network.random.nextInt(3_000),
        () -> {
          checker.recordQuery(id);
          queryJob(id);
        });
  }

  private void queryJob(String id) {
    send(
        pickAddress(),
        queryCall(id),
        id,
        SimulationConstants.POLL_TIMEOUT_MS,
        answer -> {
          if (isSuccess(answer)) {
            scheduleQuery(id);
          } else {
            network.after(SimulationConstants.USER_RETRY_DELAY_MS, () -> queryJob(id));
          }
        });
  }

  /** Asks random controllers to cancel a job until one of them confirms it. */
  void cancel(String id) {
    checker.recordCancelRequest(id);
    send(
        pickAddress(),
        cancellationCall(id),
        id,
        SimulationConstants.SUBMIT_TIMEOUT_MS,
        answer -> {
          if (!isSuccess(answer)) {
            network.after(SimulationConstants.USER_RETRY_DELAY_MS, () -> cancel(id));
          }
        });
  }

  /** Asks one controller to cancel a job until it confirms it, at most {@code tries} times. */
  void cancelThrough(String member, String id, int tries) {
    checker.recordCancelRequest(id);
    send(
        addresses.get(member),
        cancellationCall(id),
        id,
        SimulationConstants.SUBMIT_TIMEOUT_MS,
        answer -> {
          if (!isSuccess(answer) && tries > 1) {
            network.after(
                SimulationConstants.USER_RETRY_DELAY_MS,
                () -> cancelThrough(member, id, tries - 1));
          }
        });
  }

  /** Asks one controller about a job once; {@code then} gets the answer, or null. */
  void askAt(String member, String id, Consumer<Answer> then) {
    send(addresses.get(member), queryCall(id), id, SimulationConstants.POLL_TIMEOUT_MS, then);
  }

  /** Submits a body to one controller once; {@code then} gets the answer, or null. */
  void submitAt(String member, String id, Fields body, Consumer<Answer> then) {
    send(
        addresses.get(member),
        submissionCall(body),
        id,
        SimulationConstants.SUBMIT_TIMEOUT_MS,
        then);
  }

  /**
   * Asks one controller once to cancel a job; {@code then} gets the answer, or null. The checker
   * does not record the request: it fails if the job is cancelled and no other request asked for
   * it.
   */
  void cancelAt(String member, String id, Consumer<Answer> then) {
    send(
        addresses.get(member),
        cancellationCall(id),
        id,
        SimulationConstants.SUBMIT_TIMEOUT_MS,
        then);
  }

  /** Asks a random controller about a job that nobody has submitted. */
  void askUnknown() {
    String id = "job-9" + network.random.nextInt(100_000);
    send(pickAddress(), queryCall(id), id, SimulationConstants.POLL_TIMEOUT_MS, answer -> {});
  }

  /** Adds a listener that gets a job's id when a user is first told that it is accepted or over. */
  void onNewStatus(Consumer<String> listener) {
    statusListeners.add(listener);
  }

  private static Call submissionCall(Fields body) {
    return Call.post(JOBS_PATH, Codec.CBOR, body);
  }

  private static Call queryCall(String id) {
    return Call.get(JOBS_PATH + "/" + id);
  }

  private static Call cancellationCall(String id) {
    return new Call("POST", JOBS_PATH + "/" + id + "/withdraw", new byte[0], Codec.CBOR);
  }

  private String pickAddress() {
    List<String> all = List.copyOf(addresses.values());
    return all.get(network.random.nextInt(all.size()));
  }

  /** Sends a request; the checker gets the answer before {@code then} does. */
  private void send(String address, Call call, String id, long timeoutMs, Consumer<Answer> then) {
    InvariantChecker.UserKnowledge before = checker.userKnowledge(id);
    process.call(
        address,
        call,
        timeoutMs,
        answer -> {
          checkAnswer(id, answer, before);
          then.accept(answer);
        });
  }

  private void checkAnswer(String id, Answer answer, InvariantChecker.UserKnowledge before) {
    if (answer == null) {
      return;
    }
    if (!isSuccess(answer)) {
      checker.recordRefusal(id, answer.status(), before);
      return;
    }
    try {
      Fields body = answer.fields();
      InvariantChecker.UserKnowledge previous = checker.userKnowledge(id);
      checker.recordAnswer(
          id, body.text("estado"), body.count("done", SimulationConstants.NO_COUNT), before);
      if (checker.userKnowledge(id).isNewsAfter(previous)) {
        statusListeners.forEach(listener -> listener.accept(id));
      }
    } catch (WireException e) {
      throw new AssertionError("an answer to a user can't be read", e);
    }
  }

  private static boolean isSuccess(Answer answer) {
    return answer != null && (answer.status() == 200 || answer.status() == 201);
  }
}
