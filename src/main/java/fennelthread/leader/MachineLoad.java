package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Machine;
import fennelthread.jobs.StartRecord;
import fennelthread.plan.Snapshot;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The load of one machine, cached until the machine changes. Few of several hundred machines change
 * between two rounds, and visiting all attempts on each would be most of the work of a round.
 */
final class MachineLoad {
  private long version = -1;
  private MachineType machineType;
  private Snapshot.MachineState snapshot;
  private final Map<String, ResourceSum> usedByTeam = new HashMap<>(4);
  private final Map<String, ResourceSum> unsentByTeam = new HashMap<>(4);

  /** Recomputes the load if the machine or its type has changed; the type may be null. */
  void update(Machine machine, MachineType type, TermState term) {
    if (version == machine.version() && Objects.equals(machineType, type)) {
      return;
    }
    machineType = type;
    usedByTeam.clear();
    unsentByTeam.clear();
    Totals totals = new Totals(type);
    for (Attempt attempt : machine.attempts()) {
      totals.attempts++;
      if (attempt.mayBePresent()) {
        addAttempt(machine, attempt, term, totals);
      }
    }
    totals.fetchingImages.removeAll(machine.cachedImages());
    snapshot = type == null ? null : totals.snapshotOf(machine, type);
    // Read last: recording cached images above may have changed the version.
    version = machine.version();
  }

  private void addAttempt(Machine machine, Attempt attempt, TermState term, Totals totals) {
    StartRecord.Start start = attempt.start();
    add(usedByTeam, start);
    if (attempt.isUnsent()) {
      add(unsentByTeam, start);
    }
    totals.freeCpus -= start.cpus();
    totals.freeCards -= start.cards();
    totals.freeMemGb -= start.memGb();
    ActiveJob activeJob = term.activeJobs().jobOf(attempt);
    if (activeJob == null) {
      return;
    }
    JobSpec spec = activeJob.job().spec();
    totals.tasksByClass.merge(spec.jobClass(), 1, Integer::sum);
    if (attempt.phase() == Attempt.Phase.RUNNING || attempt.phase() == Attempt.Phase.FLUSHING) {
      term.fleet().recordCachedImage(machine, spec.image(), spec.imageGb());
    } else {
      totals.fetchingImages.add(spec.image());
    }
    if (!attempt.isUnsent() && attempt.phase() != Attempt.Phase.SENT) {
      totals.running.add(runningTask(machine, attempt, activeJob, term.runTimes()));
    }
  }

  private static void add(Map<String, ResourceSum> sums, StartRecord.Start start) {
    sums.computeIfAbsent(start.team(), k -> new ResourceSum()).add(start.cpus(), start.cards());
  }

  private static Snapshot.RunningTask runningTask(
      Machine machine, Attempt attempt, ActiveJob activeJob, RunTimeEstimator runTimes) {
    StartRecord.Start start = attempt.start();
    JobSpec spec = activeJob.job().spec();
    return new Snapshot.RunningTask(
        spec,
        activeJob.priority(),
        start.task().index(),
        start.attempt(),
        machine.name(),
        attempt.isStopRequested(),
        start.cpus(),
        start.cards(),
        start.memGb(),
        attempt.runningSinceMs(),
        spec.service() ? 0 : runTimes.expectedS(spec));
  }

  /**
   * The machine in the form that a scheduling snapshot holds, or null if its type is not known. The
   * expected wait of starts, which changes all the time, is left at 0.
   */
  Snapshot.MachineState snapshot() {
    return snapshot;
  }

  /** Adds the resources that each team's tasks reserve on this machine to the sums by team. */
  void addTeamUsageTo(Map<String, ResourceSum> sums) {
    addTo(sums, usedByTeam);
  }

  /** Adds those of the resources whose starts have not been sent to the sums by team. */
  void addUnsentUsageTo(Map<String, ResourceSum> sums) {
    addTo(sums, unsentByTeam);
  }

  private static void addTo(Map<String, ResourceSum> sums, Map<String, ResourceSum> ofMachine) {
    for (Map.Entry<String, ResourceSum> teamUsage : ofMachine.entrySet()) {
      sums.computeIfAbsent(teamUsage.getKey(), k -> new ResourceSum()).add(teamUsage.getValue());
    }
  }

  /** Sums over the attempts on a machine. */
  private static final class Totals {
    double freeCpus;
    double freeCards;
    double freeMemGb;
    int attempts;
    final Set<String> fetchingImages = new HashSet<>();
    final Map<String, Integer> tasksByClass = new HashMap<>();
    final List<Snapshot.RunningTask> running = new ArrayList<>();

    Totals(MachineType type) {
      freeCpus = type == null ? 0 : type.cpus();
      freeCards = type == null ? 0 : type.cards();
      freeMemGb = type == null ? 0 : type.memGb();
    }

    Snapshot.MachineState snapshotOf(Machine machine, MachineType type) {
      return new Snapshot.MachineState(
          machine.name(),
          type,
          machine.zone(),
          machine.isSpot(),
          freeCpus,
          freeCards,
          freeMemGb,
          Set.copyOf(machine.cachedImages()),
          fetchingImages,
          tasksByClass,
          running,
          LeaderConstants.MAX_TASKS_PER_MACHINE - attempts,
          0);
    }
  }
}
