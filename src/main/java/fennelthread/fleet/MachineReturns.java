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
    for (Machine machine : fleet.machines()) {
      String why = isUp(machine) ? reasonToReturn(machine, nowMs) : null;
      if (why != null) {
        beginReturn(machine, why);
      }
    }
  }

  private static boolean isUp(Machine machine) {
    return machine.phase() != Machine.Phase.GONE && machine.phase() != Machine.Phase.RETURNING;
  }

  /**
   * A machine that neither reports nor answers is most likely dead, and the cloud's answer to a
   * return proves its tasks gone long before its lease does. Not if many are silent at once: then
   * the fault is probably ours, or their zone's, where a controller may be keeping their tasks
   * alive.
   */
  private void selectSilent(long nowMs) {
    if (cloud.isBackingOff() || stalls.isListening()) {
      return;
    }
    List<Machine> silent = new ArrayList<>();
    int known = 0;
    for (Machine machine : fleet.machines()) {
      // A machine that the predecessor used and that has not answered us may have died or been cut
      // off just before the takeover.
      boolean inherited = machine.phase() == Machine.Phase.AWAITING_REPORT && !machine.isEmpty();
      if ((machine.phase() == Machine.Phase.REPORTING || inherited)
          && !zones.isUnreachable(machine)) {
        known++;
        if (nowMs - machine.outOfContactSinceMs()
            > settings.workers().reportMs() * FleetConstants.OVERDUE_REPORT_INTERVALS) {
          silent.add(machine);
        }
      }
    }
    if (isMany(silent, known)) {
      manySilentAtMs = nowMs;
      return;
    }
    for (Machine machine : silent) {
      // Once most are heard again, the others have as long as ever to be heard too.
      long silentFromMs =
          Math.max(
              machine.outOfContactSinceMs(),
              Math.max(manySilentAtMs, zones.lastUnreachableAtMs(machine)));
      if (machine.contact().probeFailed()
          && !machine.isEmpty()
          && nowMs - silentFromMs
              > settings.workers().leaseMs() * FleetConstants.MAX_SILENCE_LEASE_SHARE) {
        beginRevocableReturn(machine, "silent");
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
    for (Machine machine : fleet.machines()) {
      boolean up =
          machine.phase() == Machine.Phase.REPORTING || machine.phase() == Machine.Phase.LOST;
      if (up && !zones.isUnreachable(machine)) {
        known++;
        if (fleet.isUnanswered(machine)) {
          mute.add(machine);
        }
      }
    }
    if (isMany(mute, known)) {
      return;
    }
    for (Machine machine : mute) {
      if (machine.isEmpty()
          && nowMs - machine.reportAnsweredAtMs()
              > settings.workers().leaseMs() * FleetConstants.UNANSWERED_RETURN_LEASES) {
        beginReturn(machine, "mute");
      }
    }
  }

  private static boolean isMany(List<Machine> some, int known) {
    return some.size() > Math.max(1, known * FleetConstants.MAX_SILENT_SHARE);
  }

  /** Why a single machine goes back, or null if it stays. */
  private String reasonToReturn(Machine machine, long nowMs) {
    if (isLost(machine, nowMs)) {
      return "lost";
    }
    if (machine.isListedFailed()) {
      return "failed";
    }
    if (isInterrupted(machine, nowMs)) {
      return "taken";
    }
    if (machine.isCordoned() && machine.isEmpty()) {
      return "drained";
    }
    if (isIdle(machine, nowMs)) {
      return "idle";
    }
    return fleet.isLosingLeases(machine) && !zones.isUnreachable(machine) ? "hears nothing" : null;
  }

  private boolean isLost(Machine machine, long nowMs) {
    boolean silent =
        nowMs - machine.lastContactAtMs()
            > settings.workers().leaseMs() + FleetConstants.LOST_RETURN_DELAY_MS;
    return machine.phase() == Machine.Phase.LOST && silent && zones.mayReclaimLost(machine, nowMs);
  }

  /** True if the cloud's notice has run out and the machine is silent since. */
  private boolean isInterrupted(Machine machine, long nowMs) {
    return machine.interruptionAtMs() >= 0
        && nowMs > machine.interruptionAtMs()
        && nowMs - machine.lastReportAtMs() > settings.workers().reportMs() * 2;
  }

  private boolean isIdle(Machine machine, long nowMs) {
    return machine.phase() == Machine.Phase.REPORTING
        && machine.idleSinceMs() >= 0
        && nowMs - machine.idleSinceMs() > options.idleReturnMs();
  }

  /** The machine is returned whatever the cloud answers: requests are repeated. */
  void beginReturn(Machine machine, String why) {
    aggregatedLog.add("returning, " + why, machine.name(), 1);
    fleet.beginReturn(machine);
    returning.add(machine.name());
  }

  /** The machine is returned, but serves on if the cloud refuses to take it. */
  void beginRevocableReturn(Machine machine, String why) {
    revocable.add(machine.name());
    beginReturn(machine, why);
  }

  /** Sends what was selected, unless a request is under way. */
  void send() {
    if (requestUnderWay || returning.isEmpty() || cloud.isBackingOff()) {
      return;
    }
    List<String> names = returning.stream().limit(FleetConstants.MAX_MACHINES_PER_RETURN).toList();
    requestUnderWay = true;
    cloud.returnMachines(
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
      Machine machine = fleet.machine(name);
      returning.remove(name);
      fleet.completeReturn(machine);
      onReturned.accept(machine);
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
