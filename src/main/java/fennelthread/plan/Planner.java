package fennelthread.plan;

import fennelthread.Constants;
import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Decides which task goes where: a function of the snapshot alone. A machine that has the image
 * comes before one that must fetch it; among equals the one left fullest is taken.
 *
 * <p>Tasks of one job are alike, so that machines are ranked once per job and not per task; and
 * what found no room once is not looked for again, since room only shrinks within a round. On a
 * fleet of hundreds a burst beyond capacity otherwise costs tasks times machines times running
 * work, on the one thread that also renews the lease. The tests hold the plain version, which must
 * choose the same.
 */
public final class Planner {
  /**
   * The order of placement: what is owed to whom. Users count jobs that are done in time: when
   * there is not room for all, a job that can't be in time any more must not make the next one late
   * too, and many small jobs come before one large one. That alone would put the largest off for
   * ever. So work counts for less the longer it has waited, and what has waited long with nothing
   * at work comes first with its first task, whatever its priority: one task of each such job is
   * the price.
   */
  public static final Comparator<Snapshot.Need> ORDER =
      Comparator.<Snapshot.Need>comparingLong(
              n -> n.turn() == Aging.Turn.FIRST ? n.order() : Long.MAX_VALUE)
          .thenComparingInt(n -> n.priority().ordinal())
          .thenComparing(n -> n.turn() != Aging.Turn.EARLY)
          .thenComparing(Snapshot.Need::late)
          .thenComparing(n -> !n.withinGuarantee())
          .thenComparingDouble(Snapshot.Need::work)
          .thenComparingLong(Snapshot.Need::order);

  /** A machine while its room is handed out; {@code version} rises with each change. */
  private static final class Room {
    final Snapshot.Host host;
    final int index;
    int version;
    double cpus;
    double cards;
    double memGb;
    double comingCpus;
    double comingCards;
    double comingMemGb;
    private Set<String> fetching;
    private Map<String, Integer> classes;
    private List<Snapshot.Running> byEnd;
    private double soonestS = -1;

    Room(Snapshot.Host host, int index) {
      this.host = host;
      this.index = index;
      this.cpus = host.cpus();
      this.cards = host.cards();
      this.memGb = host.memGb();
    }

    /**
     * True if a task fits now, and still does when what is reserved is taken: of room that is made
     * piece by piece, the first piece must not go to a smaller task of less urgent work, which
     * would be stopped for the same task again, over and over.
     */
    boolean fits(JobSpec spec) {
      return spec.cpus() <= cpus + Math.min(0, comingCpus) + Constants.EPSILON
          && spec.cards() <= cards + Math.min(0, comingCards) + Constants.EPSILON
          && spec.memGb() <= memGb + Math.min(0, comingMemGb) + Constants.EPSILON;
    }

    boolean willFit(JobSpec spec) {
      return spec.cpus() <= cpus + comingCpus + Constants.EPSILON
          && spec.cards() <= cards + comingCards + Constants.EPSILON
          && spec.memGb() <= memGb + comingMemGb + Constants.EPSILON;
    }

    boolean hasImage(JobSpec spec) {
      return host.images().contains(spec.image());
    }

    boolean isComing() {
      return comingCpus > 0 || comingMemGb > 0;
    }

    /** When the first of its tasks ends by itself, seconds from now. */
    double soonestS(long nowMs) {
      if (soonestS < 0) {
        soonestS = Double.POSITIVE_INFINITY;
        for (Snapshot.Running r : host.running()) {
          if (!r.stopping()) {
            soonestS = Math.min(soonestS, r.leftS(nowMs));
          }
        }
      }
      return soonestS;
    }

    /** Its tasks in the order in which they end by themselves. */
    List<Snapshot.Running> byEnd(long nowMs) {
      if (byEnd == null) {
        byEnd = new ArrayList<>(host.running());
        byEnd.removeIf(Snapshot.Running::stopping);
        byEnd.sort(Comparator.comparingDouble(r -> r.leftS(nowMs)));
      }
      return byEnd;
    }

    Set<String> fetching() {
      return fetching == null ? host.fetching() : fetching;
    }

    int crowd(String jobClass) {
      return (classes == null ? host.classes() : classes).getOrDefault(jobClass, 0);
    }

    void take(JobSpec spec) {
      cpus -= spec.cpus();
      cards -= spec.cards();
      memGb -= spec.memGb();
      if (classes == null) {
        // Copied only here: most machines get nothing in a round.
        classes = new HashMap<>(host.classes());
        fetching = new HashSet<>(host.fetching());
      }
      classes.merge(spec.jobClass(), 1, Integer::sum);
      if (!hasImage(spec)) {
        fetching.add(spec.image());
      }
      version++;
    }

    void coming(Snapshot.Running r) {
      comingCpus += r.cpus();
      comingCards += r.cards();
      comingMemGb += r.memGb();
    }

    void reserve(JobSpec spec) {
      comingCpus -= spec.cpus();
      comingCards -= spec.cards();
      comingMemGb -= spec.memGb();
      version++;
    }
  }

  /** A machine with what choosing it costs; out of date once the machine has changed. */
  private record Candidate(double cost, Room room, int version, List<Snapshot.Running> victims)
      implements Comparable<Candidate> {
    @Override
    public int compareTo(Candidate other) {
      int order = Double.compare(cost, other.cost);
      return order != 0 ? order : Integer.compare(room.index, other.room.index);
    }
  }

  /** What a task asks of a machine; tasks with equal shapes fit the same machines. */
  private record Shape(
      double cpus, double cards, double memGb, List<String> types, String zone, boolean spot) {
    static Shape of(JobSpec spec) {
      return new Shape(
          spec.cpus(), spec.cards(), spec.memGb(), spec.types(), spec.zone(), spec.spotAllowed());
    }
  }

  /** A shape, and how long it waits for room by itself, s. */
  private record Patience(Shape shape, double mostS) {}

  /**
   * A shape, and whose work may be stopped for it; {@code image} is null if any machine will do.
   */
  private record Claim(Shape shape, Priority priority, String guaranteedTeam, String image) {}

  /** The search for places for one job's tasks. */
  private final class Search {
    final Snapshot.Need need;
    final JobSpec spec;
    final Map<String, Integer> zones;
    final boolean zoned;
    private final Shape shape;
    private PriorityQueue<Candidate> places;
    private PriorityQueue<Candidate> stopsCached;
    private PriorityQueue<Candidate> stopsAny;
    private PriorityQueue<Candidate> awaited;

    Search(Snapshot.Need need) {
      this.need = need;
      this.spec = need.spec();
      this.zoned = spec.onePlace() || spec.apart();
      this.zones = zoned ? new HashMap<>(need.zones()) : Map.of();
      this.shape = Shape.of(spec);
    }

    /** The best machine with room, or null. */
    Room best() {
      if (!zoned && full.contains(shape)) {
        return null;
      }
      if (places == null || zoned) {
        // With a rule about zones, each task placed may forbid machines to the next one.
        List<Candidate> all = new ArrayList<>();
        for (Room room : rooms) {
          if (room.fits(spec) && allowed(spec, zones, room.host)) {
            all.add(new Candidate(score(need, room), room, room.version, null));
          }
        }
        places = new PriorityQueue<>(all);
      }
      Candidate best = newest(places);
      if (best == null && !zoned) {
        full.add(shape);
      }
      return best == null ? null : best.room;
    }

    void take(Room room) {
      room.take(spec);
      if (zoned) {
        zones.merge(room.host.zone(), 1, Integer::sum);
      }
      changed(room);
    }

    /** Puts a changed machine back among the candidates. */
    private void changed(Room room) {
      coming.set(room.index, room.isComing());
      if (zoned) {
        return;
      }
      if (places != null && room.fits(spec)) {
        places.add(new Candidate(score(need, room), room, room.version, null));
      }
      if (awaited != null) {
        offerAwaited(room);
      }
      offer(stopsAny, room, false);
      offer(stopsCached, room, true);
    }

    private void offer(PriorityQueue<Candidate> queue, Room room, boolean cachedOnly) {
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
          || awaitEnds(need.patienceS())
          || stopOthers(false)
          || (need.turn() == Aging.Turn.FIRST && holds < mostHolds && hold());
    }

    /** The same on machines that have the image, by stopping others alone. */
    boolean makeCachedRoom() {
      return takeComing(true) || stopOthers(true);
    }

    /**
     * Reserves the room that comes free first by itself. A task of four CPUs once had sixteen of a
     * quarter stopped that would have ended within seconds: a third of a guest's starts was lost
     * that way.
     */
    private boolean awaitEnds(double mostS) {
      Patience patience = new Patience(shape, mostS);
      if (mostS <= 0 || (!zoned && vain.contains(patience))) {
        return false;
      }
      if (awaited == null || zoned) {
        awaited = new PriorityQueue<>();
        for (Room room : rooms) {
          offerAwaited(room);
        }
      }
      Candidate best = newest(awaited);
      if (best == null) {
        if (!zoned) {
          vain.add(patience);
        }
        return false;
      }
      best.room.reserve(spec);
      changed(best.room);
      return true;
    }

    private void offerAwaited(Room room) {
      if (room.soonestS(snapshot.nowMs()) <= need.patienceS() && allowed(spec, zones, room.host)) {
        double inS = freeInS(spec, room, need.patienceS());
        if (inS <= need.patienceS()) {
          awaited.add(new Candidate(inS, room, room.version, null));
        }
      }
    }

    /** Keeps the machine on which room comes first for this task alone, however long that takes. */
    private boolean hold() {
      Room best = null;
      double bestS = Double.POSITIVE_INFINITY;
      for (Room room : rooms) {
        if (allowed(spec, zones, room.host)) {
          double inS = freeInS(spec, room, Double.MAX_VALUE);
          if (inS < bestS) {
            best = room;
            bestS = inS;
          }
        }
      }
      if (best == null) {
        return false;
      }
      holds++;
      best.reserve(spec);
      changed(best);
      return true;
    }

    private boolean takeComing(boolean cachedOnly) {
      for (int i = coming.nextSetBit(0); i >= 0; i = coming.nextSetBit(i + 1)) {
        Room room = rooms.get(i);
        if (room.willFit(spec)
            && allowed(spec, zones, room.host)
            && (!cachedOnly || room.hasImage(spec))) {
          room.reserve(spec);
          changed(room);
          return true;
        }
      }
      return false;
    }

    /**
     * Stops less urgent work, or borrowed work of others, where that lets a task start soon; only
     * on machines that have its image, if so asked. True if room is being made.
     */
    private boolean stopOthers(boolean cachedOnly) {
      Claim claim =
          new Claim(
              shape,
              need.stopsAs(),
              need.withinGuarantee() ? spec.team() : null,
              cachedOnly ? spec.image() : null);
      if (!anyToStop(need) || (!zoned && hopeless.contains(claim))) {
        return false;
      }
      Candidate best = newest(stops(cachedOnly));
      if (best == null) {
        if (!zoned) {
          hopeless.add(claim);
        }
        return false;
      }
      vain.clear();
      for (Snapshot.Running v : best.victims) {
        stopped.add(v);
        stops.add(v);
        best.room.coming(v);
      }
      best.room.reserve(spec);
      changed(best.room);
      return true;
    }

    private PriorityQueue<Candidate> stops(boolean cachedOnly) {
      PriorityQueue<Candidate> known = cachedOnly ? stopsCached : stopsAny;
      if (known != null && !zoned) {
        return known;
      }
      List<Candidate> all = new ArrayList<>();
      for (Room room : rooms) {
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

    private Candidate stopsOn(Room room, boolean cachedOnly) {
      if ((cachedOnly && !room.hasImage(spec)) || !allowed(spec, zones, room.host)) {
        return null;
      }
      List<Snapshot.Running> victims = victims(need, room);
      if (victims == null) {
        return null;
      }
      double lost = 0;
      for (Snapshot.Running v : victims) {
        lost += v.runS(snapshot.nowMs()) * Math.max(1, v.cpus());
      }
      return new Candidate(lost + 100 * score(need, room), room, room.version, victims);
    }
  }

  private final Snapshot snapshot;
  private final List<Room> rooms;
  private final Map<String, Snapshot.Use> teams;
  private final List<Plan.Start> starts = new ArrayList<>();
  private final List<Snapshot.Running> stops = new ArrayList<>();
  private final List<Plan.Unplaced> unplaced = new ArrayList<>();
  private final Set<Snapshot.Running> stopped = Collections.newSetFromMap(new IdentityHashMap<>());
  private final BitSet coming = new BitSet();
  private final Set<Shape> full = new HashSet<>();
  private final Set<Claim> hopeless = new HashSet<>();
  private final Set<Patience> vain = new HashSet<>();
  private final int mostHolds;
  private int holds;
  private final int[] stoppable = new int[Priority.values().length];

  private Planner(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.teams = new HashMap<>(snapshot.teams());
    this.rooms = new ArrayList<>(snapshot.hosts().size());
    this.mostHolds = mostHolds(snapshot);
    for (Snapshot.Host host : snapshot.hosts()) {
      Room room = new Room(host, rooms.size());
      rooms.add(room);
      for (Snapshot.Running r : host.running()) {
        if (r.stopping()) {
          room.coming(r);
        } else {
          stoppable[r.priority().ordinal()]++;
        }
      }
      coming.set(room.index, room.isComing());
    }
  }

  /** How many machines may be kept free at once for tasks that wait for them, of a snapshot's. */
  static int mostHolds(Snapshot snapshot) {
    return Math.max(1, (int) (snapshot.hosts().size() * Constants.HOLDS_SHARE));
  }

  /** Plans one round. */
  public static Plan plan(Snapshot snapshot) {
    Planner planner = new Planner(snapshot);
    planner.run();
    return new Plan(planner.starts, planner.stops, planner.unplaced);
  }

  private void run() {
    List<Snapshot.Need> needs = new ArrayList<>(snapshot.needs());
    needs.sort(ORDER);
    for (Snapshot.Need need : needs) {
      place(need);
    }
  }

  private void place(Snapshot.Need need) {
    Search search = new Search(need);
    JobSpec spec = need.spec();
    int missing = 0;
    boolean cachedHopeless = false;
    boolean anyHopeless = false;
    for (int task : need.tasks()) {
      Snapshot.Use use = teams.get(spec.team());
      if (use == null || !use.allows(spec.cpus(), spec.cards())) {
        break;
      }
      // A task without a place yet is counted too: rooms asked for must not exceed the cap.
      teams.put(spec.team(), use.plus(spec.cpus(), spec.cards()));
      if (starts.size() >= snapshot.mostStarts()) {
        missing++;
        continue;
      }
      Room best = missing == 0 ? search.best() : null;
      if (best != null && spec.service() && !cachedHopeless && fetchSeconds(spec, best) > 1) {
        if (search.makeCachedRoom()) {
          // Less urgent work leaves a machine that has the image: sooner than fetching it here.
          continue;
        }
        cachedHopeless = true;
      }
      if (best != null) {
        search.take(best);
        starts.add(new Plan.Start(spec, task, best.host.name()));
      } else {
        missing++;
        anyHopeless = anyHopeless || !search.awaitRoom();
      }
    }
    if (missing > 0) {
      unplaced.add(new Plan.Unplaced(spec, missing));
    }
  }

  private static Candidate newest(PriorityQueue<Candidate> queue) {
    while (!queue.isEmpty() && queue.peek().version != queue.peek().room.version) {
      queue.poll();
    }
    return queue.peek();
  }

  /** True if the job's own rules let a task of it start there now. */
  static boolean allowed(JobSpec spec, Map<String, Integer> zones, Snapshot.Host host) {
    if (spec.types() != null && !spec.types().contains(host.type())) {
      return false;
    }
    if (spec.zone() != null && !spec.zone().equals(host.zone())) {
      return false;
    }
    if (host.spot() && !spec.spotAllowed()) {
      return false;
    }
    if ((spec.onePlace() || spec.apart()) && zones.getOrDefault(Snapshot.UNKNOWN_ZONE, 0) > 0) {
      // It may be in any zone: neither rule can be kept for sure until the machine is heard.
      return false;
    }
    if (spec.onePlace()) {
      for (Map.Entry<String, Integer> e : zones.entrySet()) {
        if (e.getValue() > 0 && !e.getKey().equals(host.zone())) {
          return false;
        }
      }
    }
    return !spec.apart() || zones.getOrDefault(host.zone(), 0) + 1 <= (spec.tasks() + 1) / 2;
  }

  private static double fetchSeconds(JobSpec spec, Room room) {
    if (room.hasImage(spec)) {
      return 0;
    }
    double alone = spec.imageGb() / Math.max(0.01, room.host.fetchGbPerS());
    return room.fetching().contains(spec.image())
        ? alone * (spec.service() ? 1 : Constants.FETCH_LEFT)
        : alone * (1 + room.fetching().size());
  }

  /**
   * Lower is better: seconds until the task would run, then how empty the machine would be left.
   */
  private static double score(Snapshot.Need need, Room room) {
    JobSpec spec = need.spec();
    double fetch = fetchSeconds(spec, room);
    double left = (room.cpus - spec.cpus()) / Math.max(1, room.host.cpusTotal());
    if (spec.service()) {
      // A replica that must wait for its image anyway brings it to a machine with few others: one
      // death then costs little, and later replicas find the image on machines with room.
      int crowd = room.crowd(spec.jobClass());
      return room.hasImage(spec)
          ? crowd * Constants.CROWD_CACHED + left
          : Constants.NOT_CACHED + fetch + crowd + left;
    }
    double spot = room.host.spot() ? -0.5 : 0;
    return fetch * (need.waitMatters() ? 10 : 1) + left + spot;
  }

  /**
   * When a task would fit if nothing else were started there, seconds; infinite if not within
   * {@code mostS}.
   */
  private double freeInS(JobSpec spec, Room room, double mostS) {
    double cpus = room.cpus + room.comingCpus;
    double cards = room.cards + room.comingCards;
    double mem = room.memGb + room.comingMemGb;
    double inS = 0;
    for (Snapshot.Running r : room.byEnd(snapshot.nowMs())) {
      if (enough(spec, cpus, cards, mem)) {
        return inS;
      }
      if (stopped.contains(r)) {
        continue;
      }
      inS = r.leftS(snapshot.nowMs());
      if (inS > mostS) {
        return Double.POSITIVE_INFINITY;
      }
      cpus += r.cpus();
      cards += r.cards();
      mem += r.memGb();
    }
    return enough(spec, cpus, cards, mem) ? inS : Double.POSITIVE_INFINITY;
  }

  private List<Snapshot.Running> victims(Snapshot.Need need, Room room) {
    JobSpec spec = need.spec();
    List<Snapshot.Running> candidates = new ArrayList<>();
    for (Snapshot.Running r : room.host.running()) {
      if (!r.stopping()
          && mayStop(need, r)
          && !stopped.contains(r)
          && !snapshot.kept().contains(r.attempt())) {
        candidates.add(r);
      }
    }
    if (candidates.isEmpty()) {
      return null;
    }
    candidates.sort(
        Comparator.<Snapshot.Running>comparingInt(r -> -r.priority().ordinal())
            .thenComparingDouble(r -> r.runS(snapshot.nowMs())));
    double cpus = room.cpus + room.comingCpus;
    double cards = room.cards + room.comingCards;
    double mem = room.memGb + room.comingMemGb;
    List<Snapshot.Running> victims = new ArrayList<>();
    for (Snapshot.Running r : candidates) {
      if (enough(spec, cpus, cards, mem)) {
        break;
      }
      victims.add(r);
      cpus += r.cpus();
      cards += r.cards();
      mem += r.memGb();
    }
    return enough(spec, cpus, cards, mem) && !victims.isEmpty() ? victims : null;
  }

  private static boolean enough(JobSpec spec, double cpus, double cards, double memGb) {
    return spec.cpus() <= cpus + Constants.EPSILON
        && spec.cards() <= cards + Constants.EPSILON
        && spec.memGb() <= memGb + Constants.EPSILON;
  }

  /** False if no running work anywhere comes later than the need. */
  private boolean anyToStop(Snapshot.Need need) {
    int rank = need.stopsAs().ordinal();
    for (int i = need.withinGuarantee() ? rank : rank + 1; i < stoppable.length; i++) {
      if (stoppable[i] > 0) {
        return true;
      }
    }
    return false;
  }

  /**
   * Only work that comes later in the order of placement may be stopped. A guarantee once stopped
   * borrowed work of higher priority, which took the room back in the next round, over and over.
   */
  private boolean mayStop(Snapshot.Need need, Snapshot.Running r) {
    int order = r.priority().compareTo(need.stopsAs());
    if (order != 0) {
      return order > 0;
    }
    return need.withinGuarantee()
        && !snapshot.guaranteed().contains(r.spec().id())
        && !r.spec().team().equals(need.spec().team());
  }
}
