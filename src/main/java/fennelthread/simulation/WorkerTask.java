package fennelthread.simulation;

import fennelthread.wire.JobSpec;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WorkerReport;

/** An attempt at a task that an emulated worker knows: on its machine, or ended and reported. */
final class WorkerTask {
  final TaskRef ref;
  final long attempt;
  final JobSpec spec;
  WorkerReport.Phase phase = WorkerReport.Phase.FETCHING;
  WorkerReport.EndReason endReason;
  boolean isPresent;

  WorkerTask(TaskRef ref, long attempt, JobSpec spec) {
    this.ref = ref;
    this.attempt = attempt;
    this.spec = spec;
  }
}
