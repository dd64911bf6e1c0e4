package fennelthread.plan;

import fennelthread.constants.PlanConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Everything that placement may look at, frozen for one round. {@code guaranteed} names the jobs
 * that lie within their team's guarantee; all other work is borrowed. {@code kept} holds the
 * attempts that are all a job has after long waiting: they are stopped for nobody. {@code overdue}
 * names the jobs that were passed over for long although a machine had room for them: what is
 * reserved for others does not keep them back any more. {@code spared} holds the attempts that are
 * stopped for more urgent work alone.
 */
public record Snapshot(
    List<Machine> machines,
    List<PendingJob> pendingJobs,
    Set<String> guaranteedJobs,
    Set<Long> nonPreemptible,
    Map<String, TeamUsage> teams,
    long nowMs,
    int maxStarts,
    Set<String> starvedJobs,
    Set<Long> preemptibleOnlyByMoreUrgent) {

  /** A snapshot in which no job was passed over, and no attempt is spared. */
  public Snapshot(
      List<Machine> machines,
      List<PendingJob> pendingJobs,
      Set<String> guaranteedJobs,
      Set<Long> nonPreemptible,
      Map<String, TeamUsage> teams,
      long nowMs,
      int maxStarts) {
    this(
        machines,
        pendingJobs,
        guaranteedJobs,
        nonPreemptible,
        teams,
        nowMs,
        maxStarts,
        Set.of(),
        Set.of());
  }

  /** Where tasks are that a predecessor started on a machine nobody has described yet. */
  public static final String UNKNOWN_ZONE = "";

  /**
   * A machine that may take tasks; amounts are what is left. {@code slots} is how many more tasks
   * its worker's reports have room for.
   */
  public record Machine(
      String name,
      String type,
      String zone,
      boolean spot,
      double cpusTotal,
      double cpus,
      double cards,
      double memGb,
      double fetchGbPerS,
      Set<String> images,
      Set<String> fetching,
      Map<String, Integer> classes,
      List<RunningTask> running,
      int slots) {

    /** A machine whose worker's reports have room for any number of tasks. */
    public Machine(
        String name,
        String type,
        String zone,
        boolean spot,
        double cpusTotal,
        double cpus,
        double cards,
        double memGb,
        double fetchGbPerS,
        Set<String> images,
        Set<String> fetching,
        Map<String, Integer> classes,
        List<RunningTask> running) {
      this(
          name,
          type,
          zone,
          spot,
          cpusTotal,
          cpus,
          cards,
          memGb,
          fetchGbPerS,
          images,
          fetching,
          classes,
          running,
          Integer.MAX_VALUE);
    }
  }

  /**
   * A job with tasks to place; {@code priority} is its own or that of a job that needs it, {@code
   * stopsAs} the one with which it may stop other work, which is no more urgent. {@code zones}
   * counts its tasks that may be present, by zone; only jobs with a rule about zones need it. A
   * {@code late} job can't meet any time set for it any more. {@code work} is the CPU seconds that
   * its waiting tasks still take, less the longer it has waited. {@code patienceS} is how long it
   * rather waits for room than has others stopped, s. If its {@code turn} is not the usual one this
   * is its first task after long waiting.
   */
  public record PendingJob(
      JobSpec spec,
      Priority priority,
      Priority preemptsAs,
      List<Integer> tasks,
      Map<String, Integer> zones,
      boolean withinGuarantee,
      boolean latencySensitive,
      boolean late,
      double work,
      double maxWaitS,
      AgingBoost agingBoost,
      long order) {}

  /**
   * A task that may be stopped; {@code sinceMs} is when it began to run, or -1, {@code priority}
   * its job's own or that of a job that needs it, {@code takesS} how long it is expected to run, s,
   * 0 if for ever.
   */
  public record RunningTask(
      JobSpec spec,
      Priority priority,
      int task,
      long attempt,
      String machine,
      boolean stopping,
      double cpus,
      double cards,
      double memGb,
      long runningSinceMs,
      double expectedRunS) {

    /** The work that would be lost, seconds. */
    double elapsedS(long nowMs) {
      return runningSinceMs < 0 ? 0 : (nowMs - runningSinceMs) / 1000.0;
    }

    /** How long it still runs, as far as anyone can tell, seconds. */
    double remainingS(long nowMs) {
      return expectedRunS <= 0
          ? Double.POSITIVE_INFINITY
          : Math.max(expectedRunS * PlanConstants.RUN_LEFT_LEAST, expectedRunS - elapsedS(nowMs));
    }
  }

  /**
   * What a team's tasks use at the most, its limits, and its guarantee; a cap of 0 means that there
   * is none.
   */
  public record TeamUsage(
      double cpus,
      double cards,
      double cpusMax,
      double cardsMax,
      double cpusGuaranteed,
      double cardsGuaranteed) {

    /** A team without a guarantee. */
    public TeamUsage(double cpus, double cards, double cpusMax, double cardsMax) {
      this(cpus, cards, cpusMax, cardsMax, 0, 0);
    }

    /** True if another task of this size stays within the cap. */
    public boolean allows(double moreCpus, double moreCards) {
      return (cpusMax <= 0 || cpus + moreCpus <= cpusMax + ProtocolConstants.EPSILON)
          && (cardsMax <= 0 || cards + moreCards <= cardsMax + ProtocolConstants.EPSILON);
    }

    /** True if a task that takes so much is part of what the team uses beyond its guarantee. */
    boolean isBeyondGuarantee(double itsCpus, double itsCards) {
      return (itsCpus > 0 && isBeyond(cpus, cpusGuaranteed))
          || (itsCards > 0 && isBeyond(cards, cardsGuaranteed));
    }

    private static boolean isBeyond(double used, double guaranteed) {
      return guaranteed <= 0 || used > guaranteed + ProtocolConstants.EPSILON;
    }

    TeamUsage plus(double moreCpus, double moreCards) {
      return new TeamUsage(
          cpus + moreCpus, cards + moreCards, cpusMax, cardsMax, cpusGuaranteed, cardsGuaranteed);
    }
  }
}
