package fennelthread.plan;

import fennelthread.constants.ProtocolConstants;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The free capacity of one machine during a scheduling round: what is free now, what tasks that are
 * being stopped will release, and how much of both is reserved for waiting tasks. Not thread-safe:
 * used on the event loop's thread within one round.
 */
final class FreeCapacity {
  private final Snapshot.MachineState machine;
  private final int index;
  private int version;
  private double freeCpus;
  private double freeCards;
  private double freeMemGb;
  private int freeReportSlots;

  /**
   * CPUs that stopping tasks release, less what is reserved; negative if CPUs that are free now are
   * reserved too. The same holds for the cards and the memory below.
   */
  private double releasingCpus;

  private double releasingCards;
  private double releasingMemGb;
  private Set<String> fetching;
  private Map<String, Integer> tasksByClass;
  private List<Snapshot.RunningTask> runningByCompletion;

  /** Computed on first use; negative until then. */
  private double firstCompletionS = -1;

  /**
   * Creates a machine's capacity; {@code index} is its position among the machines of the round.
   */
  FreeCapacity(Snapshot.MachineState machine, int index) {
    this.machine = machine;
    this.index = index;
    this.freeCpus = machine.freeCpus();
    this.freeCards = machine.freeCards();
    this.freeMemGb = machine.freeMemGb();
    this.freeReportSlots = machine.freeReportSlots();
  }

  Snapshot.MachineState machine() {
    return machine;
  }

  int index() {
    return index;
  }

  /**
   * A number that rises with each allocation and reservation: a cost that was computed at a lower
   * version is outdated.
   */
  int version() {
    return version;
  }

  double freeCpus() {
    return freeCpus;
  }

  /**
   * Returns true if a task fits now beside all reservations. When capacity for a large task is
   * released in parts, the first part must not go to a smaller and less urgent task. The large task
   * would preempt that one in a later round, and the same could happen again and again.
   */
  boolean fits(JobSpec spec) {
    return isCapacityEnough(
        spec,
        freeCpus + Math.min(0, releasingCpus),
        freeCards + Math.min(0, releasingCards),
        freeMemGb + Math.min(0, releasingMemGb));
  }

  /** Returns true if a task fits now, whatever is reserved for others. */
  boolean fitsIgnoringReservations(JobSpec spec) {
    return isCapacityEnough(spec, freeCpus, freeCards, freeMemGb);
  }

  /** Returns true if a task fits beside all reservations once the stopping tasks are gone. */
  boolean fitsAfterReleases(JobSpec spec) {
    return fitsAfterReleasesAnd(spec, 0, 0, 0);
  }

  /**
   * Returns true if a task fits beside all reservations once the stopping tasks are gone and the
   * given capacity is released in addition.
   */
  boolean fitsAfterReleasesAnd(JobSpec spec, double moreCpus, double moreCards, double moreMemGb) {
    return isCapacityEnough(
        spec,
        freeCpus + releasingCpus + moreCpus,
        freeCards + releasingCards + moreCards,
        freeMemGb + releasingMemGb + moreMemGb);
  }

  /**
   * Returns true if the given capacity is enough for a task and the worker's report has space for
   * one. Stopped tasks stay in the report for a while after their capacity is released, so free
   * capacity alone does not decide.
   */
  private boolean isCapacityEnough(
      JobSpec spec, double availableCpus, double availableCards, double availableMemGb) {
    return freeReportSlots > 0
        && spec.cpus() <= availableCpus + ProtocolConstants.AMOUNT_TOLERANCE
        && spec.cards() <= availableCards + ProtocolConstants.AMOUNT_TOLERANCE
        && spec.memGb() <= availableMemGb + ProtocolConstants.AMOUNT_TOLERANCE;
  }

  boolean hasImage(JobSpec spec) {
    return machine.images().contains(spec.image());
  }

  /** Returns true if CPUs or memory are being released that are not reserved yet. */
  boolean hasUnreservedReleases() {
    return releasingCpus > 0 || releasingMemGb > 0;
  }

  /**
   * Returns when the first of the machine's tasks is expected to complete, seconds from now;
   * infinite if none is. Tasks that are being stopped do not count.
   */
  double firstCompletionS(long nowMs) {
    if (firstCompletionS < 0) {
      firstCompletionS = Double.POSITIVE_INFINITY;
      for (Snapshot.RunningTask task : machine.running()) {
        if (!task.isStopping()) {
          firstCompletionS = Math.min(firstCompletionS, task.remainingS(nowMs));
        }
      }
    }
    return firstCompletionS;
  }

  /**
   * Returns the machine's tasks in the order in which they are expected to complete, without those
   * that are being stopped.
   */
  List<Snapshot.RunningTask> runningByCompletion(long nowMs) {
    if (runningByCompletion == null) {
      runningByCompletion = new ArrayList<>(machine.running());
      runningByCompletion.removeIf(Snapshot.RunningTask::isStopping);
      runningByCompletion.sort(Comparator.comparingDouble(task -> task.remainingS(nowMs)));
    }
    return runningByCompletion;
  }

  /** The images that are being fetched, including those for tasks that this round starts. */
  Set<String> fetching() {
    return fetching == null ? machine.fetching() : fetching;
  }

  /** Returns the number of tasks of a class, including those that this round starts. */
  int tasksOfClass(String jobClass) {
    return (tasksByClass == null ? machine.tasksByClass() : tasksByClass).getOrDefault(jobClass, 0);
  }

  /** Allocates capacity to a task that starts now. */
  void allocate(JobSpec spec) {
    freeCpus -= spec.cpus();
    freeCards -= spec.cards();
    freeMemGb -= spec.memGb();
    freeReportSlots--;
    if (tasksByClass == null) {
      // The snapshot's collections are copied on the first allocation: most machines get no task.
      tasksByClass = new HashMap<>(machine.tasksByClass());
      fetching = new HashSet<>(machine.fetching());
    }
    tasksByClass.merge(spec.jobClass(), 1, Integer::sum);
    if (!hasImage(spec)) {
      fetching.add(spec.image());
    }
    version++;
  }

  /** Adds the capacity that a task which is being stopped will release. */
  void addRelease(Snapshot.RunningTask task) {
    releasingCpus += task.cpus();
    releasingCards += task.cards();
    releasingMemGb += task.memGb();
  }

  /** Reserves capacity that is free, or will be released, for a waiting task. */
  void reserve(JobSpec spec) {
    releasingCpus -= spec.cpus();
    releasingCards -= spec.cards();
    releasingMemGb -= spec.memGb();
    version++;
  }
}
