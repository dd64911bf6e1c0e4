package fennelthread.jobs;

/** Receives the ids of cancelled jobs, each before any user is told of the cancellation. */
@FunctionalInterface
public interface CancellationListener {
  /**
   * Called when this controller learns of a job's cancellation; may be called several times for one
   * job.
   */
  void onJobCancelled(String jobId);
}
