package fennelthread.admission;

import fennelthread.constants.AdmissionConstants;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobTable;
import fennelthread.wire.JobSpec;

/**
 * Estimates what the live jobs and their started tasks take of a leader's heap. Every controller
 * holds the same jobs, so that all arrive at the same estimate.
 */
public final class BacklogSize implements JobTable.Listener {
  private final JobTable table;
  private long jobBytes;

  /** Creates the estimate for a table that holds no jobs yet, and follows its changes. */
  public BacklogSize(JobTable table) {
    this.table = table;
    table.addListener(this);
  }

  /** The estimate for all live jobs, bytes. */
  public long bytes() {
    return jobBytes + table.recordedStartCount() * AdmissionConstants.STARTED_TASK_BYTES;
  }

  /** The estimate for one job of which nothing has started, bytes. */
  public static long bytesOf(JobSpec spec) {
    int textLength =
        spec.id().length()
            + spec.jobClass().length()
            + spec.team().length()
            + spec.image().length();
    return AdmissionConstants.WAITING_JOB_BYTES
        + AdmissionConstants.COPIES_OF_TEXTS * textLength
        + AdmissionConstants.DEPENDENCY_BYTES * spec.dependencies().size();
  }

  @Override
  public void onJobAdded(Job job) {
    jobBytes += bytesOf(job.spec());
  }

  @Override
  public void onJobRemoved(Job job) {
    jobBytes -= bytesOf(job.spec());
  }
}
