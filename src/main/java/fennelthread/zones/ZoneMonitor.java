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
 * Monitors the health of the zones, each with its {@link ZoneState}, and derives from it where
 * tasks may be placed and which machines are rented and returned. If there is only one zone, no
 * other can be compared with it, and it always counts as healthy.
 *
 * <p>Not thread-safe: all methods are called on the event loop's thread.
 */
public final class ZoneMonitor implements ZoneHealth {
  private static final Logger log = LoggerFactory.getLogger(ZoneMonitor.class);

  /** Counts of a zone's machines in one observation. */
  private static final class ZoneCount {
    int machines;
    int silentMachines;
    int reportingMachines;
    long lastContactAtMs = Long.MIN_VALUE / 2;

    void add(Machine machine, boolean isSilent) {
      machines++;
      lastContactAtMs = Math.max(lastContactAtMs, machine.lastContactAtMs());
      reportingMachines += machine.phase() == Machine.Phase.REPORTING ? 1 : 0;
      silentMachines += isSilent ? 1 : 0;
    }
  }

  private final long reportMs;
  private final long leaseMs;
  private final boolean hasMultipleZones;
  private final Map<String, ZoneState> zones = new TreeMap<>();
  // Times start in the far past, halved so that differences do not overflow.
  private long observedAtMs = Long.MIN_VALUE / 2;
  private long observingSinceMs = Long.MIN_VALUE / 2;
  private long termSinceMs = Long.MIN_VALUE / 2;

  /** Creates a monitor of the zones that the settings name, all of them healthy. */
  public ZoneMonitor(Settings settings) {
    this.reportMs = settings.workers().reportMs();
    this.leaseMs = settings.workers().leaseMs();
    this.hasMultipleZones = settings.zones().size() > 1;
  }

  /**
   * Begins a term of this controller as leader at {@code nowMs}. Workers need some time to send it
   * their first reports, so the silence of a whole zone counts only from two report intervals
   * later.
   */
  public void beginTerm(long nowMs) {
    termSinceMs = nowMs;
  }

  // ---------------------------------------------------------------- observation

  @Override
  public void observe(Collection<Machine> machines, long nowMs) {
    if (!hasMultipleZones) {
      return;
    }
    if (nowMs - observedAtMs > ZoneConstants.MAX_OBSERVATION_GAP_MS) {
      // This process has stalled: reports that arrived meanwhile have not been read yet. Silence
      // therefore counts from now on.
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
      if (machine.zone() != null && isCounted(machine)) {
        boolean isSilent =
            nowMs - Math.max(machine.outOfContactSinceMs(), observingSinceMs)
                > reportMs * FleetConstants.OVERDUE_REPORT_INTERVALS;
        counts.computeIfAbsent(machine.zone(), k -> new ZoneCount()).add(machine, isSilent);
        total.add(machine, isSilent);
      }
    }
    return counts;
  }

  /**
   * Returns true if a machine counts as one of its zone: it has reported to this leader, or has
   * tasks that an earlier leader started. Machines that are booting or being returned do not count.
   */
  private static boolean isCounted(Machine machine) {
    return switch (machine.phase()) {
      case REPORTING, LOST -> true;
      case AWAITING_REPORT -> !machine.isEmpty();
      case RETURNING, GONE -> false;
    };
  }

  private void observeZone(
      String name, Map<String, ZoneCount> counts, ZoneCount total, long nowMs) {
    ZoneCount count = counts.get(name);
    int otherMachines = total.machines - count.machines;
    int silentOtherMachines = total.silentMachines - count.silentMachines;
    boolean areOthersInContact =
        otherMachines >= ZoneConstants.MIN_MACHINES
            && silentOtherMachines < otherMachines * ZoneConstants.MAX_OTHERS_SILENT_SHARE
            && isOtherZoneInContact(counts, name, nowMs);
    ZoneState zone = zones.computeIfAbsent(name, k -> new ZoneState());
    ZoneState.Phase before = zone.phase();
    ZoneState.Evidence evidence =
        new ZoneState.Evidence(
            count.machines, count.silentMachines, zoneSilenceMs(count, nowMs), areOthersInContact);
    if (zone.observe(evidence, leaseMs, nowMs)) {
      log.info(
          "zone phase changed zone={} from={} to={} silent={} machines={} othersSilent={}"
              + " otherMachines={}",
          name,
          before,
          zone.phase(),
          count.silentMachines,
          count.machines,
          silentOtherMachines,
          otherMachines);
    }
  }

  /**
   * Returns true if a machine of another zone has been in contact so recently that its zone does
   * not count as silent: then the fault is not this controller's own connection.
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
   * Returns for how long there has been no contact with any machine of a zone, ms, or 0 if that may
   * be chance. It is not chance if {@link RelayConstants#MIN_MISSING_REPORTS} reports or more are
   * due in that time. Hundreds of workers report at random moments, so one second without contact
   * to any is as strong evidence as the silence of the single machines, which shows only about five
   * seconds later.
   */
  private long zoneSilenceMs(ZoneCount count, long nowMs) {
    long silentFromMs =
        Math.max(Math.max(count.lastContactAtMs, observingSinceMs), termSinceMs + 2 * reportMs);
    long silenceMs = nowMs - silentFromMs;
    boolean isSignificant =
        silenceMs >= ZoneConstants.MIN_ZONE_SILENCE_MS
            && (double) count.reportingMachines * silenceMs / reportMs
                >= RelayConstants.MIN_MISSING_REPORTS;
    return isSignificant ? silenceMs : 0;
  }

  // ---------------------------------------------------------------- consequences

  /**
   * Returns the state of a machine's zone, or null if there is none; the zone then counts as
   * healthy.
   */
  private ZoneState zoneOf(Machine machine) {
    return hasMultipleZones && machine.zone() != null ? zones.get(machine.zone()) : null;
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
    // The replacement begins after a delay and grows gradually: for an outage of ten seconds a
    // second fleet must not be rented, and in a lasting one machines must not stay unreplaced for
    // a minute.
    double overdueMs = nowMs - zone.silentSinceMs() - ZoneConstants.REPLACEMENT_DELAY_MS;
    return Math.max(0, 1 - Math.max(0, overdueMs) / ZoneConstants.REPLACEMENT_RAMP_MS);
  }

  @Override
  public List<String> zonesToProvision(List<String> candidates, Map<String, Double> cpusByZone) {
    if (!hasMultipleZones) {
      return candidates;
    }
    List<String> reachable = new ArrayList<>();
    for (String name : candidates) {
      ZoneState zone = zones.get(name);
      if (zone == null || !zone.isUnreachable()) {
        reachable.add(name);
      }
    }
    // The sort is stable: zones with equal capacity stay in the cloud's order.
    reachable.sort(Comparator.comparingDouble(name -> cpusByZone.getOrDefault(name, 0.0)));
    return reachable.isEmpty() ? candidates : reachable;
  }
}
