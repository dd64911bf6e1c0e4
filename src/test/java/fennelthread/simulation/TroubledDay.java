package fennelthread.simulation;

import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.Predicate;

/**
 * A simulated day with services, arrays, one-task jobs and long jobs, on which troubles occur. Each
 * trouble meets a start, the end of short jobs and cancellations of running jobs. The invariants
 * are checked after each event, {@code unserved}, {@code waiting} and {@code forgotten} when the
 * troubles are over.
 */
final class TroubledDay {
  private static final long SERVICES_FROM_MS = 12_000;
  private static final long JOBS_FROM_MS = 15_000;

  /** When services and long jobs run, and the event happens that users or the day bring about. */
  private static final long EVENT_MS = 32_000;

  /** When the event has happened. */
  private static final long EVENT_BY_MS = 42_000;

  private static final long LEADER_DOWN_MS = 4_000;

  /** How long what a trouble held up may come after it, and how long claims take. */
  private static final long AFTERMATH_MS = 25_000;

  /** Longer than a job may wait while a machine that fits has room. */
  private static final long CALM_MS = 100_000;

  private static final long SETTLE_MS = 30_000;
  private static final long WINDOW_MS = 15_000;
  private static final long SAMPLE_MS = 500;
  private static final int REPLICAS = 4;
  private static final int ARRAY_TASKS = 10;

  /** What troubles are drawn around: their times count from it. */
  enum Event {
    /** A job is submitted, and begins soon after. */
    START,
    /** The last task of a job ends. */
    COMPLETION,
    /** Users cancel a service and a job that have run for long. */
    CANCELLATION,
    /** The leader's process ends. */
    LEADER_END,
    /** The next leader's claim has just been applied. */
    CLAIM
  }

  /** A trouble that begins so long after the event, or before it, and lasts so long. */
  record Occurrence(Troubles.Trouble trouble, long offsetMs, long lengthMs, double strength) {
    static Occurrence usual(String name, long offsetMs) {
      Troubles.Trouble trouble = Troubles.named(name);
      return new Occurrence(
          trouble, offsetMs, (long) trouble.lengthMs().usual(), trouble.strength().usual());
    }

    long endMs() {
      return offsetMs + lengthMs;
    }
  }

  /** What users had of a day: shares from 0 to 1. */
  record Outcome(double replicas, double worst, double done, double accepted) {
    double least() {
      return Math.min(Math.min(replicas, worst), Math.min(done, accepted));
    }
  }

  final SimulatedCluster cluster;
  private final int machines;
  private final List<JobSpec> services = new ArrayList<>();
  private final List<JobSpec> longJobs = new ArrayList<>();
  private final List<JobSpec> shortJobs = new ArrayList<>();
  private final List<Double> replicasUp = new ArrayList<>();
  private int cancelledServices;
  private int cancelledLongJobs;
  private boolean scheduled;

  private TroubledDay(long seed, int machines) {
    this.machines = machines;
    cluster = new SimulatedCluster(seed, deployment(seed, machines));
    cluster.world.loss = 0.0005;
    cluster.world.late = 0;
  }

  /** On every third day each team has a limit that it reaches. */
  private static Deployment deployment(long seed, int machines) {
    Deployment deployment = Deployment.large(machines);
    return seed % 3 == 0 ? deployment.withTeamCap(machines) : deployment;
  }

  /** Plays a whole day with an event and these troubles around it. */
  static Outcome play(long seed, int machines, Event event, List<Occurrence> troubles) {
    TroubledDay day = new TroubledDay(seed, machines);
    long lastEnd = troubles.stream().mapToLong(Occurrence::endMs).max().orElse(0);
    long calmAt = EVENT_BY_MS + Math.max(0, lastEnd) + AFTERMATH_MS;
    day.submitAll(calmAt);
    if (seed % 4 == 1) {
      day.cluster.submitPipelines(calmAt);
    }
    day.bringAbout(event, troubles);
    day.cluster.world.at(calmAt, day.cluster.checker::recordEndOfFaults);
    day.watchServices(calmAt);
    day.runUntilSettled(calmAt);
    day.cluster.checker.checkServed(SETTLE_MS);
    return day.outcome();
  }

  /** Runs until nothing is left to do, at least until all that was submitted last is settled. */
  private void runUntilSettled(long calmAt) {
    cluster.world.runUntil(calmAt + SETTLE_MS);
    while (cluster.world.now() < calmAt + CALM_MS
        && !cluster.jobs.stream().allMatch(this::isSettled)) {
      cluster.world.runUntil(cluster.world.now() + SAMPLE_MS);
    }
  }

  /** True if its user knows that the job is over and none of it runs, or if all replicas run. */
  private boolean isSettled(JobSpec job) {
    return cluster.checker.isOver(job.id())
        ? cluster.checker.running(job.id()) == 0
        : job.service()
            && !cluster.checker.isCancelRequested(job.id())
            && cluster.checker.running(job.id()) == job.tasks();
  }

  // ---------------------------------------------------------------- the event and its troubles

  private void bringAbout(Event event, List<Occurrence> troubles) {
    switch (event) {
      case START, CANCELLATION -> scheduleAll(troubles, EVENT_MS);
      case COMPLETION -> atNextCompletion(endMs -> scheduleOnce(troubles, endMs));
      case LEADER_END -> {
        endLeaderAtEvent();
        scheduleAll(troubles, EVENT_MS);
      }
      case CLAIM -> {
        endLeaderAtEvent();
        cluster.state.onWrite.add(key -> afterClaim(key, troubles));
      }
    }
    cluster.world.at(EVENT_BY_MS, () -> scheduleOnce(troubles, EVENT_BY_MS));
  }

  private void endLeaderAtEvent() {
    cluster.world.at(
        EVENT_MS,
        () -> Troubles.named("leader crashes").effect().begin(cluster, 1, LEADER_DOWN_MS));
  }

  private void afterClaim(String key, List<Occurrence> troubles) {
    if (key.equals("live/lead") && cluster.world.now() > EVENT_MS) {
      scheduleOnce(troubles, cluster.world.now());
    }
  }

  /** Finds a job whose last task is about to end, once its remaining tasks have begun to run. */
  private void atNextCompletion(LongConsumer endKnown) {
    cluster.cancellations.onExpectedEnd(
        (job, endMs) -> {
          if (endMs > EVENT_MS && endMs < EVENT_BY_MS && job.tasks() > 1) {
            endKnown.accept(endMs);
          }
        });
  }

  private void scheduleOnce(List<Occurrence> troubles, long eventMs) {
    if (!scheduled) {
      scheduleAll(troubles, eventMs);
    }
  }

  private void scheduleAll(List<Occurrence> troubles, long eventMs) {
    scheduled = true;
    surround(eventMs);
    for (Occurrence trouble : troubles) {
      long atMs = eventMs + trouble.offsetMs();
      cluster.world.at(
          atMs,
          () -> trouble.trouble().effect().begin(cluster, trouble.strength(), trouble.lengthMs()));
      surround(atMs);
    }
  }

  // ---------------------------------------------------------------- what users do

  private void submitAll(long untilMs) {
    for (int i = 0; i < machines * 3 / 20; i++) {
      JobSpec service = cluster.plainJob(true, REPLICAS);
      services.add(service);
      cluster.world.at(SERVICES_FROM_MS, () -> cluster.submit(service));
    }
    for (int i = 0; i < 6; i++) {
      JobSpec job = placed(lasting(4, 60), i);
      longJobs.add(job);
      cluster.world.at(SERVICES_FROM_MS + 1_000, () -> cluster.submit(job));
    }
    long everyMs = 140_000 / machines;
    for (long at = JOBS_FROM_MS; at < untilMs; at += everyMs) {
      submitShort(at, cluster.plainJob(false, ARRAY_TASKS));
    }
    for (long at = JOBS_FROM_MS; at < untilMs; at += 500) {
      submitShort(at, lasting(1, 1));
    }
  }

  /** Starts, ends and cancellations of running jobs at the moment of a trouble. */
  private void surround(long atMs) {
    submitShort(atMs - 30, cluster.plainJob(false, ARRAY_TASKS));
    submitShort(atMs + 30, lasting(1, 1));
    submitCancelled(atMs - 200, atMs, 1);
    submitCancelled(atMs - 1_000, atMs + 500, 3);
    submitCancelled(atMs - 2_500, atMs - 100, 1);
    cancelNext(atMs);
  }

  private void submitShort(long atMs, JobSpec job) {
    shortJobs.add(job);
    cluster.world.at(atMs, () -> cluster.submit(job));
  }

  private void submitCancelled(long atMs, long cancelledAtMs, int tasks) {
    JobSpec job = lasting(tasks, 20);
    cluster.world.at(atMs, () -> cluster.submit(job));
    cluster.world.at(cancelledAtMs, () -> cluster.cancel(job.id()));
  }

  /** Users cancel a long job and a service, both of which have run for a while. */
  private void cancelNext(long atMs) {
    String longJob = longJobs.get(cancelledLongJobs++).id();
    String service = services.get(cancelledServices++).id();
    cluster.world.at(atMs + 20, () -> cluster.cancel(longJob));
    cluster.world.at(atMs + 1_000, () -> cluster.cancel(service));
  }

  private JobSpec lasting(int tasks, double estimateS) {
    return copy(cluster.plainJob(false, tasks), estimateS, null, false, false);
  }

  /** Every second long job is bound to one zone, to any one, or to several. */
  private static JobSpec placed(JobSpec job, int index) {
    return switch (index) {
      case 0 -> copy(job, job.estimateS(), "sur", false, false);
      case 2 -> copy(job, job.estimateS(), null, true, false);
      case 4 -> copy(job, job.estimateS(), null, false, true);
      default -> job;
    };
  }

  private static JobSpec copy(
      JobSpec job, double estimateS, String zone, boolean onePlace, boolean apart) {
    return JobSpec.builder(job.id())
        .jobClass(job.jobClass())
        .team(job.team())
        .priority(estimateS > 30 ? Priority.STANDARD : job.priority())
        .tasks(job.tasks())
        .cpus(1)
        .memGb(2)
        .image(job.image())
        .imageGb(1)
        .zone(zone)
        .sameZone(onePlace)
        .spreadAcrossZones(apart)
        .spotAllowed(true)
        .estimateS(estimateS)
        .deadlineS(estimateS > 30 ? JobSpec.NO_DEADLINE : job.deadlineS())
        .build();
  }

  // ---------------------------------------------------------------- what they had of it

  private void watchServices(long untilMs) {
    for (long at = EVENT_MS; at < untilMs; at += SAMPLE_MS) {
      cluster.world.at(at, this::sampleServices);
    }
  }

  /** Samples the share of replicas that run, of the services that nobody has cancelled. */
  private void sampleServices() {
    List<JobSpec> wanted =
        services.stream().filter(job -> !cluster.checker.isCancelRequested(job.id())).toList();
    int running = wanted.stream().mapToInt(job -> cluster.checker.running(job.id())).sum();
    replicasUp.add(wanted.isEmpty() ? 1 : running / (double) (wanted.size() * REPLICAS));
  }

  private Outcome outcome() {
    int window = (int) (WINDOW_MS / SAMPLE_MS);
    List<Double> windows = new ArrayList<>();
    for (int i = 0; i + window <= replicasUp.size(); i++) {
      windows.add(average(replicasUp.subList(i, i + window)));
    }
    return new Outcome(
        average(replicasUp),
        windows.stream().min(Comparator.naturalOrder()).orElse(1.0),
        shareOfShortJobs(job -> cluster.checker.allCompleted(job.id())),
        shareOfShortJobs(job -> cluster.checker.isAccepted(job.id())));
  }

  private static double average(List<Double> shares) {
    return shares.stream().mapToDouble(share -> share).average().orElse(1);
  }

  private double shareOfShortJobs(Predicate<JobSpec> holds) {
    return shortJobs.stream().filter(holds).count() / (double) shortJobs.size();
  }
}
