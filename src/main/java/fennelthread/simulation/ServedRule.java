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
 * The operators' rule for whole days: of the work of each job class, of each team and of the
 * largest jobs of each class, at least half is served. Services are measured by the share of their
 * replicas that run, over time; arrays by the share of jobs that complete. The largest jobs of a
 * class are its top tenth by requested CPUs, at least one job, and all others that request as many
 * CPUs as the smallest of these.
 */
final class ServedRule {

  /** An accepted job, when it was accepted, ms, and whether all its tasks have completed. */
  record Job(JobSpec spec, long acceptedAt, boolean complete) {}

  /** Expected and served work of one group of jobs. */
  private static final class Served {
    long replicasExpected;
    long replicasRunning;
    long jobsExpected;
    long jobsCompleted;

    double share() {
      double replicas = replicasExpected == 0 ? 1 : replicasRunning / (double) replicasExpected;
      double jobs = jobsExpected == 0 ? 1 : jobsCompleted / (double) jobsExpected;
      return Math.min(replicas, jobs);
    }
  }

  private final Map<String, long[]> replicaSamples = new HashMap<>();

  /** Adds a sample of a service: its expected and its running replicas at this time. */
  void sample(JobSpec service, int running) {
    long[] sample = replicaSamples.computeIfAbsent(service.id(), k -> new long[2]);
    sample[0] += service.tasks();
    sample[1] += Math.min(service.tasks(), running);
  }

  /**
   * Returns a description of the first group that is served too little, or null.
   *
   * @param countedBefore time from which on accepted arrays don't count, ms
   */
  String check(List<Job> jobs, long countedBefore) {
    Map<String, Served> shares = new TreeMap<>();
    Map<String, List<Job>> byClass = new TreeMap<>();
    for (Job job : jobs) {
      byClass.computeIfAbsent(job.spec.jobClass(), k -> new ArrayList<>()).add(job);
    }
    byClass.forEach(
        (jobClass, members) -> {
          double leastCpus = findLeastCpusOfLargest(members);
          for (Job job : members) {
            count(shares, "class " + jobClass, job, countedBefore);
            count(shares, "team " + job.spec.team(), job, countedBefore);
            if (requestedCpus(job) >= leastCpus) {
              count(shares, "largest of " + jobClass, job, countedBefore);
            }
          }
        });
    for (Map.Entry<String, Served> entry : shares.entrySet()) {
      if (entry.getValue().share() < SimulationConstants.MIN_SERVED_SHARE) {
        return entry.getKey() + " " + entry.getValue().share();
      }
    }
    return null;
  }

  private static double findLeastCpusOfLargest(List<Job> members) {
    members.sort(Comparator.comparingDouble(ServedRule::requestedCpus).reversed());
    int count = (int) Math.ceil(members.size() * SimulationConstants.LARGEST_JOBS_SHARE);
    return requestedCpus(members.get(count - 1));
  }

  private static double requestedCpus(Job job) {
    return job.spec.tasks() * job.spec.cpus();
  }

  private void count(Map<String, Served> shares, String group, Job job, long countedBefore) {
    Served served = shares.computeIfAbsent(group, k -> new Served());
    if (job.spec.service()) {
      long[] sample = replicaSamples.getOrDefault(job.spec.id(), new long[2]);
      served.replicasExpected += sample[0];
      served.replicasRunning += sample[1];
    } else if (job.acceptedAt < countedBefore) {
      served.jobsExpected++;
      served.jobsCompleted += job.complete ? 1 : 0;
    }
  }
}
