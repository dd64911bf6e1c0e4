package fennelthread.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * The health of the zones that machines are in: tells whether a machine's silence is its own or its
 * zone's. Placement, scaling out and scaling in ask it.
 */
public interface ZoneHealth {
  /** The health where zones are not distinguished: every machine is judged by itself. */
  ZoneHealth ALWAYS_HEALTHY =
      new ZoneHealth() {
        @Override
        public void observe(Collection<Machine> machines, long nowMs) {}

        @Override
        public boolean mayPlace(Machine machine) {
          return true;
        }

        @Override
        public boolean isUnreachable(Machine machine) {
          return false;
        }

        @Override
        public long lastUnreachableAtMs(Machine machine) {
          return Long.MIN_VALUE / 2;
        }

        @Override
        public boolean mayReturnLost(Machine machine, long nowMs) {
          return true;
        }

        @Override
        public double usableCapacityShare(Machine machine, long nowMs) {
          return 1;
        }

        @Override
        public List<String> zonesToProvision(
            List<String> candidates, Map<String, Double> cpusByZone) {
          return candidates;
        }
      };

  /** Observes the machines of the term; to be called several times a second. */
  void observe(Collection<Machine> machines, long nowMs);

  /** Returns false if tasks given to this machine now would most likely not reach it. */
  boolean mayPlace(Machine machine);

  /** Returns true if the machine's zone is unreachable: its silence says nothing of the machine. */
  boolean isUnreachable(Machine machine);

  /**
   * Returns when the machine's zone was last unreachable, ms; the machine's own silence counts from
   * then at the earliest.
   */
  long lastUnreachableAtMs(Machine machine);

  /** Returns false if a machine whose lease is over is kept, since its zone may bring it back. */
  boolean mayReturnLost(Machine machine, long nowMs);

  /** Returns the share of the machine, 0 to 1, that counts as ours when deciding what to rent. */
  double usableCapacityShare(Machine machine, long nowMs);

  /**
   * Returns the zones to rent in, best first.
   *
   * @param candidates those that a type can be had in, not empty
   * @param cpusByZone what is ours or booting in each zone, CPUs
   * @return some of the candidates, never none
   */
  List<String> zonesToProvision(List<String> candidates, Map<String, Double> cpusByZone);
}
