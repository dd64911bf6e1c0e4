package fennelthread.fleet;

import fennelthread.jobs.StartRecord;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.List;

/**
 * Receives what a {@link Fleet} learns from workers, and supplies what the fleet does not know:
 * jobs, their records and the leader's lease. The leader's term implements it; all methods are
 * called on the event loop's thread.
 */
public interface FleetListener {
  /** Called when an attempt has ended, or is proven not to be on its machine any more. */
  void onAttemptEnded(Machine machine, Attempt attempt);

  /** Called when a report names a token of a higher epoch: another controller leads. */
  void onHigherEpochObserved(long epoch);

  /** Called when a report shows an attempt that this term did not start. */
  void onAttemptDiscovered(Attempt attempt);

  /** Called when something has changed that a scheduling round may depend on. */
  void onFleetChanged();

  /**
   * Returns the start of a reported task that this term did not start. Its resource amounts count
   * against quotas; they are 0 if neither the job nor the start's record is known any more.
   */
  StartRecord.Start startOfDiscoveredTask(Machine machine, WorkerReport.Task task);

  /** Returns the stop and clear commands that are due for the attempts on a machine. */
  List<WorkerCommand> commandsFor(Machine machine);

  /** Returns true if this leader may send starts right now and the attempt is still wanted. */
  boolean mayStart(Attempt attempt);
}
