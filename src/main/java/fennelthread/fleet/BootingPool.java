package fennelthread.fleet;

import fennelthread.plan.PlacementPlan;
import fennelthread.wire.MachineType;
import java.util.LinkedHashMap;
import java.util.Map;

/** The CPUs of machines that are not up yet, reserved for the waiting jobs that may use them. */
final class BootingPool {
  private final Map<MachineKind, Double> cpusByKind = new LinkedHashMap<>();
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Adds a machine; {@code type} is null if the cloud does not list its type any more. */
  void add(MachineKind kind, MachineType type) {
    if (type != null) {
      types.put(type.name(), type);
      cpusByKind.merge(kind, type.cpus(), Double::sum);
    }
  }

  /** Returns what a job's waiting tasks require, CPUs. */
  static double cpusOf(PlacementPlan.UnplacedTasks waiting) {
    return waiting.count() * Math.max(0.1, waiting.spec().cpus());
  }

  /** Reserves what a job's waiting tasks require, as far as it is there; returns the rest, CPUs. */
  double cover(PlacementPlan.UnplacedTasks waiting) {
    double restCpus = cpusOf(waiting);
    for (Map.Entry<MachineKind, Double> entry : cpusByKind.entrySet()) {
      if (restCpus > 0 && mayUse(entry.getKey(), waiting)) {
        double reserved = Math.min(restCpus, entry.getValue());
        entry.setValue(entry.getValue() - reserved);
        restCpus -= reserved;
      }
    }
    return restCpus;
  }

  private boolean mayUse(MachineKind kind, PlacementPlan.UnplacedTasks waiting) {
    return ScaleOutPolicy.fits(types.get(kind.type()), waiting)
        && (!kind.spot() || waiting.spec().spotAllowed())
        && waiting.mayUseZone(kind.zone());
  }
}
