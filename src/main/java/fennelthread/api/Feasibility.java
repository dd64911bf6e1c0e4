package fennelthread.api;

import fennelthread.net.Answer;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import java.util.Map;
import java.util.Optional;

/** Checks whether a submitted job can ever run: its team, the team's limits, and a machine type. */
final class Feasibility {
  private final Settings settings;
  private final ServingConditions conditions;
  private final UnavailableAnswers unavailableAnswers;

  Feasibility(
      Settings settings, ServingConditions conditions, UnavailableAnswers unavailableAnswers) {
    this.settings = settings;
    this.conditions = conditions;
    this.unavailableAnswers = unavailableAnswers;
  }

  /**
   * Returns the answer to a job that can never run (status 422), or that can't be checked yet since
   * machine types are unknown (status 503); empty if it can run.
   */
  Optional<Answer> rejection(JobSpec spec) {
    Settings.Team team = settings.teams().get(spec.team());
    if (team == null) {
      return Optional.of(Answer.error(422, "dueno: is not a team here"));
    }
    if (exceedsLimit(spec, team)) {
      return Optional.of(Answer.error(422, "dueno: the job needs more than the team's limit"));
    }
    Map<String, MachineType> types = conditions.machineTypes();
    if (types.isEmpty()) {
      return Optional.of(unavailableAnswers.answer("machine types are not known yet"));
    }
    if (types.values().stream().noneMatch(type -> fits(spec, type))) {
      return Optional.of(Answer.error(422, "modelos: a task fits no allowed machine type"));
    }
    return Optional.empty();
  }

  /**
   * Returns true if the tasks that must run at the same time exceed the team's limit: all replicas
   * of a service, one task of a job array.
   */
  private static boolean exceedsLimit(JobSpec spec, Settings.Team team) {
    int concurrentTasks = spec.service() ? spec.tasks() : 1;
    boolean exceedsCpus = team.cpusMax() > 0 && spec.cpus() * concurrentTasks > team.cpusMax();
    boolean exceedsCards = team.cardsMax() > 0 && spec.cards() * concurrentTasks > team.cardsMax();
    return exceedsCpus || exceedsCards;
  }

  private static boolean fits(JobSpec spec, MachineType type) {
    boolean isAllowedType = spec.types() == null || spec.types().contains(type.name());
    boolean isInAllowedZone =
        spec.zone() == null || type.zones().isEmpty() || type.zones().contains(spec.zone());
    return isAllowedType
        && isInAllowedZone
        && spec.cpus() <= type.cpus()
        && spec.cards() <= type.cards()
        && spec.memGb() <= type.memGb();
  }
}
