package fennelthread.plan;

import fennelthread.constants.PlanConstants;
import fennelthread.wire.JobSpec;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Scores machines for a task; a lower score is better. The time until the task can run usually
 * counts most, then how much capacity would be left free (best fit). Spot machines get a bonus, and
 * replicas of a service are spread.
 */
final class MachineRanking {
  private MachineRanking() {}

  /**
   * A machine with the cost of placing a task there. Outdated once the machine's capacity changes;
   * ordered by cost, then by the machine's index.
   *
   * @param cost lower is better
   * @param machine the machine's capacity
   * @param version the version of the capacity when the cost was computed
   * @param preempted the tasks that must be preempted there first, or null for none
   */
  record Candidate(
      double cost, FreeCapacity machine, int version, List<Snapshot.RunningTask> preempted)
      implements Comparable<Candidate> {

    /** Creates a candidate without preemption from the machine's current capacity. */
    static Candidate of(double cost, FreeCapacity machine) {
      return new Candidate(cost, machine, machine.version(), null);
    }

    private boolean isOutdated() {
      return version != machine.version();
    }

    @Override
    public int compareTo(Candidate other) {
      int order = Double.compare(cost, other.cost);
      return order != 0 ? order : Integer.compare(machine.index(), other.machine.index());
    }
  }

  /**
   * Returns the best candidate that is not outdated, or null; removes the outdated ones before it.
   */
  static Candidate peekCurrent(PriorityQueue<Candidate> queue) {
    while (!queue.isEmpty() && queue.peek().isOutdated()) {
      queue.poll();
    }
    return queue.peek();
  }

  /**
   * Returns how long the machine is expected to take to fetch the job's image, s; 0 if it has it.
   * Fetches share the machine's bandwidth: a new fetch is assumed to take as many times longer as
   * fetches would then be in flight. If the image is being fetched already, {@link
   * PlanConstants#REMAINING_FETCH_SHARE} of its fetch time is assumed to remain; for services all
   * of it.
   */
  static double fetchSeconds(JobSpec spec, FreeCapacity machine) {
    if (machine.hasImage(spec)) {
      return 0;
    }
    double unsharedFetchS =
        spec.imageGb()
            / Math.max(PlanConstants.MIN_FETCH_GB_PER_S, machine.machine().type().fetchGbPerS());
    return machine.fetching().contains(spec.image())
        ? unsharedFetchS * (spec.service() ? 1 : PlanConstants.REMAINING_FETCH_SHARE)
        : unsharedFetchS * (1 + machine.fetching().size());
  }

  /**
   * Returns the score of a machine, lower is better: the time until the task is expected to run, s,
   * which is the wait until its start can be sent and the time to fetch its image, plus the share
   * of the machine's CPUs that would be left free (best fit). For latency-sensitive jobs that time
   * is weighted, and spot machines get a bonus. For services each task of the class on the machine
   * adds a spreading penalty, and any machine without the image scores worse than one with it.
   */
  static double score(Snapshot.PendingJob pendingJob, FreeCapacity machine) {
    JobSpec spec = pendingJob.spec();
    double startWaitS = machine.machine().startWaitS();
    double fetchS = fetchSeconds(spec, machine);
    double freeShare =
        (machine.freeCpus() - spec.cpus()) / Math.max(1, machine.machine().type().cpus());
    if (spec.service()) {
      // A replica that must wait for its image anyway goes to a machine with few tasks of its
      // class. The loss of one machine then costs little, and later replicas find the image on
      // machines with free capacity.
      int sameClass = machine.tasksOfClass(spec.jobClass());
      return machine.hasImage(spec)
          ? startWaitS + sameClass * PlanConstants.SPREADING_PENALTY_CACHED + freeShare
          : PlanConstants.IMAGE_NOT_CACHED_PENALTY_S + startWaitS + fetchS + sameClass + freeShare;
    }
    double spotBonus = machine.machine().isSpot() ? -PlanConstants.SPOT_BONUS : 0;
    double timeWeight =
        pendingJob.isLatencySensitive() ? PlanConstants.LATENCY_SENSITIVE_TIME_WEIGHT : 1;
    return (startWaitS + fetchS) * timeWeight + freeShare + spotBonus;
  }
}
