package fennelthread.plan;

import fennelthread.plan.MachineRanking.Candidate;
import fennelthread.plan.PlacementConstraints.TaskShape;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The search for places for one job's tasks in a round. Tasks of one job are alike, so that
 * machines are ranked once per job and not per task.
 */
final class PlacementSearch {
  private final RoundState round;
  private final Snapshot.PendingJob pendingJob;
  private final JobSpec spec;
  private final boolean overdue;
  private final boolean zoned;
  private final Map<String, Integer> zones;
  private final TaskShape shape;
  private PriorityQueue<Candidate> places;
  private PriorityQueue<Candidate> stopsCached;
  private PriorityQueue<Candidate> stopsAny;
  private PriorityQueue<Candidate> awaited;

  PlacementSearch(RoundState round, Snapshot.PendingJob pendingJob) {
    this.round = round;
    this.pendingJob = pendingJob;
    this.spec = pendingJob.spec();
    this.overdue = round.snapshot.starvedJobs().contains(spec.id());
    this.zoned = PlacementConstraints.dependOnOtherTasks(spec);
    this.zones = zoned ? new HashMap<>(pendingJob.zones()) : Map.of();
    this.shape = TaskShape.of(spec);
  }

  private boolean isAllowed(FreeCapacity room) {
    return PlacementConstraints.allow(spec, zones, room.machine);
  }

  /** A job that was passed over for long takes room that is reserved for others. */
  private boolean hasRoom(FreeCapacity room) {
    return overdue ? room.fitsUnreserved(spec) : room.fits(spec);
  }

  /** True if some machine has room for a task, be it reserved for others or not. */
  boolean hasUnreservedRoom() {
    for (FreeCapacity room : round.rooms) {
      if (room.fitsUnreserved(spec) && isAllowed(room)) {
        return true;
      }
    }
    return false;
  }

  /** How many of the job's tasks are in each zone, those that this round starts included. */
  Map<String, Integer> zones() {
    return zones;
  }

  /** The best machine with room, or null. */
  FreeCapacity best() {
    boolean remembered = !zoned && !overdue;
    if (remembered && round.full.contains(shape)) {
      return null;
    }
    if (places == null || zoned) {
      // With a rule about zones, each task placed may forbid machines to the next one.
      List<Candidate> all = new ArrayList<>();
      for (FreeCapacity room : round.rooms) {
        if (hasRoom(room) && isAllowed(room)) {
          all.add(Candidate.of(MachineRanking.score(pendingJob, room), room));
        }
      }
      places = new PriorityQueue<>(all);
    }
    Candidate best = MachineRanking.best(places);
    if (best == null && remembered) {
      round.full.add(shape);
    }
    return best == null ? null : best.room();
  }

  /** Gives the job's next task its room. */
  void take(FreeCapacity room) {
    room.take(spec);
    if (zoned) {
      zones.merge(room.machine.zone(), 1, Integer::sum);
    }
    changed(room);
  }

  /** Puts a changed machine back among the candidates. */
  private void changed(FreeCapacity room) {
    round.coming.set(room.index, room.isComing());
    if (zoned) {
      return;
    }
    if (places != null && hasRoom(room)) {
      places.add(Candidate.of(MachineRanking.score(pendingJob, room), room));
    }
    if (awaited != null) {
      offerAwaited(room);
    }
    offer(stopsAny, room, false);
    offer(stopsCached, room, true);
  }

  private void offer(PriorityQueue<Candidate> queue, FreeCapacity room, boolean cachedOnly) {
    if (queue != null) {
      Candidate c = stopsOn(room, cachedOnly);
      if (c != null) {
        queue.add(c);
      }
    }
  }

  /**
   * Has room made for a task that found none: where it is being made already, where it comes by
   * itself in the time that the job waits, where others' work may be stopped, or else, for the
   * first task of a job that has waited long, wherever it comes first. True if room is coming.
   */
  boolean awaitRoom() {
    return takeComing(false)
        || awaitEnds()
        || stopOthers(false)
        || (pendingJob.agingBoost() == AgingBoost.ABOVE_ALL && round.mayHold() && hold());
  }

  /** The same on machines that have the image, by stopping others alone. */
  boolean makeCachedRoom() {
    return takeComing(true) || stopOthers(true);
  }

  private void reserve(FreeCapacity room) {
    room.reserve(spec);
    changed(room);
  }

  private boolean takeComing(boolean cachedOnly) {
    for (int i = round.coming.nextSetBit(0); i >= 0; i = round.coming.nextSetBit(i + 1)) {
      FreeCapacity room = round.rooms.get(i);
      if (room.willFit(spec) && isAllowed(room) && (!cachedOnly || room.hasImage(spec))) {
        reserve(room);
        return true;
      }
    }
    return false;
  }

  /**
   * Reserves the room that comes free first by itself. A task of four CPUs once had sixteen of a
   * quarter stopped that would have ended within seconds: a third of a guest's starts was lost that
   * way.
   */
  private boolean awaitEnds() {
    RoundState.Patience patience = new RoundState.Patience(shape, pendingJob.maxWaitS());
    if (pendingJob.maxWaitS() <= 0 || (!zoned && round.inVain.contains(patience))) {
      return false;
    }
    if (awaited == null || zoned) {
      awaited = new PriorityQueue<>();
      round.rooms.forEach(this::offerAwaited);
    }
    Candidate best = MachineRanking.best(awaited);
    if (best == null) {
      if (!zoned) {
        round.inVain.add(patience);
      }
      return false;
    }
    reserve(best.room());
    return true;
  }

  private void offerAwaited(FreeCapacity room) {
    if (room.soonestS(round.snapshot.nowMs()) <= pendingJob.maxWaitS() && isAllowed(room)) {
      double inS = freeInS(room, pendingJob.maxWaitS());
      if (inS <= pendingJob.maxWaitS()) {
        awaited.add(Candidate.of(inS, room));
      }
    }
  }

  /** Keeps the machine on which room comes first for this task alone, however long that takes. */
  private boolean hold() {
    FreeCapacity best = null;
    double bestS = Double.POSITIVE_INFINITY;
    for (FreeCapacity room : round.rooms) {
      if (isAllowed(room)) {
        double inS = freeInS(room, Double.MAX_VALUE);
        if (inS < bestS) {
          best = room;
          bestS = inS;
        }
      }
    }
    if (best == null) {
      return false;
    }
    round.held();
    reserve(best);
    return true;
  }

  /**
   * When a task would fit if nothing else were started there, seconds; infinite if not within
   * {@code mostS}.
   */
  private double freeInS(FreeCapacity room, double mostS) {
    long nowMs = round.snapshot.nowMs();
    double cpus = 0;
    double cards = 0;
    double memGb = 0;
    double inS = 0;
    for (Snapshot.RunningTask r : room.byEnd(nowMs)) {
      if (room.fitsWith(spec, cpus, cards, memGb)) {
        return inS;
      }
      if (round.preemption.isStopped(r)) {
        continue;
      }
      inS = r.remainingS(nowMs);
      if (inS > mostS) {
        return Double.POSITIVE_INFINITY;
      }
      cpus += r.cpus();
      cards += r.cards();
      memGb += r.memGb();
    }
    return room.fitsWith(spec, cpus, cards, memGb) ? inS : Double.POSITIVE_INFINITY;
  }

  /**
   * Stops less urgent work, or borrowed work of others, where that lets a task start soon; only on
   * machines that have its image, if so asked. True if room is being made.
   */
  private boolean stopOthers(boolean cachedOnly) {
    RoundState.Claim claim =
        new RoundState.Claim(
            shape,
            pendingJob.preemptsAs(),
            pendingJob.withinGuarantee() ? spec.team() : null,
            cachedOnly ? spec.image() : null);
    if (!round.preemption.isPossible(pendingJob) || (!zoned && round.hopeless.contains(claim))) {
      return false;
    }
    Candidate best = MachineRanking.best(stops(cachedOnly));
    if (best == null) {
      if (!zoned) {
        round.hopeless.add(claim);
      }
      return false;
    }
    round.inVain.clear();
    round.preemption.stop(best.victims(), best.room());
    reserve(best.room());
    return true;
  }

  private PriorityQueue<Candidate> stops(boolean cachedOnly) {
    PriorityQueue<Candidate> known = cachedOnly ? stopsCached : stopsAny;
    if (known != null && !zoned) {
      return known;
    }
    List<Candidate> all = new ArrayList<>();
    for (FreeCapacity room : round.rooms) {
      Candidate c = stopsOn(room, cachedOnly);
      if (c != null) {
        all.add(c);
      }
    }
    PriorityQueue<Candidate> queue = new PriorityQueue<>(all);
    if (cachedOnly) {
      stopsCached = queue;
    } else {
      stopsAny = queue;
    }
    return queue;
  }

  private Candidate stopsOn(FreeCapacity room, boolean cachedOnly) {
    if ((cachedOnly && !room.hasImage(spec)) || !isAllowed(room)) {
      return null;
    }
    List<Snapshot.RunningTask> victims = round.preemption.victims(pendingJob, room);
    if (victims == null) {
      return null;
    }
    double lost = 0;
    for (Snapshot.RunningTask v : victims) {
      lost += v.elapsedS(round.snapshot.nowMs()) * Math.max(1, v.cpus());
    }
    double cost = lost + 100 * MachineRanking.score(pendingJob, room);
    return new Candidate(cost, room, room.version(), victims);
  }
}
