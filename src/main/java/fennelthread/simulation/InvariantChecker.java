package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

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
  private final Set<String> invalid = new HashSet<>();
  private final Map<String, Long> doneTasksTold = new HashMap<>();
  private final PriorityQueue<GoneBy> goneBy =
      new PriorityQueue<>(Comparator.comparingLong(GoneBy::at));
  private final TaskPresence presence = new TaskPresence();
  private final PlacementRules placement;
  private final WaitingRule waiting;
  private final ServedRule served = new ServedRule();
  private List<MachineType> types;
  private final Map<String, Long> acceptedAt = new HashMap<>();
  private final Map<String, Long> begunAt = new HashMap<>();
  private final Map<String, Long> unanswered = new HashMap<>();
  private long calmSince = Long.MAX_VALUE / 2;
  private long sampledAt;
  int starts;

  /** Starts of tasks that had completed: no rule forbids them, but they are work done twice. */
  int startsAfterDone;

  /** Tells whether counts of done tasks that users are told must not fall at the moment. */
  BooleanSupplier countsMustNotFall = () -> true;

  /** Starts of jobs that a user had been told are cancelled: allowed for so long, but unwanted. */
  int startsAfterCancel;

  /** When all tasks of a cancelled job must be gone. */
  private record GoneBy(long at, String id) {}

  InvariantChecker(SimulatedNetwork world, Settings settings) {
    this.world = world;
    this.settings = settings;
    placement = new PlacementRules(presence, settings);
    waiting = new WaitingRule(presence, placement);
  }

  /** Says what the cloud offers and which machines there are; the rules on both hold from then. */
  void watch(List<MachineType> offered, Supplier<Collection<WorkerEmulator>> machines) {
    types = offered;
    waiting.watch(machines);
  }

  private void broken(String rule, String what) {
    throw new AssertionError("t=" + world.now() + " " + rule + ": " + what);
  }

  void recordSubmission(JobSpec spec) {
    submitted.put(spec.id(), spec);
    Set<String> before = new HashSet<>(spec.dependencies());
    spec.dependencies()
        .forEach(dependency -> before.addAll(ancestors.getOrDefault(dependency, Set.of())));
    ancestors.put(spec.id(), before);
  }

  /** A user submits something that can't run or lacks a field: it must never be accepted. */
  void recordInvalidSubmission(String id) {
    invalid.add(id);
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

  void recordCancelRequest(String id) {
    cancelAsked.add(id);
  }

  boolean isCancelAsked(String id) {
    return cancelAsked.contains(id);
  }

  boolean isDoneTold(String id) {
    return doneTold.contains(id);
  }

  /** A copy of the numbers of a job's completed tasks. */
  BitSet completedTasks(String id) {
    return presence.completed(id);
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

  /** Which tasks are where, and which have completed. */
  TaskPresence taskPresence() {
    return presence;
  }

  boolean allCompleted(String id) {
    return presence.allCompleted(submitted.get(id));
  }

  boolean isOn(String id, WorkerEmulator worker) {
    return presence.machineOf().entrySet().stream()
        .anyMatch(e -> e.getKey().startsWith(id + "/") && e.getValue() == worker);
  }

  /** What teams use at the moment, and what of it are services, CPUs. */
  String describeUsage() {
    StringBuilder text = new StringBuilder();
    settings
        .teams()
        .keySet()
        .forEach(
            team -> text.append(team).append(' ').append(presence.usedBy(team).cpus).append(' '));
    Map<String, Double> services = new HashMap<>();
    presence
        .machineOf()
        .forEach(
            (task, w) -> {
              JobSpec spec = submitted.get(task.substring(0, task.indexOf('/')));
              if (spec.service()) {
                services.merge(spec.team(), spec.cpus(), Double::sum);
              }
            });
    return text + "services " + services;
  }

  /** The tasks that are on machines, each with its machine's name: {@code job/0@n-1}. */
  Set<String> tasksOnMachines() {
    Set<String> present = new HashSet<>();
    presence.machineOf().forEach((task, w) -> present.add(task + "@" + w.name()));
    return present;
  }

  /** How many tasks are on machines. */
  int running() {
    return presence.machineOf().size();
  }

  int running(String id) {
    return presence.running(id);
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
        served.sample(spec, running(spec.id()));
      }
    }
    if (world.now() > calmSince) {
      checkWaiting();
    }
  }

  private void checkWaiting() {
    for (String id : acceptedAt.keySet()) {
      JobSpec spec = submitted.get(id);
      if (isUnwanted(id)
          || isOver(id)
          || !spec.dependencies().stream().allMatch(this::allCompleted)) {
        waiting.excuse(id);
        continue;
      }
      String breach = waiting.check(spec, world.now());
      if (breach != null) {
        broken("waiting", breach);
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
    List<ServedRule.Job> counted = new ArrayList<>();
    acceptedAt.forEach(
        (id, at) -> {
          if (!isUnwanted(id)) {
            counted.add(new ServedRule.Job(submitted.get(id), at, allCompleted(id)));
            checkBegun(submitted.get(id));
          }
        });
    String unserved = served.check(counted, world.now() - settleMs);
    if (unserved != null) {
      broken("unserved", unserved);
    }
  }

  /** True if its user gave it up, or one that it needs. */
  private boolean isUnwanted(String id) {
    return cancelAsked.contains(id) || ancestors(id).stream().anyMatch(cancelAsked::contains);
  }

  private void checkBegun(JobSpec spec) {
    long accepted = acceptedAt.get(spec.id());
    long begun = begunAt.getOrDefault(spec.id(), world.now());
    if (spec.dependencies().isEmpty()
        && begun - accepted > SimulationConstants.MAX_FIRST_START_MS) {
      broken("unserved", spec.id() + " did not begin for " + (begun - accepted) + " ms");
    }
  }

  /** A user asks about a job, and may get no answer. */
  void recordQuery(String id) {
    unanswered.putIfAbsent(id, world.now());
  }

  /** From now on nothing fails any more: whoever is asked has to answer. */
  void recordEndOfFaults() {
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
          if (world.now() - from > SimulationConstants.MAX_UNANSWERED_MS
              && accepted.contains(id)
              && !isUnwanted(id)) {
            broken("forgotten", id + " without an answer since " + from);
          }
        });
  }

  void recordTaskStart(WorkerEmulator w, JobSpec spec, int index) {
    starts++;
    begunAt.putIfAbsent(spec.id(), world.now());
    String task = spec.id() + "/" + index;
    startsAfterDone += presence.isCompleted(spec.id(), index) ? 1 : 0;
    waiting.starts(spec.id());
    WorkerEmulator other = presence.add(w, spec, index);
    if (other != null) {
      broken("ran_twice", task + " starts on " + w.name() + " while on " + other.name());
    }
    if (placement.isOverLimit(spec)) {
      TaskPresence.Amount used = presence.usedBy(spec.team());
      broken("quota", spec.team() + " uses " + used.cpus + " CPUs, " + used.cards + " cards");
    }
    if (!PlacementRules.isAllowed(spec, w)) {
      broken("wrong_place", task + " on " + w.name() + ", not a machine that its job allows");
    }
    if (spec.sameZone() && presence.zonesOf(spec.id()).size() > 1) {
      broken("wrong_place", task + " not in its job's zone");
    }
    if (spec.spreadAcrossZones()
        && presence.running(spec.id(), w.zone()) > PlacementRules.mostInOneZone(spec)) {
      broken("wrong_place", task + " crowds zone " + w.zone());
    }
    for (String dependency : spec.dependencies()) {
      if (!allCompleted(dependency)) {
        broken("too_early", task + " starts before " + dependency + " is done");
      }
    }
    Long told = cancelTold.get(spec.id());
    startsAfterCancel += told == null ? 0 : 1;
    if (told != null && world.now() > told + settings.workers().cancelMs()) {
      broken("ran_cancelled", task + " starts");
    }
  }

  void recordTaskEnd(WorkerEmulator w, JobSpec spec, int index, boolean done) {
    presence.remove(w, spec, index, done);
  }

  /** Checked after every event. */
  void check() {
    sample();
    while (!goneBy.isEmpty() && goneBy.peek().at < world.now()) {
      String id = goneBy.poll().id;
      // Whatever starts from now on, begins() finds: together they bound all later times.
      if (running(id) > 0) {
        broken("ran_cancelled", id + " is still on a machine");
      }
    }
  }

  /** What a user knows of a job when asking: answers to earlier questions may be older. */
  record UserKnowledge(
      boolean accepted, boolean done, boolean cancelled, boolean orphan, long doneTasks) {

    /** True if something was told for the first time since then. */
    boolean isNewsAfter(UserKnowledge then) {
      return accepted != then.accepted || done != then.done || cancelled != then.cancelled;
    }
  }

  UserKnowledge userKnowledge(String id) {
    return new UserKnowledge(
        accepted.contains(id),
        doneTold.contains(id),
        cancelTold.containsKey(id),
        isOrphan(id),
        doneTasksTold.getOrDefault(id, 0L));
  }

  /** The same for an answer without a count of completed tasks. */
  void recordAnswer(String id, String state, UserKnowledge before) {
    recordAnswer(id, state, -1, before);
  }

  /**
   * A user was answered with 200 or 201 for a submission, a question or a cancellation.
   *
   * @param doneTasks how many tasks were called done, less than 0 if the answer says nothing of it
   * @param before what users knew when the request was sent
   */
  void recordAnswer(String id, String state, long doneTasks, UserKnowledge before) {
    if (invalid.contains(id)) {
      broken("accepted_invalid", id);
    }
    if (!submitted.containsKey(id)) {
      broken("invented", id);
    }
    if (types != null && !placement.canRun(submitted.get(id), types)) {
      broken("accepted_invalid", id + " can never run");
    }
    unanswered.remove(id);
    accepted.add(id);
    checkCount(id, state, doneTasks, before);
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
        goneBy.add(new GoneBy(world.now() + settings.workers().cancelMs(), id));
      }
    }
    if (state.equals("done")) {
      if (!allCompleted(id)) {
        broken("not_done", id);
      }
      doneTold.add(id);
    }
  }

  private void checkCount(String id, String state, long doneTasks, UserKnowledge before) {
    if (doneTasks < 0) {
      return;
    }
    if (countsMustNotFall.getAsBoolean() && doneTasks < before.doneTasks) {
      broken(
          "went_back",
          id + " from " + before.doneTasks + " tasks done to " + doneTasks + ", " + state);
    }
    doneTasksTold.merge(id, doneTasks, Math::max);
  }

  /** A user was answered with another status. */
  void recordRefusal(String id, int status, UserKnowledge before) {
    if (before.accepted && (status == 404 || status == 400 || status == 422)) {
      broken("forgotten", id + " gets " + status);
    }
  }
}
