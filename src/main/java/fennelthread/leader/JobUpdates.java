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
 * Applies changes of the job records to a term: new jobs are scheduled, jobs whose dependencies are
 * done are released, and the tasks of jobs that are over are stopped.
 */
final class JobUpdates implements JobTable.Listener, DependencyGraph.Listener {
  private static final Logger log = LoggerFactory.getLogger(JobUpdates.class);

  private final JobTable table;
  private final JobStore store;
  private final Fleet fleet;
  private final ActiveJobs activeJobs;
  private final CompletionWriter completions;
  private final RoundTrigger rounds;

  JobUpdates(
      JobRecords records, TermState term, CompletionWriter completions, RoundTrigger rounds) {
    this.table = records.table();
    this.store = records.store();
    this.fleet = term.fleet();
    this.activeJobs = term.activeJobs();
    this.completions = completions;
    this.rounds = rounds;
  }

  /** Begins to apply changes. */
  void startListening() {
    table.addListener(this);
    store.dependencyTracker().addListener(this);
  }

  /** Applies no more changes. */
  void stopListening() {
    table.removeListener(this);
    store.dependencyTracker().removeListener(this);
  }

  @Override
  public void onJobAdded(Job job) {
    activeJobs.add(job);
    log.debug(
        "job added job={} class={} tasks={} image={}",
        job.spec().id(),
        job.spec().jobClass(),
        job.spec().tasks(),
        job.spec().image());
    rounds.requestRound();
  }

  @Override
  public void onPhaseChanged(Job job, DependencyGraph.Phase to) {
    ActiveJob activeJob = activeJobs.get(job.spec().id());
    if (to == DependencyGraph.Phase.TO_CANCEL) {
      store.cancelDependentJobs();
    } else if (activeJob != null) {
      activeJobs.release(activeJob);
      rounds.requestRound();
    }
  }

  @Override
  public void onInheritedPriorityChanged(String id) {
    ActiveJob activeJob = activeJobs.get(id);
    if (activeJob == null) {
      return;
    }
    activeJobs.updateInheritedPriority(activeJob);
    // MachineLoad recomputes the priorities of running tasks only if the machine has changed.
    machinesOf(activeJob).forEach(Machine::markChanged);
    rounds.requestRound();
  }

  @Override
  public void onJobRemoved(Job job) {
    ActiveJob activeJob = activeJobs.remove(job.spec().id());
    if (activeJob != null) {
      completions.remove(activeJob);
      for (Machine machine : machinesOf(activeJob)) {
        machine.markChanged();
        if (machine.phase() == Machine.Phase.REPORTING) {
          fleet.sendCommands(machine);
        }
      }
    }
    rounds.requestRound();
  }

  /** The machines that a job's tasks may be on. */
  private Set<Machine> machinesOf(ActiveJob activeJob) {
    Set<Machine> machines = new LinkedHashSet<>();
    for (List<Attempt> attempts : activeJob.attempts().values()) {
      for (Attempt attempt : attempts) {
        Machine machine = fleet.findMachine(attempt.start().machine());
        if (machine != null) {
          machines.add(machine);
        }
      }
    }
    return machines;
  }
}
