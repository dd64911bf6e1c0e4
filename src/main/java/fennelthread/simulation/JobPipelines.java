package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

/** Users whose jobs need one another. */
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

  private JobSpec stage(List<String> dependencies) {
    return jobs.job(false, 1 + network.random.nextInt(5), 1, true, false, false)
        .withDependencies(dependencies);
  }

  /**
   * Users' pipelines: a first job, which may need an earlier one of anybody, two that need it, and
   * a last one that needs both, submitted at once or only when they are over. Each is submitted as
   * soon as those that it needs are accepted; now and then some job of it is cancelled.
   */
  void submitUntil(long untilMs) {
    network.after(
        1_000 + network.random.nextInt(5_000),
        () -> {
          if (network.now() > untilMs) {
            return;
          }
          pipeline();
          submitUntil(untilMs);
        });
  }

  private void pipeline() {
    List<String> earlier = new ArrayList<>();
    for (JobSpec job : users.jobs) {
      if (!job.service() && checker.isAccepted(job.id())) {
        earlier.add(job.id());
      }
    }
    JobSpec first =
        stage(
            earlier.isEmpty() || network.random.nextInt(3) > 0
                ? List.of()
                : List.of(earlier.get(network.random.nextInt(earlier.size()))));
    List<JobSpec> middle = List.of(stage(List.of(first.id())), stage(List.of(first.id())));
    List<String> ids = middle.stream().map(JobSpec::id).toList();
    JobSpec last = stage(ids);
    boolean late = network.random.nextInt(4) == 0;
    users.submit(first);
    when(
        () -> checker.isAccepted(first.id()),
        () -> {
          middle.forEach(users::submit);
          when(
              () -> ids.stream().allMatch(late ? checker::isOver : checker::isAccepted),
              () -> users.submit(last));
        });
    if (network.random.nextInt(3) == 0) {
      List<JobSpec> all = List.of(first, middle.get(0), middle.get(1), last);
      String unlucky = all.get(network.random.nextInt(4)).id();
      network.after(
          network.random.nextInt(30_000),
          () -> {
            if (checker.isAccepted(unlucky)) {
              users.cancel(unlucky);
            }
          });
    }
  }

  /** Does something as soon as something else holds; looked at every 200 ms, for ten minutes. */
  private void when(BooleanSupplier holds, Runnable task) {
    when(holds, task, SimulationConstants.MAX_PIPELINE_POLLS);
  }

  private void when(BooleanSupplier holds, Runnable task, int tries) {
    if (holds.getAsBoolean()) {
      task.run();
    } else if (tries > 0) {
      network.after(
          SimulationConstants.PIPELINE_POLL_INTERVAL_MS, () -> when(holds, task, tries - 1));
    }
  }
}
