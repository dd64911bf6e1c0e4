package fennelthread.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * The health of the zones that machines are in. With it, placement, scaling out and scaling in
 * distinguish a machine that is silent because its zone is unreachable from one that is faulty
 * itself.
 */
public interface ZoneHealth {
  /** Treats every zone as always reachable, so that each silent machine counts as faulty itself. */
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

  /** Updates the health from the machines of the term; to be called several times a second. */
  void observe(Collection<Machine> machines, long nowMs);

  /** Returns false if starts that are sent to this machine now would probably not reach it. */
  boolean mayPlace(Machine machine);

  /**
   * Returns true if the machine's zone is unreachable, so that its silence does not prove that it
   * is faulty.
   */
  boolean isUnreachable(Machine machine);

  /**
   * Returns when the machine's zone was last unreachable, ms; in the far past if never. The
   * machine's own silence counts from then at the earliest.
   */
  long lastUnreachableAtMs(Machine machine);

  /**
   * Returns true if a machine whose lease has expired may be returned; false if it is kept, since
   * its zone may become reachable again.
   */
  boolean mayReturnLost(Machine machine, long nowMs);

  /**
   * Returns the share of the machine's capacity, 0 to 1, that counts when deciding what to rent.
   */
  double usableCapacityShare(Machine machine, long nowMs);

  /**
   * Returns the zones to rent in, best first.
   *
   * @param candidates the zones that are considered, not empty
   * @param cpusByZone the CPUs of the machines that are usable or expected to boot, by zone
   * @return some or all of the candidates, not empty
   */
  List<String> zonesToProvision(List<String> candidates, Map<String, Double> cpusByZone);
}
