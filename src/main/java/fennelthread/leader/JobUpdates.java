package fennelthread.leader;

import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.jobs.DependencyGraph;
import fennelthread.jobs.Job;
import fennelthread.jobs.JobStore;
import fennelthread.jobs.JobTable;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries changes of the job records over into a term: new jobs are scheduled, jobs whose
 * dependencies are done are released, and the tasks of jobs that are over are stopped.
 */
final class JobUpdates implements JobTable.Listener, DependencyGraph.Listener {
  private static final Logger log = LoggerFactory.getLogger(JobUpdates.class);

  private final JobTable table;
  private final JobStore store;
  private final Fleet fleet;
  private final ActiveJobs jobs;
  private final Completions completions;
  private final SchedulingLoop scheduling;

  JobUpdates(
      JobTable table,
      JobStore store,
      Fleet fleet,
      ActiveJobs jobs,
      Completions completions,
      SchedulingLoop scheduling) {
    this.table = table;
    this.store = store;
    this.fleet = fleet;
    this.jobs = jobs;
    this.completions = completions;
    this.scheduling = scheduling;
  }

  /** Listens from now on. */
  void begin() {
    table.addListener(this);
    store.dependencies().addListener(this);
  }

  /** Listens no more. */
  void end() {
    table.removeListener(this);
    store.dependencies().removeListener(this);
  }

  @Override
  public void onJobAdded(Job job) {
    jobs.begin(job);
    log.debug(
        "{} of {} is new: {} tasks of image {}",
        job.spec().id(),
        job.spec().jobClass(),
        job.spec().tasks(),
        job.spec().image());
    scheduling.changed();
  }

  @Override
  public void onPhaseChanged(Job job, DependencyGraph.Phase to) {
    ActiveJob active = jobs.get(job.spec().id());
    if (to == DependencyGraph.Phase.TO_CANCEL) {
      store.cancelDependentJobs();
    } else if (active != null) {
      jobs.release(active);
      scheduling.changed();
    }
  }

  @Override
  public void onInheritedPriorityChanged(String id) {
    ActiveJob active = jobs.get(id);
    if (active == null) {
      return;
    }
    jobs.lend(active);
    // What a machine carries is added up anew only if the machine has changed.
    machinesOf(active).forEach(Machine::markChanged);
    scheduling.changed();
  }

  @Override
  public void onJobRemoved(Job job) {
    ActiveJob active = jobs.remove(job.spec().id());
    if (active != null) {
      completions.forget(active);
      for (Machine machine : machinesOf(active)) {
        machine.markChanged();
        if (machine.phase() == Machine.Phase.REPORTING) {
          fleet.sendCommands(machine);
        }
      }
    }
    scheduling.changed();
  }

  /** The machines that a job's tasks may be on. */
  private Set<Machine> machinesOf(ActiveJob active) {
    Set<Machine> machines = new LinkedHashSet<>();
    for (List<Attempt> attempts : active.attempts().values()) {
      for (Attempt attempt : attempts) {
        Machine machine = fleet.machine(attempt.start().machine());
        if (machine != null) {
          machines.add(machine);
        }
      }
    }
    return machines;
  }
}
