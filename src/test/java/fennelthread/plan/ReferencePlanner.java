package fennelthread.plan;

import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The planner without any of its shortcuts: each task looks at every machine and at all running
 * work. Slow and plain, so that it can be read; {@link Planner} must choose the same.
 */
final class ReferencePlanner {
  private static final double EPSILON = 1e-9;

  /** What is left of a fetch under way, as a share: unknown, so a little more than the half. */
  private static final double REMAINING_FETCH_SHARE = 0.6;

  /** What one more replica of the class on a machine with the image counts, in emptiness. */
  private static final double SPREADING_PENALTY_CACHED = 0.2;

  /** Above any score of a machine that has the image. */
  private static final double IMAGE_NOT_CACHED_PENALTY_S = 1_000;

  private static final class FreeCapacity {
    final Snapshot.MachineState machine;
    double cpus;
    double cards;
    double memGb;
    double releasingCpus;
    double releasingCards;
    double releasingMemGb;
    int slots;
    final Set<String> fetching;
    final Map<String, Integer> classes;

    FreeCapacity(Snapshot.MachineState machine) {
      this.machine = machine;
      this.cpus = machine.freeCpus();
      this.cards = machine.freeCards();
      this.memGb = machine.freeMemGb();
      this.slots = machine.freeReportSlots();
      this.fetching = new HashSet<>(machine.fetching());
      this.classes = new HashMap<>(machine.tasksByClass());
    }

    boolean fitsIgnoringReservations(JobSpec spec) {
      return slots > 0
          && spec.cpus() <= cpus + EPSILON
          && spec.cards() <= cards + EPSILON
          && spec.memGb() <= memGb + EPSILON;
    }

    boolean fits(JobSpec spec) {
      return slots > 0
          && spec.cpus() <= Math.min(cpus, cpus + releasingCpus) + EPSILON
          && spec.cards() <= Math.min(cards, cards + releasingCards) + EPSILON
          && spec.memGb() <= Math.min(memGb, memGb + releasingMemGb) + EPSILON;
    }

    boolean fitsAfterReleases(JobSpec spec) {
      return slots > 0
          && spec.cpus() <= cpus + releasingCpus + EPSILON
          && spec.cards() <= cards + releasingCards + EPSILON
          && spec.memGb() <= memGb + releasingMemGb + EPSILON;
    }

    void allocate(JobSpec spec) {
      cpus -= spec.cpus();
      cards -= spec.cards();
      memGb -= spec.memGb();
      slots--;
      classes.merge(spec.jobClass(), 1, Integer::sum);
      if (!machine.images().contains(spec.image())) {
        fetching.add(spec.image());
      }
    }
  }

  private final Snapshot snapshot;
  private final List<FreeCapacity> machines = new ArrayList<>();
  private final Map<String, Snapshot.TeamUsage> teams;
  private final List<PlacementPlan.Start> starts = new ArrayList<>();
  private final List<Snapshot.RunningTask> stops = new ArrayList<>();
  private final List<PlacementPlan.UnplacedTasks> unplaced = new ArrayList<>();
  private final Set<Snapshot.RunningTask> stopped = new HashSet<>();
  private final Map<String, Snapshot.TeamUsage> started;
  private final IdentityHashMap<Snapshot.PendingJob, Map<String, Integer>> zonesOf =
      new IdentityHashMap<>();
  private final IdentityHashMap<Snapshot.PendingJob, Integer> startsOf = new IdentityHashMap<>();
  private int reservedMachines;

  private ReferencePlanner(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.teams = new HashMap<>(snapshot.teams());
    this.started = new HashMap<>(snapshot.teams());
    for (Snapshot.MachineState machine : snapshot.machines()) {
      machines.add(new FreeCapacity(machine));
    }
    for (FreeCapacity capacity : machines) {
      for (Snapshot.RunningTask r : capacity.machine.running()) {
        if (r.isStopping()) {
          capacity.releasingCpus += r.cpus();
          capacity.releasingCards += r.cards();
          capacity.releasingMemGb += r.memGb();
        }
      }
    }
  }

  /** Plans one round. */
  public static PlacementPlan plan(Snapshot snapshot) {
    ReferencePlanner planner = new ReferencePlanner(snapshot);
    planner.run();
    return new PlacementPlan(planner.starts, planner.stops, planner.unplaced, planner.passedOver());
  }

  private void run() {
    List<Snapshot.PendingJob> pendingJobs = new ArrayList<>(snapshot.pendingJobs());
    pendingJobs.sort(Planner.ORDER);
    for (Snapshot.PendingJob pendingJob : pendingJobs) {
      place(pendingJob);
    }
  }

  private void place(Snapshot.PendingJob pendingJob) {
    JobSpec spec = pendingJob.spec();
    boolean starved = snapshot.starvedJobs().contains(spec.id());
    Map<String, Integer> zones = new HashMap<>(pendingJob.tasksByZone());
    zonesOf.put(pendingJob, zones);
    int missing = 0;
    for (int task : pendingJob.tasks()) {
      Snapshot.TeamUsage usage = teams.get(spec.team());
      Snapshot.TeamUsage startedUsage = started.get(spec.team());
      boolean mayRequest = usage != null && usage.allows(spec.cpus(), spec.cards());
      if (!mayRequest
          && !(starved && startedUsage != null && startedUsage.allows(spec.cpus(), spec.cards()))) {
        break;
      }
      FreeCapacity best = null;
      if (missing == 0 && starts.size() < snapshot.maxStarts()) {
        best = bestMachine(pendingJob, zones);
        if (best != null
            && spec.service()
            && !starved
            && fetchSeconds(spec, best) > 1
            && reserveOrPreempt(pendingJob, zones, true)) {
          // Less urgent work leaves a machine that has the image: sooner than fetching it here.
          best = null;
          teams.put(spec.team(), usage.plus(spec.cpus(), spec.cards()));
          continue;
        }
      }
      if (best != null) {
        best.allocate(spec);
        starts.add(new PlacementPlan.Start(spec, task, best.machine.name()));
        started.put(spec.team(), startedUsage.plus(spec.cpus(), spec.cards()));
        startsOf.merge(pendingJob, 1, Integer::sum);
      } else if (!mayRequest) {
        break;
      } else {
        missing++;
        if (starts.size() < snapshot.maxStarts()) {
          reserveFutureCapacity(pendingJob, zones);
        }
      }
      // A task without a place yet is counted too: rooms asked for must not exceed the cap.
      teams.put(spec.team(), usage.plus(spec.cpus(), spec.cards()));
      if (best != null && (spec.onePlace() || spec.apart())) {
        zones.merge(best.machine.zone(), 1, Integer::sum);
      }
    }
    if (missing > 0) {
      unplaced.add(
          new PlacementPlan.UnplacedTasks(
              spec, missing, spec.onePlace() || spec.apart() ? zones : Map.of()));
    }
  }

  /** Jobs with tasks left although some machine has room and their team may start one. */
  private Set<String> passedOver() {
    Set<String> passedOver = new HashSet<>();
    for (Snapshot.PendingJob pendingJob : snapshot.pendingJobs()) {
      JobSpec spec = pendingJob.spec();
      Snapshot.TeamUsage startedUsage = started.get(spec.team());
      if (startsOf.getOrDefault(pendingJob, 0) < pendingJob.tasks().size()
          && startedUsage != null
          && startedUsage.allows(spec.cpus(), spec.cards())
          && machines.stream()
              .anyMatch(
                  r ->
                      r.fitsIgnoringReservations(spec)
                          && allowed(spec, zonesOf.get(pendingJob), r.machine))) {
        passedOver.add(spec.id());
      }
    }
    return passedOver;
  }

  /** True if the job's own rules let a task of it start there now. */
  static boolean allowed(JobSpec spec, Map<String, Integer> zones, Snapshot.MachineState machine) {
    if (spec.types() != null && !spec.types().contains(machine.type().name())) {
      return false;
    }
    if (spec.zone() != null && !spec.zone().equals(machine.zone())) {
      return false;
    }
    if (machine.isSpot() && !spec.spotAllowed()) {
      return false;
    }
    if ((spec.onePlace() || spec.apart()) && zones.getOrDefault(Snapshot.UNKNOWN_ZONE, 0) > 0) {
      // It may be in any zone: neither rule can be kept for sure until the machine is heard.
      return false;
    }
    if (spec.onePlace()) {
      for (Map.Entry<String, Integer> e : zones.entrySet()) {
        if (e.getValue() > 0 && !e.getKey().equals(machine.zone())) {
          return false;
        }
      }
    }
    return !spec.apart() || zones.getOrDefault(machine.zone(), 0) + 1 <= (spec.tasks() + 1) / 2;
  }

  private FreeCapacity bestMachine(Snapshot.PendingJob pendingJob, Map<String, Integer> zones) {
    FreeCapacity best = null;
    double bestScore = 0;
    for (FreeCapacity capacity : machines) {
      boolean starved = snapshot.starvedJobs().contains(pendingJob.spec().id());
      boolean free =
          starved
              ? capacity.fitsIgnoringReservations(pendingJob.spec())
              : capacity.fits(pendingJob.spec());
      if (!free || !allowed(pendingJob.spec(), zones, capacity.machine)) {
        continue;
      }
      double score = score(pendingJob, capacity);
      if (best == null || score < bestScore) {
        best = capacity;
        bestScore = score;
      }
    }
    return best;
  }

  private static double fetchSeconds(JobSpec spec, FreeCapacity capacity) {
    if (capacity.machine.images().contains(spec.image())) {
      return 0;
    }
    double alone = spec.imageGb() / Math.max(0.01, capacity.machine.type().fetchGbPerS());
    return capacity.fetching.contains(spec.image())
        ? alone * (spec.service() ? 1 : REMAINING_FETCH_SHARE)
        : alone * (1 + capacity.fetching.size());
  }

  /**
   * Lower is better: seconds until the task would run, then how empty the machine would be left.
   */
  private static double score(Snapshot.PendingJob pendingJob, FreeCapacity capacity) {
    JobSpec spec = pendingJob.spec();
    double fetch = fetchSeconds(spec, capacity);
    double left = (capacity.cpus - spec.cpus()) / Math.max(1, capacity.machine.type().cpus());
    if (spec.service()) {
      // A replica that must wait for its image anyway brings it to a machine with few others: one
      // death then costs little, and later replicas find the image on machines with capacity.
      int sameClass = capacity.classes.getOrDefault(spec.jobClass(), 0);
      return capacity.machine.images().contains(spec.image())
          ? sameClass * SPREADING_PENALTY_CACHED + left
          : IMAGE_NOT_CACHED_PENALTY_S + fetch + sameClass + left;
    }
    double spot = capacity.machine.isSpot() ? -0.5 : 0;
    return fetch * (pendingJob.isLatencySensitive() ? 10 : 1) + left + spot;
  }

  /**
   * Room that is being made, or comes by itself in time, or is made by stopping others, or is kept
   * free.
   */
  private void reserveFutureCapacity(Snapshot.PendingJob pendingJob, Map<String, Integer> zones) {
    boolean found =
        reserveRelease(pendingJob, zones, false)
            || (pendingJob.maxWaitS() > 0
                && reserveFirstToFit(pendingJob, zones, pendingJob.maxWaitS()))
            || preempt(pendingJob, zones, false);
    if (!found
        && pendingJob.agingBoost() == AgingBoost.ABOVE_ALL
        && reservedMachines < RoundState.maxReservedMachines(snapshot)
        && reserveFirstToFit(pendingJob, zones, Double.MAX_VALUE)) {
      reservedMachines++;
    }
  }

  private boolean reserveOrPreempt(
      Snapshot.PendingJob pendingJob, Map<String, Integer> zones, boolean withImageOnly) {
    return reserveRelease(pendingJob, zones, withImageOnly)
        || preempt(pendingJob, zones, withImageOnly);
  }

  /** Reserves the room that comes free first, if within so many seconds. */
  private boolean reserveFirstToFit(
      Snapshot.PendingJob pendingJob, Map<String, Integer> zones, double maxS) {
    FreeCapacity best = null;
    double bestS = Double.POSITIVE_INFINITY;
    for (FreeCapacity capacity : machines) {
      double fitsInS =
          allowed(pendingJob.spec(), zones, capacity.machine)
              ? secondsUntilFits(pendingJob.spec(), capacity)
              : bestS;
      if (fitsInS < bestS) {
        best = capacity;
        bestS = fitsInS;
      }
    }
    if (best == null || bestS > maxS) {
      return false;
    }
    reserve(best, pendingJob.spec());
    return true;
  }

  private double secondsUntilFits(JobSpec spec, FreeCapacity capacity) {
    List<Snapshot.RunningTask> ending = new ArrayList<>(capacity.machine.running());
    ending.removeIf(r -> r.isStopping() || stopped.contains(r));
    ending.sort(Comparator.comparingDouble(r -> r.remainingS(snapshot.nowMs())));
    double cpus = capacity.cpus + capacity.releasingCpus;
    double cards = capacity.cards + capacity.releasingCards;
    double memGb = capacity.memGb + capacity.releasingMemGb;
    double fitsInS = 0;
    for (int i = 0; i <= ending.size(); i++) {
      if (capacity.slots > 0
          && spec.cpus() <= cpus + EPSILON
          && spec.cards() <= cards + EPSILON
          && spec.memGb() <= memGb + EPSILON) {
        return fitsInS;
      }
      if (i < ending.size()) {
        Snapshot.RunningTask r = ending.get(i);
        fitsInS = r.remainingS(snapshot.nowMs());
        cpus += r.cpus();
        cards += r.cards();
        memGb += r.memGb();
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  private boolean reserveRelease(
      Snapshot.PendingJob pendingJob, Map<String, Integer> zones, boolean withImageOnly) {
    JobSpec spec = pendingJob.spec();
    for (FreeCapacity capacity : machines) {
      if (allowed(spec, zones, capacity.machine)
          && (!withImageOnly || capacity.machine.images().contains(spec.image()))
          && (capacity.releasingCpus > 0 || capacity.releasingMemGb > 0)
          && capacity.fitsAfterReleases(spec)) {
        reserve(capacity, spec);
        return true;
      }
    }
    return false;
  }

  /**
   * Stops less urgent work, or borrowed work of others, where that lets this task start soon; only
   * on machines that have its image, if so asked. True if room is being made.
   */
  private boolean preempt(
      Snapshot.PendingJob pendingJob, Map<String, Integer> zones, boolean withImageOnly) {
    JobSpec spec = pendingJob.spec();
    FreeCapacity best = null;
    List<Snapshot.RunningTask> bestPreempted = null;
    double bestCost = Double.MAX_VALUE;
    for (FreeCapacity capacity : machines) {
      if (!allowed(spec, zones, capacity.machine)
          || (withImageOnly && !capacity.machine.images().contains(spec.image()))) {
        continue;
      }
      List<Snapshot.RunningTask> preempted = choosePreempted(pendingJob, capacity);
      if (preempted == null) {
        continue;
      }
      double lost =
          preempted.stream()
              .mapToDouble(v -> v.elapsedS(snapshot.nowMs()) * Math.max(1, v.cpus()))
              .sum();
      double cost = lost + 100 * score(pendingJob, capacity);
      if (cost < bestCost) {
        best = capacity;
        bestPreempted = preempted;
        bestCost = cost;
      }
    }
    if (best != null) {
      for (Snapshot.RunningTask v : bestPreempted) {
        stopped.add(v);
        stops.add(v);
        best.releasingCpus += v.cpus();
        best.releasingCards += v.cards();
        best.releasingMemGb += v.memGb();
      }
      reserve(best, spec);
    }
    return best != null;
  }

  private static void reserve(FreeCapacity capacity, JobSpec spec) {
    capacity.releasingCpus -= spec.cpus();
    capacity.releasingCards -= spec.cards();
    capacity.releasingMemGb -= spec.memGb();
  }

  private List<Snapshot.RunningTask> choosePreempted(
      Snapshot.PendingJob pendingJob, FreeCapacity capacity) {
    JobSpec spec = pendingJob.spec();
    List<Snapshot.RunningTask> candidates = new ArrayList<>(capacity.machine.running());
    candidates.removeIf(
        r ->
            r.isStopping()
                || stopped.contains(r)
                || snapshot.nonPreemptible().contains(r.attempt()));
    candidates.sort(
        Comparator.comparing(Snapshot.RunningTask::priority)
            .reversed()
            .thenComparingDouble(r -> r.elapsedS(snapshot.nowMs())));
    List<Snapshot.RunningTask> preempted = new ArrayList<>();
    for (Snapshot.RunningTask r : candidates) {
      if (!isEnough(spec, capacity, preempted) && mayPreempt(pendingJob, r, preempted)) {
        preempted.add(r);
      }
    }
    return isEnough(spec, capacity, preempted) && !preempted.isEmpty() ? preempted : null;
  }

  private static boolean isEnough(
      JobSpec spec, FreeCapacity capacity, List<Snapshot.RunningTask> preempted) {
    double cpus = capacity.cpus + capacity.releasingCpus;
    double cards = capacity.cards + capacity.releasingCards;
    double memGb = capacity.memGb + capacity.releasingMemGb;
    for (Snapshot.RunningTask r : preempted) {
      cpus += r.cpus();
      cards += r.cards();
      memGb += r.memGb();
    }
    return capacity.slots > 0
        && spec.cpus() <= cpus + EPSILON
        && spec.cards() <= cards + EPSILON
        && spec.memGb() <= memGb + EPSILON;
  }

  /**
   * Less urgent work may be stopped; and for a guarantee work as urgent of another team's job that
   * is beyond its own guarantee, as long as that team uses more than it without all that is being
   * stopped.
   */
  private boolean mayPreempt(
      Snapshot.PendingJob pendingJob,
      Snapshot.RunningTask r,
      List<Snapshot.RunningTask> stoppedBefore) {
    if (r.priority() != pendingJob.preemptsAs()) {
      return r.priority().compareTo(pendingJob.preemptsAs()) > 0;
    }
    String team = r.spec().team();
    return pendingJob.isWithinGuarantee()
        && !snapshot.preemptibleOnlyByMoreUrgent().contains(r.attempt())
        && !snapshot.guaranteedJobs().contains(r.spec().id())
        && !team.equals(pendingJob.spec().team())
        && (snapshot.teams().get(team) == null || isBeyond(team, r, stoppedBefore));
  }

  private boolean isBeyond(
      String team, Snapshot.RunningTask r, List<Snapshot.RunningTask> stoppedBefore) {
    Snapshot.TeamUsage usage = snapshot.teams().get(team);
    double cpus = usage.cpus();
    double cards = usage.cards();
    for (Snapshot.MachineState machine : snapshot.machines()) {
      for (Snapshot.RunningTask other : machine.running()) {
        boolean ends =
            other.isStopping() || stopped.contains(other) || stoppedBefore.contains(other);
        if (ends && other.spec().team().equals(team)) {
          cpus -= other.cpus();
          cards -= other.cards();
        }
      }
    }
    return (r.cpus() > 0
            && (usage.cpusGuaranteed() <= 0 || cpus > usage.cpusGuaranteed() + EPSILON))
        || (r.cards() > 0
            && (usage.cardsGuaranteed() <= 0 || cards > usage.cardsGuaranteed() + EPSILON));
  }
}
