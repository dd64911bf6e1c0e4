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
 * The state that the searches of one scheduling round share: the machines' free capacity, the
 * preempted tasks, and the searches that found nothing. Free capacity only shrinks within a round,
 * so that a search that found none is not repeated.
 */
final class RoundState {
  /** A shape, and the longest that it waits for running tasks to complete, s. */
  record CompletionWait(TaskShape shape, double maxWaitS) {}

  /**
   * A shape, and whose work may be preempted for it; {@code image} is null if any machine will do.
   */
  record PreemptionClaim(TaskShape shape, Priority priority, String guaranteedTeam, String image) {}

  private final Snapshot snapshot;
  private final List<FreeCapacity> machines;
  private final Preemption preemption;
  private final BitSet unreservedReleases = new BitSet();
  private final Set<TaskShape> shapesWithoutCapacity = new HashSet<>();
  private final Set<PreemptionClaim> claimsWithoutCandidates = new HashSet<>();
  private final Set<CompletionWait> waitsWithoutCandidates = new HashSet<>();
  private final int maxReservedMachines;
  private int reservedMachines;

  RoundState(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.machines = new ArrayList<>(snapshot.machines().size());
    this.preemption = new Preemption(snapshot);
    this.maxReservedMachines = maxReservedMachines(snapshot);
    for (Snapshot.MachineState machine : snapshot.machines()) {
      FreeCapacity capacity = new FreeCapacity(machine, machines.size());
      machines.add(capacity);
      machine.running().stream()
          .filter(Snapshot.RunningTask::isStopping)
          .forEach(capacity::addRelease);
      updateReleases(capacity);
    }
  }

  Snapshot snapshot() {
    return snapshot;
  }

  /** The machines in the order of the snapshot. */
  List<FreeCapacity> machines() {
    return machines;
  }

  Preemption preemption() {
    return preemption;
  }

  /** The machines that release capacity which is not reserved yet, by index. */
  BitSet unreservedReleases() {
    return unreservedReleases;
  }

  /** Brings {@link #unreservedReleases} up to date after a change of the machine. */
  void updateReleases(FreeCapacity machine) {
    unreservedReleases.set(machine.index(), machine.hasUnreservedReleases());
  }

  /** The shapes for which no machine has free capacity. */
  Set<TaskShape> shapesWithoutCapacity() {
    return shapesWithoutCapacity;
  }

  /** The claims for which nothing may be preempted. */
  Set<PreemptionClaim> claimsWithoutCandidates() {
    return claimsWithoutCandidates;
  }

  /** The waits for which no running task completes in time. */
  Set<CompletionWait> waitsWithoutCandidates() {
    return waitsWithoutCandidates;
  }

  /** How many machines may be reserved at once for tasks of aged jobs that fit nowhere else. */
  static int maxReservedMachines(Snapshot snapshot) {
    int share = (int) (snapshot.machines().size() * PlanConstants.RESERVED_MACHINES_SHARE);
    return Math.max(1, share);
  }

  /** True if one more machine may be reserved for a task that nothing else makes way for. */
  boolean mayReserveMachine() {
    return reservedMachines < maxReservedMachines;
  }

  /** Counts a machine that is reserved. */
  void countReservedMachine() {
    reservedMachines++;
  }
}
