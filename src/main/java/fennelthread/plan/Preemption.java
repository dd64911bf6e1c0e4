package fennelthread.plan;

import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/**
 * Which running tasks may be stopped for a waiting one, and which of them would be: the least
 * urgent first, among equals the one with the least work to lose.
 */
final class Preemption {
  private final Snapshot snapshot;
  private final Set<Snapshot.Running> stopped = Collections.newSetFromMap(new IdentityHashMap<>());
  private final List<Snapshot.Running> stops = new ArrayList<>();
  private final int[] runningByPriority = new int[Priority.values().length];

  Preemption(Snapshot snapshot) {
    this.snapshot = snapshot;
    for (Snapshot.Host host : snapshot.hosts()) {
      for (Snapshot.Running r : host.running()) {
        if (!r.stopping()) {
          runningByPriority[r.priority().ordinal()]++;
        }
      }
    }
  }

  /** The tasks that this round stops, in the order in which it was decided. */
  List<Snapshot.Running> stops() {
    return stops;
  }

  boolean isStopped(Snapshot.Running r) {
    return stopped.contains(r);
  }

  /** Stops tasks; their machine's room comes free. */
  void stop(List<Snapshot.Running> victims, Room room) {
    for (Snapshot.Running v : victims) {
      stopped.add(v);
      stops.add(v);
      room.release(v);
    }
  }

  /** False if no running work anywhere comes later than the need. */
  boolean isPossible(Snapshot.Need need) {
    int rank = need.stopsAs().ordinal();
    for (int i = need.withinGuarantee() ? rank : rank + 1; i < runningByPriority.length; i++) {
      if (runningByPriority[i] > 0) {
        return true;
      }
    }
    return false;
  }

  /** The tasks to stop on a machine so that one of the job's fits, or null if that can't be. */
  List<Snapshot.Running> victims(Snapshot.Need need, Room room) {
    List<Snapshot.Running> candidates = candidates(need, room);
    if (candidates.isEmpty()) {
      return null;
    }
    double cpus = 0;
    double cards = 0;
    double memGb = 0;
    List<Snapshot.Running> victims = new ArrayList<>();
    for (Snapshot.Running r : candidates) {
      if (room.fitsWith(need.spec(), cpus, cards, memGb)) {
        break;
      }
      victims.add(r);
      cpus += r.cpus();
      cards += r.cards();
      memGb += r.memGb();
    }
    return room.fitsWith(need.spec(), cpus, cards, memGb) && !victims.isEmpty() ? victims : null;
  }

  private List<Snapshot.Running> candidates(Snapshot.Need need, Room room) {
    List<Snapshot.Running> candidates = new ArrayList<>();
    for (Snapshot.Running r : room.host.running()) {
      if (!r.stopping()
          && mayStop(need, r)
          && !stopped.contains(r)
          && !snapshot.kept().contains(r.attempt())) {
        candidates.add(r);
      }
    }
    candidates.sort(
        Comparator.<Snapshot.Running>comparingInt(r -> -r.priority().ordinal())
            .thenComparingDouble(r -> r.runS(snapshot.nowMs())));
    return candidates;
  }

  /**
   * Only work that comes later in the order of placement may be stopped. A guarantee once stopped
   * borrowed work of higher priority, which took the room back in the next round, over and over.
   */
  private boolean mayStop(Snapshot.Need need, Snapshot.Running r) {
    int order = r.priority().compareTo(need.stopsAs());
    if (order != 0) {
      return order > 0;
    }
    return need.withinGuarantee()
        && !snapshot.guaranteed().contains(r.spec().id())
        && !r.spec().team().equals(need.spec().team());
  }
}
