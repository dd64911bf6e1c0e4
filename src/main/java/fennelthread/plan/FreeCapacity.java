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
 * The free capacity of one machine during a scheduling round: what is free now, what running tasks
 * that are being stopped will release, and what of both is reserved for waiting tasks.
 */
final class FreeCapacity {
  private final Snapshot.MachineState machine;
  private final int index;
  private int version;
  private double cpus;
  private double cards;
  private double memGb;
  private int slots;

  /** What stopping tasks release, less what is reserved; negative if more is reserved. */
  private double releasingCpus;

  private double releasingCards;
  private double releasingMemGb;
  private Set<String> fetching;
  private Map<String, Integer> tasksByClass;
  private List<Snapshot.RunningTask> runningByCompletion;
  private double firstCompletionS = -1;

  /** Creates a machine's capacity; {@code index} is its place among the machines of the round. */
  FreeCapacity(Snapshot.MachineState machine, int index) {
    this.machine = machine;
    this.index = index;
    this.cpus = machine.freeCpus();
    this.cards = machine.freeCards();
    this.memGb = machine.freeMemGb();
    this.slots = machine.freeReportSlots();
  }

  Snapshot.MachineState machine() {
    return machine;
  }

  int index() {
    return index;
  }

  /** A number that rises with each change, so that an older ranking is recognized as outdated. */
  int version() {
    return version;
  }

  double freeCpus() {
    return cpus;
  }

  /**
   * True if a task fits now, and still does when what is reserved is taken. Where capacity for a
   * large task is released piece by piece, the first piece must not go to a smaller and less urgent
   * one, which would be preempted for the large task again, over and over.
   */
  boolean fits(JobSpec spec) {
    return isEnough(
        spec,
        cpus + Math.min(0, releasingCpus),
        cards + Math.min(0, releasingCards),
        memGb + Math.min(0, releasingMemGb));
  }

  /** True if a task fits now, whatever is reserved for others. */
  boolean fitsIgnoringReservations(JobSpec spec) {
    return isEnough(spec, cpus, cards, memGb);
  }

  /** True if a task fits beside all reservations once the stopping tasks are gone. */
  boolean fitsAfterReleases(JobSpec spec) {
    return fitsAfterReleasesAnd(spec, 0, 0, 0);
  }

  /** The same if so much more is released. */
  boolean fitsAfterReleasesAnd(JobSpec spec, double moreCpus, double moreCards, double moreMemGb) {
    return isEnough(
        spec,
        cpus + releasingCpus + moreCpus,
        cards + releasingCards + moreCards,
        memGb + releasingMemGb + moreMemGb);
  }

  /**
   * Stopped tasks stay in their worker's reports for a while: their capacity comes free without a
   * slot.
   */
  private boolean isEnough(JobSpec spec, double cpus, double cards, double memGb) {
    return slots > 0
        && spec.cpus() <= cpus + ProtocolConstants.EPSILON
        && spec.cards() <= cards + ProtocolConstants.EPSILON
        && spec.memGb() <= memGb + ProtocolConstants.EPSILON;
  }

  boolean hasImage(JobSpec spec) {
    return machine.images().contains(spec.image());
  }

  /** True if capacity is being released that is not reserved yet. */
  boolean hasUnreservedReleases() {
    return releasingCpus > 0 || releasingMemGb > 0;
  }

  /** When the first of the machine's tasks completes by itself, seconds from now. */
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

  /** The machine's tasks in the order in which they complete by themselves. */
  List<Snapshot.RunningTask> runningByCompletion(long nowMs) {
    if (runningByCompletion == null) {
      runningByCompletion = new ArrayList<>(machine.running());
      runningByCompletion.removeIf(Snapshot.RunningTask::isStopping);
      runningByCompletion.sort(Comparator.comparingDouble(task -> task.remainingS(nowMs)));
    }
    return runningByCompletion;
  }

  /** Images that are being fetched, those of tasks that this round starts included. */
  Set<String> fetching() {
    return fetching == null ? machine.fetching() : fetching;
  }

  /** How many tasks of a class are there, those that this round starts included. */
  int tasksOfClass(String jobClass) {
    return (tasksByClass == null ? machine.tasksByClass() : tasksByClass).getOrDefault(jobClass, 0);
  }

  /** Allocates capacity to a task that starts now. */
  void allocate(JobSpec spec) {
    cpus -= spec.cpus();
    cards -= spec.cards();
    memGb -= spec.memGb();
    slots--;
    if (tasksByClass == null) {
      // Copied only here: most machines get nothing in a round.
      tasksByClass = new HashMap<>(machine.tasksByClass());
      fetching = new HashSet<>(machine.fetching());
    }
    tasksByClass.merge(spec.jobClass(), 1, Integer::sum);
    if (!hasImage(spec)) {
      fetching.add(spec.image());
    }
    version++;
  }

  /** Adds the capacity of a task that is being stopped. */
  void addRelease(Snapshot.RunningTask task) {
    releasingCpus += task.cpus();
    releasingCards += task.cards();
    releasingMemGb += task.memGb();
  }

  /** Reserves capacity that is free or will be for a waiting task. */
  void reserve(JobSpec spec) {
    releasingCpus -= spec.cpus();
    releasingCards -= spec.cards();
    releasingMemGb -= spec.memGb();
    version++;
  }
}
