package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import java.util.List;
import java.util.Set;

/** Where the protocol allows a task, given what is on machines at the moment. */
final class PlacementRules {

  private final TaskPresence presence;
  private final Settings settings;

  PlacementRules(TaskPresence presence, Settings settings) {
    this.presence = presence;
    this.settings = settings;
  }

  /** True if the machine has a type, a zone and a kind that the job allows. */
  static boolean isAllowed(JobSpec spec, WorkerEmulator machine) {
    return (spec.types() == null || spec.types().contains(machine.machineType().name()))
        && (spec.zone() == null || spec.zone().equals(machine.zone()))
        && (spec.spotAllowed() || !machine.spot());
  }

  /** True if one more task may be in that zone beside the job's other tasks. */
  boolean allowsOneMoreIn(JobSpec spec, String zone) {
    Set<String> used = presence.zonesOf(spec.id());
    if (spec.sameZone() && !used.isEmpty() && !used.equals(Set.of(zone))) {
      return false;
    }
    return !spec.spreadAcrossZones() || presence.running(spec.id(), zone) < mostInOneZone(spec);
  }

  /** How many tasks of a job that is to be apart may be in one zone. */
  static int mostInOneZone(JobSpec spec) {
    return (spec.tasks() + 1) / 2;
  }

  /** True if a machine has room for one task beside everything that is on it. */
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

  /** True if a team stays within its limit with so many more tasks of the job. */
  boolean teamHasRoom(JobSpec spec, int tasks) {
    return withinLimit(spec, tasks, presence.usedBy(spec.team()));
  }

  /** True if a team is above its limit. */
  boolean isOverLimit(JobSpec spec) {
    return !withinLimit(spec, 0, presence.usedBy(spec.team()));
  }

  private boolean withinLimit(JobSpec spec, int tasks, TaskPresence.Amount used) {
    Settings.Team team = settings.teams().get(spec.team());
    return team != null
        && isWithin(used.cpus + tasks * spec.cpus(), team.cpusMax())
        && isWithin(used.cards + tasks * spec.cards(), team.cardsMax());
  }

  /** A limit of 0 is none. */
  private static boolean isWithin(double amount, double limit) {
    return limit <= 0 || amount <= limit + SimulationConstants.ROUNDING_TOLERANCE;
  }

  /**
   * True if a job can ever run: its team exists and may have one task, or all replicas, and a task
   * fits a type on offer that the job allows.
   */
  boolean canRun(JobSpec spec, List<MachineType> types) {
    if (!withinLimit(spec, spec.service() ? spec.tasks() : 1, new TaskPresence.Amount())) {
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
