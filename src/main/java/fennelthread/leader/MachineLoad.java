package fennelthread.leader;

import fennelthread.constants.LeaderConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.jobs.StartRecord;
import fennelthread.plan.Snapshot;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;

/**
 * What one machine carries, added up anew only after the machine has changed: with hundreds of
 * machines a round touches few of them, and going through all attempts for each would be most of
 * its work.
 */
final class MachineLoad {
  private long version = -1;
  private MachineType machineType;
  private Snapshot.Machine snapshot;
  private final Map<String, double[]> used = new HashMap<>(4);

  /** Brings it up to date; {@code runs} gives what is known of a live job, or null. */
  void update(
      Machine m,
      MachineType type,
      Fleet fleet,
      Function<String, ActiveJob> runs,
      RunTimes runTimes) {
    if (version == m.version() && Objects.equals(machineType, type)) {
      return;
    }
    machineType = type;
    used.clear();
    double cpus = type == null ? 0 : type.cpus();
    double cards = type == null ? 0 : type.cards();
    double mem = type == null ? 0 : type.memGb();
    Set<String> fetching = new HashSet<>();
    Map<String, Integer> classes = new HashMap<>();
    List<Snapshot.RunningTask> running = new ArrayList<>();
    int reported = 0;
    for (Attempt a : m.attempts()) {
      reported++;
      if (!a.mayBePresent()) {
        continue;
      }
      StartRecord.Start s = a.start();
      double[] u = used.computeIfAbsent(s.team(), k -> new double[2]);
      u[0] += s.cpus();
      u[1] += s.cards();
      cpus -= s.cpus();
      cards -= s.cards();
      mem -= s.memGb();
      ActiveJob run = runs.apply(s.task().job());
      if (run == null) {
        continue;
      }
      JobSpec spec = run.job().spec();
      classes.merge(spec.jobClass(), 1, Integer::sum);
      if (a.phase() == Attempt.Phase.RUNNING || a.phase() == Attempt.Phase.FLUSHING) {
        fleet.recordCachedImage(m, spec.image(), spec.imageGb());
      } else {
        fetching.add(spec.image());
      }
      if (a.phase() != Attempt.Phase.RECORDED
          && a.phase() != Attempt.Phase.DEFERRED
          && a.phase() != Attempt.Phase.SENT) {
        running.add(
            new Snapshot.RunningTask(
                spec,
                run.priority(),
                s.task().index(),
                s.attempt(),
                m.name(),
                a.isStopRequested(),
                s.cpus(),
                s.cards(),
                s.memGb(),
                a.runningSinceMs(),
                spec.service() ? 0 : runTimes.of(spec)));
      }
    }
    fetching.removeAll(m.images());
    snapshot =
        type == null
            ? null
            : new Snapshot.Machine(
                m.name(),
                m.type(),
                m.zone(),
                m.spot(),
                type.cpus(),
                cpus,
                cards,
                mem,
                type.fetchGbPerS(),
                Set.copyOf(m.images()),
                fetching,
                classes,
                running,
                LeaderConstants.MAX_TASKS_PER_MACHINE - reported);
    // Last: noting an image above may have changed the machine once more.
    version = m.version();
  }

  /** The machine as placement sees it, or null if its type is not known. */
  Snapshot.Machine snapshot() {
    return snapshot;
  }

  /** Adds what each team's tasks may take here. */
  void addTo(Map<String, double[]> total) {
    for (Map.Entry<String, double[]> e : used.entrySet()) {
      double[] t = total.computeIfAbsent(e.getKey(), k -> new double[2]);
      t[0] += e.getValue()[0];
      t[1] += e.getValue()[1];
    }
  }
}
