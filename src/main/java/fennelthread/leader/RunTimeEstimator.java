package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long tasks run: the owner's estimate times the ratio by which tasks of the same
 * class have exceeded theirs, with exponential decay. Owners err by half and more, and on some days
 * all in one direction.
 */
final class RunTimeEstimator {
  private static final class Ratio {
    double sum = LeaderConstants.RUN_TIME_PRIOR_WEIGHT;
    double weight = LeaderConstants.RUN_TIME_PRIOR_WEIGHT;
  }

  private final Map<String, Ratio> byClass = new HashMap<>();

  /** Learns from a task that ran to its end in {@code seconds}. */
  void recordRun(JobSpec spec, double seconds) {
    Ratio ratio = byClass.computeIfAbsent(spec.jobClass(), k -> new Ratio());
    ratio.sum =
        ratio.sum * LeaderConstants.RUN_TIME_DECAY
            + Math.min(LeaderConstants.MAX_RUN_TIME_RATIO, seconds / spec.estimateS());
    ratio.weight = ratio.weight * LeaderConstants.RUN_TIME_DECAY + 1;
  }

  /** The time that a task of the job is expected to run, s; 0 for services. */
  double expectedS(JobSpec spec) {
    Ratio ratio = byClass.get(spec.jobClass());
    return spec.estimateS() * (ratio == null ? 1 : ratio.sum / ratio.weight);
  }
}
