package fennelthread.simulation;

import fennelthread.wire.JobSpec;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The tasks on each machine, the resources that they use there, and the completed tasks. */
final class TaskPresence {

  /** An amount of CPUs, accelerator cards and memory. */
  static final class Amount {
    double cpus;
    double cards;
    double memGb;

    private void add(JobSpec spec, int sign) {
      cpus += sign * spec.cpus();
      cards += sign * spec.cards();
      memGb += sign * spec.memGb();
    }
  }

  private static final Amount NOTHING = new Amount();

  private final Map<String, WorkerEmulator> machineOf = new HashMap<>();
  private final Map<String, BitSet> present = new HashMap<>();
  private final Map<String, BitSet> completed = new HashMap<>();
  private final Map<String, Amount> amountsByTeam = new HashMap<>();
  private final Map<WorkerEmulator, Amount> amountsByMachine = new HashMap<>();
  private final Map<String, Map<String, Integer>> tasksByJobAndZone = new HashMap<>();

  /** Adds a task to a machine; returns the machine that it is still on, or null. */
  WorkerEmulator add(WorkerEmulator machine, JobSpec spec, int index) {
    WorkerEmulator other = machineOf.put(nameOf(spec, index), machine);
    present.computeIfAbsent(spec.id(), k -> new BitSet()).set(index);
    amountsByTeam.computeIfAbsent(spec.team(), k -> new Amount()).add(spec, 1);
    amountsByMachine.computeIfAbsent(machine, k -> new Amount()).add(spec, 1);
    tasksByJobAndZone
        .computeIfAbsent(spec.id(), k -> new HashMap<>())
        .merge(machine.zone(), 1, Integer::sum);
    return other;
  }

  /** Removes a task from its machine; {@code done} marks it as completed. */
  void remove(WorkerEmulator machine, JobSpec spec, int index, boolean done) {
    machineOf.remove(nameOf(spec, index));
    present.get(spec.id()).clear(index);
    amountsByTeam.get(spec.team()).add(spec, -1);
    amountsByMachine.get(machine).add(spec, -1);
    tasksByJobAndZone.get(spec.id()).merge(machine.zone(), -1, Integer::sum);
    if (done) {
      completed.computeIfAbsent(spec.id(), k -> new BitSet()).set(index);
    }
  }

  /** The name of a task: {@code job/index}. */
  static String nameOf(JobSpec spec, int index) {
    return spec.id() + "/" + index;
  }

  /** The machine of each task, by the task's name; callers must not modify the map. */
  Map<String, WorkerEmulator> machineOf() {
    return machineOf;
  }

  /** Number of a job's tasks on machines. */
  int running(String id) {
    BitSet tasks = present.get(id);
    return tasks == null ? 0 : tasks.cardinality();
  }

  /** Number of a job's tasks on machines of a zone. */
  int running(String id, String zone) {
    return tasksByJobAndZone.getOrDefault(id, Map.of()).getOrDefault(zone, 0);
  }

  /** The zones that hold at least one task of a job. */
  Set<String> zonesOf(String id) {
    Set<String> used = new HashSet<>();
    tasksByJobAndZone
        .getOrDefault(id, Map.of())
        .forEach(
            (zone, tasks) -> {
              if (tasks > 0) {
                used.add(zone);
              }
            });
    return used;
  }

  /** A copy of the indexes of a job's completed tasks. */
  BitSet completed(String id) {
    BitSet tasks = completed.get(id);
    return tasks == null ? new BitSet() : (BitSet) tasks.clone();
  }

  /** True if the task with this index has completed. */
  boolean isCompleted(String id, int index) {
    BitSet tasks = completed.get(id);
    return tasks != null && tasks.get(index);
  }

  /** True if every task of a job has completed. */
  boolean allCompleted(JobSpec spec) {
    BitSet tasks = completed.get(spec.id());
    return tasks != null && tasks.cardinality() == spec.tasks();
  }

  /** Number of a job's tasks that are neither on a machine nor completed. */
  int waiting(JobSpec spec) {
    BitSet accounted = completed(spec.id());
    BitSet onMachines = present.get(spec.id());
    if (onMachines != null) {
      accounted.or(onMachines);
    }
    return spec.tasks() - accounted.cardinality();
  }

  /** The resources that a team uses; callers must not modify them. */
  Amount usedBy(String team) {
    return amountsByTeam.getOrDefault(team, NOTHING);
  }

  /** The resources in use on a machine; callers must not modify them. */
  Amount usedOn(WorkerEmulator machine) {
    return amountsByMachine.getOrDefault(machine, NOTHING);
  }
}
