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
 * confirmation proves that nothing runs on a machine any more.
 */
final class MachineReturns {
  private static final Logger log = LoggerFactory.getLogger(MachineReturns.class);

  /** Receives each machine whose return the cloud has confirmed. */
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
  private boolean requestInFlight;
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

  /** Ends the term: answers that arrive from now on are ignored. */
  void close() {
    closed = true;
  }

  /** Selects the machines to return: those that are silent, unanswered, broken or idle for long. */
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
   * Selects silent machines. One that neither reports nor answers probes is most likely dead, and
   * the cloud's confirmation of its return proves its tasks gone long before its lease expires.
   * None is selected while many are silent at once: then the fault is probably this controller's,
   * or that of their zone, where another controller may be renewing their leases.
   */
  private void selectSilent(long nowMs) {
    if (cloud.isBackingOff() || context.stalls().isListening()) {
      return;
    }
    List<Machine> silent = new ArrayList<>();
    int candidateCount = 0;
    for (Machine machine : fleet.machines()) {
      // A machine with tasks of an earlier term that has not reported in this one may have failed
      // or been cut off just before the failover.
      boolean isInherited = machine.phase() == Machine.Phase.AWAITING_REPORT && !machine.isEmpty();
      if ((machine.phase() == Machine.Phase.REPORTING || isInherited)
          && !zones.isUnreachable(machine)) {
        candidateCount++;
        if (nowMs - machine.outOfContactSinceMs()
            > reportMs * FleetConstants.OVERDUE_REPORT_INTERVALS) {
          silent.add(machine);
        }
      }
    }
    if (isLargeShare(silent, candidateCount)) {
      manySilentAtMs = nowMs;
      return;
    }
    for (Machine machine : silent) {
      if (machine.contact().hasProbeFailed()
          && !machine.isEmpty()
          && nowMs - silentSinceMs(machine) > leaseMs * FleetConstants.MAX_SILENCE_LEASE_SHARE) {
        beginRevocableReturn(machine, ReturnReason.SILENT);
      }
    }
  }

  /**
   * Returns since when a machine's silence counts, ms. The count restarts when most of the fleet,
   * or of the machine's zone, is in contact again, so that the rest has time to get into contact
   * too.
   */
  private long silentSinceMs(Machine machine) {
    return Math.max(
        machine.outOfContactSinceMs(),
        Math.max(manySilentAtMs, zones.lastUnreachableAtMs(machine)));
  }

  /**
   * Selects machines that execute commands while none of their own reports arrives. No task can run
   * there for long, since their leases are not renewed; they are returned once their tasks are
   * proven gone. None is selected while many are unanswered at once: such a fault ends for all of
   * them together, and then their capacity is needed.
   */
  private void selectUnanswered(long nowMs) {
    if (context.stalls().isListening()) {
      return;
    }
    List<Machine> unanswered = new ArrayList<>();
    int candidateCount = 0;
    for (Machine machine : fleet.machines()) {
      boolean isUp =
          machine.phase() == Machine.Phase.REPORTING || machine.phase() == Machine.Phase.LOST;
      if (isUp && !zones.isUnreachable(machine)) {
        candidateCount++;
        if (fleet.areReportsUnanswered(machine)) {
          unanswered.add(machine);
        }
      }
    }
    if (isLargeShare(unanswered, candidateCount)) {
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

  private static boolean isLargeShare(List<Machine> selected, int candidateCount) {
    return selected.size() > Math.max(1, candidateCount * FleetConstants.MAX_SILENT_SHARE);
  }

  /**
   * Returns why a machine is to be returned regardless of the state of the others, or NONE if it
   * stays.
   */
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
    boolean isSilent =
        nowMs - machine.lastContactAtMs() > leaseMs + FleetConstants.LOST_RETURN_DELAY_MS;
    return machine.phase() == Machine.Phase.LOST && isSilent && zones.mayReturnLost(machine, nowMs);
  }

  /** Returns true if a spot instance's interruption notice has expired and it no longer reports. */
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

  /**
   * Selects a machine for return. Requests are repeated until the cloud confirms the return or, if
   * the return is revocable, refuses it.
   */
  private void beginReturn(Machine machine, ReturnReason reason) {
    aggregatedLog.add("machine selected for return reason=" + reason.logValue(), machine.name(), 1);
    fleet.beginReturn(machine);
    returning.add(machine.name());
  }

  /** Selects a machine for return that goes back into service if the cloud refuses the request. */
  void beginRevocableReturn(Machine machine, ReturnReason reason) {
    revocable.add(machine.name());
    beginReturn(machine, reason);
  }

  /** Requests the return of the selected machines, unless a request is in flight. */
  void send() {
    if (requestInFlight || returning.isEmpty() || cloud.isBackingOff()) {
      return;
    }
    List<String> names = returning.stream().limit(FleetConstants.MAX_MACHINES_PER_RETURN).toList();
    requestInFlight = true;
    cloud.returnMachines(
        names,
        result -> {
          requestInFlight = false;
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
