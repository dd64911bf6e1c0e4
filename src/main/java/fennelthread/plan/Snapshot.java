package fennelthread.plan;

import fennelthread.constants.PlanConstants;
import fennelthread.constants.ProtocolConstants;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import fennelthread.wire.Priority;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The input of one scheduling round.
 *
 * @param machines the machines that may take tasks
 * @param pendingJobs the jobs with tasks to place
 * @param guaranteedJobs the ids of jobs that lie within their team's guarantee; all other work is
 *     borrowed
 * @param nonPreemptible the attempts that are all that an aged job has running: they are not
 *     preempted for any work
 * @param teams what each team uses and may use, by name
 * @param nowMs the time of the round on the leader's clock, ms
 * @param maxStarts how many tasks the round may start
 * @param starvedJobs the ids of jobs that were passed over for long although a machine had free
 *     capacity: what is reserved for others does not hold them back any more
 * @param preemptibleOnlyByMoreUrgent the attempts that are preempted for more urgent work alone
 */
public record Snapshot(
    List<MachineState> machines,
    List<PendingJob> pendingJobs,
    Set<String> guaranteedJobs,
    Set<Long> nonPreemptible,
    Map<String, TeamUsage> teams,
    long nowMs,
    int maxStarts,
    Set<String> starvedJobs,
    Set<Long> preemptibleOnlyByMoreUrgent) {

  /** The zone of tasks that an earlier leader started on a machine that has not reported yet. */
  public static final String UNKNOWN_ZONE = "";

  /**
   * A machine that may take tasks.
   *
   * @param name its name
   * @param type its machine type
   * @param zone its zone
   * @param isSpot true if it is a spot instance
   * @param freeCpus free CPUs
   * @param freeCards free accelerator cards
   * @param freeMemGb free memory, GB
   * @param images the images in its cache
   * @param fetching the images that it is fetching
   * @param tasksByClass the number of its tasks by job class
   * @param running the tasks that may be preempted, and those that are stopping already
   * @param freeReportSlots for how many more tasks its worker's reports have space
   */
  public record MachineState(
      String name,
      MachineType type,
      String zone,
      boolean isSpot,
      double freeCpus,
      double freeCards,
      double freeMemGb,
      Set<String> images,
      Set<String> fetching,
      Map<String, Integer> tasksByClass,
      List<RunningTask> running,
      int freeReportSlots) {}

  /**
   * A job with tasks to place.
   *
   * @param spec the job
   * @param priority its own priority, or a more urgent one that it inherits from a dependant
   * @param preemptsAs the priority with which it may preempt other work, no more urgent than {@code
   *     priority}
   * @param tasks the indexes of the tasks to place
   * @param tasksByZone its tasks that may be present, by zone; filled for jobs with a constraint on
   *     zones
   * @param isWithinGuarantee true if the job lies within its team's guarantee
   * @param isLatencySensitive true if waiting for an image counts more than usual
   * @param isLate true if it can't meet any of its deadlines any more
   * @param agedWork the CPU seconds that its waiting tasks still take, less the longer it has
   *     waited
   * @param maxWaitS how long it waits for running tasks to complete rather than have others
   *     preempted, s
   * @param agingBoost how far its first task is moved forward; {@code tasks} is that one alone
   *     unless this is {@link AgingBoost#NONE}
   * @param releaseOrder its place in the order in which jobs were released
   */
  public record PendingJob(
      JobSpec spec,
      Priority priority,
      Priority preemptsAs,
      List<Integer> tasks,
      Map<String, Integer> tasksByZone,
      boolean isWithinGuarantee,
      boolean isLatencySensitive,
      boolean isLate,
      double agedWork,
      double maxWaitS,
      AgingBoost agingBoost,
      long releaseOrder) {}

  /**
   * A task that may be preempted, or is stopping.
   *
   * @param spec its job
   * @param priority its job's own priority, or one that the job inherits
   * @param task its index in the job
   * @param attempt the number of the attempt
   * @param machine the name of its machine
   * @param isStopping true if it is being stopped already
   * @param cpus CPUs that it takes
   * @param cards accelerator cards that it takes
   * @param memGb memory that it takes, GB
   * @param runningSinceMs when it began to run, ms, or -1
   * @param expectedRunS how long it is expected to run, s; 0 if for ever
   */
  public record RunningTask(
      JobSpec spec,
      Priority priority,
      int task,
      long attempt,
      String machine,
      boolean isStopping,
      double cpus,
      double cards,
      double memGb,
      long runningSinceMs,
      double expectedRunS) {

    /** How long it has run, and the work that preemption would lose, s. */
    double elapsedS(long nowMs) {
      return runningSinceMs < 0 ? 0 : (nowMs - runningSinceMs) / 1000.0;
    }

    /** How much longer it is expected to run, s. */
    double remainingS(long nowMs) {
      return expectedRunS <= 0
          ? Double.POSITIVE_INFINITY
          : Math.max(
              expectedRunS * PlanConstants.MIN_REMAINING_SHARE, expectedRunS - elapsedS(nowMs));
    }
  }

  /**
   * What a team uses, its limit and its guarantee.
   *
   * @param cpus CPUs that its tasks take at most
   * @param cards accelerator cards that its tasks take at most
   * @param cpusMax its limit of CPUs, 0 for none
   * @param cardsMax its limit of cards, 0 for none
   * @param cpusGuaranteed CPUs that are guaranteed to it, 0 for none
   * @param cardsGuaranteed cards that are guaranteed to it, 0 for none
   */
  public record TeamUsage(
      double cpus,
      double cards,
      double cpusMax,
      double cardsMax,
      double cpusGuaranteed,
      double cardsGuaranteed) {

    /** True if another task of this size stays within the limit. */
    public boolean allows(double moreCpus, double moreCards) {
      return (cpusMax <= 0 || cpus + moreCpus <= cpusMax + ProtocolConstants.EPSILON)
          && (cardsMax <= 0 || cards + moreCards <= cardsMax + ProtocolConstants.EPSILON);
    }

    /** True if a task of this size is part of what the team uses beyond its guarantee. */
    boolean isBeyondGuarantee(double taskCpus, double taskCards) {
      return (taskCpus > 0 && isBeyond(cpus, cpusGuaranteed))
          || (taskCards > 0 && isBeyond(cards, cardsGuaranteed));
    }

    private static boolean isBeyond(double used, double guaranteed) {
      return guaranteed <= 0 || used > guaranteed + ProtocolConstants.EPSILON;
    }

    /** The usage with so much more, or less if negative. */
    TeamUsage plus(double moreCpus, double moreCards) {
      return new TeamUsage(
          cpus + moreCpus, cards + moreCards, cpusMax, cardsMax, cpusGuaranteed, cardsGuaranteed);
    }
  }
}
