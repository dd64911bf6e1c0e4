package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.RelayConstants;

/** Judges from a machine's contact with this leader whether it is of use. */
final class MachineReadiness {
  private final FleetContext context;
  private final ZoneHealth zones;

  MachineReadiness(FleetContext context, ZoneHealth zones) {
    this.context = context;
    this.zones = zones;
  }

  /**
   * True if the machine can be given tasks: in contact lately, obeying nobody but us, and renewing
   * its lease.
   */
  boolean isReady(Machine machine) {
    long now = context.nowMs();
    return machine.phase() == Machine.Phase.REPORTING
        && machine.address() != null
        && machine.isConfirmed(context.epoch())
        && !machine.isCordoned()
        && machine.interruptionAtMs() < 0
        && now - machine.contact().unreachableAtMs() > FleetConstants.UNREACHABLE_PAUSE_MS
        && isHeard(machine, now)
        && !isLosingSessions(machine, now)
        && zones.mayPlace(machine);
  }

  /**
   * True if it was in contact lately and renews its lease. A machine that only carries out commands
   * loses its tasks when its lease ends, whatever it is sent.
   */
  private boolean isHeard(Machine machine, long nowMs) {
    double silentMs = context.reportMs() * RelayConstants.SILENT_REPORTS;
    return nowMs - machine.lastContactAtMs() <= silentMs
        && nowMs - machine.reportAnsweredAtMs() <= silentMs;
  }

  /**
   * True if lease after lease ended there although it reports: what is started now would end like
   * the rest.
   */
  private boolean isLosingSessions(Machine machine, long nowMs) {
    long leaseMs = context.leaseMs();
    return machine.contact().incarnationChangesSince(nowMs - leaseMs) > 0
        && machine.contact().incarnationChangesSince(nowMs - leaseMs * FleetConstants.RISES_LEASES)
            >= FleetConstants.RISES_NO_ROOM;
  }

  /**
   * True if the machine is mute: none of its own reports was answered for so long that its lease
   * must be over, though it may carry out commands.
   */
  boolean isUnanswered(Machine machine) {
    return context.nowMs() - machine.reportAnsweredAtMs() > context.leaseAtMostMs();
  }

  /**
   * True if the machine's leases have ended again and again: it hears nothing, and is of no use.
   */
  boolean isLosingLeases(Machine machine) {
    long fromMs = context.nowMs() - context.leaseMs() * FleetConstants.RISES_LEASES;
    return machine.contact().incarnationChangesSince(fromMs) >= FleetConstants.RISES_HOPELESS;
  }
}
