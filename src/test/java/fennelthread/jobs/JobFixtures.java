package fennelthread.jobs;

import fennelthread.wire.JobSpec;

/** Live jobs for the tests of other packages. */
public final class JobFixtures {
  private JobFixtures() {}

  /** A live job as it is right after its acceptance. */
  public static Job accepted(JobSpec spec) {
    return new Job(spec, 1, 0);
  }
}
