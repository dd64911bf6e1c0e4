package fennelthread;

import fennelthread.jobs.Job;
import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;
import fennelthread.leaserenewal.CancellationLog;
import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import fennelthread.state.Replica;
import fennelthread.state.StateClient;

/**
 * One controller's access to the state service: the client, the replica of all live records, and
 * the jobs that are decoded from it. Runs on the event loop's thread.
 */
final class ReplicatedRecords {
  private final StateClient state;
  private final Replica replica;
  private final JobTable table = new JobTable();
  private final CancellationLog cancellations;
  private final JobStore store;

  /** Creates the client and an empty replica; {@link Replica#start} fills it. */
  ReplicatedRecords(EventLoop eventLoop, Settings settings) {
    this.state = new StateClient(eventLoop, settings);
    this.replica = new Replica(eventLoop, state);
    replica.addListener(table);
    Settings.WorkerTiming workers = settings.workers();
    this.cancellations =
        new CancellationLog(eventLoop, 2 * (workers.cancelMs() + workers.leaseMs()));
    table.addListener(new RemovalListener());
    this.store =
        new JobStore(eventLoop, state, replica, table, settings, cancellations::recordDisclosable);
  }

  /** The client of the state service. */
  StateClient state() {
    return state;
  }

  /** The local copy of all live records. */
  Replica replica() {
    return replica;
  }

  /** The jobs that the replica holds. */
  JobTable table() {
    return table;
  }

  /** The jobs known to have ended recently, even if their records do not show it yet. */
  CancellationLog cancellations() {
    return cancellations;
  }

  /** Submits, cancels and looks up jobs. */
  JobStore store() {
    return store;
  }

  /** Describes the memory use as key=value pairs for a log line. */
  String memoryUsage() {
    return table.memoryUsage() + " " + store.memoryUsage();
  }

  /** Enters jobs into the cancellation log as ended once their records are removed. */
  private final class RemovalListener implements JobTable.Listener {
    @Override
    public void onJobAdded(Job job) {}

    @Override
    public void onJobRemoved(Job job) {
      cancellations.recordEnded(job.spec().id());
    }
  }
}
