package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.net.EventLoop;
import fennelthread.net.StallDetector;
import fennelthread.settings.Options;
import fennelthread.settings.Settings;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides which machines go back to the cloud and sends the requests. The cloud's answer proves
 * that nothing is on a machine any more.
 */
final class MachineReturns {
  private static final Logger log = LoggerFactory.getLogger(MachineReturns.class);

  private final Settings settings;
  private final Options options;
  private final Cloud cloud;
  private final Fleet fleet;
  private final ZoneHealth zones;
  private final StallDetector stalls;
  private final Consumer<Machine> onReturned;
  private final AggregatedLog aggregatedLog;
  private final Set<String> revocable = new LinkedHashSet<>();
  private final Set<String> returning = new LinkedHashSet<>();
  private boolean closed;
  private boolean requestUnderWay;
  private long manySilentAtMs = Long.MIN_VALUE / 2;

  /**
   * Creates the returns of one term.
   *
   * @param onReturned told each machine that the cloud has confirmed to be gone
   */
  MachineReturns(
      EventLoop eventLoop,
      Settings settings,
      Options options,
      Cloud cloud,
      Fleet fleet,
      ZoneHealth zones,
      StallDetector stalls,
      Consumer<Machine> onReturned) {
    this.settings = settings;
    this.options = options;
    this.cloud = cloud;
    this.fleet = fleet;
    this.zones = zones;
    this.stalls = stalls;
    this.onReturned = onReturned;
    this.aggregatedLog = new AggregatedLog(eventLoop, log::info);
  }

  /** Ends the term: answers that are still under way change nothing. */
  void close() {
    closed = true;
  }

  /** Selects the machines that are silent, mute, broken or long idle. */
  void selectMachines(long nowMs) {
    selectSilent(nowMs);
    selectMute(nowMs);
    for (Machine m : fleet.machines()) {
      String why = isUp(m) ? reasonToReturn(m, nowMs) : null;
      if (why != null) {
        giveBack(m, why);
      }
    }
  }

  private static boolean isUp(Machine m) {
    return m.phase() != Machine.Phase.GONE && m.phase() != Machine.Phase.RETURNING;
  }

  /**
   * A machine that neither reports nor answers is most likely dead, and the cloud's answer to a
   * return proves its tasks gone long before its lease does. Not if many are silent at once: then
   * the fault is probably ours, or their zone's, where a controller may be keeping their tasks
   * alive.
   */
  private void selectSilent(long nowMs) {
    if (cloud.isQuiet() || stalls.isListening()) {
      return;
    }
    List<Machine> silent = new ArrayList<>();
    int known = 0;
    for (Machine m : fleet.machines()) {
      // A machine that the predecessor used and that has not answered us may have died or been cut
      // off just before the takeover.
      boolean inherited = m.phase() == Machine.Phase.UNHEARD && !m.isEmpty();
      if ((m.phase() == Machine.Phase.REPORTING || inherited) && !zones.isAway(m)) {
        known++;
        if (nowMs - m.quietSinceMs()
            > settings.workers().reportMs() * FleetConstants.SILENT_REPORTS_ALARM) {
          silent.add(m);
        }
      }
    }
    if (isMany(silent, known)) {
      manySilentAtMs = nowMs;
      return;
    }
    for (Machine m : silent) {
      // Once most are heard again, the others have as long as ever to be heard too.
      long silentFromMs = Math.max(m.quietSinceMs(), Math.max(manySilentAtMs, zones.awayAtMs(m)));
      if (m.contact().probeFailed()
          && !m.isEmpty()
          && nowMs - silentFromMs
              > settings.workers().leaseMs() * FleetConstants.SILENT_LEASE_SHARE) {
        giveBackRevocably(m, "silent");
      }
    }
  }

  /**
   * A machine that carries out commands while none of its own reports arrives is of no use: each
   * lease runs out there. Nothing is lost with it once its tasks are proven gone. Not if many are
   * mute at once: that ends for all of them together, and they would be missed.
   */
  private void selectMute(long nowMs) {
    if (stalls.isListening()) {
      return;
    }
    List<Machine> mute = new ArrayList<>();
    int known = 0;
    for (Machine m : fleet.machines()) {
      boolean up = m.phase() == Machine.Phase.REPORTING || m.phase() == Machine.Phase.LOST;
      if (up && !zones.isAway(m)) {
        known++;
        if (fleet.isMute(m)) {
          mute.add(m);
        }
      }
    }
    if (isMany(mute, known)) {
      return;
    }
    for (Machine m : mute) {
      if (m.isEmpty()
          && nowMs - m.reportAnsweredAtMs()
              > settings.workers().leaseMs() * FleetConstants.MUTE_LEASES) {
        giveBack(m, "mute");
      }
    }
  }

  private static boolean isMany(List<Machine> some, int known) {
    return some.size() > Math.max(1, known * FleetConstants.SILENT_SHARE);
  }

  /** Why a single machine goes back, or null if it stays. */
  private String reasonToReturn(Machine m, long nowMs) {
    if (isLost(m, nowMs)) {
      return "lost";
    }
    if (m.isListedFailed()) {
      return "failed";
    }
    if (isTaken(m, nowMs)) {
      return "taken";
    }
    if (m.isDraining() && m.isEmpty()) {
      return "drained";
    }
    if (isIdle(m, nowMs)) {
      return "idle";
    }
    return fleet.hearsNothing(m) && !zones.isAway(m) ? "hears nothing" : null;
  }

  private boolean isLost(Machine m, long nowMs) {
    boolean silent =
        nowMs - m.contactAtMs() > settings.workers().leaseMs() + FleetConstants.LOST_PATIENCE_MS;
    return m.phase() == Machine.Phase.LOST && silent && zones.mayReturnLost(m, nowMs);
  }

  /** True if the cloud's notice has run out and the machine is silent since. */
  private boolean isTaken(Machine m, long nowMs) {
    return m.noticeUntilMs() >= 0
        && nowMs > m.noticeUntilMs()
        && nowMs - m.heardAtMs() > settings.workers().reportMs() * 2;
  }

  private boolean isIdle(Machine m, long nowMs) {
    return m.phase() == Machine.Phase.REPORTING
        && m.idleSinceMs() >= 0
        && nowMs - m.idleSinceMs() > options.idleReturnMs();
  }

  /** The machine is returned whatever the cloud answers: requests are repeated. */
  void giveBack(Machine m, String why) {
    aggregatedLog.add("returning, " + why, m.name(), 1);
    fleet.beginReturn(m);
    returning.add(m.name());
  }

  /** The machine is returned, but serves on if the cloud refuses to take it. */
  void giveBackRevocably(Machine m, String why) {
    revocable.add(m.name());
    giveBack(m, why);
  }

  /** Sends what was selected, unless a request is under way. */
  void send() {
    if (requestUnderWay || returning.isEmpty() || cloud.isQuiet()) {
      return;
    }
    List<String> names = returning.stream().limit(FleetConstants.MAX_PER_RETURN).toList();
    requestUnderWay = true;
    cloud.giveBack(
        names,
        result -> {
          requestUnderWay = false;
          if (closed) {
            return;
          }
          if (result == Cloud.Returned.GONE) {
            confirmed(names);
          } else if (result == Cloud.Returned.REFUSED) {
            refused(names);
          }
        });
  }

  private void confirmed(List<String> names) {
    revocable.removeAll(names);
    for (String name : names) {
      Machine m = fleet.machine(name);
      returning.remove(name);
      fleet.completeReturn(m);
      onReturned.accept(m);
    }
  }

  private void refused(List<String> names) {
    for (String name : names) {
      if (revocable.remove(name)) {
        returning.remove(name);
        fleet.cancelReturn(fleet.machine(name));
      }
    }
  }
}
