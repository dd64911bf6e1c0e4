package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Scales in: decides which machines are returned to the cloud and sends the requests. The cloud's
 * answer proves that nothing is on a machine any more.
 */
final class MachineReturns {
  private static final Logger log = LoggerFactory.getLogger(MachineReturns.class);

  /** Receives each machine that the cloud has confirmed to be gone. */
  @FunctionalInterface
  interface ReturnListener {
    void onReturned(Machine machine);
  }

  private final ProvisioningContext context;
  private final CloudClient cloud;
  private final Fleet fleet;
  private final ZoneHealth zones;
  private final long reportMs;
  private final long leaseMs;
  private final ReturnListener listener;
  private final AggregatedLog aggregatedLog;
  private final Set<String> revocable = new LinkedHashSet<>();
  private final Set<String> returning = new LinkedHashSet<>();
  private boolean closed;
  private boolean requestUnderWay;
  private long manySilentAtMs = Long.MIN_VALUE / 2;

  MachineReturns(ProvisioningContext context, ReturnListener listener) {
    this.context = context;
    this.cloud = context.cloud();
    this.fleet = context.fleet();
    this.zones = context.zones();
    this.reportMs = context.settings().workers().reportMs();
    this.leaseMs = context.settings().workers().leaseMs();
    this.listener = listener;
    this.aggregatedLog = new AggregatedLog(context.eventLoop(), log::info);
  }

  /** Ends the term: answers that are still under way change nothing. */
  void close() {
    closed = true;
  }

  /** Selects the machines that are silent, unanswered, broken or long idle. */
  void selectMachines(long nowMs) {
    selectSilent(nowMs);
    selectUnanswered(nowMs);
    for (Machine machine : fleet.machines()) {
      ReturnReason reason =
          isInService(machine) ? reasonToReturn(machine, nowMs) : ReturnReason.NONE;
      if (reason != ReturnReason.NONE) {
        beginReturn(machine, reason);
      }
    }
  }

  private static boolean isInService(Machine machine) {
    return machine.phase() != Machine.Phase.GONE && machine.phase() != Machine.Phase.RETURNING;
  }

  /**
   * Selects silent machines. One that neither reports nor answers is most likely dead, and the
   * cloud's answer to a return proves its tasks gone long before its lease does. Not if many are
   * silent at once: then the fault is probably ours, or their zone's, where a controller may be
   * renewing their leases.
   */
  private void selectSilent(long nowMs) {
    if (cloud.isBackingOff() || context.stalls().isListening()) {
      return;
    }
    List<Machine> silent = new ArrayList<>();
    int known = 0;
    for (Machine machine : fleet.machines()) {
      // A machine that the predecessor used and that has not answered us may have died or been cut
      // off just before the failover.
      boolean inherited = machine.phase() == Machine.Phase.AWAITING_REPORT && !machine.isEmpty();
      if ((machine.phase() == Machine.Phase.REPORTING || inherited)
          && !zones.isUnreachable(machine)) {
        known++;
        if (nowMs - machine.outOfContactSinceMs()
            > reportMs * FleetConstants.OVERDUE_REPORT_INTERVALS) {
          silent.add(machine);
        }
      }
    }
    if (isMany(silent, known)) {
      manySilentAtMs = nowMs;
      return;
    }
    for (Machine machine : silent) {
      if (machine.contact().probeFailed()
          && !machine.isEmpty()
          && nowMs - silentSinceMs(machine) > leaseMs * FleetConstants.MAX_SILENCE_LEASE_SHARE) {
        beginRevocableReturn(machine, ReturnReason.SILENT);
      }
    }
  }

  /**
   * Returns since when a machine's silence counts, ms: once most of the fleet or its zone is in
   * contact again, the others have as long as ever to be in contact too.
   */
  private long silentSinceMs(Machine machine) {
    return Math.max(
        machine.outOfContactSinceMs(),
        Math.max(manySilentAtMs, zones.lastUnreachableAtMs(machine)));
  }

  /**
   * Selects machines that carry out commands while none of their own reports arrives. They are of
   * no use, since each lease expires there, and nothing is lost with them once their tasks are
   * proven gone. Not if many are unanswered at once: that ends for all of them together, and they
   * would be missed.
   */
  private void selectUnanswered(long nowMs) {
    if (context.stalls().isListening()) {
      return;
    }
    List<Machine> unanswered = new ArrayList<>();
    int known = 0;
    for (Machine machine : fleet.machines()) {
      boolean up =
          machine.phase() == Machine.Phase.REPORTING || machine.phase() == Machine.Phase.LOST;
      if (up && !zones.isUnreachable(machine)) {
        known++;
        if (fleet.isUnanswered(machine)) {
          unanswered.add(machine);
        }
      }
    }
    if (isMany(unanswered, known)) {
      return;
    }
    for (Machine machine : unanswered) {
      if (machine.isEmpty()
          && nowMs - machine.contact().reportAnsweredAtMs()
              > leaseMs * FleetConstants.UNANSWERED_RETURN_LEASES) {
        beginReturn(machine, ReturnReason.REPORTS_LOST);
      }
    }
  }

  private static boolean isMany(List<Machine> selected, int known) {
    return selected.size() > Math.max(1, known * FleetConstants.MAX_SILENT_SHARE);
  }

  /** Returns why a single machine is returned, or NONE if it stays. */
  private ReturnReason reasonToReturn(Machine machine, long nowMs) {
    if (isLost(machine, nowMs)) {
      return ReturnReason.LEASE_EXPIRED;
    }
    if (machine.isListedFailed()) {
      return ReturnReason.FAILED;
    }
    if (isInterrupted(machine, nowMs)) {
      return ReturnReason.INTERRUPTED;
    }
    if (machine.isCordoned() && machine.isEmpty()) {
      return ReturnReason.CORDONED;
    }
    if (isIdle(machine, nowMs)) {
      return ReturnReason.IDLE;
    }
    return fleet.isLosingLeases(machine) && !zones.isUnreachable(machine)
        ? ReturnReason.LOSING_LEASES
        : ReturnReason.NONE;
  }

  private boolean isLost(Machine machine, long nowMs) {
    boolean silent =
        nowMs - machine.lastContactAtMs() > leaseMs + FleetConstants.LOST_RETURN_DELAY_MS;
    return machine.phase() == Machine.Phase.LOST && silent && zones.mayReturnLost(machine, nowMs);
  }

  /** Returns true if a spot interruption notice has run out and the machine is silent since. */
  private boolean isInterrupted(Machine machine, long nowMs) {
    return machine.interruptionAtMs() >= 0
        && nowMs > machine.interruptionAtMs()
        && nowMs - machine.contact().lastReportAtMs() > reportMs * 2;
  }

  private boolean isIdle(Machine machine, long nowMs) {
    return machine.phase() == Machine.Phase.REPORTING
        && machine.idleSinceMs() >= 0
        && nowMs - machine.idleSinceMs() > context.options().idleReturnMs();
  }

  /** Returns a machine whatever the cloud answers: requests are repeated until it confirms. */
  private void beginReturn(Machine machine, ReturnReason reason) {
    aggregatedLog.add("machine return requested reason=" + reason.logValue(), machine.name(), 1);
    fleet.beginReturn(machine);
    returning.add(machine.name());
  }

  /** Returns a machine that stays in service if the cloud refuses to take it. */
  void beginRevocableReturn(Machine machine, ReturnReason reason) {
    revocable.add(machine.name());
    beginReturn(machine, reason);
  }

  /** Sends the selected machines' return, unless a request is under way. */
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
          switch (result) {
            case CONFIRMED -> onConfirmed(names);
            case REFUSED -> onRefused(names);
            case UNKNOWN -> {}
          }
        });
  }

  private void onConfirmed(List<String> names) {
    revocable.removeAll(names);
    for (String name : names) {
      Machine machine = fleet.findMachine(name);
      returning.remove(name);
      fleet.completeReturn(machine);
      listener.onReturned(machine);
    }
  }

  private void onRefused(List<String> names) {
    for (String name : names) {
      if (revocable.remove(name)) {
        returning.remove(name);
        fleet.cancelReturn(fleet.findMachine(name));
      }
    }
  }
}
