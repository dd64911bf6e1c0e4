package fennelthread.plan;

import fennelthread.wire.JobSpec;
import java.util.List;
import java.util.Map;

/** The machines that a job's own constraints allow: by type, zone, spot, and its other tasks. */
final class PlacementConstraints {
  private PlacementConstraints() {}

  /** What a task asks of a machine; tasks of equal shapes fit the same machines. */
  record TaskShape(
      double cpus, double cards, double memGb, List<String> types, String zone, boolean spot) {
    static TaskShape of(JobSpec spec) {
      return new TaskShape(
          spec.cpus(), spec.cards(), spec.memGb(), spec.types(), spec.zone(), spec.spotAllowed());
    }
  }

  /** True if each task that is placed may forbid machines to the job's next one. */
  static boolean dependOnOtherTasks(JobSpec spec) {
    return spec.onePlace() || spec.apart();
  }

  /**
   * True if the job's constraints allow a task of it on the machine now; {@code zones} counts the
   * job's tasks that may be present, by zone.
   */
  static boolean allow(JobSpec spec, Map<String, Integer> zones, Snapshot.MachineState machine) {
    return allowKind(spec, machine)
        && (!dependOnOtherTasks(spec) || allowZone(spec, zones, machine.zone()));
  }

  private static boolean allowKind(JobSpec spec, Snapshot.MachineState machine) {
    return (spec.types() == null || spec.types().contains(machine.type().name()))
        && (spec.zone() == null || spec.zone().equals(machine.zone()))
        && (!machine.isSpot() || spec.spotAllowed());
  }

  /** True if one more task in this zone breaks neither {@code same_place} nor {@code apart}. */
  static boolean allowZone(JobSpec spec, Map<String, Integer> zones, String zone) {
    if (zones.getOrDefault(Snapshot.UNKNOWN_ZONE, 0) > 0) {
      // That task may be in any zone: neither constraint is sure to hold until its machine reports.
      return false;
    }
    if (spec.onePlace()) {
      for (Map.Entry<String, Integer> tasksInZone : zones.entrySet()) {
        if (tasksInZone.getValue() > 0 && !tasksInZone.getKey().equals(zone)) {
          return false;
        }
      }
    }
    return !spec.apart() || zones.getOrDefault(zone, 0) + 1 <= (spec.tasks() + 1) / 2;
  }
}
