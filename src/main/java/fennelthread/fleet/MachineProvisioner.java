package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.net.EventLoop;
import fennelthread.net.StallDetector;
import fennelthread.plan.Plan;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import fennelthread.wire.MachineEntry;
import fennelthread.wire.MachineType;
import fennelthread.wire.Rental;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rents and returns machines. The cloud's list is old: what was rented counts although it is not
 * listed yet, and a machine that the list lacks is not taken for gone.
 */
public final class MachineProvisioner {
  private static final Logger log = LoggerFactory.getLogger(MachineProvisioner.class);

  /**
   * A machine that is not up yet.
   *
   * @param askedMs when it was asked for, as far as is known, ms
   * @param knownMs when this term first knew of it, ms
   * @param ours whether this term asked for it, so that its boot can be timed
   */
  private record Booting(MachineKind kind, long askedMs, long knownMs, boolean ours) {}

  private final EventLoop eventLoop;
  private final Settings settings;
  private final Cloud cloud;
  private final Fleet fleet;
  private final ZoneHealth zones;
  private final StallDetector wake;
  private final MachineReturns returns;
  private final BootTimes boots = new BootTimes();
  private final ScaleOutPolicy policy;
  private final String prefix;
  private final Consumer<List<MachineType>> onMachineTypes;
  private final Map<String, Booting> booting = new LinkedHashMap<>();
  private final Map<MachineKind, Long> refusedUntil = new HashMap<>();
  private final Map<MachineKind, Long> refusedPause = new HashMap<>();
  private final List<double[]> demands = new ArrayList<>();
  private Map<String, MachineType> machineTypes;
  private boolean closed;
  private boolean renting;
  private boolean listing;
  private boolean listedOnce;
  private long requestSeq;

  /** Creates the rentals of one term; {@code prefix} makes request names unique for ever. */
  public MachineProvisioner(
      EventLoop eventLoop,
      Settings settings,
      Options options,
      Cloud cloud,
      Fleet fleet,
      ZoneHealth zones,
      StallDetector wake,
      String prefix,
      Map<String, MachineType> machineTypes,
      Consumer<List<MachineType>> onMachineTypes) {
    this.eventLoop = eventLoop;
    this.settings = settings;
    this.cloud = cloud;
    this.fleet = fleet;
    this.zones = zones;
    this.wake = wake;
    this.returns =
        new MachineReturns(eventLoop, settings, options, cloud, fleet, zones, wake, this::returned);
    this.prefix = prefix;
    this.machineTypes = machineTypes;
    this.onMachineTypes = onMachineTypes;
    this.policy = new ScaleOutPolicy(settings.priceMatters(), options, zones);
  }

  /** Begins to read lists and prices. */
  public void start() {
    list();
    readMachineTypes();
  }

  /** Ends the term. */
  public void close() {
    closed = true;
    returns.close();
  }

  private void readMachineTypes() {
    if (closed) {
      return;
    }
    cloud.machineTypes(
        list -> {
          if (closed) {
            return;
          }
          if (list != null && !list.isEmpty()) {
            Map<String, MachineType> map = new LinkedHashMap<>();
            list.forEach(f -> map.put(f.name(), f));
            machineTypes = map;
            onMachineTypes.accept(list);
          }
          eventLoop.after(
              list == null ? 2_000 : FleetConstants.MACHINE_TYPES_INTERVAL_MS,
              this::readMachineTypes);
        });
  }

  private void list() {
    if (closed || listing) {
      return;
    }
    listing = true;
    cloud.list(
        entries -> {
          listing = false;
          if (closed) {
            return;
          }
          if (entries != null) {
            listedOnce = true;
            entries.forEach(this::listed);
          }
          eventLoop.after(FleetConstants.LIST_INTERVAL_MS, this::list);
        });
  }

  private void listed(MachineEntry e) {
    Machine known = fleet.machine(e.name());
    if (known != null && known.phase() == Machine.Phase.GONE) {
      return;
    }
    Machine machine = fleet.getOrAdd(e.name(), e.address());
    fleet.describeIfUnknown(machine, e.type(), e.zone(), e.spot());
    if (e.state().equals(MachineEntry.FAILED)) {
      machine.setListedFailed();
    } else if (machine.phase() == Machine.Phase.AWAITING_REPORT && !booting.containsKey(e.name())) {
      // Rented by a predecessor, or by a request of ours that was executed late. What is listed as
      // up has
      // all the time to report to us: after a takeover most of an old fleet is listed before it is
      // heard,
      // and a new leader once returned 62 machines with their tasks, a second after its claim. What
      // is
      // listed as starting goes on from its age, or each change of leader would put its end off
      // anew.
      long now = eventLoop.nowMs();
      long askedMs = e.state().equals(MachineEntry.STARTING) ? now - (long) (e.ageS() * 1000) : now;
      booting.put(
          e.name(),
          new Booting(new MachineKind(e.type(), e.zone(), e.spot()), askedMs, now, false));
    }
  }

  /** Takes note of the demand of the moment, CPUs. */
  public void demand(double cpus) {
    long now = eventLoop.nowMs();
    demands.removeIf(d -> d[0] < now - FleetConstants.DEMAND_WINDOW_MS);
    if (!demands.isEmpty() && now - demands.get(demands.size() - 1)[0] < 1_000) {
      double[] last = demands.get(demands.size() - 1);
      last[1] = Math.max(last[1], cpus);
    } else {
      demands.add(new double[] {now, cpus});
    }
  }

  /** Rents what is short and returns what is broken or long idle. */
  public void tick(List<Plan.Unplaced> unplaced) {
    if (closed) {
      return;
    }
    long now = eventLoop.nowMs();
    for (Machine machine : fleet.machines()) {
      boolean up =
          machine.phase() == Machine.Phase.REPORTING || machine.phase() == Machine.Phase.LOST;
      Booting b = up ? booting.remove(machine.name()) : null;
      if (b != null && b.ours) {
        boots.came(b.kind.type(), b.askedMs, now);
      }
    }
    returns.selectMachines(now);
    returnDuds(now);
    returns.send();
    if (!cloud.isBackingOff() && listedOnce && !machineTypes.isEmpty()) {
      rent(unplaced, now);
    }
  }

  private void returnDuds(long now) {
    if (cloud.isBackingOff() || wake.isListening()) {
      // Machines may have come up while we stood still, and their reports wait to be read.
      return;
    }
    long heardMs = (long) (settings.workers().leaseMs() * FleetConstants.MIN_REPORT_WAIT_LEASES);
    booting.forEach(
        (name, b) -> {
          Machine machine = fleet.getOrAdd(name, null);
          boolean waits =
              machine.phase() == Machine.Phase.AWAITING_REPORT && now - b.knownMs > heardMs;
          if (waits
              && boots.isDud(
                  b.kind.type(), bootS(b.kind), b.askedMs, now, isRefused(b.kind, now))) {
            returns.beginRevocableReturn(machine, "never came up");
          }
        });
  }

  private double bootS(MachineKind kind) {
    MachineType f = machineTypes.get(kind.type());
    return f == null ? FleetConstants.DEFAULT_BOOT_S : f.bootS();
  }

  private boolean isRefused(MachineKind kind, long now) {
    return refusedUntil.getOrDefault(kind, 0L) > now;
  }

  /**
   * The machines that may be counted on though they are not up: not those that are late, unless
   * most are, since then it is the cloud that is slow and others would be as late.
   */
  private Set<String> coming(long now) {
    Set<String> coming = new HashSet<>();
    int late = 0;
    for (Map.Entry<String, Booting> e : booting.entrySet()) {
      Booting b = e.getValue();
      Machine machine = fleet.machine(e.getKey());
      if (machine != null && machine.phase() != Machine.Phase.AWAITING_REPORT) {
        continue;
      }
      if (boots.isLate(b.kind.type(), bootS(b.kind), b.askedMs, now)) {
        late++;
      } else {
        coming.add(e.getKey());
      }
    }
    return late > (late + coming.size()) * FleetConstants.MAX_LATE_BOOT_SHARE
        ? booting.keySet()
        : coming;
  }

  private void returned(Machine machine) {
    booting.remove(machine.name());
    // What we gave up others may take, and we are those others: after a refusal we once waited for
    // 40 s while ten machines of a fleet of forty were to be had again.
    refusedUntil.remove(new MachineKind(machine.type(), machine.zone(), machine.spot()));
  }

  private void rent(List<Plan.Unplaced> unplaced, long now) {
    if (renting) {
      return;
    }
    double peak = 0;
    for (double[] d : demands) {
      peak = Math.max(peak, d[1]);
    }
    ScaleOutPolicy.Request next =
        policy.next(stock(now), unplaced, peak, kind -> isRefused(kind, now));
    if (next != null) {
      order(next.kind(), next.machines(), prefix + "-" + ++requestSeq, 0);
    }
  }

  /** The machines that are there or may be counted on. */
  private ScaleOutPolicy.Stock stock(long now) {
    Set<String> coming = coming(now);
    List<MachineKind> comingKinds = new ArrayList<>();
    for (String name : coming) {
      comingKinds.add(booting.get(name).kind);
    }
    int count = 0;
    Map<String, Double> byZone = new HashMap<>();
    for (Machine machine : fleet.machines()) {
      boolean counts =
          machine.phase() == Machine.Phase.REPORTING
              && !machine.isCordoned()
              && !fleet.isUnanswered(machine)
              && machine.interruptionAtMs() < 0;
      if (machine.phase() != Machine.Phase.GONE) {
        count++;
      }
      MachineType f = machineTypes.get(machine.type());
      if (f != null && (counts || coming.contains(machine.name()))) {
        byZone.merge(
            String.valueOf(machine.zone()),
            f.cpus() * zones.countedShare(machine, now),
            Double::sum);
      }
    }
    return new ScaleOutPolicy.Stock(machineTypes, count, byZone, comingKinds);
  }

  private void order(MachineKind kind, int many, String request, int tries) {
    renting = true;
    cloud.rent(
        new Rental(request, kind.type(), kind.zone(), kind.spot(), many),
        result -> {
          renting = false;
          if (closed) {
            return;
          }
          long now = eventLoop.nowMs();
          if (result instanceof Cloud.Rented.Machines rented) {
            log.info(
                "rented {} {} (spot {}) of {}",
                rented.names().size(),
                kind.type(),
                kind.spot(),
                many);
            for (String name : rented.names()) {
              Machine machine = fleet.getOrAdd(name, null);
              fleet.describeIfUnknown(machine, kind.type(), kind.zone(), kind.spot());
              if (machine.phase() == Machine.Phase.AWAITING_REPORT) {
                booting.put(name, new Booting(kind, now, now, true));
              }
            }
            refusedPause.remove(kind);
            if (rented.names().size() < many) {
              refuse(kind, now);
            }
          } else if (result instanceof Cloud.Rented.NoCapacity) {
            refuse(kind, now);
          } else if (tries < 5) {
            // Under the same name: if the first was executed, this one rents nothing more.
            renting = true;
            eventLoop.after(
                1_500,
                () -> {
                  renting = false;
                  if (!closed) {
                    order(kind, many, request, tries + 1);
                  }
                });
          }
        });
  }

  private void refuse(MachineKind kind, long now) {
    long pause = refusedPause.getOrDefault(kind, FleetConstants.MIN_CAPACITY_BACKOFF_MS);
    refusedUntil.put(kind, now + pause);
    refusedPause.put(kind, Math.min(FleetConstants.MAX_CAPACITY_BACKOFF_MS, pause * 2));
  }
}
