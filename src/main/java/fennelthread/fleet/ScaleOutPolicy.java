package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.plan.PlacementPlan;
import fennelthread.settings.Options;
import fennelthread.wire.MachineType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which machines to rent next, from the existing machines, the waiting tasks and the recent
 * demand.
 */
final class ScaleOutPolicy {

  /** A request for a number of machines of one kind. */
  record RentalRequest(MachineKind kind, int machineCount) {}

  /** The kinds that the cloud has no capacity for at the moment; they are not requested. */
  @FunctionalInterface
  interface RefusedKinds {
    boolean contains(MachineKind kind);
  }

  /** Decides whether machines may be requested in a zone. */
  @FunctionalInterface
  private interface ZoneFilter {
    boolean mayUse(String zone);
  }

  /**
   * The existing machines.
   *
   * @param types the machine types that the cloud offers, by name
   * @param machineCount number of machines whose return the cloud has not confirmed
   * @param cpusByZone CPUs of the machines that are usable or expected to boot, by zone
   * @param expected the kinds of those that are expected to boot, one entry for each machine
   */
  record Stock(
      Map<String, MachineType> types,
      int machineCount,
      Map<String, Double> cpusByZone,
      List<MachineKind> expected) {

    double cpus() {
      return cpusByZone.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    double expectedCpus() {
      double cpus = 0;
      for (MachineKind kind : expected) {
        MachineType type = types.get(kind.type());
        cpus += type == null ? 0 : type.cpus();
      }
      return cpus;
    }
  }

  private final boolean hasPriceObjective;
  private final Options options;
  private final ZoneHealth zones;

  ScaleOutPolicy(boolean hasPriceObjective, Options options, ZoneHealth zones) {
    this.hasPriceObjective = hasPriceObjective;
    this.options = options;
    this.zones = zones;
  }

  /**
   * Returns the next request, if machines should be rented.
   *
   * @param unplaced the tasks that found no capacity, in scheduling order
   * @param peakCpus the highest demand of the last minutes, CPUs
   * @param refused the kinds that the cloud has no capacity for at the moment
   */
  Optional<RentalRequest> nextRequest(
      Stock stock,
      List<PlacementPlan.UnplacedTasks> unplaced,
      double peakCpus,
      RefusedKinds refused) {
    if (stock.machineCount >= options.maxMachines()) {
      return Optional.empty();
    }
    return requestForConstrainedJob(stock, unplaced, refused)
        .or(() -> requestForTotalDemand(stock, unplaced, peakCpus, refused));
  }

  /**
   * Returns a request for the first job that accepts only some types or zones and for which the
   * expected machines do not suffice. A request for the total demand would be for the cheapest kind
   * each time, which this job may not accept.
   */
  private Optional<RentalRequest> requestForConstrainedJob(
      Stock stock, List<PlacementPlan.UnplacedTasks> unplaced, RefusedKinds refused) {
    BootingCapacity bootingCapacity = new BootingCapacity();
    stock.expected.forEach(kind -> bootingCapacity.add(kind, stock.types.get(kind.type())));
    for (PlacementPlan.UnplacedTasks waiting : unplaced) {
      double uncoveredCpus = bootingCapacity.reserve(waiting);
      if (uncoveredCpus > 0 && waiting.hasConstraints()) {
        Optional<RentalRequest> request =
            requestFirst(kindsFor(waiting, stock), stock, uncoveredCpus, refused);
        if (request.isPresent()) {
          return request;
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Returns a request for the CPUs that are missing for all waiting tasks, or for the recent peak
   * demand times its headroom, whichever is more.
   */
  private Optional<RentalRequest> requestForTotalDemand(
      Stock stock,
      List<PlacementPlan.UnplacedTasks> unplaced,
      double peakCpus,
      RefusedKinds refused) {
    double waitingCpus = 0;
    Set<String> wantedTypes = new HashSet<>();
    for (PlacementPlan.UnplacedTasks waiting : unplaced) {
      waitingCpus += BootingCapacity.requiredCpus(waiting);
      for (MachineType type : stock.types.values()) {
        if (fits(type, waiting)) {
          wantedTypes.add(type.name());
        }
      }
    }
    double headroom = hasPriceObjective ? 1.0 : options.spareFactor();
    double missingCpus =
        Math.max(peakCpus * headroom - stock.cpus(), waitingCpus - stock.expectedCpus());
    return missingCpus <= 0
        ? Optional.empty()
        : requestFirst(allKinds(stock, wantedTypes), stock, missingCpus, refused);
  }

  /**
   * Returns a request for as many machines of the first kind that is not refused as provide the
   * CPUs, within the limits on their number.
   */
  private Optional<RentalRequest> requestFirst(
      List<MachineKind> kinds, Stock stock, double cpus, RefusedKinds refused) {
    int maxMachines =
        Math.min(
            FleetConstants.MAX_MACHINES_PER_RENTAL, options.maxMachines() - stock.machineCount);
    for (MachineKind kind : kinds) {
      if (!refused.contains(kind)) {
        double cpusPerMachine = Math.max(0.5, stock.types.get(kind.type()).cpus());
        int machineCount = (int) Math.min(maxMachines, Math.ceil(cpus / cpusPerMachine));
        return Optional.of(new RentalRequest(kind, machineCount));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns all kinds: on-demand before spot instances, wanted types before others, then by price
   * per CPU.
   */
  private List<MachineKind> allKinds(Stock stock, Set<String> wantedTypes) {
    List<MachineType> types = new ArrayList<>(stock.types.values());
    types.sort(
        Comparator.<MachineType>comparingInt(
                type -> wantedTypes.isEmpty() || wantedTypes.contains(type.name()) ? 0 : 1)
            .thenComparingDouble(ScaleOutPolicy::pricePerCpu));
    List<MachineKind> kinds = new ArrayList<>();
    addKinds(kinds, types, stock, false, zone -> true);
    addKinds(kinds, types, stock, true, zone -> true);
    return kinds;
  }

  /**
   * Returns the kinds that a job's next task may run on: on-demand before spot instances, then by
   * price per CPU.
   */
  private List<MachineKind> kindsFor(PlacementPlan.UnplacedTasks waiting, Stock stock) {
    List<MachineType> types = new ArrayList<>(stock.types.values());
    types.removeIf(type -> !fits(type, waiting));
    types.sort(Comparator.comparingDouble(ScaleOutPolicy::pricePerCpu));
    List<MachineKind> kinds = new ArrayList<>();
    addKinds(kinds, types, stock, false, waiting::mayUseZone);
    if (waiting.spec().spotAllowed()) {
      addKinds(kinds, types, stock, true, waiting::mayUseZone);
    }
    return kinds;
  }

  /**
   * Adds the kinds in the zones that may be used. If all of these are unreachable, machines are
   * rented there nevertheless: a zone without any machine left would count as unreachable for ever.
   */
  private void addKinds(
      List<MachineKind> kinds,
      List<MachineType> types,
      Stock stock,
      boolean spot,
      ZoneFilter filter) {
    for (MachineType type : types) {
      List<String> usable = type.zones().stream().filter(filter::mayUse).toList();
      if (!usable.isEmpty()) {
        for (String zone : zones.zonesToProvision(usable, stock.cpusByZone)) {
          kinds.add(new MachineKind(type.name(), zone, spot));
        }
      }
    }
  }

  private static double pricePerCpu(MachineType type) {
    return type.price() / Math.max(1, type.cpus());
  }

  /** Returns true if a job accepts machines of a type and its tasks fit on them. */
  static boolean fits(MachineType type, PlacementPlan.UnplacedTasks waiting) {
    return (waiting.spec().types() == null || waiting.spec().types().contains(type.name()))
        && waiting.spec().cpus() <= type.cpus()
        && waiting.spec().cards() <= type.cards()
        && waiting.spec().memGb() <= type.memGb();
  }
}
