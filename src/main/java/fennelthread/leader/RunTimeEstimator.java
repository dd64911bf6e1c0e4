package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long tasks run: the owner's estimate times the average ratio of run time to
 * estimate among finished tasks of the job class, in which older tasks weigh exponentially less.
 * Owners' estimates are off by half or more, on some days all in one direction.
 */
final class RunTimeEstimator {
  private static final class Ratio {
    double sum = LeaderConstants.RUN_TIME_PRIOR_WEIGHT;
    double weight = LeaderConstants.RUN_TIME_PRIOR_WEIGHT;
  }

  private final Map<String, Ratio> byClass = new HashMap<>();

  /**
   * Records that a task of the job ran to its end in {@code seconds}; its estimate must be
   * positive.
   */
  void recordRun(JobSpec spec, double seconds) {
    Ratio ratio = byClass.computeIfAbsent(spec.jobClass(), k -> new Ratio());
    ratio.sum =
        ratio.sum * LeaderConstants.RUN_TIME_DECAY
            + Math.min(LeaderConstants.MAX_RUN_TIME_RATIO, seconds / spec.estimateS());
    ratio.weight = ratio.weight * LeaderConstants.RUN_TIME_DECAY + 1;
  }

  /** The time that a task of the job is expected to run, s; 0 if the job has no estimate. */
  double expectedS(JobSpec spec) {
    Ratio ratio = byClass.get(spec.jobClass());
    return spec.estimateS() * (ratio == null ? 1 : ratio.sum / ratio.weight);
  }
}
