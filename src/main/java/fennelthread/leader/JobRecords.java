package fennelthread.leader;

import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;

/**
 * The jobs as a leader's term sees them.
 *
 * @param table the live jobs and the start records in the local copy of the state
 * @param store writes the ends of jobs
 * @param endedJobs knows of ends that no record says yet
 */
public record JobRecords(JobTable table, JobStore store, EndedJobs endedJobs) {
  /** Tells which jobs are over although their records may not say so yet. */
  @FunctionalInterface
  public interface EndedJobs {
    /** True if the job is known to be done or cancelled. */
    boolean isOver(String jobId);
  }
}
