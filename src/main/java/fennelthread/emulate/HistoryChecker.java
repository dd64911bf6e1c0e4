package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.emulate.EmulatedCloud.MachineId;
import fennelthread.emulate.HistoryEvent.AsksToCancel;
import fennelthread.emulate.HistoryEvent.Began;
import fennelthread.emulate.HistoryEvent.Ended;
import fennelthread.emulate.HistoryEvent.Known;
import fennelthread.emulate.HistoryEvent.ProcessDied;
import fennelthread.emulate.HistoryEvent.Refused;
import fennelthread.emulate.HistoryEvent.Submits;
import fennelthread.emulate.HistoryEvent.Told;
import fennelthread.emulate.HistoryEvent.Unanswered;
import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.JobState;
import fennelthread.wire.TaskRef;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * The protocol's rules, checked over a run's whole history from outside: this knows what happened
 * on machines and what users were told, nothing of what controllers think. A task counts as on its
 * machine from the start that the machine took, sooner than the rules ask. Used by one thread.
 */
final class HistoryChecker {
  /** A broken rule. */
  record Violation(String rule, double atS, String detail) {}

  /** What is known of a job. */
  private static final class Job {
    final JobSpec spec;
    final BitSet completed = new BitSet();
    final Map<String, Integer> byZone = new HashMap<>();
    int present;
    boolean accepted;
    boolean toldDone;
    boolean cancelAsked;
    long cancelledNanos;
    long unansweredSinceNanos;

    Job(JobSpec spec) {
      this.spec = spec;
    }

    boolean allCompleted() {
      return completed.cardinality() == spec.tasks();
    }
  }

  private record Deadline(long nanos, Job job) {}

  private final Map<String, Settings.Team> teams;
  private final long cancelNanos;
  private final Function<String, MachineId> machines;
  private final ToIntFunction<String> processOf;
  private final long startNanos;
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<TaskRef, String> where = new HashMap<>();
  private final Map<String, Set<TaskRef>> onMachine = new HashMap<>();
  private final Map<String, double[]> usage = new TreeMap<>();
  private final PriorityQueue<Deadline> cancelDeadlines =
      new PriorityQueue<>((a, b) -> Long.compare(a.nanos, b.nanos));
  private final List<Violation> violations = new ArrayList<>();
  private final Set<Job> unanswered = new HashSet<>();
  private long lastAnswerNanos;
  private int violationCount;
  private long starts;
  private long startsAfterDone;
  private long startsAfterCancel;
  private long answers;

  /**
   * Creates a checker.
   *
   * @param teams the teams with their limits
   * @param cancelMs within which a cancelled job's tasks must be gone, ms
   * @param machines finds a machine by its name
   * @param processOf finds the process that a machine runs in
   * @param startNanos the moment that times are counted from
   */
  HistoryChecker(
      Map<String, Settings.Team> teams,
      long cancelMs,
      Function<String, MachineId> machines,
      ToIntFunction<String> processOf,
      long startNanos) {
    this.teams = teams;
    this.cancelNanos = TimeUnit.MILLISECONDS.toNanos(cancelMs);
    this.machines = machines;
    this.processOf = processOf;
    this.startNanos = startNanos;
  }

  /** The first broken rules. */
  synchronized List<Violation> violations() {
    return List.copyOf(violations);
  }

  /** How many rules were broken, also those not listed. */
  synchronized int violationCount() {
    return violationCount;
  }

  /** What was checked. */
  record Counts(
      int jobs, long starts, long startsAfterDone, long startsAfterCancel, long answers) {}

  synchronized Counts counts() {
    return new Counts(jobs.size(), starts, startsAfterDone, startsAfterCancel, answers);
  }

  /** How many tasks are on machines. */
  synchronized int present() {
    return where.size();
  }

  /** The ids of accepted jobs. */
  synchronized List<String> acceptedJobs() {
    return jobs.values().stream().filter(j -> j.accepted).map(j -> j.spec.id()).toList();
  }

  /** At the end: a run in which nothing was started proves nothing. */
  synchronized void finish(long nanos) {
    advanceTo(nanos);
    if (starts == 0) {
      broken("nothing_ran", nanos, "no task was started");
    }
  }

  /** Takes that a controller ended which nobody had killed. */
  synchronized void controllerEnded(long nanos, String controller) {
    broken("controller_ended", nanos, controller + " ended by itself");
  }

  private void broken(String rule, long nanos, String detail) {
    violationCount++;
    if (violations.size() < EmulationConstants.MAX_VIOLATIONS_LISTED) {
      violations.add(new Violation(rule, (nanos - startNanos) * 1e-9, detail));
    }
  }

  /** Takes the next event in the order of time. */
  synchronized void accept(HistoryEvent event) {
    if (event instanceof Began e) {
      began(e);
    } else if (event instanceof Ended e) {
      ended(e.machine(), e.task(), e.completed());
    } else if (event instanceof ProcessDied e) {
      died(e);
    } else if (event instanceof Submits e) {
      jobs.put(e.job().id(), new Job(e.job()));
    } else if (event instanceof AsksToCancel e) {
      jobs.get(e.job()).cancelAsked = true;
    } else if (event instanceof Told e) {
      told(e);
    } else if (event instanceof Refused e) {
      refused(e);
    } else if (event instanceof Unanswered e) {
      unanswered(e);
    }
  }

  // ---------------------------------------------------------------- machines

  private void began(Began e) {
    starts++;
    Job job = jobs.get(e.task().job());
    MachineId machine = machines.apply(e.machine());
    if (job == null) {
      broken("invented", e.nanos(), e.task() + " starts, which nobody has submitted");
      return;
    }
    String other = where.put(e.task(), e.machine());
    if (other != null) {
      broken(
          "ran_twice",
          e.nanos(),
          e.task() + " starts on " + e.machine() + " while it is on " + other);
      take(job, e.task(), other);
    }
    onMachine.computeIfAbsent(e.machine(), k -> new HashSet<>()).add(e.task());
    job.present++;
    job.byZone.merge(machine.zone(), 1, Integer::sum);
    startsAfterDone += job.completed.get(e.task().index()) ? 1 : 0;
    checkQuota(e, job.spec);
    checkPlace(e, job, machine);
    checkCancelled(e, job);
  }

  private void checkQuota(Began e, JobSpec spec) {
    Settings.Team team = teams.get(spec.team());
    double[] used = usage.computeIfAbsent(spec.team(), k -> new double[2]);
    used[0] += spec.cpus();
    used[1] += spec.cards();
    boolean tooManyCpus =
        team.cpusMax() > 0 && used[0] > team.cpusMax() + EmulationConstants.ROUNDING_TOLERANCE;
    boolean tooManyCards =
        team.cardsMax() > 0 && used[1] > team.cardsMax() + EmulationConstants.ROUNDING_TOLERANCE;
    if (tooManyCpus || tooManyCards) {
      broken(
          "quota",
          e.nanos(),
          String.format(
              "%s uses %.2f CPUs of %.2f, %.2f cards of %.2f",
              team.name(), used[0], team.cpusMax(), used[1], team.cardsMax()));
    }
  }

  private void checkPlace(Began e, Job job, MachineId machine) {
    JobSpec spec = job.spec;
    long zonesUsed = job.byZone.values().stream().filter(n -> n > 0).count();
    String wrong = null;
    if (spec.types() != null && !spec.types().contains(machine.type().name())) {
      wrong = "type " + machine.type().name();
    } else if (spec.zone() != null && !spec.zone().equals(machine.zone())) {
      wrong = "zone " + machine.zone();
    } else if (machine.spot() && !spec.spotAllowed()) {
      wrong = "a spot machine";
    } else if (spec.sameZone() && zonesUsed > 1) {
      wrong = "another zone than its job's other tasks";
    } else if (spec.spreadAcrossZones()
        && job.byZone.get(machine.zone()) > (spec.tasks() + 1) / 2) {
      wrong = "zone " + machine.zone() + " with more than half of its job's tasks";
    }
    if (wrong != null) {
      broken("wrong_place", e.nanos(), e.task() + " on " + wrong);
    }
  }

  private void checkCancelled(Began e, Job job) {
    if (job.cancelledNanos != 0) {
      startsAfterCancel++;
      if (e.nanos() > job.cancelledNanos + cancelNanos) {
        broken("ran_cancelled", e.nanos(), e.task() + " starts long after its cancellation");
      }
    }
  }

  private void ended(String machine, TaskRef task, boolean completed) {
    Job job = jobs.get(task.job());
    if (job == null) {
      return;
    }
    if (completed) {
      job.completed.set(task.index());
    }
    if (where.remove(task, machine)) {
      take(job, task, machine);
    }
  }

  /** A task no longer counts on a machine. */
  private void take(Job job, TaskRef task, String machine) {
    onMachine.get(machine).remove(task);
    job.present--;
    job.byZone.merge(machines.apply(machine).zone(), -1, Integer::sum);
    double[] used = usage.get(job.spec.team());
    used[0] -= job.spec.cpus();
    used[1] -= job.spec.cards();
  }

  private void died(ProcessDied e) {
    onMachine.forEach(
        (machine, tasks) -> {
          if (processOf.applyAsInt(machine) == e.process()) {
            for (TaskRef task : List.copyOf(tasks)) {
              ended(machine, task, false);
            }
          }
        });
  }

  // ---------------------------------------------------------------- users

  private void told(Told e) {
    answers++;
    lastAnswerNanos = e.nanos();
    Job job = jobs.get(e.job());
    if (job == null) {
      broken("invented", e.nanos(), e.job() + " is called " + e.state());
      return;
    }
    unanswered.remove(job);
    job.unansweredSinceNanos = 0;
    job.accepted = true;
    Known before = e.before();
    boolean done = e.state().equals(JobState.DONE.wireName());
    boolean cancelled = e.state().equals(JobState.CANCELLED.wireName());
    if ((before.done() && !done) || (before.cancelled() && !cancelled)) {
      broken("went_back", e.nanos(), e.job() + " is called " + e.state() + " after its end");
    }
    if (cancelled && !job.cancelAsked) {
      broken("went_back", e.nanos(), e.job() + " is called cancelled, which nobody asked for");
    }
    if (cancelled && job.cancelledNanos == 0) {
      job.cancelledNanos = e.nanos();
      cancelDeadlines.add(new Deadline(e.nanos() + cancelNanos, job));
    }
    if (done && !job.toldDone) {
      job.toldDone = true;
      if (!job.allCompleted()) {
        broken(
            "not_done",
            e.nanos(),
            e.job()
                + " is called done with "
                + job.completed.cardinality()
                + " of "
                + job.spec.tasks()
                + " tasks completed");
      }
    }
  }

  private void refused(Refused e) {
    answers++;
    lastAnswerNanos = e.nanos();
    boolean denies = e.status() == 404 || e.status() == 400 || e.status() == 422;
    if (e.before().accepted() && denies) {
      broken("forgotten", e.nanos(), e.job() + " was accepted and gets " + e.status());
    }
  }

  private void unanswered(Unanswered e) {
    Job job = jobs.get(e.job());
    if (job != null && e.before().accepted() && job.unansweredSinceNanos == 0) {
      job.unansweredSinceNanos = e.nanos();
      unanswered.add(job);
    }
  }

  /** A cancelled job whose tasks go on, and where. */
  private String describeCancelled(Job job) {
    String id = job.spec.id();
    List<String> places =
        where.entrySet().stream()
            .filter(e -> e.getKey().job().equals(id))
            .limit(EmulationConstants.MAX_TASKS_NAMED)
            .map(e -> e.getKey() + " on " + e.getValue())
            .toList();
    return String.format(
        "%s of class %s is cancelled since %.2f s, and %d tasks run on: %s",
        id,
        job.spec.jobClass(),
        (job.cancelledNanos - startNanos) * 1e-9,
        job.present,
        String.join(", ", places));
  }

  /** Says that all events up to this moment have come. */
  synchronized void advanceTo(long nanos) {
    while (!cancelDeadlines.isEmpty() && cancelDeadlines.peek().nanos < nanos) {
      Deadline deadline = cancelDeadlines.poll();
      if (deadline.job.present > 0) {
        broken("ran_cancelled", deadline.nanos, describeCancelled(deadline.job));
      }
    }
    boolean othersAreAnswered =
        nanos - lastAnswerNanos
            < TimeUnit.MILLISECONDS.toNanos(EmulationConstants.RECENT_ANSWER_MS);
    long patience = TimeUnit.MILLISECONDS.toNanos(EmulationConstants.MAX_UNANSWERED_MS);
    for (Job job : List.copyOf(unanswered)) {
      if (othersAreAnswered && nanos - job.unansweredSinceNanos > patience) {
        unanswered.remove(job);
        broken("forgotten", nanos, job.spec.id() + " gets no answer");
      }
    }
  }
}
