package fennelthread.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * What is thought of the zones that machines are in: whether a machine's silence is its own or its
 * zone's. Placement, renting and returning ask; whoever knows answers.
 */
public interface ZoneHealth {
  /** Nothing is thought of any zone: every machine stands for itself. */
  ZoneHealth NONE =
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
        public boolean mayReclaimLost(Machine machine, long nowMs) {
          return true;
        }

        @Override
        public double countedShare(Machine machine, long nowMs) {
          return 1;
        }

        @Override
        public List<String> zonesToProvision(List<String> zones, Map<String, Double> cpus) {
          return zones;
        }
      };

  /** Looks at the machines of the term; to be called several times a second. */
  void observe(Collection<Machine> machines, long nowMs);

  /** False if tasks given to this machine now would most likely not reach it. */
  boolean mayPlace(Machine machine);

  /** True if the machine's zone is away as a whole: its silence says nothing of the machine. */
  boolean isUnreachable(Machine machine);

  /**
   * When the machine's zone was last away, ms; its own silence counts from then at the earliest.
   */
  long lastUnreachableAtMs(Machine machine);

  /** False if a machine whose lease is over should be kept, since its zone may bring it back. */
  boolean mayReclaimLost(Machine machine, long nowMs);

  /** How much of the machine counts as ours when deciding what to rent, as a share. */
  double countedShare(Machine machine, long nowMs);

  /**
   * The zones to rent in, best first.
   *
   * @param zones those that a type can be had in, not empty
   * @param cpus what is ours or booting in each zone, CPUs
   * @return some of these, never none
   */
  List<String> zonesToProvision(List<String> zones, Map<String, Double> cpus);
}
