package fennelthread.simulation;

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
  private final SimulatedNetwork network;
  private final InvariantChecker rules;
  private final SimulatedNetwork.Process process;
  private final Map<String, String> addresses;
  private final List<Consumer<String>> onNews = new ArrayList<>();

  /** The jobs that were submitted, invalid ones apart. */
  final List<JobSpec> jobs = new ArrayList<>();

  /**
   * Creates them.
   *
   * @param addresses the controllers' addresses, by member
   */
  SimulatedUsers(
      SimulatedNetwork network,
      InvariantChecker rules,
      SimulatedNetwork.Process process,
      Map<String, String> addresses) {
    this.network = network;
    this.rules = rules;
    this.process = process;
    this.addresses = addresses;
  }

  /** A user submits a job until it is accepted, and asks about it for ever. */
  void submit(JobSpec spec) {
    rules.submits(spec);
    jobs.add(spec);
    submit(spec, 40);
  }

  /** The same by a user who never asks about it. */
  void submitOnly(JobSpec spec) {
    rules.submits(spec);
    jobs.add(spec);
    ask("POST", "/v1/jobs", Codec.CBOR.encode(spec.write()), spec.id(), 5_000, good -> {});
  }

  private void submit(JobSpec spec, int tries) {
    ask(
        "POST",
        "/v1/jobs",
        Codec.CBOR.encode(spec.write()),
        spec.id(),
        5_000,
        good -> {
          if (good) {
            poll(spec.id());
          } else if (tries > 0) {
            network.after(1_000, () -> submit(spec, tries - 1));
          }
        });
  }

  private void poll(String id) {
    // Of one that is over users ask again now and then, for ever.
    network.after(
        rules.isOver(id)
            ? 5_000 + network.random.nextInt(20_000)
            : 2_000 + network.random.nextInt(3_000),
        () -> {
          rules.asks(id);
          question(id);
        });
  }

  private void question(String id) {
    ask(
        "GET",
        "/v1/jobs/" + id,
        null,
        id,
        2_000,
        good -> {
          if (good) {
            poll(id);
          } else {
            network.after(1_000, () -> question(id));
          }
        });
  }

  /** A user asks some controller to cancel a job until it is answered. */
  void withdraw(String id) {
    rules.asksToCancel(id);
    ask(
        "POST",
        "/v1/jobs/" + id + "/withdraw",
        new byte[0],
        id,
        5_000,
        good -> {
          if (!good) {
            network.after(1_000, () -> withdraw(id));
          }
        });
  }

  /** A user asks one controller to cancel a job, as often as it takes or its user has patience. */
  void withdrawThrough(String member, String id, int tries) {
    rules.asksToCancel(id);
    ask(
        addresses.get(member),
        "POST",
        "/v1/jobs/" + id + "/withdraw",
        new byte[0],
        id,
        5_000,
        good -> {
          if (!good && tries > 1) {
            network.after(1_000, () -> withdrawThrough(member, id, tries - 1));
          }
        });
  }

  /** A user asks one controller about a job, once. */
  void askThrough(String member, String id) {
    ask(addresses.get(member), "GET", "/v1/jobs/" + id, null, id, 2_000, good -> {});
  }

  /** A user asks one controller about a job, once. */
  void askAt(String member, String id) {
    askAt(member, id, answer -> {});
  }

  /** The same; {@code then} gets the answer, or null if there was none. */
  void askAt(String member, String id, Consumer<Answer> then) {
    InvariantChecker.Known before = rules.known(id);
    ask(addresses.get(member), Call.get("/v1/jobs/" + id), id, 2_000, before, then);
  }

  /** A user submits a body to one controller, once; {@code then} gets the answer, or null. */
  void submitAt(String member, String id, Fields body, Consumer<Answer> then) {
    Call call = Call.post("/v1/jobs", Codec.CBOR, body);
    ask(addresses.get(member), call, id, 5_000, rules.known(id), then);
  }

  /** A user asks one controller to cancel a job, once; {@code then} gets the answer, or null. */
  void cancelAt(String member, String id, Consumer<Answer> then) {
    Call call = new Call("POST", "/v1/jobs/" + id + "/withdraw", new byte[0], Codec.CBOR);
    ask(addresses.get(member), call, id, 5_000, rules.known(id), then);
  }

  private void ask(
      String to,
      Call call,
      String id,
      long timeoutMs,
      InvariantChecker.Known before,
      Consumer<Answer> then) {
    process.call(
        to,
        call,
        timeoutMs,
        answer -> {
          note(id, answer, before);
          then.accept(answer);
        });
  }

  /** Calls a listener with a job's id when a user is first told that it is accepted or over. */
  void onNews(Consumer<String> listener) {
    onNews.add(listener);
  }

  /** A user asks about a job that nobody has submitted. */
  void askUnknown() {
    String id = "job-9" + network.random.nextInt(100_000);
    ask("GET", "/v1/jobs/" + id, null, id, 2_000, good -> {});
  }

  private void ask(
      String method, String path, byte[] body, String id, long timeoutMs, Consumer<Boolean> done) {
    List<String> all = List.copyOf(addresses.values());
    ask(all.get(network.random.nextInt(all.size())), method, path, body, id, timeoutMs, done);
  }

  private void ask(
      String to,
      String method,
      String path,
      byte[] body,
      String id,
      long timeoutMs,
      Consumer<Boolean> done) {
    InvariantChecker.Known before = rules.known(id);
    process.call(
        to,
        new Call(method, path, body, Codec.CBOR),
        timeoutMs,
        answer -> done.accept(note(id, answer, before)));
  }

  private boolean note(String id, Answer answer, InvariantChecker.Known before) {
    if (answer == null) {
      return false;
    }
    if (answer.status() != 200 && answer.status() != 201) {
      rules.refused(id, answer.status(), before);
      return false;
    }
    try {
      Fields body = answer.fields();
      InvariantChecker.Known then = rules.known(id);
      rules.told(id, body.text("estado"), body.count("done", -1), before);
      if (rules.known(id).isNewsAfter(then)) {
        onNews.forEach(listener -> listener.accept(id));
      }
    } catch (WireException e) {
      throw new AssertionError(e);
    }
    return true;
  }
}
