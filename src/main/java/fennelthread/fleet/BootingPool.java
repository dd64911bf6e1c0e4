package fennelthread.fleet;

import fennelthread.plan.Plan;
import fennelthread.wire.MachineType;
import java.util.LinkedHashMap;
import java.util.Map;

/** The CPUs of machines that are not up yet, handed out to the waiting jobs that may use them. */
final class BootingPool {
  private final Map<MachineKind, Double> cpus = new LinkedHashMap<>();
  private final Map<String, MachineType> types = new LinkedHashMap<>();

  /** Adds a machine; {@code type} is null if the cloud does not list it any more. */
  void add(MachineKind kind, MachineType type) {
    if (type != null) {
      types.put(type.name(), type);
      cpus.merge(kind, type.cpus(), Double::sum);
    }
  }

  /** What a job's waiting tasks need, CPUs. */
  static double cpusOf(Plan.Unplaced job) {
    return job.tasks() * Math.max(0.1, job.spec().cpus());
  }

  /** Takes what a job's waiting tasks need, as far as it is there; returns the rest, CPUs. */
  double cover(Plan.Unplaced job) {
    double rest = cpusOf(job);
    for (Map.Entry<MachineKind, Double> e : cpus.entrySet()) {
      if (rest > 0 && mayUse(e.getKey(), job)) {
        double taken = Math.min(rest, e.getValue());
        e.setValue(e.getValue() - taken);
        rest -= taken;
      }
    }
    return rest;
  }

  private boolean mayUse(MachineKind kind, Plan.Unplaced job) {
    return ScaleOutPolicy.fits(types.get(kind.type()), job)
        && (!kind.spot() || job.spec().spotAllowed())
        && job.mayUseZone(kind.zone());
  }
}
