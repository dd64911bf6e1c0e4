package fennelthread.api;

import fennelthread.net.Answer;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import java.util.Map;
import java.util.Optional;

/** Judges whether a submitted job can ever run. */
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

  /** The answer to a job that can never run, or can't be judged yet; empty if it can run. */
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

  /** True if what must run at the same time (a service's replicas) exceeds the team's limit. */
  private static boolean exceedsLimit(JobSpec spec, Settings.Team team) {
    int concurrentTasks = spec.service() ? spec.tasks() : 1;
    boolean tooManyCpus = team.cpusMax() > 0 && spec.cpus() * concurrentTasks > team.cpusMax();
    boolean tooManyCards = team.cardsMax() > 0 && spec.cards() * concurrentTasks > team.cardsMax();
    return tooManyCpus || tooManyCards;
  }

  private static boolean fits(JobSpec spec, MachineType type) {
    boolean allowedType = spec.types() == null || spec.types().contains(type.name());
    boolean allowedZone =
        spec.zone() == null || type.zones().isEmpty() || type.zones().contains(spec.zone());
    return allowedType
        && allowedZone
        && spec.cpus() <= type.cpus()
        && spec.cards() <= type.cards()
        && spec.memGb() <= type.memGb();
  }
}
