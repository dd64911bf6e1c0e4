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
 * The zones, each with its state machine, and what follows from their phases for placement, renting
 * and returning. With one zone there is nothing to tell apart, and nothing is thought of it.
 */
public final class Zones implements ZoneHealth {
  private static final Logger log = LoggerFactory.getLogger(Zones.class);

  /** What is counted of a zone's machines at one look. */
  private static final class Count {
    int known;
    int silent;
    int reporting;
    long heardAtMs = Long.MIN_VALUE / 2;
  }

  private final long reportMs;
  private final long leaseMs;
  private final boolean several;
  private final Map<String, Zone> zones = new TreeMap<>();
  private long lookedAtMs = Long.MIN_VALUE / 2;
  private long awakeSinceMs = Long.MIN_VALUE / 2;
  private long termSinceMs = Long.MIN_VALUE / 2;

  /** Creates them. */
  public Zones(Settings settings) {
    this.reportMs = settings.workers().reportMs();
    this.leaseMs = settings.workers().leaseMs();
    this.several = settings.zones().size() > 1;
  }

  /** A term of ours begins: workers need a moment to come over. */
  public void begin(long nowMs) {
    termSinceMs = nowMs;
  }

  @Override
  public void observe(Collection<Machine> machines, long nowMs) {
    if (!several) {
      return;
    }
    if (nowMs - lookedAtMs > ZoneConstants.LATE_MS) {
      // We were not listening ourselves: what came in meanwhile waits to be read.
      awakeSinceMs = nowMs;
    }
    lookedAtMs = nowMs;
    Map<String, Count> counts = new HashMap<>();
    int known = 0;
    int silent = 0;
    for (Machine machine : machines) {
      boolean inherited = machine.phase() == Machine.Phase.AWAITING_REPORT && !machine.isEmpty();
      if (machine.zone() == null
          || (machine.phase() != Machine.Phase.REPORTING
              && machine.phase() != Machine.Phase.LOST
              && !inherited)) {
        continue;
      }
      Count c = counts.computeIfAbsent(machine.zone(), k -> new Count());
      c.known++;
      known++;
      c.heardAtMs = Math.max(c.heardAtMs, machine.lastContactAtMs());
      if (machine.phase() == Machine.Phase.REPORTING) {
        c.reporting++;
      }
      if (nowMs - Math.max(machine.outOfContactSinceMs(), awakeSinceMs)
          > reportMs * FleetConstants.OVERDUE_REPORT_INTERVALS) {
        c.silent++;
        silent++;
      }
    }
    for (Map.Entry<String, Count> e : counts.entrySet()) {
      Count c = e.getValue();
      int othersKnown = known - c.known;
      int othersSilent = silent - c.silent;
      boolean othersHeard =
          othersKnown >= ZoneConstants.LEAST_MACHINES
              && othersSilent < othersKnown * ZoneConstants.OTHERS_SILENT
              && heardLately(counts, e.getKey(), nowMs);
      Zone zone = zones.computeIfAbsent(e.getKey(), k -> new Zone());
      Zone.Phase before = zone.phase();
      if (zone.look(
          new Zone.Evidence(c.known, c.silent, silentFor(c, nowMs), othersHeard), leaseMs, nowMs)) {
        log.info(
            "zone {}: {} -> {}, {} of {} machines silent, {} of {} elsewhere",
            e.getKey(),
            before,
            zone.phase(),
            c.silent,
            c.known,
            othersSilent,
            othersKnown);
      }
    }
  }

  /** True if a machine of another zone was heard in the last moment: then our own ears are good. */
  private boolean heardLately(Map<String, Count> counts, String but, long nowMs) {
    for (Map.Entry<String, Count> e : counts.entrySet()) {
      if (!e.getKey().equals(but) && nowMs - e.getValue().heardAtMs < ZoneConstants.ALL_SILENT_MS) {
        return true;
      }
    }
    return false;
  }

  /**
   * For how long nothing at all was heard of a zone, ms, if that is too long for chance: hundreds
   * of workers report at random moments, so that one second without any of them says as much as
   * their single silences do five seconds later. 0 if it is not.
   */
  private long silentFor(Count c, long nowMs) {
    long from = Math.max(Math.max(c.heardAtMs, awakeSinceMs), termSinceMs + 2 * reportMs);
    long forMs = nowMs - from;
    boolean tooLong =
        forMs >= ZoneConstants.ALL_SILENT_MS
            && (double) c.reporting * forMs / reportMs >= RelayConstants.DEAF_DUE;
    return tooLong ? forMs : 0;
  }

  private Zone of(Machine machine) {
    return several && machine.zone() != null ? zones.get(machine.zone()) : null;
  }

  @Override
  public boolean mayPlace(Machine machine) {
    Zone z = of(machine);
    return z == null || !z.isUnreachable() || machine.lastContactAtMs() > z.sinceMs();
  }

  @Override
  public boolean isUnreachable(Machine machine) {
    Zone z = of(machine);
    return z != null && z.isUnreachable();
  }

  @Override
  public long lastUnreachableAtMs(Machine machine) {
    Zone z = of(machine);
    return z == null ? Long.MIN_VALUE / 2 : z.lastUnreachableAtMs();
  }

  @Override
  public boolean mayReclaimLost(Machine machine, long nowMs) {
    Zone z = of(machine);
    return z == null || !z.isUnreachable() || nowMs - z.silentSinceMs() > ZoneConstants.KEPT_MS;
  }

  @Override
  public double countedShare(Machine machine, long nowMs) {
    Zone z = of(machine);
    if (z == null || !z.isUnreachable()) {
      return 1;
    }
    // One that is back in ten seconds must not have cost a second fleet, one that stays away must
    // not be
    // missed for a minute.
    double awayMs = nowMs - z.silentSinceMs() - ZoneConstants.REPLACE_FROM_MS;
    return Math.max(0, 1 - Math.max(0, awayMs) / ZoneConstants.REPLACE_OVER_MS);
  }

  @Override
  public List<String> zonesToProvision(List<String> of, Map<String, Double> cpus) {
    if (!several) {
      return of;
    }
    List<String> there = new ArrayList<>();
    for (String name : of) {
      Zone z = zones.get(name);
      if (z == null || !z.isUnreachable()) {
        there.add(name);
      }
    }
    // The sort is stable: among equals the cloud's order.
    there.sort(Comparator.comparingDouble(name -> cpus.getOrDefault(name, 0.0)));
    return there.isEmpty() ? of : there;
  }
}
