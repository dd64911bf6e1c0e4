package fennelthread.plan;

import fennelthread.constants.PlanConstants;
import fennelthread.plan.PlacementConstraints.TaskShape;
import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What the searches of one scheduling round share: the machines' room, what is stopped, and which
 * searches were in vain. Room only shrinks within a round, so what found none once is not looked
 * for again.
 */
final class RoundState {
  /** A shape, and how long it waits for room by itself, s. */
  record Patience(TaskShape shape, double mostS) {}

  /**
   * A shape, and whose work may be stopped for it; {@code image} is null if any machine will do.
   */
  record Claim(TaskShape shape, Priority priority, String guaranteedTeam, String image) {}

  final Snapshot snapshot;
  final List<FreeCapacity> rooms;
  final Preemption preemption;

  /** Machines on which room is being made that is not reserved yet, by index. */
  final BitSet coming = new BitSet();

  /** Shapes for which no machine has room. */
  final Set<TaskShape> full = new HashSet<>();

  /** Claims for which nothing may be stopped. */
  final Set<Claim> hopeless = new HashSet<>();

  /** Shapes for which no room comes by itself in time. */
  final Set<Patience> inVain = new HashSet<>();

  private final int mostHolds;
  private int holds;

  RoundState(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.rooms = new ArrayList<>(snapshot.machines().size());
    this.preemption = new Preemption(snapshot);
    this.mostHolds = mostHolds(snapshot);
    for (Snapshot.Machine machine : snapshot.machines()) {
      FreeCapacity room = new FreeCapacity(machine, rooms.size());
      rooms.add(room);
      machine.running().stream().filter(Snapshot.RunningTask::stopping).forEach(room::release);
      coming.set(room.index, room.isComing());
    }
  }

  /** How many machines may be kept free at once for tasks that wait for them, of a snapshot's. */
  static int mostHolds(Snapshot snapshot) {
    return Math.max(1, (int) (snapshot.machines().size() * PlanConstants.HOLDS_SHARE));
  }

  /** True if one more machine may be kept free for a task that nothing else makes room for. */
  boolean mayHold() {
    return holds < mostHolds;
  }

  /** Notes that a machine is kept free. */
  void held() {
    holds++;
  }
}
