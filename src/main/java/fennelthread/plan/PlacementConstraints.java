package fennelthread.plan;

import fennelthread.wire.JobSpec;
import java.util.List;
import java.util.Map;

/** Checks a job's own constraints: machine types, zone, spot, and where its other tasks are. */
final class PlacementConstraints {
  private PlacementConstraints() {}

  /**
   * What a task requires of a machine, apart from where the job's other tasks are. Without
   * constraints on that, tasks of equal shapes fit the same machines.
   */
  record TaskShape(
      double cpus,
      double cards,
      double memGb,
      List<String> types,
      String zone,
      boolean isSpotAllowed) {
    static TaskShape of(JobSpec spec) {
      return new TaskShape(
          spec.cpus(), spec.cards(), spec.memGb(), spec.types(), spec.zone(), spec.spotAllowed());
    }
  }

  /**
   * Returns true if the constraints depend on where the job's other tasks are: each task that is
   * placed may rule out machines for the next one.
   */
  static boolean dependsOnOtherTasks(JobSpec spec) {
    return spec.sameZone() || spec.spreadAcrossZones();
  }

  /**
   * Returns true if the job's constraints allow one more task on the machine now; {@code
   * tasksByZone} is the number of the job's tasks that may be present in each zone.
   */
  static boolean allowsMachine(
      JobSpec spec, Map<String, Integer> tasksByZone, Snapshot.MachineState machine) {
    return satisfiesFixedConstraints(spec, machine)
        && (!dependsOnOtherTasks(spec) || allowsZone(spec, tasksByZone, machine.zone()));
  }

  private static boolean satisfiesFixedConstraints(JobSpec spec, Snapshot.MachineState machine) {
    return (spec.types() == null || spec.types().contains(machine.type().name()))
        && (spec.zone() == null || spec.zone().equals(machine.zone()))
        && (!machine.isSpot() || spec.spotAllowed());
  }

  /**
   * Returns true if one more task in this zone keeps the job's rules on zones: with {@code
   * same_place} all tasks run in one zone, with {@code apart} no zone runs more than half of them,
   * rounded up.
   */
  static boolean allowsZone(JobSpec spec, Map<String, Integer> tasksByZone, String zone) {
    if (tasksByZone.getOrDefault(Snapshot.UNKNOWN_ZONE, 0) > 0) {
      // A task of the job may be in any zone: neither rule is certain to hold until its machine
      // reports.
      return false;
    }
    if (spec.sameZone()) {
      for (Map.Entry<String, Integer> zoneTasks : tasksByZone.entrySet()) {
        if (zoneTasks.getValue() > 0 && !zoneTasks.getKey().equals(zone)) {
          return false;
        }
      }
    }
    return !spec.spreadAcrossZones()
        || tasksByZone.getOrDefault(zone, 0) + 1 <= (spec.tasks() + 1) / 2;
  }
}
