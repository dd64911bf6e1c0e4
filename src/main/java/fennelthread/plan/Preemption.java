package fennelthread.plan;

import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Chooses the running tasks that are preempted for a waiting one: the least urgent first, among
 * equals the one with the least work to lose.
 */
final class Preemption {
  private final Snapshot snapshot;
  private final Set<Snapshot.RunningTask> preempted =
      Collections.newSetFromMap(new IdentityHashMap<>());
  private final List<Snapshot.RunningTask> preemptions = new ArrayList<>();
  private final Map<String, Snapshot.TeamUsage> teams;
  private final int[] runningByPriority = new int[Priority.values().length];

  Preemption(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.teams = new HashMap<>(snapshot.teams());
    for (Snapshot.MachineState machine : snapshot.machines()) {
      machine.running().stream()
          .filter(Snapshot.RunningTask::isStopping)
          .forEach(this::subtractFromTeam);
    }
    for (Snapshot.MachineState machine : snapshot.machines()) {
      for (Snapshot.RunningTask task : machine.running()) {
        if (!task.isStopping()) {
          runningByPriority[task.priority().rank()]++;
        }
      }
    }
  }

  /** A task that is being stopped no longer counts in what its team uses. */
  private void subtractFromTeam(Snapshot.RunningTask task) {
    teams.computeIfPresent(task.spec().team(), (team, usage) -> without(usage, task));
  }

  /** The tasks that this round preempts, in the order in which they were chosen. */
  List<Snapshot.RunningTask> preemptions() {
    return preemptions;
  }

  boolean isPreempted(Snapshot.RunningTask task) {
    return preempted.contains(task);
  }

  /** Preempts tasks of a machine, which will release their capacity. */
  void preempt(List<Snapshot.RunningTask> tasks, FreeCapacity machine) {
    for (Snapshot.RunningTask task : tasks) {
      preempted.add(task);
      preemptions.add(task);
      machine.addRelease(task);
      subtractFromTeam(task);
    }
  }

  /** False if no running work anywhere may be preempted for the job, judged by priority alone. */
  boolean isPossible(Snapshot.PendingJob pendingJob) {
    int rank = pendingJob.preemptsAs().rank();
    int first = pendingJob.isWithinGuarantee() ? rank : rank + 1;
    for (int i = first; i < runningByPriority.length; i++) {
      if (runningByPriority[i] > 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * The tasks to preempt on a machine so that one of the job's fits, or null if that is not
   * possible.
   */
  List<Snapshot.RunningTask> chooseOn(FreeCapacity machine, Snapshot.PendingJob pendingJob) {
    List<Snapshot.RunningTask> candidates = candidates(pendingJob, machine);
    if (candidates.isEmpty()) {
      return null;
    }
    double cpus = 0;
    double cards = 0;
    double memGb = 0;
    Map<String, Snapshot.TeamUsage> usageLeft = new HashMap<>();
    List<Snapshot.RunningTask> chosen = new ArrayList<>();
    for (Snapshot.RunningTask task : candidates) {
      if (machine.fitsAfterReleasesAnd(pendingJob.spec(), cpus, cards, memGb)) {
        break;
      }
      String team = task.spec().team();
      Snapshot.TeamUsage usage = usageLeft.getOrDefault(team, teams.get(team));
      if (isLessUrgent(pendingJob, task) || isBorrowed(usage, task)) {
        chosen.add(task);
        cpus += task.cpus();
        cards += task.cards();
        memGb += task.memGb();
        usageLeft.put(team, without(usage, task));
      }
    }
    return machine.fitsAfterReleasesAnd(pendingJob.spec(), cpus, cards, memGb) && !chosen.isEmpty()
        ? chosen
        : null;
  }

  private List<Snapshot.RunningTask> candidates(
      Snapshot.PendingJob pendingJob, FreeCapacity machine) {
    List<Snapshot.RunningTask> candidates = new ArrayList<>();
    for (Snapshot.RunningTask task : machine.machine().running()) {
      if (!task.isStopping()
          && (isLessUrgent(pendingJob, task) || mayBeReclaimed(pendingJob, task))
          && !preempted.contains(task)
          && !snapshot.nonPreemptible().contains(task.attempt())) {
        candidates.add(task);
      }
    }
    candidates.sort(
        Comparator.comparing(Snapshot.RunningTask::priority)
            .reversed()
            .thenComparingDouble(task -> task.elapsedS(snapshot.nowMs())));
    return candidates;
  }

  private static boolean isLessUrgent(Snapshot.PendingJob pendingJob, Snapshot.RunningTask task) {
    return task.priority().compareTo(pendingJob.preemptsAs()) > 0;
  }

  /**
   * True if the task may be preempted for a guarantee as long as its team uses more than its own.
   * Only work that comes later in the order of placement is: a guarantee once preempted borrowed
   * work of higher priority, which took the capacity back in the next round, over and over.
   */
  private boolean mayBeReclaimed(Snapshot.PendingJob pendingJob, Snapshot.RunningTask task) {
    return task.priority() == pendingJob.preemptsAs()
        && pendingJob.isWithinGuarantee()
        && !snapshot.preemptibleOnlyByMoreUrgent().contains(task.attempt())
        && !snapshot.guaranteedJobs().contains(task.spec().id())
        && !task.spec().team().equals(pendingJob.spec().team());
  }

  /**
   * True if the task is part of what its team uses beyond its guarantee. That its job lies beyond
   * it is not enough: a job that waits counts there too, and a team with a long queue had tasks
   * preempted while it used next to nothing.
   */
  private static boolean isBorrowed(Snapshot.TeamUsage usage, Snapshot.RunningTask task) {
    return usage == null || usage.isBeyondGuarantee(task.cpus(), task.cards());
  }

  private static Snapshot.TeamUsage without(Snapshot.TeamUsage usage, Snapshot.RunningTask task) {
    return usage == null ? null : usage.plus(-task.cpus(), -task.cards());
  }
}
