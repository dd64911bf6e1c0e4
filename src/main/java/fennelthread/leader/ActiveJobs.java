package fennelthread.leader;

import fennelthread.fleet.Attempt;
import fennelthread.jobs.DependencyGraph;
import fennelthread.jobs.Job;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** The live jobs of a term and their progress, in the order in which they were released. */
final class ActiveJobs {
  private final DependencyGraph dependencies;
  private final Map<String, ActiveJob> byId = new LinkedHashMap<>();
  private long releases;

  ActiveJobs(DependencyGraph dependencies) {
    this.dependencies = dependencies;
  }

  Collection<ActiveJob> all() {
    return byId.values();
  }

  /** The live job with this id, or null. */
  ActiveJob get(String id) {
    return byId.get(id);
  }

  /** The live job that an attempt belongs to, or null. */
  ActiveJob jobOf(Attempt attempt) {
    return byId.get(attempt.start().task().job());
  }

  /** Adds a live job, which is released at once if it waits for no other. */
  void add(Job job) {
    ActiveJob activeJob = new ActiveJob(job);
    updateInheritedPriority(activeJob);
    byId.put(activeJob.id(), activeJob);
    if (dependencies.isReleased(job)) {
      release(activeJob);
    }
  }

  /** Releases a job: as the last one of its team, however long ago it was submitted. */
  void release(ActiveJob activeJob) {
    byId.remove(activeJob.id());
    byId.put(activeJob.id(), activeJob);
    activeJob.release(++releases, dependencies.releasedAtMs(activeJob.job()));
  }

  /** Takes over what the job inherits from its dependents. */
  void updateInheritedPriority(ActiveJob activeJob) {
    activeJob.setInheritedPriority(dependencies.inheritedPriority(activeJob.id()));
  }

  /** Removes a job that is final; returns it, or null if it was not known. */
  ActiveJob remove(String id) {
    return byId.remove(id);
  }

  /** Notes that an attempt may be on its machine, if its job is live. */
  void attach(Attempt attempt) {
    ActiveJob activeJob = jobOf(attempt);
    if (activeJob != null && attempt.mayBePresent()) {
      activeJob.attach(attempt);
    }
  }
}
