package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.RelayConstants;

/** Decides from a machine's contact with this leader whether it can be given tasks. */
final class MachineReadiness {
  private final FleetContext context;
  private final ZoneHealth zones;

  MachineReadiness(FleetContext context, ZoneHealth zones) {
    this.context = context;
    this.zones = zones;
  }

  /**
   * Returns true if the machine can be given tasks: in contact lately, confirmed under this term's
   * fencing token, and renewing its lease.
   */
  boolean isReady(Machine machine) {
    long nowMs = context.nowMs();
    return machine.phase() == Machine.Phase.REPORTING
        && machine.address() != null
        && machine.isConfirmed(context.epoch())
        && !machine.isCordoned()
        && machine.interruptionAtMs() < 0
        && nowMs - machine.contact().unreachableAtMs() > FleetConstants.UNREACHABLE_PAUSE_MS
        && isRenewingLease(machine, nowMs)
        && !hasUnstableSessions(machine, nowMs)
        && zones.mayPlace(machine);
  }

  /**
   * Returns true if the machine was in contact lately and renews its lease. A machine that only
   * carries out commands loses its tasks when its lease expires, whatever it is sent.
   */
  private boolean isRenewingLease(Machine machine, long nowMs) {
    double maxSilenceMs = context.reportMs() * RelayConstants.SILENT_REPORTS;
    return nowMs - machine.lastContactAtMs() <= maxSilenceMs
        && nowMs - machine.contact().reportAnsweredAtMs() <= maxSilenceMs;
  }

  /**
   * Returns true if lease after lease has expired on a machine although it reports: what is started
   * there now would end like the rest.
   */
  private boolean hasUnstableSessions(Machine machine, long nowMs) {
    long leaseMs = context.leaseMs();
    MachineContact contact = machine.contact();
    return contact.sessionChangesSince(nowMs - leaseMs) > 0
        && contact.sessionChangesSince(nowMs - leaseMs * FleetConstants.SESSION_CHANGE_LEASES)
            >= FleetConstants.MIN_SESSION_CHANGES_UNREADY;
  }

  /**
   * Returns true if none of the machine's own reports was answered for so long that its lease must
   * be over, though it may carry out commands.
   */
  boolean isUnanswered(Machine machine) {
    return context.nowMs() - machine.contact().reportAnsweredAtMs() > context.maxLeaseMs();
  }

  /**
   * Returns true if the machine's leases have expired again and again: answers do not reach it, and
   * it is of no use.
   */
  boolean isLosingLeases(Machine machine) {
    long fromMs = context.nowMs() - context.leaseMs() * FleetConstants.SESSION_CHANGE_LEASES;
    return machine.contact().sessionChangesSince(fromMs)
        >= FleetConstants.MIN_SESSION_CHANGES_TO_RETURN;
  }
}
