package fennelthread.leader;

import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.net.EventLoop;
import fennelthread.wire.JobSpec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the ends of attempts: marks the task finished, or delays its retry after a failure or a
 * refusal, and cordons a machine on which too many tasks fail.
 */
final class AttemptEndHandler {
  private static final Logger log = LoggerFactory.getLogger(AttemptEndHandler.class);

  private final EventLoop eventLoop;
  private final Fleet fleet;
  private final ActiveJobs activeJobs;
  private final RunTimeEstimator runTimes;
  private final CompletionWriter completions;

  AttemptEndHandler(EventLoop eventLoop, TermState term, CompletionWriter completions) {
    this.eventLoop = eventLoop;
    this.fleet = term.fleet();
    this.activeJobs = term.activeJobs();
    this.runTimes = term.runTimes();
    this.completions = completions;
  }

  /** Handles an attempt that has ended or is proven gone; a second call for it does nothing. */
  void onAttemptEnded(Machine machine, Attempt attempt) {
    if (attempt.isEndHandled()) {
      return;
    }
    attempt.markEndHandled();
    ActiveJob activeJob = activeJobs.jobOf(attempt);
    if (activeJob == null) {
      return;
    }
    activeJob.detach(attempt);
    if (attempt.phase() == Attempt.Phase.GONE || attempt.endReason() == null) {
      return;
    }
    int task = attempt.start().task().index();
    switch (attempt.endReason()) {
      case DONE -> onTaskDone(machine, attempt, activeJob);
      case ERROR -> onTaskFailed(machine, task, activeJob);
      case HALTED -> activeJob.onTaskStopped(task);
      case FULL, BUSY, NO_SUCH, OTHER ->
          activeJob.onTaskRefused(task, eventLoop.nowMs(), eventLoop.random().nextDouble());
      default ->
          throw new IllegalStateException("unexpected end of an attempt: " + attempt.endReason());
    }
  }

  private void onTaskDone(Machine machine, Attempt attempt, ActiveJob activeJob) {
    JobSpec spec = activeJob.job().spec();
    fleet.recordTaskSuccess(machine);
    fleet.recordCachedImage(machine, spec.image(), spec.imageGb());
    if (attempt.runningSinceMs() >= 0 && spec.estimateS() > 0) {
      runTimes.recordRun(spec, (eventLoop.nowMs() - attempt.runningSinceMs()) / 1000.0);
    }
    if (!spec.service()) {
      activeJob.markFinished(attempt.start().task().index());
      completions.add(activeJob);
    }
  }

  private void onTaskFailed(Machine machine, int task, ActiveJob activeJob) {
    boolean isJobFaulty =
        activeJob.onTaskFailed(
            task, machine.name(), eventLoop.nowMs(), eventLoop.random().nextDouble());
    if (!isJobFaulty && fleet.recordTaskFailure(machine, activeJob.id())) {
      log.warn("machine cordoned machine={} reason=taskFailures", machine.name());
      fleet.cordon(machine);
    }
  }
}
