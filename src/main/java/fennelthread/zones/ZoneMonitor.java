package fennelthread.zones;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.RelayConstants;
import fennelthread.constants.ZoneConstants;
import fennelthread.fleet.Machine;
import fennelthread.fleet.ZoneHealth;
import fennelthread.settings.Settings;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Monitors the health of the zones, each with its {@link ZoneState}, and derives what follows for
 * placement, scaling out and scaling in. With a single zone there is nothing to compare it with,
 * and it always counts as healthy.
 *
 * <p>Not thread-safe: all methods are called on the event loop's thread.
 */
public final class ZoneMonitor implements ZoneHealth {
  private static final Logger log = LoggerFactory.getLogger(ZoneMonitor.class);

  /** What is counted of a zone's machines in one observation. */
  private static final class ZoneCount {
    int known;
    int silent;
    int reporting;
    long lastContactAtMs = Long.MIN_VALUE / 2;

    void add(Machine machine, boolean machineSilent) {
      known++;
      lastContactAtMs = Math.max(lastContactAtMs, machine.lastContactAtMs());
      reporting += machine.phase() == Machine.Phase.REPORTING ? 1 : 0;
      silent += machineSilent ? 1 : 0;
    }
  }

  private final long reportMs;
  private final long leaseMs;
  private final boolean multipleZones;
  private final Map<String, ZoneState> zones = new TreeMap<>();
  private long observedAtMs = Long.MIN_VALUE / 2;
  private long observingSinceMs = Long.MIN_VALUE / 2;
  private long termSinceMs = Long.MIN_VALUE / 2;

  /** Creates a monitor of the zones that the settings name. */
  public ZoneMonitor(Settings settings) {
    this.reportMs = settings.workers().reportMs();
    this.leaseMs = settings.workers().leaseMs();
    this.multipleZones = settings.zones().size() > 1;
  }

  /** Begins a term of this controller: workers need a moment to report to it. */
  public void beginTerm(long nowMs) {
    termSinceMs = nowMs;
  }

  // ---------------------------------------------------------------- observation

  @Override
  public void observe(Collection<Machine> machines, long nowMs) {
    if (!multipleZones) {
      return;
    }
    if (nowMs - observedAtMs > ZoneConstants.MAX_OBSERVATION_GAP_MS) {
      // We have stalled ourselves: what arrived meanwhile waits to be read.
      observingSinceMs = nowMs;
    }
    observedAtMs = nowMs;
    ZoneCount total = new ZoneCount();
    Map<String, ZoneCount> counts = countByZone(machines, total, nowMs);
    for (Map.Entry<String, ZoneCount> entry : counts.entrySet()) {
      observeZone(entry.getKey(), counts, total, nowMs);
    }
  }

  private Map<String, ZoneCount> countByZone(
      Collection<Machine> machines, ZoneCount total, long nowMs) {
    Map<String, ZoneCount> counts = new HashMap<>();
    for (Machine machine : machines) {
      if (machine.zone() != null && isJudged(machine)) {
        boolean silent =
            nowMs - Math.max(machine.outOfContactSinceMs(), observingSinceMs)
                > reportMs * FleetConstants.OVERDUE_REPORT_INTERVALS;
        counts.computeIfAbsent(machine.zone(), k -> new ZoneCount()).add(machine, silent);
        total.add(machine, silent);
      }
    }
    return counts;
  }

  /** Returns true if a machine reports, has reported, or holds tasks of a predecessor. */
  private static boolean isJudged(Machine machine) {
    return switch (machine.phase()) {
      case REPORTING, LOST -> true;
      case AWAITING_REPORT -> !machine.isEmpty();
      case RETURNING, GONE -> false;
    };
  }

  private void observeZone(
      String name, Map<String, ZoneCount> counts, ZoneCount total, long nowMs) {
    ZoneCount count = counts.get(name);
    int othersKnown = total.known - count.known;
    int othersSilent = total.silent - count.silent;
    boolean othersInContact =
        othersKnown >= ZoneConstants.MIN_MACHINES
            && othersSilent < othersKnown * ZoneConstants.MAX_OTHERS_SILENT_SHARE
            && isOtherZoneInContact(counts, name, nowMs);
    ZoneState zone = zones.computeIfAbsent(name, k -> new ZoneState());
    ZoneState.Phase before = zone.phase();
    ZoneState.Evidence evidence =
        new ZoneState.Evidence(
            count.known, count.silent, zoneSilenceMs(count, nowMs), othersInContact);
    if (zone.observe(evidence, leaseMs, nowMs)) {
      log.info(
          "zone phase changed zone={} from={} to={} silent={} machines={} othersSilent={}"
              + " otherMachines={}",
          name,
          before,
          zone.phase(),
          count.silent,
          count.known,
          othersSilent,
          othersKnown);
    }
  }

  /**
   * Returns true if a machine of another zone was in contact in the last moment: then the fault is
   * not this controller's own connection.
   */
  private boolean isOtherZoneInContact(Map<String, ZoneCount> counts, String zone, long nowMs) {
    for (Map.Entry<String, ZoneCount> entry : counts.entrySet()) {
      if (!entry.getKey().equals(zone)
          && nowMs - entry.getValue().lastContactAtMs < ZoneConstants.MIN_ZONE_SILENCE_MS) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns for how long nothing at all has arrived from a zone, ms, if that is too long for
   * chance: hundreds of workers report at random moments, so that one second without any of them
   * says as much as their single silences do five seconds later. Returns 0 if it may be chance.
   */
  private long zoneSilenceMs(ZoneCount count, long nowMs) {
    long silentFromMs =
        Math.max(Math.max(count.lastContactAtMs, observingSinceMs), termSinceMs + 2 * reportMs);
    long silenceMs = nowMs - silentFromMs;
    boolean tooLong =
        silenceMs >= ZoneConstants.MIN_ZONE_SILENCE_MS
            && (double) count.reporting * silenceMs / reportMs >= RelayConstants.DEAF_DUE;
    return tooLong ? silenceMs : 0;
  }

  // ---------------------------------------------------------------- consequences

  /** Returns the state of a machine's zone, or null if it always counts as healthy. */
  private ZoneState zoneOf(Machine machine) {
    return multipleZones && machine.zone() != null ? zones.get(machine.zone()) : null;
  }

  @Override
  public boolean mayPlace(Machine machine) {
    ZoneState zone = zoneOf(machine);
    return zone == null || !zone.isUnreachable() || machine.lastContactAtMs() > zone.phaseSinceMs();
  }

  @Override
  public boolean isUnreachable(Machine machine) {
    ZoneState zone = zoneOf(machine);
    return zone != null && zone.isUnreachable();
  }

  @Override
  public long lastUnreachableAtMs(Machine machine) {
    ZoneState zone = zoneOf(machine);
    return zone == null ? Long.MIN_VALUE / 2 : zone.lastUnreachableAtMs();
  }

  @Override
  public boolean mayReturnLost(Machine machine, long nowMs) {
    ZoneState zone = zoneOf(machine);
    return zone == null
        || !zone.isUnreachable()
        || nowMs - zone.silentSinceMs() > ZoneConstants.KEEP_LOST_MS;
  }

  @Override
  public double usableCapacityShare(Machine machine, long nowMs) {
    ZoneState zone = zoneOf(machine);
    if (zone == null || !zone.isUnreachable()) {
      return 1;
    }
    // An outage of ten seconds must not cost a second fleet, a lasting one must not leave its
    // machines unreplaced for a minute.
    double overdueMs = nowMs - zone.silentSinceMs() - ZoneConstants.REPLACEMENT_DELAY_MS;
    return Math.max(0, 1 - Math.max(0, overdueMs) / ZoneConstants.REPLACEMENT_RAMP_MS);
  }

  @Override
  public List<String> zonesToProvision(List<String> candidates, Map<String, Double> cpusByZone) {
    if (!multipleZones) {
      return candidates;
    }
    List<String> reachable = new ArrayList<>();
    for (String name : candidates) {
      ZoneState zone = zones.get(name);
      if (zone == null || !zone.isUnreachable()) {
        reachable.add(name);
      }
    }
    // The sort is stable: among equals the cloud's order.
    reachable.sort(Comparator.comparingDouble(name -> cpusByZone.getOrDefault(name, 0.0)));
    return reachable.isEmpty() ? candidates : reachable;
  }
}
