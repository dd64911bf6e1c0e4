package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.wire.JobSpec;
import java.util.HashMap;
import java.util.Map;

/**
 * How long tasks take, as a correction of what owners say: they err by half and more, and on some
 * days all in one direction.
 */
final class RunTimes {
  private static final class Ratio {
    double sum = LeaderConstants.RUN_TIME_PRIOR_WEIGHT;
    double weight = LeaderConstants.RUN_TIME_PRIOR_WEIGHT;
  }

  private final Map<String, Ratio> byClass = new HashMap<>();

  /** A task ran for so long, s. */
  void learn(JobSpec spec, double tookS) {
    Ratio r = byClass.computeIfAbsent(spec.jobClass(), k -> new Ratio());
    r.sum =
        r.sum * LeaderConstants.RUN_TIME_DECAY
            + Math.min(LeaderConstants.MAX_RUN_TIME_RATIO, tookS / spec.estimateS());
    r.weight = r.weight * LeaderConstants.RUN_TIME_DECAY + 1;
  }

  /** The time that a task of the job is expected to run, s; 0 for services. */
  double of(JobSpec spec) {
    Ratio r = byClass.get(spec.jobClass());
    return spec.estimateS() * (r == null ? 1 : r.sum / r.weight);
  }
}
