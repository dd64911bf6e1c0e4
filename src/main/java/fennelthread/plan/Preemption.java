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
 * Chooses the running tasks that are preempted for a waiting one: less urgent tasks, and for a job
 * within its team's guarantee also equally urgent ones that borrow capacity beyond the guarantee of
 * another team. The least urgent come first, and of equally urgent ones those that have run for the
 * shortest time and so lose the least work.
 */
final class Preemption {
  private final Snapshot snapshot;
  private final Set<Snapshot.RunningTask> preempted =
      Collections.newSetFromMap(new IdentityHashMap<>());
  private final List<Snapshot.RunningTask> preemptions = new ArrayList<>();

  /**
   * What each team uses, without tasks that are being stopped or that this round preempts, and
   * without starts that have not been sent: no task is stopped for the sake of those, which may
   * never run.
   */
  private final Map<String, Snapshot.TeamUsage> usageByTeam;

  private final int[] runningByPriority = new int[Priority.values().length];

  Preemption(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.usageByTeam = new HashMap<>();
    snapshot.teams().forEach((team, usage) -> usageByTeam.put(team, usage.withoutUnsent()));
    for (Snapshot.MachineState machine : snapshot.machines()) {
      machine.running().stream()
          .filter(Snapshot.RunningTask::isStopping)
          .forEach(this::subtractFromUsage);
    }
    for (Snapshot.MachineState machine : snapshot.machines()) {
      for (Snapshot.RunningTask task : machine.running()) {
        if (!task.isStopping()) {
          runningByPriority[task.priority().rank()]++;
        }
      }
    }
  }

  /** Subtracts a task that is being stopped from what its team uses. */
  private void subtractFromUsage(Snapshot.RunningTask task) {
    usageByTeam.computeIfPresent(task.spec().team(), (team, usage) -> usageWithout(usage, task));
  }

  /** The tasks that this round preempts, in the order in which they are chosen. */
  List<Snapshot.RunningTask> preemptions() {
    return preemptions;
  }

  boolean isPreempted(Snapshot.RunningTask task) {
    return preempted.contains(task);
  }

  /** Marks tasks of a machine as preempted and adds their capacity to what it will release. */
  void preempt(List<Snapshot.RunningTask> tasks, FreeCapacity machine) {
    for (Snapshot.RunningTask task : tasks) {
      preempted.add(task);
      preemptions.add(task);
      machine.addRelease(task);
      subtractFromUsage(task);
    }
  }

  /** Returns false if the priorities of all running tasks rule out any preemption for the job. */
  boolean mayPreemptAny(Snapshot.PendingJob pendingJob) {
    int rank = pendingJob.preemptsAs().rank();
    int firstRank = pendingJob.isWithinGuarantee() ? rank : rank + 1;
    for (int otherRank = firstRank; otherRank < runningByPriority.length; otherRank++) {
      if (runningByPriority[otherRank] > 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the tasks to preempt on a machine so that a task of the job fits, or null if no
   * preemption there is possible or enough.
   */
  List<Snapshot.RunningTask> chooseTasks(FreeCapacity machine, Snapshot.PendingJob pendingJob) {
    List<Snapshot.RunningTask> candidates = preemptibleTasks(pendingJob, machine);
    if (candidates.isEmpty()) {
      return null;
    }
    double cpus = 0;
    double cards = 0;
    double memGb = 0;
    Map<String, Snapshot.TeamUsage> remainingUsage = new HashMap<>();
    List<Snapshot.RunningTask> chosen = new ArrayList<>();
    for (Snapshot.RunningTask task : candidates) {
      if (machine.fitsAfterReleasesAnd(pendingJob.spec(), cpus, cards, memGb)) {
        break;
      }
      String team = task.spec().team();
      Snapshot.TeamUsage usage = remainingUsage.getOrDefault(team, usageByTeam.get(team));
      if (isLessUrgent(pendingJob, task) || isBorrowed(usage, task)) {
        chosen.add(task);
        cpus += task.cpus();
        cards += task.cards();
        memGb += task.memGb();
        remainingUsage.put(team, usageWithout(usage, task));
      }
    }
    return machine.fitsAfterReleasesAnd(pendingJob.spec(), cpus, cards, memGb) && !chosen.isEmpty()
        ? chosen
        : null;
  }

  private List<Snapshot.RunningTask> preemptibleTasks(
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
   * Returns true if the task may be preempted for the job's guarantee while the task's team uses
   * more than its own guarantee. Limited to work of the same priority: borrowed work of higher
   * priority is placed first and would take the capacity back in the next round, over and over.
   */
  private boolean mayBeReclaimed(Snapshot.PendingJob pendingJob, Snapshot.RunningTask task) {
    return task.priority() == pendingJob.preemptsAs()
        && pendingJob.isWithinGuarantee()
        && !snapshot.preemptibleOnlyByMoreUrgent().contains(task.attempt())
        && !snapshot.guaranteedJobs().contains(task.spec().id())
        && !task.spec().team().equals(pendingJob.spec().team());
  }

  /**
   * Returns true if the task is part of what its team uses beyond its guarantee. It is not enough
   * that the task's job lies beyond the guarantee: waiting jobs count towards that too, so a team
   * with a long queue would have tasks preempted while it uses next to nothing.
   */
  private static boolean isBorrowed(Snapshot.TeamUsage usage, Snapshot.RunningTask task) {
    return usage == null || usage.isBeyondGuarantee(task.cpus(), task.cards());
  }

  private static Snapshot.TeamUsage usageWithout(
      Snapshot.TeamUsage usage, Snapshot.RunningTask task) {
    return usage == null ? null : usage.plus(-task.cpus(), -task.cards());
  }
}
