package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.plan.Plan;
import fennelthread.settings.Options;
import fennelthread.wire.MachineType;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** Decides what to rent next: a function of the machines there are and of what waits for room. */
final class ScaleOutPolicy {
  /** Machines to ask for. */
  record Request(MachineKind kind, int machines) {}

  /**
   * What there is.
   *
   * @param types what the cloud offers, by name
   * @param machines how many machines are not given back yet
   * @param cpusByZone CPUs of machines that are up or coming, by zone
   * @param coming the kinds of those that are coming, one entry for each
   */
  record Stock(
      Map<String, MachineType> types,
      int machines,
      Map<String, Double> cpusByZone,
      List<MachineKind> coming) {

    double cpus() {
      return cpusByZone.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    double comingCpus() {
      double cpus = 0;
      for (MachineKind kind : coming) {
        MachineType type = types.get(kind.type());
        cpus += type == null ? 0 : type.cpus();
      }
      return cpus;
    }
  }

  private final boolean priceMatters;
  private final Options options;
  private final ZoneHealth zones;

  ScaleOutPolicy(boolean priceMatters, Options options, ZoneHealth zones) {
    this.priceMatters = priceMatters;
    this.options = options;
    this.zones = zones;
  }

  /**
   * What to ask for now, or null.
   *
   * @param unplaced the tasks that found no room, in the order in which they are owed it
   * @param peakCpus the highest demand of the last minutes, CPUs
   * @param refused the kinds that the cloud does not have at the moment
   */
  Request next(
      Stock stock, List<Plan.Unplaced> unplaced, double peakCpus, Predicate<MachineKind> refused) {
    if (stock.machines >= options.maxMachines()) {
      return null;
    }
    Request request = forChoosyJob(stock, unplaced, refused);
    return request != null ? request : forAll(stock, unplaced, peakCpus, refused);
  }

  /**
   * For the first job that takes only some types or zones and for which what is coming is not
   * enough: the sum of all that waits would rent what is cheapest, again and again, of which this
   * job takes none.
   */
  private Request forChoosyJob(
      Stock stock, List<Plan.Unplaced> unplaced, Predicate<MachineKind> refused) {
    BootingPool pool = new BootingPool();
    stock.coming.forEach(kind -> pool.add(kind, stock.types.get(kind.type())));
    for (Plan.Unplaced u : unplaced) {
      double uncovered = pool.cover(u);
      if (uncovered > 0 && u.hasConstraints()) {
        Request request = first(kindsFor(u, stock), stock, uncovered, refused);
        if (request != null) {
          return request;
        }
      }
    }
    return null;
  }

  /** For the sum of all that waits, or for the highest demand of the last minutes. */
  private Request forAll(
      Stock stock, List<Plan.Unplaced> unplaced, double peakCpus, Predicate<MachineKind> refused) {
    double waiting = 0;
    Set<String> wanted = new HashSet<>();
    for (Plan.Unplaced u : unplaced) {
      waiting += BootingPool.cpusOf(u);
      for (MachineType type : stock.types.values()) {
        if (fits(type, u)) {
          wanted.add(type.name());
        }
      }
    }
    double spare = priceMatters ? 1.0 : options.spare();
    double missing = Math.max(peakCpus * spare - stock.cpus(), waiting - stock.comingCpus());
    return missing <= 0 ? null : first(kinds(stock, wanted), stock, missing, refused);
  }

  /** The first kind that is to be had, and as many machines as hold so many CPUs. */
  private Request first(
      List<MachineKind> kinds, Stock stock, double cpus, Predicate<MachineKind> refused) {
    int most =
        Math.min(FleetConstants.MAX_MACHINES_PER_RENTAL, options.maxMachines() - stock.machines);
    for (MachineKind kind : kinds) {
      if (!refused.test(kind)) {
        double each = Math.max(0.5, stock.types.get(kind.type()).cpus());
        return new Request(kind, (int) Math.min(most, Math.ceil(cpus / each)));
      }
    }
    return null;
  }

  /** All kinds: ordinary ones first, of them the wanted types, of them the cheapest. */
  private List<MachineKind> kinds(Stock stock, Set<String> wanted) {
    List<MachineType> types = new ArrayList<>(stock.types.values());
    types.sort(
        Comparator.<MachineType>comparingInt(
                f -> wanted.isEmpty() || wanted.contains(f.name()) ? 0 : 1)
            .thenComparingDouble(ScaleOutPolicy::pricePerCpu));
    List<MachineKind> kinds = new ArrayList<>();
    addKinds(kinds, types, stock, false, zone -> true);
    addKinds(kinds, types, stock, true, zone -> true);
    return kinds;
  }

  /** The kinds that a job's next task may run on: ordinary ones first, of them the cheapest. */
  private List<MachineKind> kindsFor(Plan.Unplaced u, Stock stock) {
    List<MachineType> types = new ArrayList<>(stock.types.values());
    types.removeIf(type -> !fits(type, u));
    types.sort(Comparator.comparingDouble(ScaleOutPolicy::pricePerCpu));
    List<MachineKind> kinds = new ArrayList<>();
    addKinds(kinds, types, stock, false, u::mayUseZone);
    if (u.spec().spotAllowed()) {
      addKinds(kinds, types, stock, true, u::mayUseZone);
    }
    return kinds;
  }

  /**
   * Adds the kinds of the zones that may be used. If all of these are away it is rented there: a
   * zone of which no machine is left would seem away for ever.
   */
  private void addKinds(
      List<MachineKind> kinds,
      List<MachineType> types,
      Stock stock,
      boolean spot,
      Predicate<String> mayUse) {
    for (MachineType type : types) {
      List<String> usable = type.zones().stream().filter(mayUse).toList();
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

  /** True if the job takes machines of the type, and a task of it fits one. */
  static boolean fits(MachineType type, Plan.Unplaced u) {
    return (u.spec().types() == null || u.spec().types().contains(type.name()))
        && u.spec().cpus() <= type.cpus()
        && u.spec().cards() <= type.cards()
        && u.spec().memGb() <= type.memGb();
  }
}
