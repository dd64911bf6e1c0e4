package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.wire.MachineType;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The machines that are rented and not up yet, and which of these are late or stuck. */
final class BootingMachines {

  /**
   * A machine that is not up yet.
   *
   * @param requestedAtMs when it was requested, as far as is known, ms
   * @param knownSinceMs when it became known in this term, ms
   * @param isOwnRequest whether this term requested it, so that the time of its request is exact
   */
  private record PendingBoot(
      MachineKind kind, long requestedAtMs, long knownSinceMs, boolean isOwnRequest) {}

  /** Receives the machines that will probably never come up. */
  @FunctionalInterface
  interface StuckMachineListener {
    void onStuck(Machine machine);
  }

  private final Fleet fleet;
  private final BootTimes bootTimes = new BootTimes();
  private final Map<String, PendingBoot> boots = new LinkedHashMap<>();

  BootingMachines(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Adds a machine that this term has just rented. */
  void addRented(String name, MachineKind kind, long nowMs) {
    boots.put(name, new PendingBoot(kind, nowMs, nowMs, true));
  }

  /** Adds a machine that the cloud lists, unless it is already among these. */
  void addListed(String name, MachineKind kind, long requestedAtMs, long nowMs) {
    boots.putIfAbsent(name, new PendingBoot(kind, requestedAtMs, nowMs, false));
  }

  void remove(String name) {
    boots.remove(name);
  }

  /**
   * Removes the machines that are up by now, and records the boot times of those that this term
   * requested.
   */
  void removeUp(long nowMs) {
    for (Machine machine : fleet.machines()) {
      boolean isUp =
          machine.phase() == Machine.Phase.REPORTING || machine.phase() == Machine.Phase.LOST;
      PendingBoot boot = isUp ? boots.remove(machine.name()) : null;
      if (boot != null && boot.isOwnRequest) {
        bootTimes.recordBoot(boot.kind.type(), boot.requestedAtMs, nowMs);
      }
    }
  }

  /**
   * Passes the machines that will probably never come up to a listener. A machine whose zone is
   * unreachable may be up, and has time to report once the zone is reachable again.
   *
   * @param types the machine types that the cloud offers, by name
   * @param capacityBackoff the kinds that the cloud refused recently for lack of capacity
   * @param zones the health of the zones
   * @param minReportWaitMs the least time that a machine is given to report to this term, ms
   */
  void forEachStuck(
      Map<String, MachineType> types,
      CapacityBackoff capacityBackoff,
      ZoneHealth zones,
      long minReportWaitMs,
      long nowMs,
      StuckMachineListener listener) {
    boots.forEach(
        (name, boot) -> {
          Machine machine = fleet.getOrAddMachine(name, null);
          long waitingSinceMs = Math.max(boot.knownSinceMs, zones.lastUnreachableAtMs(machine));
          boolean hasWaitedForReport =
              machine.phase() == Machine.Phase.AWAITING_REPORT
                  && !zones.isUnreachable(machine)
                  && nowMs - waitingSinceMs > minReportWaitMs;
          if (hasWaitedForReport
              && bootTimes.isStuck(
                  boot.kind.type(),
                  nominalBootS(types, boot.kind),
                  boot.requestedAtMs,
                  nowMs,
                  capacityBackoff.isRefused(boot.kind, nowMs))) {
            listener.onStuck(machine);
          }
        });
  }

  private static double nominalBootS(Map<String, MachineType> types, MachineKind kind) {
    MachineType type = types.get(kind.type());
    return type == null ? FleetConstants.DEFAULT_BOOT_S : type.bootS();
  }

  /**
   * Returns the names of the machines that are expected to come up, so that none need to be rented
   * in their place. Late ones are left out, unless most are late: then the cloud is slow, and
   * replacements would be as late.
   */
  Set<String> findExpected(Map<String, MachineType> types, long nowMs) {
    Set<String> expected = new HashSet<>();
    int lateCount = 0;
    for (Map.Entry<String, PendingBoot> entry : boots.entrySet()) {
      PendingBoot boot = entry.getValue();
      Machine machine = fleet.findMachine(entry.getKey());
      if (machine != null && machine.phase() != Machine.Phase.AWAITING_REPORT) {
        continue;
      }
      double nominalS = nominalBootS(types, boot.kind);
      if (bootTimes.isLate(boot.kind.type(), nominalS, boot.requestedAtMs, nowMs)) {
        lateCount++;
      } else {
        expected.add(entry.getKey());
      }
    }
    boolean areMostLate =
        lateCount > (lateCount + expected.size()) * FleetConstants.MAX_LATE_BOOT_SHARE;
    return areMostLate ? boots.keySet() : expected;
  }

  /** Returns the kind of a machine that is not up yet. */
  MachineKind kindOf(String name) {
    return boots.get(name).kind;
  }
}
