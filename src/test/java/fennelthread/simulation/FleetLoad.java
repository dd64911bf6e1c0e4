package fennelthread.simulation;

import fennelthread.wire.JobSpec;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Jobs that fill a fleet or a team's limit, and what of them is on which machines. */
final class FleetLoad {
  private FleetLoad() {}

  /** An array job of a team whose tasks take one CPU each and run on any machine. */
  static JobSpec array(SimulatedCluster c, String team, int tasks, double estimateS) {
    JobSpec any = c.plainJob(false, tasks);
    return JobSpec.builder(any.id())
        .jobClass(any.jobClass())
        .team(team)
        .tasks(tasks)
        .cpus(1)
        .memGb(2)
        .image(any.image())
        .imageGb(1)
        .spotAllowed(true)
        .estimateS(estimateS)
        .build();
  }

  /** CPUs that a team's tasks take on machines at this moment. */
  static double used(SimulatedCluster c, String team) {
    return c.checker.tasksOnMachines().stream()
        .map(task -> c.checker.job(task.substring(0, task.indexOf('/'))))
        .filter(job -> job.team().equals(team))
        .mapToDouble(JobSpec::cpus)
        .sum();
  }

  /** True if each of these teams uses as much as its limit. */
  static boolean areAtLimit(SimulatedCluster c, List<String> teams) {
    return teams.stream().allMatch(team -> used(c, team) >= c.settings.teams().get(team).cpusMax());
  }

  /** The tasks on a machine. */
  static Set<String> tasksOn(SimulatedCluster c, WorkerEmulator machine) {
    return c.checker.tasksOnMachines().stream()
        .filter(task -> task.endsWith("@" + machine.name()))
        .collect(Collectors.toSet());
  }

  /** The machines that carry tasks of some of these jobs, in the order of their names. */
  static List<WorkerEmulator> carrying(SimulatedCluster c, List<JobSpec> jobs) {
    return c.cloud.machines().values().stream()
        .filter(w -> jobs.stream().anyMatch(job -> c.checker.isOn(job.id(), w)))
        .toList();
  }
}
