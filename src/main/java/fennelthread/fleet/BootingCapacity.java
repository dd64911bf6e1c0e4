package fennelthread.fleet;

import fennelthread.plan.PlacementPlan;
import fennelthread.wire.MachineType;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The CPUs of machines that are expected to boot, of which waiting jobs reserve what they can use.
 */
final class BootingCapacity {
  private final Map<MachineKind, Double> cpusByKind = new LinkedHashMap<>();
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Adds a machine; {@code type} is null, and nothing added, if its type is not known. */
  void add(MachineKind kind, MachineType type) {
    if (type != null) {
      types.put(type.name(), type);
      cpusByKind.merge(kind, type.cpus(), Double::sum);
    }
  }

  /** Returns the CPUs that a job's waiting tasks require; each task counts as at least 0.1 CPUs. */
  static double requiredCpus(PlacementPlan.UnplacedTasks waiting) {
    return waiting.count() * Math.max(0.1, waiting.spec().cpus());
  }

  /** Reserves CPUs for a job's waiting tasks; returns how many more they require. */
  double reserve(PlacementPlan.UnplacedTasks waiting) {
    double uncoveredCpus = requiredCpus(waiting);
    for (Map.Entry<MachineKind, Double> entry : cpusByKind.entrySet()) {
      if (uncoveredCpus > 0 && mayUse(entry.getKey(), waiting)) {
        double reserved = Math.min(uncoveredCpus, entry.getValue());
        entry.setValue(entry.getValue() - reserved);
        uncoveredCpus -= reserved;
      }
    }
    return uncoveredCpus;
  }

  private boolean mayUse(MachineKind kind, PlacementPlan.UnplacedTasks waiting) {
    return ScaleOutPolicy.fits(types.get(kind.type()), waiting)
        && (!kind.spot() || waiting.spec().spotAllowed())
        && waiting.mayUseZone(kind.zone());
  }
}
