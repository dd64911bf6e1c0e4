package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjLongConsumer;

/** Users who cancel many running jobs at once, or a job just as its last task ends. */
final class JobCancellations {

  private final SimulatedCluster cluster;
  private final SimulatedNetwork world;
  private final Map<String, ExpectedEnd> expectedEnds = new HashMap<>();
  private final List<ObjLongConsumer<JobSpec>> endListeners = new ArrayList<>();
  private double endShare;

  /** How many jobs were cancelled in bursts. */
  int cancelledInBursts;

  /** How many machines were made to hang. */
  int machinesHung;

  /** How many jobs were cancelled at their ends. */
  int cancelledAtCompletion;

  /** When a job's last task will be complete, as far as its running tasks tell. */
  private static final class ExpectedEnd {
    final BitSet timed = new BitSet();
    long atMs;
    boolean drawn;
  }

  JobCancellations(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.world = cluster.world;
  }

  /**
   * Cancels that many running jobs with the longest to go within 200 ms; up to eight of their
   * machines hang so long from now on.
   *
   * @return the ids of the jobs, fewer if fewer run
   */
  List<String> cancelRunningJobs(int count, long hangMs) {
    List<JobSpec> running = new ArrayList<>();
    for (JobSpec job : cluster.jobs) {
      if (cluster.checker.running(job.id()) > 0 && !cluster.checker.isCancelAsked(job.id())) {
        running.add(job);
      }
    }
    running.sort(Comparator.comparingDouble(JobCancellations::lengthS).reversed());
    List<String> ids = running.stream().limit(count).map(JobSpec::id).toList();
    if (hangMs > 0) {
      hang(ids, hangMs);
    }
    for (String id : ids) {
      cancelledInBursts++;
      world.after(
          world.faults.nextInt(SimulationConstants.CANCEL_BURST_WINDOW_MS),
          () -> cluster.cancel(id));
    }
    return ids;
  }

  private void hang(List<String> ids, long hangMs) {
    Set<WorkerEmulator> machines = new LinkedHashSet<>();
    for (WorkerEmulator w : cluster.cloud.machines().values()) {
      if (machines.size() < SimulationConstants.MAX_HANGING_MACHINES
          && ids.stream().anyMatch(id -> cluster.checker.isOn(id, w))) {
        machines.add(w);
      }
    }
    for (WorkerEmulator w : machines) {
      machinesHung++;
      w.hang(hangMs);
    }
  }

  private static double lengthS(JobSpec job) {
    return job.service() ? Double.MAX_VALUE : job.estimateS();
  }

  /**
   * For so long that share of the jobs that end is cancelled within 3 ms of the last task's end.
   */
  void cancelAtCompletion(double share, long forMs) {
    endShare = share;
    world.after(forMs, () -> endShare = 0);
  }

  /** Calls a listener with a job, once its remaining tasks all run, and the time of its end. */
  void onExpectedEnd(ObjLongConsumer<JobSpec> listener) {
    endListeners.add(listener);
  }

  /** A running task will be complete at that time if nothing happens to it. */
  void expect(JobSpec spec, int index, long atMs) {
    if (endShare == 0 && endListeners.isEmpty()) {
      return;
    }
    ExpectedEnd end = expectedEnds.computeIfAbsent(spec.id(), k -> new ExpectedEnd());
    end.timed.set(index);
    end.atMs = Math.max(end.atMs, atMs);
    BitSet accounted = cluster.checker.completedTasks(spec.id());
    accounted.or(end.timed);
    if (!end.drawn && accounted.cardinality() == spec.tasks()) {
      end.drawn = true;
      endListeners.forEach(listener -> listener.accept(spec, end.atMs));
      if (endShare > 0 && world.faults.nextDouble() < endShare) {
        long offset =
            (long) world.faults.nextInt(2 * SimulationConstants.CANCEL_END_SPREAD_MS + 1)
                - SimulationConstants.CANCEL_END_SPREAD_MS;
        world.at(end.atMs + offset, () -> cancel(spec.id()));
      }
    }
  }

  private void cancel(String id) {
    cancelledAtCompletion++;
    cluster.cancel(id);
  }
}
