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
 * The resources of one machine while a scheduling round hands them out: what is free now, what is
 * about to become free, and what of that is reserved. {@code version} rises with each change, so
 * that a ranking made before it can be recognized as out of date.
 */
final class FreeCapacity {
  final Snapshot.Machine machine;
  final int index;
  private int version;
  private double cpus;
  private double cards;
  private double memGb;
  private int slots;
  private double comingCpus;
  private double comingCards;
  private double comingMemGb;
  private Set<String> fetching;
  private Map<String, Integer> classes;
  private List<Snapshot.RunningTask> byEnd;
  private double soonestS = -1;

  /** Creates the room of a machine; {@code index} is its place among the machines of the round. */
  FreeCapacity(Snapshot.Machine machine, int index) {
    this.machine = machine;
    this.index = index;
    this.cpus = machine.cpus();
    this.cards = machine.cards();
    this.memGb = machine.memGb();
    this.slots = machine.slots();
  }

  int version() {
    return version;
  }

  double freeCpus() {
    return cpus;
  }

  /**
   * True if a task fits now, and still does when what is reserved is taken: of room that is made
   * piece by piece, the first piece must not go to a smaller task of less urgent work, which would
   * be stopped for the same task again, over and over.
   */
  boolean fits(JobSpec spec) {
    return isEnough(
        spec,
        cpus + Math.min(0, comingCpus),
        cards + Math.min(0, comingCards),
        memGb + Math.min(0, comingMemGb));
  }

  /** True if a task fits now, whatever is reserved for others. */
  boolean fitsUnreserved(JobSpec spec) {
    return isEnough(spec, cpus, cards, memGb);
  }

  /** True if a task fits once the room that is being made is free. */
  boolean willFit(JobSpec spec) {
    return fitsWith(spec, 0, 0, 0);
  }

  /** The same if so much more became free. */
  boolean fitsWith(JobSpec spec, double moreCpus, double moreCards, double moreMemGb) {
    return isEnough(
        spec,
        cpus + comingCpus + moreCpus,
        cards + comingCards + moreCards,
        memGb + comingMemGb + moreMemGb);
  }

  /**
   * Stopped tasks stay in their worker's reports for a while: no slot comes free with their room.
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

  /** True if room is being made that is not reserved yet. */
  boolean isComing() {
    return comingCpus > 0 || comingMemGb > 0;
  }

  /** When the first of its tasks ends by itself, seconds from now. */
  double soonestS(long nowMs) {
    if (soonestS < 0) {
      soonestS = Double.POSITIVE_INFINITY;
      for (Snapshot.RunningTask r : machine.running()) {
        if (!r.stopping()) {
          soonestS = Math.min(soonestS, r.remainingS(nowMs));
        }
      }
    }
    return soonestS;
  }

  /** Its tasks in the order in which they end by themselves. */
  List<Snapshot.RunningTask> byEnd(long nowMs) {
    if (byEnd == null) {
      byEnd = new ArrayList<>(machine.running());
      byEnd.removeIf(Snapshot.RunningTask::stopping);
      byEnd.sort(Comparator.comparingDouble(r -> r.remainingS(nowMs)));
    }
    return byEnd;
  }

  /** Images that are being fetched, those of tasks that this round starts included. */
  Set<String> fetching() {
    return fetching == null ? machine.fetching() : fetching;
  }

  /** How many tasks of a class are there, those that this round starts included. */
  int tasksOfClass(String jobClass) {
    return (classes == null ? machine.classes() : classes).getOrDefault(jobClass, 0);
  }

  /** Gives a task its room. */
  void take(JobSpec spec) {
    cpus -= spec.cpus();
    cards -= spec.cards();
    memGb -= spec.memGb();
    slots--;
    if (classes == null) {
      // Copied only here: most machines get nothing in a round.
      classes = new HashMap<>(machine.classes());
      fetching = new HashSet<>(machine.fetching());
    }
    classes.merge(spec.jobClass(), 1, Integer::sum);
    if (!hasImage(spec)) {
      fetching.add(spec.image());
    }
    version++;
  }

  /** A task is being stopped: its room comes free. */
  void release(Snapshot.RunningTask r) {
    comingCpus += r.cpus();
    comingCards += r.cards();
    comingMemGb += r.memGb();
  }

  /** Keeps room that is free or comes free for a task. */
  void reserve(JobSpec spec) {
    comingCpus -= spec.cpus();
    comingCards -= spec.cards();
    comingMemGb -= spec.memGb();
    version++;
  }
}
