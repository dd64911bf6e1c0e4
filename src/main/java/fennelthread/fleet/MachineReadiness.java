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
  boolean isReady(Machine m) {
    long now = context.nowMs();
    return m.phase() == Machine.Phase.REPORTING
        && m.address() != null
        && m.isConfirmed(context.epoch())
        && !m.isDraining()
        && m.noticeUntilMs() < 0
        && now - m.contact().unreachableAtMs() > FleetConstants.UNREACHABLE_PAUSE_MS
        && isHeard(m, now)
        && !isLosingSessions(m, now)
        && zones.mayPlace(m);
  }

  /**
   * True if it was in contact lately and renews its lease. A machine that only carries out commands
   * loses its tasks when its lease ends, whatever it is sent.
   */
  private boolean isHeard(Machine m, long nowMs) {
    double silentMs = context.reportMs() * RelayConstants.SILENT_REPORTS;
    return nowMs - m.contactAtMs() <= silentMs && nowMs - m.reportAnsweredAtMs() <= silentMs;
  }

  /**
   * True if lease after lease ended there although it reports: what is started now would end like
   * the rest.
   */
  private boolean isLosingSessions(Machine m, long nowMs) {
    long leaseMs = context.leaseMs();
    return m.contact().sessionRisesSince(nowMs - leaseMs) > 0
        && m.contact().sessionRisesSince(nowMs - leaseMs * FleetConstants.RISES_LEASES)
            >= FleetConstants.RISES_NO_ROOM;
  }

  /**
   * True if the machine is mute: none of its own reports was answered for so long that its lease
   * must be over, though it may carry out commands.
   */
  boolean isMute(Machine m) {
    return context.nowMs() - m.reportAnsweredAtMs() > context.leaseAtMostMs();
  }

  /**
   * True if the machine's leases have ended again and again: it hears nothing, and is of no use.
   */
  boolean hearsNothing(Machine m) {
    long fromMs = context.nowMs() - context.leaseMs() * FleetConstants.RISES_LEASES;
    return m.contact().sessionRisesSince(fromMs) >= FleetConstants.RISES_HOPELESS;
  }
}
