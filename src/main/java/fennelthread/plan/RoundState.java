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
 * State shared by the searches of one scheduling round: the machines' free capacity, the preempted
 * tasks, and the searches that found nothing. Free capacity only shrinks within a round, so a
 * search that found none is not repeated. Preemption adds capacity that will be released, so
 * searches for completing tasks are repeated after it.
 */
final class RoundState {
  /** A search for capacity of running tasks that complete within {@code maxWaitS} seconds. */
  record CompletionWait(TaskShape shape, double maxWaitS) {}

  /**
   * A search for capacity that preemption can release.
   *
   * @param shape what the waiting task requires
   * @param priority the priority with which it preempts
   * @param guaranteedTeam its team if its job lies within the team's guarantee, else null
   * @param image the image that the machine must have, or null if any machine will do
   */
  record PreemptionRequest(
      TaskShape shape, Priority priority, String guaranteedTeam, String image) {}

  private final Snapshot snapshot;
  private final List<FreeCapacity> machines;
  private final Preemption preemption;
  private final BitSet unreservedReleases = new BitSet();
  private final Set<TaskShape> shapesWithoutCapacity = new HashSet<>();
  private final Set<PreemptionRequest> requestsWithoutCandidates = new HashSet<>();
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

  /** The indexes of the machines that release capacity which is not reserved yet. */
  BitSet unreservedReleases() {
    return unreservedReleases;
  }

  /** Updates {@link #unreservedReleases} after a change of the machine. */
  void updateReleases(FreeCapacity machine) {
    unreservedReleases.set(machine.index(), machine.hasUnreservedReleases());
  }

  /** The shapes for which no machine has free capacity. */
  Set<TaskShape> shapesWithoutCapacity() {
    return shapesWithoutCapacity;
  }

  /** The preemption requests for which no machine has enough tasks that may be preempted. */
  Set<PreemptionRequest> requestsWithoutCandidates() {
    return requestsWithoutCandidates;
  }

  /** The waits for which no machine gets enough capacity in time. */
  Set<CompletionWait> waitsWithoutCandidates() {
    return waitsWithoutCandidates;
  }

  /**
   * Returns the most machines that a round may reserve for aged jobs whose first task fits on no
   * machine yet.
   */
  static int maxReservedMachines(Snapshot snapshot) {
    int share = (int) (snapshot.machines().size() * PlanConstants.RESERVED_MACHINES_SHARE);
    return Math.max(1, share);
  }

  /** Returns true if one more machine may be reserved for the first task of an aged job. */
  boolean mayReserveMachine() {
    return reservedMachines < maxReservedMachines;
  }

  /** Counts one more reserved machine towards the limit. */
  void countReservedMachine() {
    reservedMachines++;
  }
}
