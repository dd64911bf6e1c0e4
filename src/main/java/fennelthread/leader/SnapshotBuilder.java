package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.net.EventLoop;
import fennelthread.plan.Aging;
import fennelthread.plan.Snapshot;
import fennelthread.settings.Settings;
import fennelthread.state.SizeLimits;
import fennelthread.wire.MachineType;
import it.unimi.dsi.fastutil.ints.IntList;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Builds the snapshot of machines, teams and pending jobs that a scheduling round plans with. */
final class SnapshotBuilder {
  /** Receives the CPU demand of each round. */
  @FunctionalInterface
  interface CpuDemandListener {
    /** Called with the CPUs that all unfinished tasks of released jobs take together. */
    void onCpuDemand(double cpus);
  }

  private final EventLoop eventLoop;
  private final Settings settings;
  private final TermState term;
  private final TaskDemand demand;
  private final MachineTypeCatalog machineTypes;
  private final PassedOverJobs passedOver;
  private final CpuDemandListener demandListener;
  private final SizeLimits limits;
  private final IdentityHashMap<Machine, MachineLoad> loads = new IdentityHashMap<>();

  SnapshotBuilder(
      LeaderContext context,
      TermState term,
      MachineTypeCatalog machineTypes,
      PassedOverJobs passedOver,
      CpuDemandListener demandListener) {
    this.eventLoop = context.eventLoop();
    this.settings = context.settings();
    this.term = term;
    this.demand = new TaskDemand(eventLoop, settings, term);
    this.machineTypes = machineTypes;
    this.passedOver = passedOver;
    this.demandListener = demandListener;
    this.limits = context.state().limits();
  }

  /**
   * The most starts of one round; not cached, since the limits shrink when the state service
   * rejects a transaction.
   */
  private int maxStarts() {
    return Math.min(
        LeaderConstants.MAX_STARTS_PER_ROUND,
        limits.maxTxnChanges() * limits.maxValueBytes() / LeaderConstants.RECORD_BYTES_PER_START);
  }

  /** Builds a snapshot of the current state; empty if no task may be started. */
  Optional<Snapshot> build() {
    demandListener.onCpuDemand(demand.cpus());
    int maxStarts = maxStarts();
    Map<ActiveJob, IntList> startable = demand.startableTasks(maxStarts * 4);
    if (startable.isEmpty()) {
      return Optional.empty();
    }
    Map<String, ResourceSum> usedByTeam = new HashMap<>();
    Map<String, ResourceSum> unsentByTeam = new HashMap<>();
    List<Snapshot.MachineState> machines = readyMachines(usedByTeam, unsentByTeam);
    Map<String, Snapshot.TeamUsage> teams = teamUsage(usedByTeam, unsentByTeam);
    Set<String> guaranteed = demand.guaranteedJobs();
    Aging aging = demand.aging(totalCpus(machines));
    return Optional.of(
        new Snapshot(
            machines,
            demand.pendingJobs(startable, guaranteed, aging),
            guaranteed,
            aging.nonPreemptible(),
            teams,
            eventLoop.nowMs(),
            maxStarts,
            passedOver.overdue(eventLoop.nowMs()),
            aging.preemptibleOnlyByMoreUrgent()));
  }

  /** The machines that may take tasks; adds up what teams use on all machines. */
  private List<Snapshot.MachineState> readyMachines(
      Map<String, ResourceSum> usedByTeam, Map<String, ResourceSum> unsentByTeam) {
    Fleet fleet = term.fleet();
    Map<String, MachineType> types = machineTypes.byName();
    List<Snapshot.MachineState> ready = new ArrayList<>();
    forgetLoadsOfRemovedMachines(fleet.machines());
    for (Machine machine : fleet.machines()) {
      MachineLoad load = loads.computeIfAbsent(machine, k -> new MachineLoad());
      load.update(machine, types.get(machine.type()), term);
      load.addTeamUsageTo(usedByTeam);
      load.addUnsentUsageTo(unsentByTeam);
      if (load.snapshot() != null && fleet.isReady(machine)) {
        double startWaitS = fleet.expectedStartWaitMs(machine) / 1000.0;
        ready.add(startWaitS == 0 ? load.snapshot() : load.snapshot().withStartWait(startWaitS));
      }
    }
    return ready;
  }

  private void forgetLoadsOfRemovedMachines(Collection<Machine> machines) {
    if (loads.size() > machines.size()) {
      Set<Machine> present = Collections.newSetFromMap(new IdentityHashMap<>());
      present.addAll(machines);
      loads.keySet().retainAll(present);
    }
  }

  private Map<String, Snapshot.TeamUsage> teamUsage(
      Map<String, ResourceSum> usedByTeam, Map<String, ResourceSum> unsentByTeam) {
    Map<String, Snapshot.TeamUsage> usage = new HashMap<>();
    for (Settings.Team team : settings.teams().values()) {
      ResourceSum used = usedByTeam.getOrDefault(team.name(), new ResourceSum());
      ResourceSum unsent = unsentByTeam.getOrDefault(team.name(), new ResourceSum());
      usage.put(
          team.name(),
          new Snapshot.TeamUsage(
              used.cpus(),
              used.cards(),
              unsent.cpus(),
              unsent.cards(),
              team.cpusMax(),
              team.cardsMax(),
              team.cpus(),
              team.cards()));
    }
    return usage;
  }

  private static double totalCpus(List<Snapshot.MachineState> machines) {
    double cpus = 0;
    for (Snapshot.MachineState machine : machines) {
      cpus += machine.type().cpus();
    }
    return cpus;
  }
}
