package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The operators' rule on whole days: at least half is served of each class of jobs, of each team
 * and of the largest jobs of a class, replicas by time and arrays by jobs that are complete.
 * Largest are those that ask for as much as the tenth part of a class's jobs that ask for most, one
 * at least.
 */
final class ServedRule {

  /** A job that counts. */
  record Job(JobSpec spec, long acceptedAt, boolean complete) {}

  /** What a class of jobs, or of a team's, was to have, and what it had. */
  private static final class Served {
    long replicasWanted;
    long replicasUp;
    long jobsWanted;
    long jobsDone;

    double share() {
      double replicas = replicasWanted == 0 ? 1 : replicasUp / (double) replicasWanted;
      double jobs = jobsWanted == 0 ? 1 : jobsDone / (double) jobsWanted;
      return Math.min(replicas, jobs);
    }
  }

  private final Map<String, long[]> replicas = new HashMap<>();

  /** Counts the replicas of a service that should be up at this moment, and those that are. */
  void sample(JobSpec service, int running) {
    long[] up = replicas.computeIfAbsent(service.id(), k -> new long[2]);
    up[0] += service.tasks();
    up[1] += Math.min(service.tasks(), running);
  }

  /**
   * Gives a description of the first group that was not served, or null.
   *
   * @param countedBefore arrays that were accepted later don't count
   */
  String check(List<Job> jobs, long countedBefore) {
    Map<String, Served> shares = new TreeMap<>();
    Map<String, List<Job>> byClass = new TreeMap<>();
    for (Job job : jobs) {
      byClass.computeIfAbsent(job.spec.jobClass(), k -> new ArrayList<>()).add(job);
    }
    byClass.forEach(
        (jobClass, members) -> {
          double large = leastOfTheLargest(members);
          for (Job job : members) {
            count(shares, "class " + jobClass, job, countedBefore);
            count(shares, "team " + job.spec.team(), job, countedBefore);
            if (asked(job) >= large) {
              count(shares, "largest of " + jobClass, job, countedBefore);
            }
          }
        });
    for (Map.Entry<String, Served> e : shares.entrySet()) {
      if (e.getValue().share() < SimulationConstants.MIN_SERVED_SHARE) {
        return e.getKey() + " " + e.getValue().share();
      }
    }
    return null;
  }

  private static double leastOfTheLargest(List<Job> members) {
    members.sort(Comparator.comparingDouble(ServedRule::asked).reversed());
    int count = (int) Math.ceil(members.size() * SimulationConstants.LARGEST_JOBS_SHARE);
    return asked(members.get(count - 1));
  }

  private static double asked(Job job) {
    return job.spec.tasks() * job.spec.cpus();
  }

  private void count(Map<String, Served> shares, String group, Job job, long countedBefore) {
    Served s = shares.computeIfAbsent(group, k -> new Served());
    if (job.spec.service()) {
      long[] up = replicas.getOrDefault(job.spec.id(), new long[2]);
      s.replicasWanted += up[0];
      s.replicasUp += up[1];
    } else if (job.acceptedAt < countedBefore) {
      s.jobsWanted++;
      s.jobsDone += job.complete ? 1 : 0;
    }
  }
}
