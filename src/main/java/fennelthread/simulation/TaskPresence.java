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
  private final Map<String, Amount> teams = new HashMap<>();
  private final Map<WorkerEmulator, Amount> machines = new HashMap<>();
  private final Map<String, Map<String, Integer>> zones = new HashMap<>();

  /** Adds a task to a machine; returns the machine that it is still on, or null. */
  WorkerEmulator add(WorkerEmulator machine, JobSpec spec, int index) {
    WorkerEmulator other = machineOf.put(name(spec, index), machine);
    present.computeIfAbsent(spec.id(), k -> new BitSet()).set(index);
    teams.computeIfAbsent(spec.team(), k -> new Amount()).add(spec, 1);
    machines.computeIfAbsent(machine, k -> new Amount()).add(spec, 1);
    zones.computeIfAbsent(spec.id(), k -> new HashMap<>()).merge(machine.zone(), 1, Integer::sum);
    return other;
  }

  /** Removes a task from its machine; {@code done} marks it as completed. */
  void remove(WorkerEmulator machine, JobSpec spec, int index, boolean done) {
    machineOf.remove(name(spec, index));
    present.get(spec.id()).clear(index);
    teams.get(spec.team()).add(spec, -1);
    machines.get(machine).add(spec, -1);
    zones.get(spec.id()).merge(machine.zone(), -1, Integer::sum);
    if (done) {
      completed.computeIfAbsent(spec.id(), k -> new BitSet()).set(index);
    }
  }

  /** The name of a task on the wire. */
  static String name(JobSpec spec, int index) {
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
    return zones.getOrDefault(id, Map.of()).getOrDefault(zone, 0);
  }

  /** The zones that hold at least one task of a job. */
  Set<String> zonesOf(String id) {
    Set<String> used = new HashSet<>();
    zones
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
    BitSet on = present.get(spec.id());
    if (on != null) {
      accounted.or(on);
    }
    return spec.tasks() - accounted.cardinality();
  }

  /** The resources that a team uses; callers must not modify them. */
  Amount usedBy(String team) {
    return teams.getOrDefault(team, NOTHING);
  }

  /** The resources in use on a machine; callers must not modify them. */
  Amount usedOn(WorkerEmulator machine) {
    return machines.getOrDefault(machine, NOTHING);
  }
}
