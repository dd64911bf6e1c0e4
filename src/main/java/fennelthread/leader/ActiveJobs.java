package fennelthread.leader;

import fennelthread.fleet.Attempt;
import fennelthread.jobs.DependencyGraph;
import fennelthread.jobs.Job;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The live jobs of a term with how far each is, in the order in which they were released. */
final class ActiveJobs {
  private final DependencyGraph dependencies;
  private final Map<String, ActiveJob> runs = new LinkedHashMap<>();
  private long releases;

  ActiveJobs(DependencyGraph dependencies) {
    this.dependencies = dependencies;
  }

  Collection<ActiveJob> all() {
    return runs.values();
  }

  /** What is known of a live job, or null. */
  ActiveJob get(String id) {
    return runs.get(id);
  }

  /** What is known of the live job that an attempt belongs to, or null. */
  ActiveJob of(Attempt a) {
    return runs.get(a.start().task().job());
  }

  /** Takes up a live job; it counts from now on if it waits for no other. */
  void begin(Job job) {
    String id = job.spec().id();
    ActiveJob run = new ActiveJob(job);
    run.lend(dependencies.inheritedPriority(id));
    runs.put(id, run);
    if (dependencies.isReleased(job)) {
      release(run);
    }
  }

  /** From now on the job counts: as the last one of its team, however long ago it was submitted. */
  void release(ActiveJob run) {
    String id = run.job().spec().id();
    runs.remove(id);
    runs.put(id, run);
    run.release(++releases, dependencies.releasedAtMs(run.job()));
  }

  /** Takes note of what the jobs that need this one have lent it. */
  void lend(ActiveJob run) {
    run.lend(dependencies.inheritedPriority(run.job().spec().id()));
  }

  /** Drops a job that is final; gives what was known of it, or null. */
  ActiveJob remove(String id) {
    return runs.remove(id);
  }

  /** Notes that an attempt may be somewhere, if its job lives. */
  void attach(Attempt a) {
    ActiveJob run = of(a);
    if (run != null && a.mayBePresent()) {
      run.attach(a);
    }
  }
}
