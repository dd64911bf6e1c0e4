package fennelthread.leader;

import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;

/**
 * The stores through which a leader's term reads and ends jobs.
 *
 * @param table the live jobs and the start records in the local copy of the state
 * @param store writes the final records of jobs
 * @param endedJobs tells which jobs are over, even before their records show it
 */
public record JobRecords(JobTable table, JobStore store, EndedJobs endedJobs) {
  /** The jobs that are known to have ended. */
  @FunctionalInterface
  public interface EndedJobs {
    /** True if the job is known to be done or cancelled. */
    boolean hasEnded(String jobId);
  }
}
