package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.emulate.HistoryEvent.Known;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Users in open loop: jobs arrive by the clock, whatever became of those before. Each user submits,
 * asks every few seconds until the job is over, now and then afterwards, and may cancel; requests
 * that say so are repeated as the protocol asks. Runs on its loop's thread.
 */
final class EmulatedUsers {
  /** What users have met so far. */
  record Counts(
      long submitted, long accepted, long refused, long givenUp, Map<String, Long> statuses) {}

  private static final class Job {
    final JobSpec spec;
    final long submittedMs = SelectorLoop.nowMs();
    boolean accepted;
    boolean done;
    boolean cancelled;
    boolean refused;

    Job(JobSpec spec) {
      this.spec = spec;
    }

    Known known() {
      return new Known(accepted, done, cancelled);
    }

    boolean isOver() {
      return done || cancelled;
    }
  }

  private final SelectorLoop loop;
  private final RandomGenerator random;
  private final ControllerDirectory controllers;
  private final JobGenerator generator;
  private final HistoryMerger.Source history;
  private final Measurements measurements;
  private final Consumer<JobSpec> publish;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private final Map<String, List<String>> acceptedByClass = new HashMap<>();
  private final Map<String, Long> statuses = new TreeMap<>();
  private long arrivalsFromMs;
  private long arrivedUntilMs;
  private boolean arriving;
  private long accepted;
  private long refused;
  private long givenUp;
  private final AtomicInteger finalAnswers = new AtomicInteger();
  private volatile Counts counts = new Counts(0, 0, 0, 0, Map.of());

  EmulatedUsers(
      SelectorLoop loop,
      RandomGenerator random,
      ControllerDirectory controllers,
      JobGenerator generator,
      HistoryMerger.Source history,
      Measurements measurements,
      Consumer<JobSpec> publish) {
    this.loop = loop;
    this.random = random;
    this.controllers = controllers;
    this.generator = generator;
    this.history = history;
    this.measurements = measurements;
    this.publish = publish;
  }

  /** Says on and on up to when everything was told; on the loop's thread. */
  void start() {
    loop.every(
        EmulationConstants.WATERMARK_INTERVAL_MS,
        () -> {
          history.toldUntil(System.nanoTime());
          counts = new Counts(jobs.size(), accepted, refused, givenUp, new TreeMap<>(statuses));
        });
  }

  /** Jobs arrive from now on. */
  void beginArrivals() {
    arriving = true;
    arrivalsFromMs = SelectorLoop.nowMs();
    arrivedUntilMs = arrivalsFromMs;
    loop.every(EmulationConstants.ARRIVAL_INTERVAL_MS, this::arrive);
    loop.every(EmulationConstants.UNKNOWN_JOB_INTERVAL_MS, this::askAboutUnknown);
  }

  /** No more jobs arrive. */
  void endArrivals() {
    arriving = false;
  }

  /** What users have met so far; for any thread. */
  Counts counts() {
    return counts;
  }

  private void arrive() {
    long now = SelectorLoop.nowMs();
    double withinS = (now - arrivedUntilMs) / 1000.0;
    double atS = (arrivedUntilMs - arrivalsFromMs) / 1000.0;
    arrivedUntilMs = now;
    if (arriving) {
      for (JobGenerator.Arrival arrival : generator.arrivals(atS, withinS)) {
        Job job = new Job(withNamedJobs(arrival));
        jobs.put(job.spec.id(), job);
        publish.accept(job.spec);
        history.add(new HistoryEvent.Submits(System.nanoTime(), job.spec));
        submit(job);
        if (arrival.cancelAfterS() >= 0) {
          loop.after((long) (arrival.cancelAfterS() * 1000), () -> cancel(job));
        }
      }
    }
  }

  private JobSpec withNamedJobs(JobGenerator.Arrival arrival) {
    EmulationConfig.NamedJobs named = arrival.named();
    if (named == null) {
      return arrival.job();
    }
    List<String> accepted = acceptedByClass.getOrDefault(named.jobClass(), List.of());
    int count = Math.min(named.count(), accepted.size());
    return arrival.job().withDependencies(List.copyOf(accepted.subList(0, count)));
  }

  private void submit(Job job) {
    long sentNanos = System.nanoTime();
    ask(
        job,
        Call.post("/v1/jobs", Codec.CBOR, job.spec.write()),
        EmulationConstants.SUBMIT_TIMEOUT_MS,
        answer -> {
          if (answer != null) {
            measurements.answered("submission", System.nanoTime() - sentNanos);
          }
          if (isGood(answer)) {
            accepted++;
            acceptedByClass
                .computeIfAbsent(job.spec.jobClass(), name -> new ArrayList<>())
                .add(job.spec.id());
            poll(job);
          } else if (answer != null && (answer.status() == 400 || answer.status() == 422)) {
            refused++;
            job.refused = true;
          } else if (SelectorLoop.nowMs() - job.submittedMs
              < EmulationConstants.MAX_SUBMITTING_MS) {
            loop.after(pauseMs(answer), () -> submit(job));
          } else {
            givenUp++;
          }
        });
  }

  private static boolean isGood(Answer answer) {
    return answer != null && (answer.status() == 200 || answer.status() == 201);
  }

  private static long pauseMs(Answer answer) {
    long seconds = answer == null ? 1 : Math.max(1, answer.retryAfterS());
    return Math.min(EmulationConstants.MAX_RETRY_AFTER_S, seconds) * 1000;
  }

  private void poll(Job job) {
    long pause =
        job.isOver()
            ? EmulationConstants.ENDED_POLL_INTERVAL_MS
            : EmulationConstants.POLL_INTERVAL_MS;
    loop.after(pause * 3 / 4 + random.nextLong(pause / 2), () -> question(job));
  }

  private void question(Job job) {
    long sentNanos = System.nanoTime();
    ask(
        job,
        Call.get("/v1/jobs/" + job.spec.id()),
        EmulationConstants.POLL_TIMEOUT_MS,
        answer -> {
          if (answer != null) {
            measurements.answered("question", System.nanoTime() - sentNanos);
          }
          poll(job);
        });
  }

  private void cancel(Job job) {
    if (job.done || job.refused) {
      return;
    }
    if (!job.accepted) {
      loop.after(EmulationConstants.NEXT_CONTROLLER_PAUSE_MS, () -> cancel(job));
      return;
    }
    history.add(new HistoryEvent.AsksToCancel(System.nanoTime(), job.spec.id()));
    long sentNanos = System.nanoTime();
    ask(
        job,
        Call.post("/v1/jobs/" + job.spec.id() + "/withdraw", Codec.CBOR, Fields.create()),
        EmulationConstants.SUBMIT_TIMEOUT_MS,
        answer -> {
          if (answer != null) {
            measurements.answered("cancellation", System.nanoTime() - sentNanos);
          }
          if (!isGood(answer)) {
            loop.after(pauseMs(answer), () -> cancel(job));
          }
        });
  }

  /** Sends a request about a job and enters what its answer says into the history. */
  private void ask(Job job, Call call, long timeoutMs, Consumer<Answer> then) {
    Known before = job.known();
    controllers.call(
        call,
        timeoutMs,
        answer -> {
          statuses.merge(answer == null ? "none" : "" + answer.status(), 1L, Long::sum);
          enter(job, answer, before);
          then.accept(answer);
        });
  }

  private void enter(Job job, Answer answer, Known before) {
    String id = job.spec.id();
    long now = System.nanoTime();
    if (isGood(answer)) {
      try {
        Fields body = answer.fields();
        String state = body.text("estado");
        history.add(new HistoryEvent.Told(now, id, state, body.count("done", 0), before));
        job.accepted = true;
        job.done |= state.equals(JobState.DONE.wireName());
        job.cancelled |= state.equals(JobState.CANCELLED.wireName());
        return;
      } catch (WireException e) {
        System.err.println("emulation: an answer to a user can't be read: " + e.getMessage());
      }
    }
    int status = answer == null ? 0 : answer.status();
    if (status == 400 || status == 404 || status == 422) {
      history.add(new HistoryEvent.Refused(now, id, status, before));
    } else {
      history.add(new HistoryEvent.Unanswered(now, id, before));
    }
  }

  /** Users also ask about jobs that nobody has submitted; none may be known. */
  private void askAboutUnknown() {
    String id = "job-9" + String.format("%08d", random.nextInt(100_000_000));
    controllers.call(
        Call.get("/v1/jobs/" + id),
        EmulationConstants.POLL_TIMEOUT_MS,
        answer -> {
          if (isGood(answer)) {
            history.add(
                new HistoryEvent.Told(
                    System.nanoTime(), id, "known", 0, new Known(false, false, false)));
          }
        });
  }

  /** At the end asks once more about each accepted job; true once all have got an answer. */
  void askAboutAll() {
    List<Job> all = jobs.values().stream().filter(j -> j.accepted).toList();
    finalAnswers.set(0);
    for (int i = 0; i < all.size(); i++) {
      Job job = all.get(i);
      loop.after(
          (long) (i * 1000.0 / EmulationConstants.FINAL_POLLS_PER_S), () -> finalQuestion(job));
    }
  }

  private void finalQuestion(Job job) {
    ask(
        job,
        Call.get("/v1/jobs/" + job.spec.id()),
        EmulationConstants.POLL_TIMEOUT_MS,
        answer -> {
          if (answer != null && answer.status() < 429) {
            finalAnswers.incrementAndGet();
          } else {
            loop.after(pauseMs(answer), () -> finalQuestion(job));
          }
        });
  }

  /** How many of the last questions have got an answer. */
  int finalAnswers() {
    return finalAnswers.get();
  }
}
