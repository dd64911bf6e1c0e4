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
 * Which running tasks may be stopped for a waiting one, and which of them would be: the least
 * urgent first, among equals the one with the least work to lose.
 */
final class Preemption {
  private final Snapshot snapshot;
  private final Set<Snapshot.RunningTask> stopped =
      Collections.newSetFromMap(new IdentityHashMap<>());
  private final List<Snapshot.RunningTask> stops = new ArrayList<>();
  private final Map<String, Snapshot.TeamUsage> teams;
  private final int[] runningByPriority = new int[Priority.values().length];

  Preemption(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.teams = new HashMap<>(snapshot.teams());
    for (Snapshot.Machine machine : snapshot.machines()) {
      machine.running().stream().filter(Snapshot.RunningTask::stopping).forEach(this::discount);
    }
    for (Snapshot.Machine machine : snapshot.machines()) {
      for (Snapshot.RunningTask r : machine.running()) {
        if (!r.stopping()) {
          runningByPriority[r.priority().rank()]++;
        }
      }
    }
  }

  /** What is being stopped is no longer what its team uses. */
  private void discount(Snapshot.RunningTask r) {
    teams.computeIfPresent(r.spec().team(), (team, use) -> without(use, r));
  }

  /** The tasks that this round stops, in the order in which it was decided. */
  List<Snapshot.RunningTask> preemptions() {
    return stops;
  }

  boolean isStopped(Snapshot.RunningTask r) {
    return stopped.contains(r);
  }

  /** Stops tasks; their machine's room comes free. */
  void stop(List<Snapshot.RunningTask> victims, FreeCapacity room) {
    for (Snapshot.RunningTask v : victims) {
      stopped.add(v);
      stops.add(v);
      room.release(v);
      discount(v);
    }
  }

  /** False if no running work anywhere comes later than the need. */
  boolean isPossible(Snapshot.PendingJob pendingJob) {
    int rank = pendingJob.preemptsAs().rank();
    for (int i = pendingJob.withinGuarantee() ? rank : rank + 1;
        i < runningByPriority.length;
        i++) {
      if (runningByPriority[i] > 0) {
        return true;
      }
    }
    return false;
  }

  /** The tasks to stop on a machine so that one of the job's fits, or null if that can't be. */
  List<Snapshot.RunningTask> victims(Snapshot.PendingJob pendingJob, FreeCapacity room) {
    List<Snapshot.RunningTask> candidates = candidates(pendingJob, room);
    if (candidates.isEmpty()) {
      return null;
    }
    double cpus = 0;
    double cards = 0;
    double memGb = 0;
    Map<String, Snapshot.TeamUsage> left = new HashMap<>();
    List<Snapshot.RunningTask> victims = new ArrayList<>();
    for (Snapshot.RunningTask r : candidates) {
      if (room.fitsWith(pendingJob.spec(), cpus, cards, memGb)) {
        break;
      }
      String team = r.spec().team();
      Snapshot.TeamUsage use = left.getOrDefault(team, teams.get(team));
      if (isLessUrgent(pendingJob, r) || isBorrowed(use, r)) {
        victims.add(r);
        cpus += r.cpus();
        cards += r.cards();
        memGb += r.memGb();
        left.put(team, without(use, r));
      }
    }
    return room.fitsWith(pendingJob.spec(), cpus, cards, memGb) && !victims.isEmpty()
        ? victims
        : null;
  }

  private List<Snapshot.RunningTask> candidates(Snapshot.PendingJob pendingJob, FreeCapacity room) {
    List<Snapshot.RunningTask> candidates = new ArrayList<>();
    for (Snapshot.RunningTask r : room.machine.running()) {
      if (!r.stopping()
          && (isLessUrgent(pendingJob, r) || mayGiveBack(pendingJob, r))
          && !stopped.contains(r)
          && !snapshot.nonPreemptible().contains(r.attempt())) {
        candidates.add(r);
      }
    }
    candidates.sort(
        Comparator.comparing(Snapshot.RunningTask::priority)
            .reversed()
            .thenComparingDouble(r -> r.elapsedS(snapshot.nowMs())));
    return candidates;
  }

  private static boolean isLessUrgent(Snapshot.PendingJob pendingJob, Snapshot.RunningTask r) {
    return r.priority().compareTo(pendingJob.preemptsAs()) > 0;
  }

  /**
   * True if the task may be stopped for a guarantee as long as its team uses more than its own.
   * Only work that comes later in the order of placement is: a guarantee once stopped borrowed work
   * of higher priority, which took the room back in the next round, over and over.
   */
  private boolean mayGiveBack(Snapshot.PendingJob pendingJob, Snapshot.RunningTask r) {
    return r.priority() == pendingJob.preemptsAs()
        && pendingJob.withinGuarantee()
        && !snapshot.preemptibleOnlyByMoreUrgent().contains(r.attempt())
        && !snapshot.guaranteedJobs().contains(r.spec().id())
        && !r.spec().team().equals(pendingJob.spec().team());
  }

  /**
   * True if the task is part of what its team uses beyond its guarantee. That its job lies beyond
   * it is not enough: a job that waits counts there too, and a team with a long queue had tasks
   * stopped while it used next to nothing.
   */
  private static boolean isBorrowed(Snapshot.TeamUsage use, Snapshot.RunningTask r) {
    return use == null || use.isBeyondGuarantee(r.cpus(), r.cards());
  }

  private static Snapshot.TeamUsage without(Snapshot.TeamUsage use, Snapshot.RunningTask r) {
    return use == null ? null : use.plus(-r.cpus(), -r.cards());
  }
}
