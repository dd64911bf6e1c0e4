package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.RelayConstants;

/**
 * Decides from a machine's contact with this leader whether tasks may be placed on it, and whether
 * its lease is being renewed.
 */
final class MachineReadiness {
  private final FleetContext context;
  private final ZoneHealth zones;

  MachineReadiness(FleetContext context, ZoneHealth zones) {
    this.context = context;
    this.zones = zones;
  }

  /**
   * Returns true if tasks may be placed on the machine: it reports, and not only if asked, since
   * starts are sent with the answers to its own reports, its address is known, it has confirmed
   * this term's fencing token, it is neither cordoned nor announced to be interrupted, no
   * connection to it failed to open within {@link FleetConstants#UNREACHABLE_PAUSE_MS}, it renews
   * its lease, its leases do not expire repeatedly, and starts would probably reach its zone.
   */
  boolean isReady(Machine machine) {
    long nowMs = context.nowMs();
    return machine.phase() == Machine.Phase.REPORTING
        && machine.address() != null
        && machine.isConfirmed(context.epoch())
        && !machine.contact().isEarlyReportMissing(nowMs)
        && !machine.isCordoned()
        && machine.interruptionAtMs() < 0
        && nowMs - machine.contact().unreachableAtMs() > FleetConstants.UNREACHABLE_PAUSE_MS
        && isRenewingLease(machine, nowMs)
        && !hasUnstableSessions(machine, nowMs)
        && zones.mayPlace(machine);
  }

  /**
   * Returns true if the machine was in contact recently and its own reports are answered. One that
   * only executes commands does not renew its lease, and loses its tasks when that expires.
   */
  private boolean isRenewingLease(Machine machine, long nowMs) {
    double maxSilenceMs = context.reportMs() * RelayConstants.MAX_MISSED_REPORTS;
    return nowMs - machine.lastContactAtMs() <= maxSilenceMs
        && nowMs - machine.contact().reportAnsweredAtMs() <= maxSilenceMs;
  }

  /**
   * Returns true if a machine's lease has expired several times recently, although it reports:
   * tasks that are started there would end with the next expiry.
   */
  private boolean hasUnstableSessions(Machine machine, long nowMs) {
    long leaseMs = context.leaseMs();
    MachineContact contact = machine.contact();
    return contact.sessionChangesSince(nowMs - leaseMs) > 0
        && contact.sessionChangesSince(nowMs - leaseMs * FleetConstants.SESSION_CHANGE_LEASES)
            >= FleetConstants.MIN_SESSION_CHANGES_UNREADY;
  }

  /**
   * Returns true if none of the machine's own reports was answered for longer than a lease lasts:
   * its lease has expired, although it may still execute commands.
   */
  boolean areReportsUnanswered(Machine machine) {
    return context.nowMs() - machine.contact().reportAnsweredAtMs() > context.maxLeaseMs();
  }

  /**
   * Returns true if the machine's lease has expired so often recently that the machine is to be
   * returned: answers do not reach it, so no task can run there for long.
   */
  boolean isLosingLeases(Machine machine) {
    long fromMs = context.nowMs() - context.leaseMs() * FleetConstants.SESSION_CHANGE_LEASES;
    return machine.contact().sessionChangesSince(fromMs)
        >= FleetConstants.MIN_SESSION_CHANGES_TO_RETURN;
  }
}
