package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.net.EventLoop;
import fennelthread.plan.PlacementPlan;
import fennelthread.wire.MachineEntry;
import fennelthread.wire.MachineType;
import fennelthread.wire.Rental;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Scales the fleet out and in for one term: reads the cloud's machine list, machine types and
 * prices, rents machines when capacity is short, and returns those that are broken or idle.
 *
 * <p>The cloud's list lags behind: a rented machine counts although it is not listed yet, and a
 * machine that is missing from the list is not taken for gone.
 */
public final class MachineProvisioner {
  private static final Logger log = LoggerFactory.getLogger(MachineProvisioner.class);

  /** Receives the machine types and prices each time that they are read from the cloud. */
  @FunctionalInterface
  public interface MachineTypesListener {
    /** Called with all types, at least one. */
    void onMachineTypes(List<MachineType> types);
  }

  private final ProvisioningContext context;
  private final EventLoop eventLoop;
  private final CloudClient cloud;
  private final Fleet fleet;
  private final String requestPrefix;
  private final MachineTypesListener machineTypesListener;
  private final MachineReturns returns;
  private final ScaleOutPolicy policy;
  private final BootingMachines booting;
  private final CapacityBackoff capacityBackoff = new CapacityBackoff();
  private final DemandHistory demand = new DemandHistory();
  private Map<String, MachineType> machineTypes;
  private boolean closed;
  private boolean renting;
  private boolean listing;
  private boolean listedOnce;
  private long rentalsRequested;

  /**
   * Creates the provisioner of one term; {@link #start} begins its work.
   *
   * @param requestPrefix the first part of the names of rental requests, which no other term uses
   * @param machineTypes the machine types that are already known, by name
   * @param machineTypesListener receives the types each time that they are read from the cloud
   */
  public MachineProvisioner(
      ProvisioningContext context,
      String requestPrefix,
      Map<String, MachineType> machineTypes,
      MachineTypesListener machineTypesListener) {
    this.context = context;
    this.eventLoop = context.eventLoop();
    this.cloud = context.cloud();
    this.fleet = context.fleet();
    this.requestPrefix = requestPrefix;
    this.machineTypes = machineTypes;
    this.machineTypesListener = machineTypesListener;
    this.returns = new MachineReturns(context, this::onReturned);
    this.policy =
        new ScaleOutPolicy(
            context.settings().hasPriceObjective(), context.options(), context.zones());
    this.booting = new BootingMachines(fleet);
  }

  /** Reads the machine list and the machine types, once immediately and then periodically. */
  public void start() {
    listMachines();
    fetchMachineTypes();
  }

  /** Ends the term: no more requests are sent to the cloud. */
  public void close() {
    closed = true;
    returns.close();
  }

  // ---------------------------------------------------------------- the cloud's lists

  private void fetchMachineTypes() {
    if (!closed) {
      cloud.fetchMachineTypes(this::onMachineTypesFetched);
    }
  }

  private void onMachineTypesFetched(Optional<List<MachineType>> fetched) {
    if (closed) {
      return;
    }
    List<MachineType> types = fetched.orElse(List.of());
    if (!types.isEmpty()) {
      Map<String, MachineType> byName = new LinkedHashMap<>();
      types.forEach(type -> byName.put(type.name(), type));
      machineTypes = byName;
      machineTypesListener.onMachineTypes(types);
    }
    long delayMs =
        fetched.isEmpty()
            ? FleetConstants.MACHINE_TYPES_RETRY_MS
            : FleetConstants.MACHINE_TYPES_INTERVAL_MS;
    eventLoop.after(delayMs, this::fetchMachineTypes);
  }

  private void listMachines() {
    if (closed || listing) {
      return;
    }
    listing = true;
    cloud.listMachines(this::onMachinesListed);
  }

  private void onMachinesListed(Optional<List<MachineEntry>> entries) {
    listing = false;
    if (closed) {
      return;
    }
    if (entries.isPresent()) {
      listedOnce = true;
      entries.get().forEach(this::onMachineListed);
    }
    eventLoop.after(FleetConstants.LIST_INTERVAL_MS, this::listMachines);
  }

  private void onMachineListed(MachineEntry entry) {
    Machine known = fleet.findMachine(entry.name());
    if (known != null && known.phase() == Machine.Phase.GONE) {
      return;
    }
    Machine machine = fleet.getOrAddMachine(entry.name(), entry.address());
    fleet.setDescriptionIfUnknown(machine, entry.type(), entry.zone(), entry.spot());
    if (entry.state().equals(MachineEntry.FAILED)) {
      machine.setListedFailed();
    } else if (machine.phase() == Machine.Phase.AWAITING_REPORT) {
      // Rented in an earlier term, or by a request of this term that was executed late. The boot
      // timeout of a machine that is listed as up begins now: after a failover most of the existing
      // fleet is listed before it reports, and if its age counted, the new leader would return it
      // with its tasks (62 machines, a second after the election, in one case). The boot timeout of
      // a machine that is listed as starting counts from its request, or each change of leader
      // would extend it.
      long nowMs = eventLoop.nowMs();
      boolean isStarting = entry.state().equals(MachineEntry.STARTING);
      long requestedAtMs = isStarting ? nowMs - (long) (entry.ageS() * 1000) : nowMs;
      MachineKind kind = new MachineKind(entry.type(), entry.zone(), entry.spot());
      booting.addListed(entry.name(), kind, requestedAtMs, nowMs);
    }
  }

  // ---------------------------------------------------------------- periodic decisions

  /** Records the current demand, CPUs. */
  public void recordDemand(double cpus) {
    demand.record(cpus, eventLoop.nowMs());
  }

  /**
   * Returns machines that are broken or idle for long, and rents machines if capacity is short. To
   * be called periodically.
   *
   * @param unplaced the tasks for which the last round found no capacity, in scheduling order
   */
  public void tick(List<PlacementPlan.UnplacedTasks> unplaced) {
    if (closed) {
      return;
    }
    long nowMs = eventLoop.nowMs();
    booting.removeUp(nowMs);
    returns.selectMachines(nowMs);
    returnStuck(nowMs);
    returns.send();
    if (!cloud.isBackingOff() && listedOnce && !machineTypes.isEmpty()) {
      scaleOut(unplaced, nowMs);
    }
  }

  private void returnStuck(long nowMs) {
    if (cloud.isBackingOff() || context.stalls().isListening()) {
      // Reports of machines that came up during a stall of this process may still be unread.
      return;
    }
    long leaseMs = context.settings().workers().leaseMs();
    long minReportWaitMs = (long) (leaseMs * FleetConstants.MIN_REPORT_WAIT_LEASES);
    booting.forEachStuck(
        machineTypes,
        capacityBackoff,
        context.zones(),
        minReportWaitMs,
        nowMs,
        machine -> returns.beginRevocableReturn(machine, ReturnReason.BOOT_TIMEOUT));
  }

  private void onReturned(Machine machine) {
    booting.remove(machine.name());
    capacityBackoff.onReturned(MachineKind.of(machine));
  }

  // ---------------------------------------------------------------- renting

  private void scaleOut(List<PlacementPlan.UnplacedTasks> unplaced, long nowMs) {
    if (renting) {
      return;
    }
    policy
        .nextRequest(
            currentStock(nowMs),
            unplaced,
            demand.peakCpus(),
            kind -> capacityBackoff.isRefused(kind, nowMs))
        .ifPresent(request -> rent(request, requestPrefix + "-" + ++rentalsRequested, 0));
  }

  /**
   * Returns the number of machines, and the capacity of those that are usable or expected to come
   * up.
   */
  private ScaleOutPolicy.Stock currentStock(long nowMs) {
    Set<String> expected = booting.findExpected(machineTypes, nowMs);
    List<MachineKind> expectedKinds = new ArrayList<>();
    for (String name : expected) {
      expectedKinds.add(booting.kindOf(name));
    }
    int count = 0;
    Map<String, Double> cpusByZone = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      if (machine.phase() != Machine.Phase.GONE) {
        count++;
      }
      MachineType type = machineTypes.get(machine.type());
      if (type != null && (isUsable(machine) || expected.contains(machine.name()))) {
        double cpus = type.cpus() * context.zones().usableCapacityShare(machine, nowMs);
        cpusByZone.merge(String.valueOf(machine.zone()), cpus, Double::sum);
      }
    }
    return new ScaleOutPolicy.Stock(machineTypes, count, cpusByZone, expectedKinds);
  }

  private boolean isUsable(Machine machine) {
    return machine.phase() == Machine.Phase.REPORTING
        && !machine.isCordoned()
        && !fleet.areReportsUnanswered(machine)
        && machine.interruptionAtMs() < 0;
  }

  private void rent(ScaleOutPolicy.RentalRequest request, String requestName, int retries) {
    renting = true;
    MachineKind kind = request.kind();
    cloud.rentMachines(
        new Rental(requestName, kind.type(), kind.zone(), kind.spot(), request.machineCount()),
        result -> {
          renting = false;
          if (!closed) {
            onRentalResult(request, requestName, retries, result);
          }
        });
  }

  private void onRentalResult(
      ScaleOutPolicy.RentalRequest request,
      String requestName,
      int retries,
      CloudClient.RentalResult result) {
    if (result instanceof CloudClient.RentalResult.Rented rented) {
      onRented(request, rented.names());
    } else if (result instanceof CloudClient.RentalResult.NoCapacity) {
      capacityBackoff.onRefused(request.kind(), eventLoop.nowMs());
    } else if (retries < FleetConstants.MAX_RENTAL_RETRIES) {
      retryRental(request, requestName, retries + 1);
    }
  }

  private void onRented(ScaleOutPolicy.RentalRequest request, List<String> names) {
    long nowMs = eventLoop.nowMs();
    MachineKind kind = request.kind();
    log.info(
        "machines rented count={} requested={} type={} zone={} spot={}",
        names.size(),
        request.machineCount(),
        kind.type(),
        kind.zone(),
        kind.spot());
    for (String name : names) {
      Machine machine = fleet.getOrAddMachine(name, null);
      fleet.setDescriptionIfUnknown(machine, kind.type(), kind.zone(), kind.spot());
      if (machine.phase() == Machine.Phase.AWAITING_REPORT) {
        booting.addRented(name, kind, nowMs);
      }
    }
    capacityBackoff.onRented(kind);
    if (names.size() < request.machineCount()) {
      capacityBackoff.onRefused(kind, nowMs);
    }
  }

  /** Repeats a request under its name, so that it rents nothing if it was executed before. */
  private void retryRental(ScaleOutPolicy.RentalRequest request, String requestName, int retries) {
    renting = true;
    eventLoop.after(
        FleetConstants.RENTAL_RETRY_MS,
        () -> {
          renting = false;
          if (!closed) {
            rent(request, requestName, retries);
          }
        });
  }
}
