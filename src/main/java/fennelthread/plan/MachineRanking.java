package fennelthread.plan;

import fennelthread.constants.PlanConstants;
import fennelthread.wire.JobSpec;
import java.util.List;
import java.util.PriorityQueue;

/** The cost of choosing a machine for a task: a machine that has the image comes first. */
final class MachineRanking {
  private MachineRanking() {}

  /**
   * A machine with the cost of choosing it; outdated once the machine's capacity has changed.
   *
   * @param cost lower is better
   * @param machine the machine's capacity
   * @param version the version of the capacity when the cost was computed
   * @param preempted the tasks that have to be preempted there first, or null
   */
  record Candidate(
      double cost, FreeCapacity machine, int version, List<Snapshot.RunningTask> preempted)
      implements Comparable<Candidate> {

    /** Creates a candidate of a machine as it is now, without preemption. */
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

  /** Returns the best candidate that is not outdated, or null; drops those before it. */
  static Candidate peekCurrent(PriorityQueue<Candidate> queue) {
    while (!queue.isEmpty() && queue.peek().isOutdated()) {
      queue.poll();
    }
    return queue.peek();
  }

  /** How long the machine takes to fetch the job's image, s; 0 if it has it. */
  static double fetchSeconds(JobSpec spec, FreeCapacity machine) {
    if (machine.hasImage(spec)) {
      return 0;
    }
    double undisturbedS =
        spec.imageGb()
            / Math.max(PlanConstants.MIN_FETCH_GB_PER_S, machine.machine().type().fetchGbPerS());
    return machine.fetching().contains(spec.image())
        ? undisturbedS * (spec.service() ? 1 : PlanConstants.REMAINING_FETCH_SHARE)
        : undisturbedS * (1 + machine.fetching().size());
  }

  /**
   * The cost of a machine, lower is better: seconds until the task would run, then the share of its
   * CPUs that would be left free (best fit).
   */
  static double score(Snapshot.PendingJob pendingJob, FreeCapacity machine) {
    JobSpec spec = pendingJob.spec();
    double fetchS = fetchSeconds(spec, machine);
    double freeShare =
        (machine.freeCpus() - spec.cpus()) / Math.max(1, machine.machine().type().cpus());
    if (spec.service()) {
      // A replica that must wait for its image anyway brings it to a machine with few others: the
      // loss of one machine then costs little, and later replicas find the image on machines with
      // free capacity.
      int sameClass = machine.tasksOfClass(spec.jobClass());
      return machine.hasImage(spec)
          ? sameClass * PlanConstants.SPREADING_PENALTY_CACHED + freeShare
          : PlanConstants.IMAGE_NOT_CACHED_PENALTY_S + fetchS + sameClass + freeShare;
    }
    double spotBonus = machine.machine().isSpot() ? -PlanConstants.SPOT_BONUS : 0;
    double fetchWeight =
        pendingJob.isLatencySensitive() ? PlanConstants.LATENCY_SENSITIVE_FETCH_WEIGHT : 1;
    return fetchS * fetchWeight + freeShare + spotBonus;
  }
}
