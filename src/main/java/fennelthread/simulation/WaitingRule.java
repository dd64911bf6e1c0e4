package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.wire.JobSpec;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The rule that once all troubles are over no job waits for long while a machine that fits has room
 * and its team is under its limit. A job waits while it has a task that is neither on a machine nor
 * complete and none of its tasks starts. Priorities are no excuse: free room is free room.
 */
final class WaitingRule {
  private final TaskPresence presence;
  private final PlacementRules placement;
  private final Map<String, Long> waitingSince = new HashMap<>();
  private Supplier<Collection<WorkerEmulator>> machines = List::of;

  WaitingRule(TaskPresence presence, PlacementRules placement) {
    this.presence = presence;
    this.placement = placement;
  }

  /** Says which machines there are. */
  void watch(Supplier<Collection<WorkerEmulator>> all) {
    machines = all;
  }

  /** A task of the job starts. */
  void starts(String id) {
    waitingSince.remove(id);
  }

  /** The job is over, or may not start yet. */
  void excuse(String id) {
    waitingSince.remove(id);
  }

  /** Looks at a job that may start; gives a description of the breach if it waits too long. */
  String check(JobSpec spec, long now) {
    WorkerEmulator room = presence.waiting(spec) == 0 ? null : machineFor(spec);
    if (room == null) {
      waitingSince.remove(spec.id());
      return null;
    }
    long since = waitingSince.computeIfAbsent(spec.id(), k -> now);
    if (now - since <= SimulationConstants.MAX_IDLE_CAPACITY_WAIT_MS) {
      return null;
    }
    return spec.id() + " waits since " + since + " while " + room.name() + " has room";
  }

  private WorkerEmulator machineFor(JobSpec spec) {
    if (!placement.teamHasRoom(spec, 1)) {
      return null;
    }
    for (WorkerEmulator machine : machines.get()) {
      if (machine.isUp()
          && PlacementRules.isAllowed(spec, machine)
          && placement.allowsOneMoreIn(spec, machine.zone())
          && placement.hasRoom(machine, spec)) {
        return machine;
      }
    }
    return null;
  }
}
