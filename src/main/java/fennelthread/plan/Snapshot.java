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
 * The input of one scheduling round: machines, pending jobs and teams at one moment.
 *
 * @param machines the machines that may take tasks
 * @param pendingJobs the jobs with tasks to place
 * @param guaranteedJobs the ids of the jobs that lie within their team's guarantee; all other jobs
 *     borrow capacity
 * @param nonPreemptible the numbers of the attempts of aged jobs that are not preempted for any
 *     work
 * @param teams what each team uses and may use, by name
 * @param nowMs the time of the round on the leader's clock, ms
 * @param maxStarts the most tasks that the round may start
 * @param starvedJobs the ids of the jobs that have been passed over for a long time although a
 *     machine had free capacity; they may take capacity that is reserved for others
 * @param preemptibleOnlyByMoreUrgent the numbers of the attempts that are preempted only for more
 *     urgent work
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

  /**
   * Stands for the zone of tasks whose machine's zone is not known: an earlier leader started them,
   * and the machine has not reported yet. Such a task may be in any zone.
   */
  public static final String UNKNOWN_ZONE = "";

  /**
   * The state of a machine that may take tasks.
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
   * @param running the tasks that its worker has received, including those that are being stopped
   * @param freeReportSlots the number of further tasks that fit into its worker's reports
   * @param startWaitS how long a start is expected to wait until it can be sent to its worker, s
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
      int freeReportSlots,
      double startWaitS) {

    /** Returns the same state with another expected wait of starts, s. */
    public MachineState withStartWait(double newStartWaitS) {
      return new MachineState(
          name,
          type,
          zone,
          isSpot,
          freeCpus,
          freeCards,
          freeMemGb,
          images,
          fetching,
          tasksByClass,
          running,
          freeReportSlots,
          newStartWaitS);
    }
  }

  /**
   * A job with tasks to place.
   *
   * @param spec the job
   * @param priority its own priority, or a more urgent one that it inherits from a job that depends
   *     on it
   * @param preemptsAs the priority with which it may preempt other work, no more urgent than {@code
   *     priority}
   * @param tasks the indexes of the tasks to place
   * @param tasksByZone how many of its tasks may be present in each zone; empty for jobs without
   *     constraints on zones
   * @param isWithinGuarantee true if the job lies within its team's guarantee and is not late
   * @param isLatencySensitive true if the time to fetch an image counts more than for other jobs
   * @param isLate true if it can no longer meet any of its deadlines
   * @param agedWork the CPU seconds that its waiting tasks still take, reduced the longer it has
   *     waited
   * @param maxWaitS how long it waits for running tasks to complete before it preempts others, s
   * @param agingBoost how far its first task is moved forward; unless this is {@link
   *     AgingBoost#NONE}, {@code tasks} holds only that task
   * @param releaseOrder its position in the order in which jobs were released
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
   * A task that a worker has received, including one that is being stopped.
   *
   * @param spec its job
   * @param priority its job's own priority, or one that the job inherits
   * @param task its index in the job
   * @param attempt the number of its attempt
   * @param machine the name of its machine
   * @param isStopping true if it is being stopped
   * @param cpus CPUs that it takes
   * @param cards accelerator cards that it takes
   * @param memGb memory that it takes, GB
   * @param runningSinceMs when it began to run on the leader's clock, ms, or -1 if it has not yet
   * @param expectedRunS how long it is expected to run, s; 0 for a service, which never completes
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

    /** Returns how long it has run, s; its preemption loses the work of that time. */
    double elapsedS(long nowMs) {
      return runningSinceMs < 0 ? 0 : (nowMs - runningSinceMs) / 1000.0;
    }

    /**
     * Returns how much longer it is expected to run, s: at least {@link
     * PlanConstants#MIN_REMAINING_SHARE} of the expected run time, and infinite for a service.
     */
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
   * @param cpus CPUs allocated to its tasks
   * @param cards accelerator cards allocated to its tasks
   * @param cpusUnsent those CPUs of {@code cpus} whose starts have not been sent yet
   * @param cardsUnsent those cards of {@code cards} whose starts have not been sent yet
   * @param cpusMax its limit of CPUs, 0 for none
   * @param cardsMax its limit of cards, 0 for none
   * @param cpusGuaranteed CPUs that are guaranteed to it, 0 for none
   * @param cardsGuaranteed cards that are guaranteed to it, 0 for none
   */
  public record TeamUsage(
      double cpus,
      double cards,
      double cpusUnsent,
      double cardsUnsent,
      double cpusMax,
      double cardsMax,
      double cpusGuaranteed,
      double cardsGuaranteed) {

    /** Creates the usage of a team whose starts have all been sent. */
    public TeamUsage(
        double cpus,
        double cards,
        double cpusMax,
        double cardsMax,
        double cpusGuaranteed,
        double cardsGuaranteed) {
      this(cpus, cards, 0, 0, cpusMax, cardsMax, cpusGuaranteed, cardsGuaranteed);
    }

    /** Returns true if another task of this size stays within the limit. */
    public boolean allows(double moreCpus, double moreCards) {
      return (cpusMax <= 0 || cpus + moreCpus <= cpusMax + ProtocolConstants.AMOUNT_TOLERANCE)
          && (cardsMax <= 0 || cards + moreCards <= cardsMax + ProtocolConstants.AMOUNT_TOLERANCE);
    }

    /** Returns true if a task of this size is part of what the team uses beyond its guarantee. */
    boolean isBeyondGuarantee(double taskCpus, double taskCards) {
      return (taskCpus > 0 && isBeyond(cpus, cpusGuaranteed))
          || (taskCards > 0 && isBeyond(cards, cardsGuaranteed));
    }

    private static boolean isBeyond(double used, double guaranteed) {
      return guaranteed <= 0 || used > guaranteed + ProtocolConstants.AMOUNT_TOLERANCE;
    }

    /** Returns the usage with the given amounts added; negative amounts are subtracted. */
    TeamUsage plus(double moreCpus, double moreCards) {
      return new TeamUsage(
          cpus + moreCpus,
          cards + moreCards,
          cpusUnsent,
          cardsUnsent,
          cpusMax,
          cardsMax,
          cpusGuaranteed,
          cardsGuaranteed);
    }

    /** Returns the usage without the tasks whose starts have not been sent. */
    TeamUsage withoutUnsent() {
      return new TeamUsage(
          cpus - cpusUnsent,
          cards - cardsUnsent,
          cpusMax,
          cardsMax,
          cpusGuaranteed,
          cardsGuaranteed);
    }
  }
}
