package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import java.util.List;
import java.util.Set;

/** The protocol's placement rules, evaluated against the tasks that are on machines now. */
final class PlacementRules {

  private final TaskPresence presence;
  private final Settings settings;

  PlacementRules(TaskPresence presence, Settings settings) {
    this.presence = presence;
    this.settings = settings;
  }

  /** True if the job allows the machine's type, its zone, and spot machines if it is one. */
  static boolean isAllowed(JobSpec spec, WorkerEmulator machine) {
    return (spec.types() == null || spec.types().contains(machine.machineType().name()))
        && (spec.zone() == null || spec.zone().equals(machine.zone()))
        && (spec.spotAllowed() || !machine.spot());
  }

  /** True if the job's zone rules allow one more of its tasks in the zone. */
  boolean allowsOneMoreIn(JobSpec spec, String zone) {
    Set<String> used = presence.zonesOf(spec.id());
    if (spec.sameZone() && !used.isEmpty() && !used.equals(Set.of(zone))) {
      return false;
    }
    return !spec.spreadAcrossZones() || presence.running(spec.id(), zone) < mostInOneZone(spec);
  }

  /** Most tasks in one zone for a job that is spread across zones: half of them, rounded up. */
  static int mostInOneZone(JobSpec spec) {
    return (spec.tasks() + 1) / 2;
  }

  /** True if the machine's free resources suffice for one task of the job. */
  boolean hasRoom(WorkerEmulator machine, JobSpec spec) {
    TaskPresence.Amount used = presence.usedOn(machine);
    return fits(
        spec,
        machine.machineType().cpus() - used.cpus,
        machine.machineType().cards() - used.cards,
        machine.machineType().memGb() - used.memGb);
  }

  private static boolean fits(JobSpec spec, double cpus, double cards, double memGb) {
    return spec.cpus() <= cpus + SimulationConstants.ROUNDING_TOLERANCE
        && spec.cards() <= cards + SimulationConstants.ROUNDING_TOLERANCE
        && spec.memGb() <= memGb + SimulationConstants.ROUNDING_TOLERANCE;
  }

  /** True if the job's team stays within its limits with {@code tasks} more tasks of the job. */
  boolean teamHasRoom(JobSpec spec, int tasks) {
    return isWithinLimits(spec, tasks, presence.usedBy(spec.team()));
  }

  /** True if the job's team exceeds a limit. */
  boolean isOverLimit(JobSpec spec) {
    return !isWithinLimits(spec, 0, presence.usedBy(spec.team()));
  }

  private boolean isWithinLimits(JobSpec spec, int tasks, TaskPresence.Amount used) {
    Settings.Team team = settings.teams().get(spec.team());
    return team != null
        && isWithin(used.cpus + tasks * spec.cpus(), team.cpusMax())
        && isWithin(used.cards + tasks * spec.cards(), team.cardsMax());
  }

  /** A limit of 0 means no limit. */
  private static boolean isWithin(double amount, double limit) {
    return limit <= 0 || amount <= limit + SimulationConstants.ROUNDING_TOLERANCE;
  }

  /**
   * True if a job can ever run: its team exists, the team's limits admit one task, or all replicas
   * of a service, and a task fits a machine type on offer that the job allows, in a zone that it
   * allows.
   */
  boolean canRun(JobSpec spec, List<MachineType> types) {
    if (!isWithinLimits(spec, spec.service() ? spec.tasks() : 1, new TaskPresence.Amount())) {
      return false;
    }
    for (MachineType type : types) {
      if ((spec.types() == null || spec.types().contains(type.name()))
          && (spec.zone() == null || type.zones().contains(spec.zone()))
          && fits(spec, type.cpus(), type.cards(), type.memGb())) {
        return true;
      }
    }
    return false;
  }
}
