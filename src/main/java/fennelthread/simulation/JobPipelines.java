package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Submits pipelines: groups of jobs that depend on one another. */
final class JobPipelines {

  private final SimulatedNetwork network;
  private final SimulatedUsers users;
  private final RandomJobs jobs;
  private final InvariantChecker checker;

  JobPipelines(
      SimulatedNetwork network, SimulatedUsers users, RandomJobs jobs, InvariantChecker checker) {
    this.network = network;
    this.users = users;
    this.jobs = jobs;
    this.checker = checker;
  }

  private JobSpec randomStage(List<String> dependencies) {
    return jobs.job(false, 1 + network.random.nextInt(5), 1, true, false, false)
        .withDependencies(dependencies);
  }

  /**
   * Submits pipelines at random intervals until {@code untilMs}. Each has a first job, which in a
   * third of the pipelines depends on an earlier accepted array, two jobs that depend on the first,
   * and a last job that depends on both. A job is submitted as soon as its dependencies are
   * accepted; in a quarter of the pipelines the last one is only submitted when its dependencies
   * are over. In a third of the pipelines one of the jobs is cancelled within 30 s, if it is
   * accepted by then.
   */
  void submitUntil(long untilMs) {
    network.after(
        1_000 + network.random.nextInt(5_000),
        () -> {
          if (network.now() > untilMs) {
            return;
          }
          submitPipeline();
          submitUntil(untilMs);
        });
  }

  private void submitPipeline() {
    List<String> earlier = new ArrayList<>();
    for (JobSpec job : users.jobs) {
      if (!job.service() && checker.isAccepted(job.id())) {
        earlier.add(job.id());
      }
    }
    JobSpec first =
        randomStage(
            earlier.isEmpty() || network.random.nextInt(3) > 0
                ? List.of()
                : List.of(earlier.get(network.random.nextInt(earlier.size()))));
    List<JobSpec> middle =
        List.of(randomStage(List.of(first.id())), randomStage(List.of(first.id())));
    List<String> middleIds = middle.stream().map(JobSpec::id).toList();
    JobSpec last = randomStage(middleIds);
    boolean waitsForEnd = network.random.nextInt(4) == 0;
    users.submit(first);
    runWhen(
        () -> checker.isAccepted(first.id()),
        () -> {
          middle.forEach(users::submit);
          runWhen(
              () ->
                  middleIds.stream().allMatch(waitsForEnd ? checker::isOver : checker::isAccepted),
              () -> users.submit(last));
        });
    if (network.random.nextInt(3) == 0) {
      List<JobSpec> all = List.of(first, middle.get(0), middle.get(1), last);
      String cancelledId = all.get(network.random.nextInt(4)).id();
      network.after(
          network.random.nextInt(30_000),
          () -> {
            if (checker.isAccepted(cancelledId)) {
              users.cancel(cancelledId);
            }
          });
    }
  }

  /** Runs a task once a condition holds; polls it every 200 ms for at most ten minutes. */
  private void runWhen(BooleanSupplier condition, Runnable task) {
    runWhen(condition, task, SimulationConstants.MAX_PIPELINE_POLLS);
  }

  private void runWhen(BooleanSupplier condition, Runnable task, int pollsLeft) {
    if (condition.getAsBoolean()) {
      task.run();
    } else if (pollsLeft > 0) {
      network.after(
          SimulationConstants.PIPELINE_POLL_INTERVAL_MS,
          () -> runWhen(condition, task, pollsLeft - 1));
    }
  }
}
