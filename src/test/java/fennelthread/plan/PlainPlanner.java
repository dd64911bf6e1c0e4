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
 * The planner without any of its short cuts: each task looks at every machine and at all running
 * work. Slow and plain, so that it can be read; {@link Planner} must choose the same.
 */
final class PlainPlanner {
  private static final double EPSILON = 1e-9;

  /** What is left of a fetch under way, as a share: unknown, so a little more than the half. */
  private static final double FETCH_LEFT = 0.6;

  /** What one more replica of the class on a machine with the image counts, in emptiness. */
  private static final double CROWD_CACHED = 0.2;

  /** Above any score of a machine that has the image. */
  private static final double NOT_CACHED = 1_000;

  private static final class FreeCapacity {
    final Snapshot.Machine machine;
    double cpus;
    double cards;
    double memGb;
    double comingCpus;
    double comingCards;
    double comingMemGb;
    int slots;
    final Set<String> fetching;
    final Map<String, Integer> classes;

    FreeCapacity(Snapshot.Machine machine) {
      this.machine = machine;
      this.cpus = machine.cpus();
      this.cards = machine.cards();
      this.memGb = machine.memGb();
      this.slots = machine.slots();
      this.fetching = new HashSet<>(machine.fetching());
      this.classes = new HashMap<>(machine.classes());
    }

    boolean hasFree(JobSpec spec) {
      return slots > 0
          && spec.cpus() <= cpus + EPSILON
          && spec.cards() <= cards + EPSILON
          && spec.memGb() <= memGb + EPSILON;
    }

    boolean fits(JobSpec spec) {
      return slots > 0
          && spec.cpus() <= Math.min(cpus, cpus + comingCpus) + EPSILON
          && spec.cards() <= Math.min(cards, cards + comingCards) + EPSILON
          && spec.memGb() <= Math.min(memGb, memGb + comingMemGb) + EPSILON;
    }

    boolean willFit(JobSpec spec) {
      return slots > 0
          && spec.cpus() <= cpus + comingCpus + EPSILON
          && spec.cards() <= cards + comingCards + EPSILON
          && spec.memGb() <= memGb + comingMemGb + EPSILON;
    }

    void take(JobSpec spec) {
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
  private final List<FreeCapacity> rooms = new ArrayList<>();
  private final Map<String, Snapshot.TeamUsage> teams;
  private final List<Plan.Start> starts = new ArrayList<>();
  private final List<Snapshot.RunningTask> stops = new ArrayList<>();
  private final List<Plan.Unplaced> unplaced = new ArrayList<>();
  private final Set<Snapshot.RunningTask> stopped = new HashSet<>();
  private final Map<String, Snapshot.TeamUsage> started;
  private final IdentityHashMap<Snapshot.PendingJob, Map<String, Integer>> zonesOf =
      new IdentityHashMap<>();
  private final IdentityHashMap<Snapshot.PendingJob, Integer> startsOf = new IdentityHashMap<>();
  private int holds;

  private PlainPlanner(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.teams = new HashMap<>(snapshot.teams());
    this.started = new HashMap<>(snapshot.teams());
    for (Snapshot.Machine machine : snapshot.machines()) {
      rooms.add(new FreeCapacity(machine));
    }
    for (FreeCapacity room : rooms) {
      for (Snapshot.RunningTask r : room.machine.running()) {
        if (r.stopping()) {
          room.comingCpus += r.cpus();
          room.comingCards += r.cards();
          room.comingMemGb += r.memGb();
        }
      }
    }
  }

  /** Plans one round. */
  public static Plan plan(Snapshot snapshot) {
    PlainPlanner planner = new PlainPlanner(snapshot);
    planner.run();
    return new Plan(planner.starts, planner.stops, planner.unplaced, planner.passedOver());
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
    boolean overdue = snapshot.starvedJobs().contains(spec.id());
    Map<String, Integer> zones = new HashMap<>(pendingJob.zones());
    zonesOf.put(pendingJob, zones);
    int missing = 0;
    for (int task : pendingJob.tasks()) {
      Snapshot.TeamUsage use = teams.get(spec.team());
      Snapshot.TeamUsage real = started.get(spec.team());
      boolean mayAsk = use != null && use.allows(spec.cpus(), spec.cards());
      if (!mayAsk && !(overdue && real != null && real.allows(spec.cpus(), spec.cards()))) {
        break;
      }
      FreeCapacity best = null;
      if (missing == 0 && starts.size() < snapshot.maxStarts()) {
        best = bestRoom(pendingJob, zones);
        if (best != null
            && spec.service()
            && !overdue
            && fetchSeconds(spec, best) > 1
            && makeRoom(pendingJob, zones, true)) {
          // Less urgent work leaves a machine that has the image: sooner than fetching it here.
          best = null;
          teams.put(spec.team(), use.plus(spec.cpus(), spec.cards()));
          continue;
        }
      }
      if (best != null) {
        best.take(spec);
        starts.add(new Plan.Start(spec, task, best.machine.name()));
        started.put(spec.team(), real.plus(spec.cpus(), spec.cards()));
        startsOf.merge(pendingJob, 1, Integer::sum);
      } else if (!mayAsk) {
        break;
      } else {
        missing++;
        if (starts.size() < snapshot.maxStarts()) {
          awaitRoom(pendingJob, zones);
        }
      }
      // A task without a place yet is counted too: rooms asked for must not exceed the cap.
      teams.put(spec.team(), use.plus(spec.cpus(), spec.cards()));
      if (best != null && (spec.onePlace() || spec.apart())) {
        zones.merge(best.machine.zone(), 1, Integer::sum);
      }
    }
    if (missing > 0) {
      unplaced.add(
          new Plan.Unplaced(spec, missing, spec.onePlace() || spec.apart() ? zones : Map.of()));
    }
  }

  /** Jobs with tasks left although some machine has room and their team may start one. */
  private Set<String> passedOver() {
    Set<String> passedOver = new HashSet<>();
    for (Snapshot.PendingJob pendingJob : snapshot.pendingJobs()) {
      JobSpec spec = pendingJob.spec();
      Snapshot.TeamUsage real = started.get(spec.team());
      if (startsOf.getOrDefault(pendingJob, 0) < pendingJob.tasks().size()
          && real != null
          && real.allows(spec.cpus(), spec.cards())
          && rooms.stream()
              .anyMatch(
                  r -> r.hasFree(spec) && allowed(spec, zonesOf.get(pendingJob), r.machine))) {
        passedOver.add(spec.id());
      }
    }
    return passedOver;
  }

  /** True if the job's own rules let a task of it start there now. */
  static boolean allowed(JobSpec spec, Map<String, Integer> zones, Snapshot.Machine machine) {
    if (spec.types() != null && !spec.types().contains(machine.type())) {
      return false;
    }
    if (spec.zone() != null && !spec.zone().equals(machine.zone())) {
      return false;
    }
    if (machine.spot() && !spec.spotAllowed()) {
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

  private FreeCapacity bestRoom(Snapshot.PendingJob pendingJob, Map<String, Integer> zones) {
    FreeCapacity best = null;
    double bestScore = 0;
    for (FreeCapacity room : rooms) {
      boolean overdue = snapshot.starvedJobs().contains(pendingJob.spec().id());
      boolean free = overdue ? room.hasFree(pendingJob.spec()) : room.fits(pendingJob.spec());
      if (!free || !allowed(pendingJob.spec(), zones, room.machine)) {
        continue;
      }
      double score = score(pendingJob, room);
      if (best == null || score < bestScore) {
        best = room;
        bestScore = score;
      }
    }
    return best;
  }

  private static double fetchSeconds(JobSpec spec, FreeCapacity room) {
    if (room.machine.images().contains(spec.image())) {
      return 0;
    }
    double alone = spec.imageGb() / Math.max(0.01, room.machine.fetchGbPerS());
    return room.fetching.contains(spec.image())
        ? alone * (spec.service() ? 1 : FETCH_LEFT)
        : alone * (1 + room.fetching.size());
  }

  /**
   * Lower is better: seconds until the task would run, then how empty the machine would be left.
   */
  private static double score(Snapshot.PendingJob pendingJob, FreeCapacity room) {
    JobSpec spec = pendingJob.spec();
    double fetch = fetchSeconds(spec, room);
    double left = (room.cpus - spec.cpus()) / Math.max(1, room.machine.cpusTotal());
    if (spec.service()) {
      // A replica that must wait for its image anyway brings it to a machine with few others: one
      // death then costs little, and later replicas find the image on machines with room.
      int crowd = room.classes.getOrDefault(spec.jobClass(), 0);
      return room.machine.images().contains(spec.image())
          ? crowd * CROWD_CACHED + left
          : NOT_CACHED + fetch + crowd + left;
    }
    double spot = room.machine.spot() ? -0.5 : 0;
    return fetch * (pendingJob.latencySensitive() ? 10 : 1) + left + spot;
  }

  /**
   * Room that is being made, or comes by itself in time, or is made by stopping others, or is kept
   * free.
   */
  private void awaitRoom(Snapshot.PendingJob pendingJob, Map<String, Integer> zones) {
    boolean found =
        takeComing(pendingJob, zones, false)
            || (pendingJob.maxWaitS() > 0 && reserveFirst(pendingJob, zones, pendingJob.maxWaitS()))
            || stopOthers(pendingJob, zones, false);
    if (!found
        && pendingJob.agingBoost() == AgingBoost.ABOVE_ALL
        && holds < RoundState.maxReservedMachines(snapshot)
        && reserveFirst(pendingJob, zones, Double.MAX_VALUE)) {
      holds++;
    }
  }

  private boolean makeRoom(
      Snapshot.PendingJob pendingJob, Map<String, Integer> zones, boolean cachedOnly) {
    return takeComing(pendingJob, zones, cachedOnly) || stopOthers(pendingJob, zones, cachedOnly);
  }

  /** Reserves the room that comes free first, if within so many seconds. */
  private boolean reserveFirst(
      Snapshot.PendingJob pendingJob, Map<String, Integer> zones, double mostS) {
    FreeCapacity best = null;
    double bestS = Double.POSITIVE_INFINITY;
    for (FreeCapacity room : rooms) {
      double inS =
          allowed(pendingJob.spec(), zones, room.machine)
              ? freeInS(pendingJob.spec(), room)
              : bestS;
      if (inS < bestS) {
        best = room;
        bestS = inS;
      }
    }
    if (best == null || bestS > mostS) {
      return false;
    }
    reserve(best, pendingJob.spec());
    return true;
  }

  private double freeInS(JobSpec spec, FreeCapacity room) {
    List<Snapshot.RunningTask> ending = new ArrayList<>(room.machine.running());
    ending.removeIf(r -> r.stopping() || stopped.contains(r));
    ending.sort(Comparator.comparingDouble(r -> r.remainingS(snapshot.nowMs())));
    double cpus = room.cpus + room.comingCpus;
    double cards = room.cards + room.comingCards;
    double mem = room.memGb + room.comingMemGb;
    double inS = 0;
    for (int i = 0; i <= ending.size(); i++) {
      if (room.slots > 0
          && spec.cpus() <= cpus + EPSILON
          && spec.cards() <= cards + EPSILON
          && spec.memGb() <= mem + EPSILON) {
        return inS;
      }
      if (i < ending.size()) {
        Snapshot.RunningTask r = ending.get(i);
        inS = r.remainingS(snapshot.nowMs());
        cpus += r.cpus();
        cards += r.cards();
        mem += r.memGb();
      }
    }
    return Double.POSITIVE_INFINITY;
  }

  private boolean takeComing(
      Snapshot.PendingJob pendingJob, Map<String, Integer> zones, boolean cachedOnly) {
    JobSpec spec = pendingJob.spec();
    for (FreeCapacity room : rooms) {
      if (allowed(spec, zones, room.machine)
          && (!cachedOnly || room.machine.images().contains(spec.image()))
          && (room.comingCpus > 0 || room.comingMemGb > 0)
          && room.willFit(spec)) {
        reserve(room, spec);
        return true;
      }
    }
    return false;
  }

  /**
   * Stops less urgent work, or borrowed work of others, where that lets this task start soon; only
   * on machines that have its image, if so asked. True if room is being made.
   */
  private boolean stopOthers(
      Snapshot.PendingJob pendingJob, Map<String, Integer> zones, boolean cachedOnly) {
    JobSpec spec = pendingJob.spec();
    FreeCapacity best = null;
    List<Snapshot.RunningTask> bestVictims = null;
    double bestCost = Double.MAX_VALUE;
    for (FreeCapacity room : rooms) {
      if (!allowed(spec, zones, room.machine)
          || (cachedOnly && !room.machine.images().contains(spec.image()))) {
        continue;
      }
      List<Snapshot.RunningTask> victims = victims(pendingJob, room);
      if (victims == null) {
        continue;
      }
      double lost =
          victims.stream()
              .mapToDouble(v -> v.elapsedS(snapshot.nowMs()) * Math.max(1, v.cpus()))
              .sum();
      double cost = lost + 100 * score(pendingJob, room);
      if (cost < bestCost) {
        best = room;
        bestVictims = victims;
        bestCost = cost;
      }
    }
    if (best != null) {
      for (Snapshot.RunningTask v : bestVictims) {
        stopped.add(v);
        stops.add(v);
        best.comingCpus += v.cpus();
        best.comingCards += v.cards();
        best.comingMemGb += v.memGb();
      }
      reserve(best, spec);
    }
    return best != null;
  }

  private static void reserve(FreeCapacity room, JobSpec spec) {
    room.comingCpus -= spec.cpus();
    room.comingCards -= spec.cards();
    room.comingMemGb -= spec.memGb();
  }

  private List<Snapshot.RunningTask> victims(Snapshot.PendingJob pendingJob, FreeCapacity room) {
    JobSpec spec = pendingJob.spec();
    List<Snapshot.RunningTask> candidates = new ArrayList<>(room.machine.running());
    candidates.removeIf(
        r ->
            r.stopping() || stopped.contains(r) || snapshot.nonPreemptible().contains(r.attempt()));
    candidates.sort(
        Comparator.comparing(Snapshot.RunningTask::priority)
            .reversed()
            .thenComparingDouble(r -> r.elapsedS(snapshot.nowMs())));
    List<Snapshot.RunningTask> victims = new ArrayList<>();
    for (Snapshot.RunningTask r : candidates) {
      if (!isEnough(spec, room, victims) && mayStop(pendingJob, r, victims)) {
        victims.add(r);
      }
    }
    return isEnough(spec, room, victims) && !victims.isEmpty() ? victims : null;
  }

  private static boolean isEnough(
      JobSpec spec, FreeCapacity room, List<Snapshot.RunningTask> victims) {
    double cpus = room.cpus + room.comingCpus;
    double cards = room.cards + room.comingCards;
    double mem = room.memGb + room.comingMemGb;
    for (Snapshot.RunningTask r : victims) {
      cpus += r.cpus();
      cards += r.cards();
      mem += r.memGb();
    }
    return room.slots > 0
        && spec.cpus() <= cpus + EPSILON
        && spec.cards() <= cards + EPSILON
        && spec.memGb() <= mem + EPSILON;
  }

  /**
   * Less urgent work may be stopped; and for a guarantee work as urgent of another team's job that
   * is beyond its own guarantee, as long as that team uses more than it without all that is being
   * stopped.
   */
  private boolean mayStop(
      Snapshot.PendingJob pendingJob,
      Snapshot.RunningTask r,
      List<Snapshot.RunningTask> stoppedBefore) {
    if (r.priority() != pendingJob.preemptsAs()) {
      return r.priority().compareTo(pendingJob.preemptsAs()) > 0;
    }
    String team = r.spec().team();
    return pendingJob.withinGuarantee()
        && !snapshot.preemptibleOnlyByMoreUrgent().contains(r.attempt())
        && !snapshot.guaranteedJobs().contains(r.spec().id())
        && !team.equals(pendingJob.spec().team())
        && (snapshot.teams().get(team) == null || isBeyond(team, r, stoppedBefore));
  }

  private boolean isBeyond(
      String team, Snapshot.RunningTask r, List<Snapshot.RunningTask> stoppedBefore) {
    Snapshot.TeamUsage use = snapshot.teams().get(team);
    double cpus = use.cpus();
    double cards = use.cards();
    for (Snapshot.Machine machine : snapshot.machines()) {
      for (Snapshot.RunningTask other : machine.running()) {
        boolean ends = other.stopping() || stopped.contains(other) || stoppedBefore.contains(other);
        if (ends && other.spec().team().equals(team)) {
          cpus -= other.cpus();
          cards -= other.cards();
        }
      }
    }
    return (r.cpus() > 0 && (use.cpusGuaranteed() <= 0 || cpus > use.cpusGuaranteed() + EPSILON))
        || (r.cards() > 0
            && (use.cardsGuaranteed() <= 0 || cards > use.cardsGuaranteed() + EPSILON));
  }
}
