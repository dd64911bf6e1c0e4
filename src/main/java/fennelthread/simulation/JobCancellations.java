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

/** Cancels many running jobs at once, or a job at about the time at which its last task ends. */
final class JobCancellations {

  private final SimulatedCluster cluster;
  private final SimulatedNetwork network;
  private final Map<String, ExpectedEnd> expectedEnds = new HashMap<>();
  private final List<ObjLongConsumer<JobSpec>> endListeners = new ArrayList<>();
  private double cancelShare;

  /** Number of jobs cancelled in bursts. */
  int cancelledInBursts;

  /** Number of machines made to hang. */
  int machinesHung;

  /** Number of jobs cancelled around the end of their last task. */
  int cancelledAtCompletion;

  /**
   * The latest expected completion of a job's tasks that have started to run. A task that was
   * stopped since still counts.
   */
  private static final class ExpectedEnd {
    final BitSet tasksWithEnd = new BitSet();
    long atMs;
    boolean isReported;
  }

  JobCancellations(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.network = cluster.world;
  }

  /**
   * Cancels up to {@code count} running jobs within 200 ms, services first and then arrays by
   * falling estimated duration. Up to eight of their machines hang for {@code hangMs} from now on.
   *
   * @return the ids of the jobs
   */
  List<String> cancelRunningJobs(int count, long hangMs) {
    List<JobSpec> running = new ArrayList<>();
    for (JobSpec job : cluster.jobs) {
      if (cluster.checker.running(job.id()) > 0 && !cluster.checker.isCancelRequested(job.id())) {
        running.add(job);
      }
    }
    running.sort(Comparator.comparingDouble(JobCancellations::estimatedDurationS).reversed());
    List<String> ids = running.stream().limit(count).map(JobSpec::id).toList();
    if (hangMs > 0) {
      hang(ids, hangMs);
    }
    for (String id : ids) {
      cancelledInBursts++;
      network.after(
          network.faults.nextInt(SimulationConstants.CANCEL_BURST_WINDOW_MS),
          () -> cluster.cancel(id));
    }
    return ids;
  }

  private void hang(List<String> ids, long hangMs) {
    Set<WorkerEmulator> machines = new LinkedHashSet<>();
    for (WorkerEmulator worker : cluster.cloud.machines().values()) {
      if (machines.size() < SimulationConstants.MAX_HANGING_MACHINES
          && ids.stream().anyMatch(id -> cluster.checker.isOn(id, worker))) {
        machines.add(worker);
      }
    }
    for (WorkerEmulator worker : machines) {
      machinesHung++;
      worker.hang(hangMs);
    }
  }

  private static double estimatedDurationS(JobSpec job) {
    return job.service() ? Double.MAX_VALUE : job.estimateS();
  }

  /**
   * For {@code forMs}, cancels this share of the jobs within 3 ms of the expected end of their last
   * task.
   */
  void cancelAtCompletion(double share, long forMs) {
    cancelShare = share;
    network.after(forMs, () -> cancelShare = 0);
  }

  /**
   * Adds a listener that gets a job and its expected end, ms, once each of its tasks has completed
   * or has started to run.
   */
  void onExpectedEnd(ObjLongConsumer<JobSpec> listener) {
    endListeners.add(listener);
  }

  /** Records that a running task completes at {@code atMs} if nothing stops it. */
  void recordExpectedEnd(JobSpec spec, int index, long atMs) {
    if (cancelShare == 0 && endListeners.isEmpty()) {
      return;
    }
    ExpectedEnd end = expectedEnds.computeIfAbsent(spec.id(), k -> new ExpectedEnd());
    end.tasksWithEnd.set(index);
    end.atMs = Math.max(end.atMs, atMs);
    BitSet completedOrRunning = cluster.checker.completedTasks(spec.id());
    completedOrRunning.or(end.tasksWithEnd);
    if (!end.isReported && completedOrRunning.cardinality() == spec.tasks()) {
      end.isReported = true;
      endListeners.forEach(listener -> listener.accept(spec, end.atMs));
      if (cancelShare > 0 && network.faults.nextDouble() < cancelShare) {
        long offset =
            (long) network.faults.nextInt(2 * SimulationConstants.CANCEL_END_SPREAD_MS + 1)
                - SimulationConstants.CANCEL_END_SPREAD_MS;
        network.at(end.atMs + offset, () -> cancel(spec.id()));
      }
    }
  }

  private void cancel(String id) {
    cancelledAtCompletion++;
    cluster.cancel(id);
  }
}
