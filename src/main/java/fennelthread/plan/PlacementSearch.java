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
 * The search for places for one job's tasks in a scheduling round. The tasks of a job are alike, so
 * that machines are ranked once per job and not per task; a machine that changes is ranked anew. A
 * job with constraints on zones is the exception: each task placed may forbid machines to the next.
 */
final class PlacementSearch {
  private final RoundState round;
  private final Snapshot.PendingJob pendingJob;
  private final JobSpec spec;
  private final boolean starved;
  private final boolean zoned;
  private final Map<String, Integer> zones;
  private final TaskShape shape;

  /** Machines on which a task fits now; null until they are needed, as are the others. */
  private PriorityQueue<Candidate> fitting;

  /** Machines with the image on which one fits after preemption. */
  private PriorityQueue<Candidate> preemptibleWithImage;

  /** Machines on which one fits after preemption. */
  private PriorityQueue<Candidate> preemptible;

  /** Machines on which one fits soon since running tasks complete. */
  private PriorityQueue<Candidate> completing;

  PlacementSearch(RoundState round, Snapshot.PendingJob pendingJob) {
    this.round = round;
    this.pendingJob = pendingJob;
    this.spec = pendingJob.spec();
    this.starved = round.snapshot().starvedJobs().contains(spec.id());
    this.zoned = PlacementConstraints.dependOnOtherTasks(spec);
    this.zones = zoned ? new HashMap<>(pendingJob.tasksByZone()) : Map.of();
    this.shape = TaskShape.of(spec);
  }

  private boolean isAllowed(FreeCapacity machine) {
    return PlacementConstraints.allow(spec, zones, machine.machine());
  }

  /** A job that was passed over for long takes capacity that is reserved for others. */
  private boolean fits(FreeCapacity machine) {
    return starved ? machine.fitsIgnoringReservations(spec) : machine.fits(spec);
  }

  /** True if a task fits on some machine, whatever is reserved there for others. */
  boolean fitsIgnoringReservations() {
    for (FreeCapacity machine : round.machines()) {
      if (machine.fitsIgnoringReservations(spec) && isAllowed(machine)) {
        return true;
      }
    }
    return false;
  }

  /** How many of the job's tasks are in each zone, those that this round starts included. */
  Map<String, Integer> zones() {
    return zones;
  }

  /** The best machine on which a task fits now, or null. */
  FreeCapacity bestMachine() {
    boolean shared = !zoned && !starved;
    if (shared && round.shapesWithoutCapacity().contains(shape)) {
      return null;
    }
    if (fitting == null || zoned) {
      fitting = rankFitting();
    }
    Candidate best = MachineRanking.peekCurrent(fitting);
    if (best == null && shared) {
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
    if (zoned) {
      zones.merge(machine.machine().zone(), 1, Integer::sum);
    }
    rankAgain(machine);
  }

  private void reserve(FreeCapacity machine) {
    machine.reserve(spec);
    rankAgain(machine);
  }

  /** Puts a machine whose capacity has changed back among the candidates. */
  private void rankAgain(FreeCapacity machine) {
    round.updateReleases(machine);
    if (zoned) {
      return;
    }
    if (fitting != null && fits(machine)) {
      fitting.add(Candidate.of(MachineRanking.score(pendingJob, machine), machine));
    }
    if (completing != null) {
      offerCompleting(machine);
    }
    offerPreemptible(preemptible, machine, false);
    offerPreemptible(preemptibleWithImage, machine, true);
  }

  private void offerPreemptible(
      PriorityQueue<Candidate> queue, FreeCapacity machine, boolean withImageOnly) {
    if (queue != null) {
      Candidate candidate = preemptionOn(machine, withImageOnly);
      if (candidate != null) {
        queue.add(candidate);
      }
    }
  }

  /**
   * Reserves capacity for a task that fits nowhere now: what is being released already, what
   * running tasks release by themselves while the job waits (delay scheduling), what preemption
   * releases, or else, for the first task of an aged job, a whole machine until the task fits.
   * Returns false if there is none.
   */
  boolean reserveFutureCapacity() {
    return reserveRelease(false)
        || awaitCompletions()
        || preempt(false)
        || (pendingJob.agingBoost() == AgingBoost.ABOVE_ALL
            && round.mayReserveMachine()
            && reserveMachine());
  }

  /** The same on machines that have the image, by releases and preemption alone. */
  boolean reserveOnMachineWithImage() {
    return reserveRelease(true) || preempt(true);
  }

  private boolean reserveRelease(boolean withImageOnly) {
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
   * Reserves the machine on which running tasks complete first, if within the time that the job
   * waits. A task of four CPUs once had sixteen of a quarter preempted that would have completed
   * within seconds: a third of one team's starts was lost that way.
   */
  private boolean awaitCompletions() {
    double maxWaitS = pendingJob.maxWaitS();
    RoundState.CompletionWait wait = new RoundState.CompletionWait(shape, maxWaitS);
    if (maxWaitS <= 0 || (!zoned && round.waitsWithoutCandidates().contains(wait))) {
      return false;
    }
    if (completing == null || zoned) {
      completing = new PriorityQueue<>();
      round.machines().forEach(this::offerCompleting);
    }
    Candidate best = MachineRanking.peekCurrent(completing);
    if (best == null) {
      if (!zoned) {
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
      double fitsInS = fitsInS(machine, maxWaitS);
      if (fitsInS <= maxWaitS) {
        completing.add(Candidate.of(fitsInS, machine));
      }
    }
  }

  /** Reserves the machine on which a task fits first for this task alone, whenever that is. */
  private boolean reserveMachine() {
    FreeCapacity best = null;
    double bestS = Double.POSITIVE_INFINITY;
    for (FreeCapacity machine : round.machines()) {
      if (isAllowed(machine)) {
        double fitsInS = fitsInS(machine, Double.MAX_VALUE);
        if (fitsInS < bestS) {
          best = machine;
          bestS = fitsInS;
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
   * When a task would fit if nothing else were started on the machine, seconds from now; infinite
   * if not within {@code maxS}.
   */
  private double fitsInS(FreeCapacity machine, double maxS) {
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
      if (completesInS > maxS) {
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
   * Preempts less urgent work, or borrowed work of other teams, where that lets a task start soon,
   * and reserves its capacity. Returns false if there is none.
   */
  private boolean preempt(boolean withImageOnly) {
    RoundState.PreemptionClaim claim =
        new RoundState.PreemptionClaim(
            shape,
            pendingJob.preemptsAs(),
            pendingJob.isWithinGuarantee() ? spec.team() : null,
            withImageOnly ? spec.image() : null);
    if (!round.preemption().isPossible(pendingJob)
        || (!zoned && round.claimsWithoutCandidates().contains(claim))) {
      return false;
    }
    Candidate best = MachineRanking.peekCurrent(preemptionCandidates(withImageOnly));
    if (best == null) {
      if (!zoned) {
        round.claimsWithoutCandidates().add(claim);
      }
      return false;
    }
    // Preempted tasks release capacity: waits that found no candidate may find one now.
    round.waitsWithoutCandidates().clear();
    round.preemption().preempt(best.preempted(), best.machine());
    reserve(best.machine());
    return true;
  }

  private PriorityQueue<Candidate> preemptionCandidates(boolean withImageOnly) {
    PriorityQueue<Candidate> ranked = withImageOnly ? preemptibleWithImage : preemptible;
    if (ranked != null && !zoned) {
      return ranked;
    }
    List<Candidate> candidates = new ArrayList<>();
    for (FreeCapacity machine : round.machines()) {
      Candidate candidate = preemptionOn(machine, withImageOnly);
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

  /** The machine as a candidate for preemption, or null: the work lost, then the usual score. */
  private Candidate preemptionOn(FreeCapacity machine, boolean withImageOnly) {
    if ((withImageOnly && !machine.hasImage(spec)) || !isAllowed(machine)) {
      return null;
    }
    List<Snapshot.RunningTask> preempted = round.preemption().chooseOn(machine, pendingJob);
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
