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
    Settings.Workers workers = settings.workers();
    this.cancellations =
        new CancellationLog(eventLoop, 2 * (workers.cancelMs() + workers.leaseMs()));
    table.addListener(new RemovedJobs());
    this.store = new JobStore(eventLoop, state, replica, table, settings, cancellations::mayTell);
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

  /** The jobs that are known to be over, whether or not their records say so yet. */
  CancellationLog cancellations() {
    return cancellations;
  }

  /** What submits, cancels and looks up jobs. */
  JobStore store() {
    return store;
  }

  /** Describes what is held in memory, for one line of the log. */
  String memoryUsage() {
    return table.memoryUsage() + ", " + store.memoryUsage();
  }

  /** Records jobs as over once their records are removed. */
  private final class RemovedJobs implements JobTable.Listener {
    @Override
    public void onJobAdded(Job job) {}

    @Override
    public void onJobRemoved(Job job) {
      cancellations.over(job.spec().id());
    }
  }
}
