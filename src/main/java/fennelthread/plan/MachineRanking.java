package fennelthread.plan;

import fennelthread.constants.PlanConstants;
import fennelthread.wire.JobSpec;
import java.util.List;
import java.util.PriorityQueue;

/** What choosing a machine for a task costs: a machine that has the image comes first. */
final class MachineRanking {
  private MachineRanking() {}

  /**
   * A machine with what choosing it costs; out of date once the machine has changed.
   *
   * @param victims the tasks that have to be stopped there first, or null
   */
  record Candidate(double cost, FreeCapacity room, int version, List<Snapshot.RunningTask> victims)
      implements Comparable<Candidate> {

    /** A machine as it is now, on which nothing has to be stopped. */
    static Candidate of(double cost, FreeCapacity room) {
      return new Candidate(cost, room, room.version(), null);
    }

    @Override
    public int compareTo(Candidate other) {
      int order = Double.compare(cost, other.cost);
      return order != 0 ? order : Integer.compare(room.index, other.room.index);
    }
  }

  /** The best candidate that is not out of date, or null; those before it are dropped. */
  static Candidate best(PriorityQueue<Candidate> queue) {
    while (!queue.isEmpty() && queue.peek().version != queue.peek().room.version()) {
      queue.poll();
    }
    return queue.peek();
  }

  /** How long the machine takes to fetch the job's image, s; 0 if it has it. */
  static double fetchSeconds(JobSpec spec, FreeCapacity room) {
    if (room.hasImage(spec)) {
      return 0;
    }
    double alone = spec.imageGb() / Math.max(0.01, room.machine.fetchGbPerS());
    return room.fetching().contains(spec.image())
        ? alone * (spec.service() ? 1 : PlanConstants.FETCH_LEFT)
        : alone * (1 + room.fetching().size());
  }

  /**
   * Lower is better: seconds until the task would run, then how empty the machine would be left.
   */
  static double score(Snapshot.PendingJob pendingJob, FreeCapacity room) {
    JobSpec spec = pendingJob.spec();
    double fetch = fetchSeconds(spec, room);
    double left = (room.freeCpus() - spec.cpus()) / Math.max(1, room.machine.cpusTotal());
    if (spec.service()) {
      // A replica that must wait for its image anyway brings it to a machine with few others: one
      // death then costs little, and later replicas find the image on machines with room.
      int crowd = room.tasksOfClass(spec.jobClass());
      return room.hasImage(spec)
          ? crowd * PlanConstants.CROWD_CACHED + left
          : PlanConstants.NOT_CACHED + fetch + crowd + left;
    }
    double spot = room.machine.spot() ? -0.5 : 0;
    return fetch * (pendingJob.latencySensitive() ? 10 : 1) + left + spot;
  }
}
