package fennelthread.plan;

import fennelthread.constants.PlanConstants;
import fennelthread.plan.MachineRanking.Candidate;
import fennelthread.plan.PlacementConstraints.TaskShape;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Searches for machines for the tasks of one job in a scheduling round. The tasks of a job are
 * alike: machines are ranked once per job and not per task, and only a machine that changes is
 * ranked again. Jobs with constraints on zones are the exception, since each task that is placed
 * may rule out machines for the next one; for them all machines are ranked for each task.
 */
final class PlacementSearch {
  private final RoundState round;
  private final Snapshot.PendingJob pendingJob;
  private final JobSpec spec;
  private final boolean isStarved;
  private final boolean hasZoneConstraint;
  private final Map<String, Integer> tasksByZone;
  private final TaskShape shape;

  /**
   * Machines on which a task fits now. This queue and those below are null until they are needed.
   */
  private PriorityQueue<Candidate> fitting;

  /** Machines with the job's image on which a task fits after preemption. */
  private PriorityQueue<Candidate> preemptibleWithImage;

  /** Machines on which a task fits after preemption. */
  private PriorityQueue<Candidate> preemptible;

  /**
   * Machines on which a task fits once running tasks complete, within the time that the job waits.
   */
  private PriorityQueue<Candidate> completingSoon;

  PlacementSearch(RoundState round, Snapshot.PendingJob pendingJob) {
    this.round = round;
    this.pendingJob = pendingJob;
    this.spec = pendingJob.spec();
    this.isStarved = round.snapshot().starvedJobs().contains(spec.id());
    this.hasZoneConstraint = PlacementConstraints.dependsOnOtherTasks(spec);
    this.tasksByZone = hasZoneConstraint ? new HashMap<>(pendingJob.tasksByZone()) : Map.of();
    this.shape = TaskShape.of(spec);
  }

  private boolean isAllowed(FreeCapacity machine) {
    return PlacementConstraints.allowsMachine(spec, tasksByZone, machine.machine());
  }

  /** Returns true if a task fits now; a starved job may take capacity reserved for others. */
  private boolean fits(FreeCapacity machine) {
    return isStarved ? machine.fitsIgnoringReservations(spec) : machine.fits(spec);
  }

  /** Returns true if a task fits on some machine when all reservations are ignored. */
  boolean fitsIgnoringReservations() {
    for (FreeCapacity machine : round.machines()) {
      if (machine.fitsIgnoringReservations(spec) && isAllowed(machine)) {
        return true;
      }
    }
    return false;
  }

  /**
   * The number of the job's tasks that may be in each zone, including those that this round starts;
   * empty if the job has no constraint on zones.
   */
  Map<String, Integer> tasksByZone() {
    return tasksByZone;
  }

  /** Returns the best machine on which a task fits now, or null. */
  FreeCapacity bestMachine() {
    // Jobs of equal shape share the result that no machine fits, unless zones or starvation make
    // it differ.
    boolean mayShareResult = !hasZoneConstraint && !isStarved;
    if (mayShareResult && round.shapesWithoutCapacity().contains(shape)) {
      return null;
    }
    if (fitting == null || hasZoneConstraint) {
      fitting = rankFitting();
    }
    Candidate best = MachineRanking.peekCurrent(fitting);
    if (best == null && mayShareResult) {
      round.shapesWithoutCapacity().add(shape);
    }
    return best == null ? null : best.machine();
  }

  private PriorityQueue<Candidate> rankFitting() {
    List<Candidate> candidates = new ArrayList<>();
    for (FreeCapacity machine : round.machines()) {
      if (fits(machine) && isAllowed(machine)) {
        candidates.add(Candidate.of(MachineRanking.score(pendingJob, machine), machine));
      }
    }
    return new PriorityQueue<>(candidates);
  }

  /** Allocates a machine's capacity to the job's next task. */
  void allocate(FreeCapacity machine) {
    machine.allocate(spec);
    if (hasZoneConstraint) {
      tasksByZone.merge(machine.machine().zone(), 1, Integer::sum);
    }
    updateCandidates(machine);
  }

  private void reserve(FreeCapacity machine) {
    machine.reserve(spec);
    updateCandidates(machine);
  }

  /** Adds a machine whose capacity has changed to the queues again; older entries are outdated. */
  private void updateCandidates(FreeCapacity machine) {
    round.updateReleases(machine);
    if (hasZoneConstraint) {
      return;
    }
    if (fitting != null && fits(machine)) {
      fitting.add(Candidate.of(MachineRanking.score(pendingJob, machine), machine));
    }
    if (completingSoon != null) {
      offerCompleting(machine);
    }
    offerPreemptible(preemptible, machine, false);
    offerPreemptible(preemptibleWithImage, machine, true);
  }

  private void offerPreemptible(
      PriorityQueue<Candidate> queue, FreeCapacity machine, boolean withImageOnly) {
    if (queue != null) {
      Candidate candidate = findPreemption(machine, withImageOnly);
      if (candidate != null) {
        queue.add(candidate);
      }
    }
  }

  /**
   * Reserves capacity for a task that fits nowhere now. Tries in this order: capacity that is being
   * released already; capacity of running tasks that complete within the time that the job waits;
   * capacity released by preemption; and for the first task of an aged job the machine on which it
   * fits first, however late. Reservations last for the round. Returns false if none of these is
   * possible.
   */
  boolean reserveFutureCapacity() {
    return reserveReleasingCapacity(false)
        || reserveCompletingCapacity()
        || preempt(false)
        || (pendingJob.agingBoost() == AgingBoost.ABOVE_ALL
            && round.mayReserveMachine()
            && reserveEarliestMachine());
  }

  /**
   * Reserves capacity on a machine that has the job's image, if some is being released or can be
   * released by preemption. Returns false if there is none.
   */
  boolean reserveOnMachineWithImage() {
    return reserveReleasingCapacity(true) || preempt(true);
  }

  private boolean reserveReleasingCapacity(boolean withImageOnly) {
    for (int i = round.unreservedReleases().nextSetBit(0);
        i >= 0;
        i = round.unreservedReleases().nextSetBit(i + 1)) {
      FreeCapacity machine = round.machines().get(i);
      if (machine.fitsAfterReleases(spec)
          && isAllowed(machine)
          && (!withImageOnly || machine.hasImage(spec))) {
        reserve(machine);
        return true;
      }
    }
    return false;
  }

  /**
   * Reserves capacity on the machine on which a task fits first because running tasks complete, if
   * that is within the time that the job waits. Otherwise one task of four CPUs preempts sixteen
   * tasks of a quarter CPU that complete within seconds anyway, which can cost a team a third of
   * its starts.
   */
  private boolean reserveCompletingCapacity() {
    double maxWaitS = pendingJob.maxWaitS();
    RoundState.CompletionWait wait = new RoundState.CompletionWait(shape, maxWaitS);
    if (maxWaitS <= 0 || (!hasZoneConstraint && round.waitsWithoutCandidates().contains(wait))) {
      return false;
    }
    if (completingSoon == null || hasZoneConstraint) {
      completingSoon = new PriorityQueue<>();
      round.machines().forEach(this::offerCompleting);
    }
    Candidate best = MachineRanking.peekCurrent(completingSoon);
    if (best == null) {
      if (!hasZoneConstraint) {
        round.waitsWithoutCandidates().add(wait);
      }
      return false;
    }
    reserve(best.machine());
    return true;
  }

  private void offerCompleting(FreeCapacity machine) {
    double maxWaitS = pendingJob.maxWaitS();
    if (machine.firstCompletionS(round.snapshot().nowMs()) <= maxWaitS && isAllowed(machine)) {
      double fitDelayS = secondsUntilFits(machine, maxWaitS);
      if (fitDelayS <= maxWaitS) {
        completingSoon.add(Candidate.of(fitDelayS, machine));
      }
    }
  }

  /**
   * Reserves capacity on the machine on which a task fits first, however long that takes. Counts
   * towards the limit of reserved machines.
   */
  private boolean reserveEarliestMachine() {
    FreeCapacity best = null;
    double bestFitDelayS = Double.POSITIVE_INFINITY;
    for (FreeCapacity machine : round.machines()) {
      if (isAllowed(machine)) {
        double fitDelayS = secondsUntilFits(machine, Double.MAX_VALUE);
        if (fitDelayS < bestFitDelayS) {
          best = machine;
          bestFitDelayS = fitDelayS;
        }
      }
    }
    if (best == null) {
      return false;
    }
    round.countReservedMachine();
    reserve(best);
    return true;
  }

  /**
   * Returns when a task fits if nothing else starts on the machine, seconds from now; infinite if
   * that is not within {@code maxDelayS}.
   */
  private double secondsUntilFits(FreeCapacity machine, double maxDelayS) {
    long nowMs = round.snapshot().nowMs();
    double cpus = 0;
    double cards = 0;
    double memGb = 0;
    double completesInS = 0;
    for (Snapshot.RunningTask task : machine.runningByCompletion(nowMs)) {
      if (machine.fitsAfterReleasesAnd(spec, cpus, cards, memGb)) {
        return completesInS;
      }
      if (round.preemption().isPreempted(task)) {
        continue;
      }
      completesInS = task.remainingS(nowMs);
      if (completesInS > maxDelayS) {
        return Double.POSITIVE_INFINITY;
      }
      cpus += task.cpus();
      cards += task.cards();
      memGb += task.memGb();
    }
    return machine.fitsAfterReleasesAnd(spec, cpus, cards, memGb)
        ? completesInS
        : Double.POSITIVE_INFINITY;
  }

  /**
   * Preempts less urgent work, or borrowed work of other teams, on the machine where that costs
   * least, and reserves the released capacity. Returns false if no preemption lets a task fit.
   */
  private boolean preempt(boolean withImageOnly) {
    RoundState.PreemptionRequest request =
        new RoundState.PreemptionRequest(
            shape,
            pendingJob.preemptsAs(),
            pendingJob.isWithinGuarantee() ? spec.team() : null,
            withImageOnly ? spec.image() : null);
    if (!round.preemption().mayPreemptAny(pendingJob)
        || (!hasZoneConstraint && round.requestsWithoutCandidates().contains(request))) {
      return false;
    }
    Candidate best = MachineRanking.peekCurrent(preemptionCandidates(withImageOnly));
    if (best == null) {
      if (!hasZoneConstraint) {
        round.requestsWithoutCandidates().add(request);
      }
      return false;
    }
    // Preemption adds capacity that will be released: a search for completing tasks that found no
    // candidate may find one now.
    round.waitsWithoutCandidates().clear();
    round.preemption().preempt(best.preempted(), best.machine());
    reserve(best.machine());
    return true;
  }

  private PriorityQueue<Candidate> preemptionCandidates(boolean withImageOnly) {
    PriorityQueue<Candidate> ranked = withImageOnly ? preemptibleWithImage : preemptible;
    if (ranked != null && !hasZoneConstraint) {
      return ranked;
    }
    List<Candidate> candidates = new ArrayList<>();
    for (FreeCapacity machine : round.machines()) {
      Candidate candidate = findPreemption(machine, withImageOnly);
      if (candidate != null) {
        candidates.add(candidate);
      }
    }
    PriorityQueue<Candidate> queue = new PriorityQueue<>(candidates);
    if (withImageOnly) {
      preemptibleWithImage = queue;
    } else {
      preemptible = queue;
    }
    return queue;
  }

  /**
   * Returns the machine as a candidate for preemption, or null if none is possible there. The cost
   * is the work that is lost, CPU seconds, plus the weighted score of the machine; a task of less
   * than one CPU counts as one CPU.
   */
  private Candidate findPreemption(FreeCapacity machine, boolean withImageOnly) {
    if ((withImageOnly && !machine.hasImage(spec)) || !isAllowed(machine)) {
      return null;
    }
    List<Snapshot.RunningTask> preempted = round.preemption().chooseTasks(machine, pendingJob);
    if (preempted == null) {
      return null;
    }
    double lostCpuS = 0;
    for (Snapshot.RunningTask task : preempted) {
      lostCpuS += task.elapsedS(round.snapshot().nowMs()) * Math.max(1, task.cpus());
    }
    double score = MachineRanking.score(pendingJob, machine);
    double cost = lostCpuS + PlanConstants.PREEMPTION_SCORE_WEIGHT * score;
    return new Candidate(cost, machine, machine.version(), preempted);
  }
}
