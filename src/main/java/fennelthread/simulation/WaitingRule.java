package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.wire.JobSpec;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The rule that, once no fault is active, no job waits for long while a suitable machine has free
 * capacity and the job's team is below its limit. A job waits while it has a task that is neither
 * on a machine nor completed and none of its tasks starts. Priorities don't matter, since starting
 * the job takes only free capacity.
 */
final class WaitingRule {
  private final TaskPresence presence;
  private final PlacementRules placementRules;
  private final Map<String, Long> waitingSince = new HashMap<>();
  private Supplier<Collection<WorkerEmulator>> machines = List::of;

  WaitingRule(TaskPresence presence, PlacementRules placementRules) {
    this.presence = presence;
    this.placementRules = placementRules;
  }

  /** Sets the supplier of the machines to check. */
  void setMachines(Supplier<Collection<WorkerEmulator>> supplier) {
    machines = supplier;
  }

  /** Ends the wait of a job because one of its tasks starts. */
  void recordStart(String id) {
    waitingSince.remove(id);
  }

  /** Ends the wait of a job that is over, unwanted, or blocked by a dependency. */
  void stopWaiting(String id) {
    waitingSince.remove(id);
  }

  /** Checks a job that may start; returns a description if it waits too long, otherwise null. */
  String check(JobSpec spec, long now) {
    WorkerEmulator freeMachine = presence.waiting(spec) == 0 ? null : findFreeMachine(spec);
    if (freeMachine == null) {
      waitingSince.remove(spec.id());
      return null;
    }
    long since = waitingSince.computeIfAbsent(spec.id(), k -> now);
    if (now - since <= SimulationConstants.MAX_IDLE_CAPACITY_WAIT_MS) {
      return null;
    }
    return spec.id() + " has waited since " + since + " while " + freeMachine.name() + " has room";
  }

  private WorkerEmulator findFreeMachine(JobSpec spec) {
    if (!placementRules.teamHasRoom(spec, 1)) {
      return null;
    }
    for (WorkerEmulator machine : machines.get()) {
      if (machine.isUp()
          && PlacementRules.isAllowed(spec, machine)
          && placementRules.allowsOneMoreIn(spec, machine.zone())
          && placementRules.hasRoom(machine, spec)) {
        return machine;
      }
    }
    return null;
  }
}
