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
  private long releaseCount;

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

  /**
   * Releases a job, which becomes the last in the order of release however long ago it was
   * submitted.
   */
  void release(ActiveJob activeJob) {
    byId.remove(activeJob.id());
    byId.put(activeJob.id(), activeJob);
    activeJob.release(++releaseCount, dependencies.releasedAtMs(activeJob.job()));
  }

  /** Updates the priority and due times that the job inherits from its dependents. */
  void updateInheritedPriority(ActiveJob activeJob) {
    activeJob.setInheritedPriority(dependencies.inheritedPriority(activeJob.id()));
  }

  /** Removes a job that is done or cancelled; returns it, or null if it was not live. */
  ActiveJob remove(String id) {
    return byId.remove(id);
  }

  /** Attaches an attempt to its job if the job is live and the attempt may be on its machine. */
  void attach(Attempt attempt) {
    ActiveJob activeJob = jobOf(attempt);
    if (activeJob != null && attempt.mayBePresent()) {
      activeJob.attach(attempt);
    }
  }
}
