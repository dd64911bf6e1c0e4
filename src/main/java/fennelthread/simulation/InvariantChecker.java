package fennelthread.simulation;

import fennelthread.Constants;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The protocol's rules, checked from outside: this knows only what happened on machines and what
 * users were told, nothing of what controllers think.
 */
final class InvariantChecker {
  private final SimulatedNetwork world;
  private final Settings settings;
  private final Map<String, JobSpec> submitted = new HashMap<>();
  private final Map<String, Set<String>> ancestors = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  private final Set<String> cancelAsked = new HashSet<>();
  private final Map<String, Long> cancelTold = new HashMap<>();
  private final Map<String, Integer> ranWhenCancelled = new HashMap<>();
  private final Set<String> doneTold = new HashSet<>();
  private final Map<String, BitSet> completed = new HashMap<>();
  private final Map<String, WorkerEmulator> where = new HashMap<>();
  private final Map<String, double[]> teams = new HashMap<>();
  private final Map<String, Map<String, Integer>> zones = new HashMap<>();
  private final Map<String, Integer> present = new HashMap<>();
  private final Map<String, Long> acceptedAt = new HashMap<>();
  private final Map<String, Long> begunAt = new HashMap<>();
  private final Map<String, long[]> replicas = new HashMap<>();
  private final Map<String, Long> unanswered = new HashMap<>();
  private long calmSince = Long.MAX_VALUE / 2;
  private long sampledAt;
  int starts;

  /** Starts of tasks that had completed: no rule forbids them, but they are work done twice. */
  int startsAfterDone;

  /** What a class of jobs, or of a team's, was to have, and what it had. */
  private static final class Served {
    long replicasWanted;
    long replicasUp;
    long jobsWanted;
    long jobsDone;

    double share() {
      double replicas = replicasWanted == 0 ? 1 : replicasUp / (double) replicasWanted;
      double jobs = jobsWanted == 0 ? 1 : jobsDone / (double) jobsWanted;
      return Math.min(replicas, jobs);
    }
  }

  InvariantChecker(SimulatedNetwork world, Settings settings) {
    this.world = world;
    this.settings = settings;
  }

  private void broken(String rule, String what) {
    throw new AssertionError("t=" + world.now() + " " + rule + ": " + what);
  }

  void submits(JobSpec spec) {
    submitted.put(spec.id(), spec);
    Set<String> before = new HashSet<>(spec.needs());
    spec.needs().forEach(need -> before.addAll(ancestors.getOrDefault(need, Set.of())));
    ancestors.put(spec.id(), before);
  }

  /** The jobs that this one needs, directly or through others. */
  private Set<String> ancestors(String id) {
    return ancestors.getOrDefault(id, Set.of());
  }

  /** True if a user was told so long ago that a job before this one is cancelled. */
  private boolean isOrphan(String id) {
    for (String before : ancestors(id)) {
      Long told = cancelTold.get(before);
      if (told != null && world.now() > told + settings.workers().cancelMs()) {
        return true;
      }
    }
    return false;
  }

  void asksToCancel(String id) {
    cancelAsked.add(id);
  }

  JobSpec job(String id) {
    return submitted.get(id);
  }

  boolean isAccepted(String id) {
    return accepted.contains(id);
  }

  boolean isOver(String id) {
    return doneTold.contains(id) || cancelTold.containsKey(id);
  }

  /** How many tasks of a job were on machines when a user was first told that it is cancelled. */
  int ranWhenCancelled(String id) {
    return ranWhenCancelled.getOrDefault(id, 0);
  }

  /** When a user was first told that a job is cancelled, or -1. */
  long cancelledAt(String id) {
    return cancelTold.getOrDefault(id, -1L);
  }

  boolean allCompleted(String id) {
    BitSet done = completed.get(id);
    return done != null && done.cardinality() == submitted.get(id).tasks();
  }

  boolean isOn(String id, WorkerEmulator worker) {
    return where.entrySet().stream()
        .anyMatch(e -> e.getKey().startsWith(id + "/") && e.getValue() == worker);
  }

  /** What teams use at the moment, and what of it are services, CPUs. */
  String usage() {
    StringBuilder text = new StringBuilder();
    teams.forEach((team, used) -> text.append(team).append(' ').append(used[0]).append(' '));
    Map<String, Double> services = new HashMap<>();
    where.forEach(
        (task, w) -> {
          JobSpec spec = submitted.get(task.substring(0, task.indexOf('/')));
          if (spec.service()) {
            services.merge(spec.team(), spec.cpus(), Double::sum);
          }
        });
    return text + "services " + services;
  }

  /** The tasks that are on machines, each with its machine's name: {@code job/0@n-1}. */
  Set<String> present() {
    Set<String> present = new HashSet<>();
    where.forEach((task, w) -> present.add(task + "@" + w.name()));
    return present;
  }

  /** How many tasks are on machines. */
  int running() {
    return where.size();
  }

  int running(String id) {
    return present.getOrDefault(id, 0);
  }

  /**
   * Replicas that should be up and are, looked at twice a second; from 20 s after a service's
   * acceptance.
   */
  private void sample() {
    if (world.now() < sampledAt + 500) {
      return;
    }
    sampledAt = world.now();
    checkAnswered();
    for (Map.Entry<String, Long> e : acceptedAt.entrySet()) {
      JobSpec spec = submitted.get(e.getKey());
      if (spec.service()
          && !cancelAsked.contains(spec.id())
          && world.now() > e.getValue() + 20_000) {
        long[] up = replicas.computeIfAbsent(spec.id(), k -> new long[2]);
        up[0] += spec.tasks();
        up[1] += Math.min(spec.tasks(), running(spec.id()));
      }
    }
  }

  /**
   * The rule of the operators' page on whole days: at least half is served of each class of jobs,
   * of each team, and of the largest jobs of a class, replicas by time and arrays by jobs that are
   * complete, those apart that were accepted in the last minutes; and each job has begun four
   * minutes after it was accepted. Largest are those that ask for as much as the tenth part of a
   * class's jobs that ask for most, one at least.
   *
   * @param settleMs how long before now an array must have been accepted to count, ms
   */
  void checkServed(long settleMs) {
    Map<String, Served> shares = new TreeMap<>();
    Map<String, List<JobSpec>> byClass = new TreeMap<>();
    for (String id : acceptedAt.keySet()) {
      if (!isUnwanted(id)) {
        byClass
            .computeIfAbsent(submitted.get(id).jobClass(), k -> new ArrayList<>())
            .add(submitted.get(id));
      }
    }
    byClass.forEach(
        (jobClass, specs) -> {
          specs.sort(Comparator.comparingDouble(InvariantChecker::asked).reversed());
          double large =
              asked(specs.get((int) Math.ceil(specs.size() * Constants.LARGEST_SHARE) - 1));
          for (JobSpec spec : specs) {
            count(shares.computeIfAbsent("class " + jobClass, k -> new Served()), spec, settleMs);
            count(shares.computeIfAbsent("team " + spec.team(), k -> new Served()), spec, settleMs);
            if (asked(spec) >= large) {
              count(
                  shares.computeIfAbsent("largest of " + jobClass, k -> new Served()),
                  spec,
                  settleMs);
            }
            checkBegun(spec);
          }
        });
    shares.forEach(
        (what, s) -> {
          if (s.share() < 0.5) {
            broken("unserved", what + " " + s.share());
          }
        });
  }

  private static double asked(JobSpec spec) {
    return spec.tasks() * spec.cpus();
  }

  /** True if its user gave it up, or one that it needs. */
  private boolean isUnwanted(String id) {
    return cancelAsked.contains(id) || ancestors(id).stream().anyMatch(cancelAsked::contains);
  }

  private void count(Served s, JobSpec spec, long settleMs) {
    if (spec.service()) {
      long[] up = replicas.getOrDefault(spec.id(), new long[2]);
      s.replicasWanted += up[0];
      s.replicasUp += up[1];
    } else if (acceptedAt.get(spec.id()) < world.now() - settleMs) {
      s.jobsWanted++;
      s.jobsDone += allCompleted(spec.id()) ? 1 : 0;
    }
  }

  private void checkBegun(JobSpec spec) {
    long accepted = acceptedAt.get(spec.id());
    long begun = begunAt.getOrDefault(spec.id(), world.now());
    if (spec.needs().isEmpty() && begun - accepted > Constants.BEGUN_WITHIN_MS) {
      broken("unserved", spec.id() + " did not begin for " + (begun - accepted) + " ms");
    }
  }

  /** A user asks about a job, and may get no answer. */
  void asks(String id) {
    unanswered.putIfAbsent(id, world.now());
  }

  /** From now on nothing fails any more: whoever is asked has to answer. */
  void troublesAreOver() {
    calmSince = world.now();
  }

  /**
   * The operators' rule: once all troubles are over a job about which no question is answered for
   * 75 s is forgotten, however others fare. Ours is stricter, since nothing takes that long.
   */
  private void checkAnswered() {
    unanswered.forEach(
        (id, since) -> {
          long from = Math.max(since, calmSince);
          if (world.now() - from > Constants.ANSWERED_WITHIN_MS
              && accepted.contains(id)
              && !isUnwanted(id)) {
            broken("forgotten", id + " without an answer since " + from);
          }
        });
  }

  void begins(WorkerEmulator w, JobSpec spec, int index) {
    starts++;
    begunAt.putIfAbsent(spec.id(), world.now());
    String task = spec.id() + "/" + index;
    BitSet done = completed.get(spec.id());
    startsAfterDone += done != null && done.get(index) ? 1 : 0;
    WorkerEmulator other = where.put(task, w);
    if (other != null) {
      broken("ran_twice", task + " starts on " + w.name() + " while on " + other.name());
    }
    present.merge(spec.id(), 1, Integer::sum);
    Settings.Team team = settings.teams().get(spec.team());
    double[] used = teams.computeIfAbsent(spec.team(), k -> new double[2]);
    used[0] += spec.cpus();
    used[1] += spec.cards();
    if (team.cpusMax() > 0 && used[0] > team.cpusMax() + 1e-6) {
      broken("quota", spec.team() + " uses " + used[0]);
    }
    if (team.cardsMax() > 0 && used[1] > team.cardsMax() + 1e-6) {
      broken("quota", spec.team() + " uses cards " + used[1]);
    }
    if (spec.types() != null && !spec.types().contains(w.flavor().name())) {
      broken("wrong_place", task + " on type " + w.flavor().name());
    }
    if (spec.zone() != null && !spec.zone().equals(w.zone())) {
      broken("wrong_place", task + " in zone " + w.zone());
    }
    if (w.spot() && !spec.spotAllowed()) {
      broken("wrong_place", task + " on a spot machine");
    }
    Map<String, Integer> at = zones.computeIfAbsent(spec.id(), k -> new HashMap<>());
    at.merge(w.zone(), 1, Integer::sum);
    if (spec.onePlace() && at.values().stream().filter(n -> n > 0).count() > 1) {
      broken("wrong_place", task + " not in its job's zone");
    }
    if (spec.apart() && at.get(w.zone()) > (spec.tasks() + 1) / 2) {
      broken("wrong_place", task + " crowds zone " + w.zone());
    }
    for (String need : spec.needs()) {
      if (!allCompleted(need)) {
        broken("too_early", task + " starts before " + need + " is done");
      }
    }
    Long told = cancelTold.get(spec.id());
    if (told != null && world.now() > told + settings.workers().cancelMs()) {
      broken("ran_cancelled", task + " starts");
    }
  }

  void ends(WorkerEmulator w, JobSpec spec, int index, boolean done) {
    String task = spec.id() + "/" + index;
    where.remove(task);
    present.merge(spec.id(), -1, Integer::sum);
    double[] used = teams.get(spec.team());
    used[0] -= spec.cpus();
    used[1] -= spec.cards();
    zones.get(spec.id()).merge(w.zone(), -1, Integer::sum);
    if (done) {
      completed.computeIfAbsent(spec.id(), k -> new BitSet()).set(index);
    }
  }

  /** Checked after every event. */
  void check() {
    sample();
    for (Map.Entry<String, Long> e : cancelTold.entrySet()) {
      if (world.now() > e.getValue() + settings.workers().cancelMs()
          && world.now() < e.getValue() + settings.workers().cancelMs() + 2_000
          && running(e.getKey()) > 0) {
        broken("ran_cancelled", e.getKey() + " is still on a machine");
      }
    }
  }

  /** What a user knows of a job when asking: answers to earlier questions may be older. */
  record Known(boolean accepted, boolean done, boolean cancelled, boolean orphan) {}

  Known known(String id) {
    return new Known(
        accepted.contains(id), doneTold.contains(id), cancelTold.containsKey(id), isOrphan(id));
  }

  /** A user was answered with 200 or 201 for a submission, a question or a withdrawal. */
  void told(String id, String state, Known before) {
    if (!submitted.containsKey(id)) {
      broken("invented", id);
    }
    unanswered.remove(id);
    accepted.add(id);
    acceptedAt.putIfAbsent(id, world.now());
    if (before.orphan && (state.equals("pending") || state.equals("running"))) {
      broken("orphaned", id + " is called " + state);
    }
    if (before.done && !state.equals("done")) {
      broken("went_back", id + " from done to " + state);
    }
    if (before.cancelled && !state.equals("withdrawn")) {
      broken("went_back", id + " from withdrawn to " + state);
    }
    if (state.equals("withdrawn")) {
      if (!cancelAsked.contains(id) && ancestors(id).stream().noneMatch(cancelAsked::contains)) {
        broken("went_back", id + " withdrawn by nobody");
      }
      if (cancelTold.putIfAbsent(id, world.now()) == null) {
        ranWhenCancelled.put(id, running(id));
      }
    }
    if (state.equals("done")) {
      if (!allCompleted(id)) {
        broken("not_done", id);
      }
      doneTold.add(id);
    }
  }

  /** A user was answered with another status. */
  void refused(String id, int status, Known before) {
    if (before.accepted && (status == 404 || status == 400 || status == 422)) {
      broken("forgotten", id + " gets " + status);
    }
  }
}
