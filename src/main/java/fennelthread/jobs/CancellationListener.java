package fennelthread.jobs;

/** Receives cancelled jobs, each before any user is told that it is cancelled. */
@FunctionalInterface
public interface CancellationListener {
  /** Called when a job's cancellation becomes known here; may be called twice for one job. */
  void onJobCancelled(String jobId);
}
