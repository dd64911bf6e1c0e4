package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.wire.MachineType;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The machines that are rented but not up yet, and which of them are late or stuck. */
final class BootingMachines {

  /**
   * A machine that is not up yet.
   *
   * @param requestedAtMs when it was requested, as far as is known, ms
   * @param knownSinceMs when this term first knew of it, ms
   * @param ownRequest whether this term requested it, so that its boot can be timed
   */
  private record Boot(
      MachineKind kind, long requestedAtMs, long knownSinceMs, boolean ownRequest) {}

  /** Receives machines that will probably never come up. */
  @FunctionalInterface
  interface StuckMachineListener {
    void onStuck(Machine machine);
  }

  private final Fleet fleet;
  private final BootTimes bootTimes = new BootTimes();
  private final Map<String, Boot> boots = new LinkedHashMap<>();

  BootingMachines(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Adds a machine that this term has just rented. */
  void addRented(String name, MachineKind kind, long nowMs) {
    boots.put(name, new Boot(kind, nowMs, nowMs, true));
  }

  /** Adds a machine that was found on the cloud's list, unless it is known. */
  void addListed(String name, MachineKind kind, long requestedAtMs, long nowMs) {
    boots.putIfAbsent(name, new Boot(kind, requestedAtMs, nowMs, false));
  }

  void remove(String name) {
    boots.remove(name);
  }

  /** Removes the machines that are up by now, and remembers how long they took to boot. */
  void removeUp(long nowMs) {
    for (Machine machine : fleet.machines()) {
      boolean up =
          machine.phase() == Machine.Phase.REPORTING || machine.phase() == Machine.Phase.LOST;
      Boot boot = up ? boots.remove(machine.name()) : null;
      if (boot != null && boot.ownRequest) {
        bootTimes.recordBoot(boot.kind.type(), boot.requestedAtMs, nowMs);
      }
    }
  }

  /**
   * Passes on the machines that will probably never come up.
   *
   * @param minReportWaitMs the least time that a machine has to report to this term, ms
   */
  void forEachStuck(
      Map<String, MachineType> types,
      CapacityBackoff capacity,
      long minReportWaitMs,
      long nowMs,
      StuckMachineListener listener) {
    boots.forEach(
        (name, boot) -> {
          Machine machine = fleet.getOrAddMachine(name, null);
          boolean waiting =
              machine.phase() == Machine.Phase.AWAITING_REPORT
                  && nowMs - boot.knownSinceMs > minReportWaitMs;
          if (waiting
              && bootTimes.isStuck(
                  boot.kind.type(),
                  nominalBootS(types, boot.kind),
                  boot.requestedAtMs,
                  nowMs,
                  capacity.isRefused(boot.kind, nowMs))) {
            listener.onStuck(machine);
          }
        });
  }

  private static double nominalBootS(Map<String, MachineType> types, MachineKind kind) {
    MachineType type = types.get(kind.type());
    return type == null ? FleetConstants.DEFAULT_BOOT_S : type.bootS();
  }

  /**
   * Returns the names of the machines that may be counted on though they are not up: not those that
   * are late, unless most are, since then it is the cloud that is slow and others would be as late.
   */
  Set<String> expected(Map<String, MachineType> types, long nowMs) {
    Set<String> expected = new HashSet<>();
    int late = 0;
    for (Map.Entry<String, Boot> entry : boots.entrySet()) {
      Boot boot = entry.getValue();
      Machine machine = fleet.findMachine(entry.getKey());
      if (machine != null && machine.phase() != Machine.Phase.AWAITING_REPORT) {
        continue;
      }
      double nominalS = nominalBootS(types, boot.kind);
      if (bootTimes.isLate(boot.kind.type(), nominalS, boot.requestedAtMs, nowMs)) {
        late++;
      } else {
        expected.add(entry.getKey());
      }
    }
    boolean mostLate = late > (late + expected.size()) * FleetConstants.MAX_LATE_BOOT_SHARE;
    return mostLate ? boots.keySet() : expected;
  }

  /** Returns the kind of a machine that is not up yet. */
  MachineKind kindOf(String name) {
    return boots.get(name).kind;
  }
}
