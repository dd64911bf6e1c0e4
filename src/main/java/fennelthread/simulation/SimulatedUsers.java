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

/** The users: they submit jobs, ask about them and cancel some, and the checker hears it all. */
final class SimulatedUsers {
  private static final String JOBS_PATH = "/v1/jobs";

  private final SimulatedNetwork network;
  private final InvariantChecker checker;
  private final SimulatedProcess process;
  private final Map<String, String> addresses;
  private final List<Consumer<String>> onNewStatus = new ArrayList<>();

  /** The jobs that were submitted, invalid ones apart. */
  final List<JobSpec> jobs = new ArrayList<>();

  /**
   * Creates them.
   *
   * @param addresses the controllers' addresses, by member
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

  /** A user submits a job until it is accepted, and asks about it for ever. */
  void submit(JobSpec spec) {
    note(spec);
    submit(spec, SimulationConstants.MAX_SUBMISSION_RETRIES);
  }

  /** The same by a user who submits once and never asks. */
  void submitOnce(JobSpec spec) {
    note(spec);
    ask(
        anyAddress(),
        submission(spec.write()),
        spec.id(),
        SimulationConstants.SUBMIT_TIMEOUT_MS,
        answer -> {});
  }

  private void note(JobSpec spec) {
    checker.recordSubmission(spec);
    jobs.add(spec);
  }

  private void submit(JobSpec spec, int triesLeft) {
    ask(
        anyAddress(),
        submission(spec.write()),
        spec.id(),
        SimulationConstants.SUBMIT_TIMEOUT_MS,
        answer -> {
          if (isGranted(answer)) {
            poll(spec.id());
          } else if (triesLeft > 0) {
            network.after(
                SimulationConstants.USER_RETRY_DELAY_MS, () -> submit(spec, triesLeft - 1));
          }
        });
  }

  private void poll(String id) {
    // Of one that is over users ask again now and then, for ever.
    network.after(
        checker.isOver(id)
            ? 5_000 + network.random.nextInt(20_000)
            : 2_000 + network.random.nextInt(3_000),
        () -> {
          checker.recordQuery(id);
          question(id);
        });
  }

  private void question(String id) {
    ask(
        anyAddress(),
        questionAbout(id),
        id,
        SimulationConstants.POLL_TIMEOUT_MS,
        answer -> {
          if (isGranted(answer)) {
            poll(id);
          } else {
            network.after(SimulationConstants.USER_RETRY_DELAY_MS, () -> question(id));
          }
        });
  }

  /** A user asks some controller to cancel a job until it is answered. */
  void cancel(String id) {
    checker.recordCancelRequest(id);
    ask(
        anyAddress(),
        cancellationOf(id),
        id,
        SimulationConstants.SUBMIT_TIMEOUT_MS,
        answer -> {
          if (!isGranted(answer)) {
            network.after(SimulationConstants.USER_RETRY_DELAY_MS, () -> cancel(id));
          }
        });
  }

  /** A user asks one controller to cancel a job, as often as it takes or its user has patience. */
  void cancelThrough(String member, String id, int tries) {
    checker.recordCancelRequest(id);
    ask(
        addresses.get(member),
        cancellationOf(id),
        id,
        SimulationConstants.SUBMIT_TIMEOUT_MS,
        answer -> {
          if (!isGranted(answer) && tries > 1) {
            network.after(
                SimulationConstants.USER_RETRY_DELAY_MS,
                () -> cancelThrough(member, id, tries - 1));
          }
        });
  }

  /** A user asks one controller about a job, once; {@code then} gets the answer, or null. */
  void askAt(String member, String id, Consumer<Answer> then) {
    ask(addresses.get(member), questionAbout(id), id, SimulationConstants.POLL_TIMEOUT_MS, then);
  }

  /** A user submits a body to one controller, once; {@code then} gets the answer, or null. */
  void submitAt(String member, String id, Fields body, Consumer<Answer> then) {
    ask(addresses.get(member), submission(body), id, SimulationConstants.SUBMIT_TIMEOUT_MS, then);
  }

  /** A user asks one controller to cancel a job, once; {@code then} gets the answer, or null. */
  void cancelAt(String member, String id, Consumer<Answer> then) {
    ask(addresses.get(member), cancellationOf(id), id, SimulationConstants.SUBMIT_TIMEOUT_MS, then);
  }

  /** A user asks about a job that nobody has submitted. */
  void askUnknown() {
    String id = "job-9" + network.random.nextInt(100_000);
    ask(anyAddress(), questionAbout(id), id, SimulationConstants.POLL_TIMEOUT_MS, answer -> {});
  }

  /** Calls a listener with a job's id when a user is first told that it is accepted or over. */
  void onNewStatus(Consumer<String> listener) {
    onNewStatus.add(listener);
  }

  private static Call submission(Fields body) {
    return Call.post(JOBS_PATH, Codec.CBOR, body);
  }

  private static Call questionAbout(String id) {
    return Call.get(JOBS_PATH + "/" + id);
  }

  private static Call cancellationOf(String id) {
    return new Call("POST", JOBS_PATH + "/" + id + "/withdraw", new byte[0], Codec.CBOR);
  }

  private String anyAddress() {
    List<String> all = List.copyOf(addresses.values());
    return all.get(network.random.nextInt(all.size()));
  }

  /** Sends a request; the checker hears the answer before {@code then} does. */
  private void ask(String to, Call call, String id, long timeoutMs, Consumer<Answer> then) {
    InvariantChecker.UserKnowledge before = checker.userKnowledge(id);
    process.call(
        to,
        call,
        timeoutMs,
        answer -> {
          hear(id, answer, before);
          then.accept(answer);
        });
  }

  private void hear(String id, Answer answer, InvariantChecker.UserKnowledge before) {
    if (answer == null) {
      return;
    }
    if (!isGranted(answer)) {
      checker.recordRefusal(id, answer.status(), before);
      return;
    }
    try {
      Fields body = answer.fields();
      InvariantChecker.UserKnowledge until = checker.userKnowledge(id);
      checker.recordAnswer(
          id, body.text("estado"), body.count("done", SimulationConstants.NO_COUNT), before);
      if (checker.userKnowledge(id).isNewsAfter(until)) {
        onNewStatus.forEach(listener -> listener.accept(id));
      }
    } catch (WireException e) {
      throw new AssertionError("an answer to a user can't be read", e);
    }
  }

  private static boolean isGranted(Answer answer) {
    return answer != null && (answer.status() == 200 || answer.status() == 201);
  }
}
