package fennelthread.simulation;

import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The protocol's reasons for which a task may be stopped, checked from outside as the command
 * arrives at its machine: its job was cancelled or is over; its machine is to be taken away; a job
 * of higher priority waits; or another team's job waits that lies within its team's guarantee,
 * while this task's team uses more than its own. A command takes its time: what held in the last
 * moments counts.
 */
final class StopChecker {
  private static final long SAMPLE_MS = 100;

  private final SimulatedCluster c;
  private final long commandMs;
  private final Map<Priority, Long> waitedAt = new EnumMap<>(Priority.class);
  private final Map<String, Long> owedAt = new HashMap<>();
  private final Map<String, Long> borrowedAt = new HashMap<>();
  private final Map<String, Integer> stopsOf = new HashMap<>();

  /** How many tasks were stopped for more urgent ones, and for a guarantee. */
  int forPriority;

  int forGuarantee;

  /** Begins to check; a command takes at most so long from its decision to its machine, ms. */
  StopChecker(SimulatedCluster c, long commandMs) {
    this.c = c;
    this.commandMs = commandMs;
    c.stopObservers.add(this::check);
    sample();
  }

  private void sample() {
    long now = c.world.now();
    Map<String, double[]> demanded = new HashMap<>();
    Map<String, Double> used = new HashMap<>();
    for (JobSpec job : List.copyOf(c.jobs)) {
      if (c.checker.isCancelRequested(job.id()) || c.checker.allCompleted(job.id())) {
        continue;
      }
      used.merge(job.team(), c.checker.running(job.id()) * job.cpus(), Double::sum);
      Settings.Team team = c.settings.teams().get(job.team());
      double unfinished = job.tasks() - c.checker.taskPresence().completed(job.id()).cardinality();
      double[] sum = demanded.computeIfAbsent(job.team(), k -> new double[1]);
      sum[0] += unfinished * job.cpus();
      if (c.checker.taskPresence().waiting(job) > 0) {
        waitedAt.put(job.priority(), now);
        if (sum[0] <= team.cpus()) {
          owedAt.put(job.team(), now);
        }
      }
    }
    used.forEach(
        (team, cpus) -> {
          if (cpus > c.settings.teams().get(team).cpus()) {
            borrowedAt.put(team, now);
          }
        });
    c.world.after(SAMPLE_MS, this::sample);
  }

  private boolean isRecent(Long at) {
    return at != null && c.world.now() - at <= commandMs;
  }

  private void check(WorkerEmulator worker, JobSpec spec, int index) {
    String task = spec.id() + "/" + index;
    if (c.checker.isCancelRequested(spec.id())
        || c.checker.taskPresence().isCompleted(spec.id(), index)
        || worker.hasNotice()) {
      return;
    }
    boolean moreUrgentWaits =
        waitedAt.entrySet().stream()
            .anyMatch(e -> e.getKey().compareTo(spec.priority()) < 0 && isRecent(e.getValue()));
    boolean isOwed =
        owedAt.entrySet().stream()
            .anyMatch(e -> !e.getKey().equals(spec.team()) && isRecent(e.getValue()));
    if (moreUrgentWaits) {
      forPriority++;
    } else if (isOwed && isRecent(borrowedAt.get(spec.team()))) {
      forGuarantee++;
    } else {
      throw new AssertionError(
          String.format(
              "t=%d stopped without a reason: %s of %s, %s, waited %s, owed %s, borrowed %s",
              c.world.now(), task, spec.team(), spec.priority(), waitedAt, owedAt, borrowedAt));
    }
    stopsOf.merge(task, 1, Integer::sum);
  }

  @Override
  public String toString() {
    return forPriority + " stops for more urgent work, " + forGuarantee + " for a guarantee";
  }

  /** How often the task was stopped that was stopped most often. */
  int most() {
    return stopsOf.values().stream().mapToInt(i -> i).max().orElse(0);
  }
}
