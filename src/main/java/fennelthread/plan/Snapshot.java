package fennelthread.plan;

import fennelthread.wire.JobSpec;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Everything that placement may look at, frozen for one round. */
public record Snapshot(
    List<Host> hosts, List<Need> needs, List<Running> running, Map<String, Use> teams, int mostStarts) {

  /** Where tasks are that a predecessor started on a machine nobody has described yet. */
  public static final String UNKNOWN_ZONE = "";

  /** A machine that may take tasks; amounts are what is left. */
  public record Host(
      String name,
      String type,
      String zone,
      boolean spot,
      double cpusTotal,
      double cpus,
      double cards,
      double memGb,
      double fetchGbPerS,
      double cacheGb,
      Set<String> images,
      Set<String> fetching,
      Map<String, Integer> classes) {}

  /** A job with tasks to place. {@code zones} counts its tasks that may be present, by zone. */
  public record Need(
      JobSpec spec,
      List<Integer> tasks,
      Map<String, Integer> zones,
      boolean withinGuarantee,
      boolean waitMatters,
      double slackS,
      long order) {}

  /** A task that may be stopped; {@code runS} is the work that would be lost. */
  public record Running(
      String attemptKey,
      String machine,
      String team,
      int priorityRank,
      boolean borrowed,
      boolean stopping,
      double cpus,
      double cards,
      double memGb,
      double runS) {}

  /** What a team's tasks use at the most, and its limits; a cap of 0 means that there is none. */
  public record Use(double cpus, double cards, double cpusMax, double cardsMax) {

    /** True if another task of this size stays within the cap. */
    public boolean allows(double moreCpus, double moreCards) {
      return (cpusMax <= 0 || cpus + moreCpus <= cpusMax + 1e-9)
          && (cardsMax <= 0 || cards + moreCards <= cardsMax + 1e-9);
    }

    Use plus(double moreCpus, double moreCards) {
      return new Use(cpus + moreCpus, cards + moreCards, cpusMax, cardsMax);
    }
  }
}
