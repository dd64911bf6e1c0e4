package fennelthread.leader;

import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;

/**
 * Access of a leader's term to the jobs.
 *
 * @param table the live jobs and the start records in the local copy of the state
 * @param store writes the ends of jobs
 * @param endedJobs tells which jobs are over, even before their records show it
 */
public record JobRecords(JobTable table, JobStore store, EndedJobs endedJobs) {
  /** Tells which jobs are over, even before their records show it. */
  @FunctionalInterface
  public interface EndedJobs {
    /** True if the job is known to be done or cancelled. */
    boolean isOver(String jobId);
  }
}
