package fennelthread.plan;

import fennelthread.plan.PlacementConstraints.TaskShape;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which task goes to which machine; a pure function of the snapshot. Machines that already
 * have the job's image are preferred to those that must fetch it; among equal ones the task goes to
 * the machine that it fills most (bin packing, best fit).
 *
 * <p>Machines are ranked once per job and not per task ({@link PlacementSearch}), and a search that
 * found no capacity is not repeated in the round ({@link RoundState}). With hundreds of machines, a
 * burst beyond their capacity would otherwise cost tasks times machines times running tasks, on the
 * thread that also renews the lease. The tests compare the result with a reference implementation
 * without these shortcuts.
 */
public final class Planner {
  /**
   * The order in which jobs are placed: by priority; then jobs that are not late, jobs within their
   * team's guarantee, and jobs with less work left come first. What counts for users is how many
   * jobs meet their deadlines: when capacity is short, a job that can no longer meet its own must
   * not make the next one late too, and many small jobs come before one large one. That alone would
   * starve the largest jobs. Therefore a job's work counts for less the longer it has waited, and
   * aging moves the first task of a job that has waited long with nothing running to the front, or
   * to the front of its priority ({@link AgingBoost}). The cost is one task of each such job.
   */
  public static final Comparator<Snapshot.PendingJob> ORDER =
      Comparator.<Snapshot.PendingJob>comparingLong(
              job -> job.agingBoost() == AgingBoost.ABOVE_ALL ? job.releaseOrder() : Long.MAX_VALUE)
          .thenComparing(Snapshot.PendingJob::priority)
          .thenComparing(job -> job.agingBoost() != AgingBoost.WITHIN_PRIORITY)
          .thenComparing(Snapshot.PendingJob::isLate)
          .thenComparing(job -> !job.isWithinGuarantee())
          .thenComparingDouble(Snapshot.PendingJob::agedWork)
          .thenComparingLong(Snapshot.PendingJob::releaseOrder);

  /** A job with tasks that the round does not start, and the search for their machines. */
  private record RemainingTasks(Snapshot.PendingJob pendingJob, PlacementSearch search) {}

  private final Snapshot snapshot;
  private final RoundState round;
  private final TeamBudgets budgets;
  private final List<PlacementPlan.Start> starts = new ArrayList<>();
  private final List<PlacementPlan.UnplacedTasks> unplaced = new ArrayList<>();
  private final List<RemainingTasks> remaining = new ArrayList<>();

  private Planner(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.round = new RoundState(snapshot);
    this.budgets = new TeamBudgets(snapshot.teams());
  }

  /** Plans one round. Deterministic: equal snapshots give equal plans. */
  public static PlacementPlan plan(Snapshot snapshot) {
    Planner planner = new Planner(snapshot);
    List<Snapshot.PendingJob> pendingJobs = new ArrayList<>(snapshot.pendingJobs());
    pendingJobs.sort(ORDER);
    pendingJobs.forEach(planner::place);
    return new PlacementPlan(
        planner.starts,
        planner.round.preemption().preemptions(),
        planner.unplaced,
        planner.passedOverJobs());
  }

  private void place(Snapshot.PendingJob pendingJob) {
    PlacementSearch search = new PlacementSearch(round, pendingJob);
    JobSpec spec = pendingJob.spec();
    boolean isStarved = snapshot.starvedJobs().contains(spec.id());
    boolean mayAwaitImage = spec.service() && !isStarved;
    boolean mayReserveCapacity = true;
    int startsBefore = starts.size();
    int unplacedCount = 0;
    for (int task : pendingJob.tasks()) {
      boolean mayRequest = budgets.allowsRequest(spec);
      boolean mayStart = mayRequest || (isStarved && budgets.allowsStart(spec));
      boolean mayPlace = mayStart && unplacedCount == 0 && starts.size() < snapshot.maxStarts();
      FreeCapacity bestMachine = mayPlace ? search.bestMachine() : null;
      if (bestMachine != null
          && mayAwaitImage
          && MachineRanking.fetchSeconds(spec, bestMachine) > 1) {
        mayAwaitImage = search.reserveOnMachineWithImage();
        if (mayAwaitImage) {
          // Capacity is reserved on a machine that has the image: sooner than fetching it here.
          budgets.countRequest(spec);
          continue;
        }
      }
      if (bestMachine != null) {
        search.allocate(bestMachine);
        budgets.countStart(spec);
        starts.add(new PlacementPlan.Start(spec, task, bestMachine.machine().name()));
      } else if (mayRequest) {
        unplacedCount++;
        budgets.countRequest(spec);
        if (mayReserveCapacity && starts.size() < snapshot.maxStarts()) {
          mayReserveCapacity = search.reserveFutureCapacity();
        }
      } else {
        break;
      }
    }
    int notStartedCount = pendingJob.tasks().size() - (starts.size() - startsBefore);
    recordRemaining(pendingJob, search, unplacedCount, notStartedCount);
  }

  /** Records how many tasks of the job found no free capacity, and whether any were not started. */
  private void recordRemaining(
      Snapshot.PendingJob pendingJob,
      PlacementSearch search,
      int unplacedCount,
      int notStartedCount) {
    if (unplacedCount > 0) {
      unplaced.add(
          new PlacementPlan.UnplacedTasks(pendingJob.spec(), unplacedCount, search.tasksByZone()));
    }
    if (notStartedCount > 0) {
      remaining.add(new RemainingTasks(pendingJob, search));
    }
  }

  /**
   * Returns the ids of the jobs with tasks that are not started although some machine has free
   * capacity and their team's limit allows one more task. They are held back by capacity that is
   * reserved for other jobs, by what other jobs of their team request, by the limit of starts per
   * round, or by the wait for a machine that has the image.
   */
  private Set<String> passedOverJobs() {
    Set<String> passedOver = new HashSet<>();
    Map<TaskShape, Boolean> fitsByShape = new HashMap<>();
    for (RemainingTasks remainingTasks : remaining) {
      JobSpec spec = remainingTasks.pendingJob.spec();
      if (!budgets.allowsStart(spec)) {
        continue;
      }
      boolean fits =
          PlacementConstraints.dependsOnOtherTasks(spec)
              ? remainingTasks.search.fitsIgnoringReservations()
              : fitsByShape.computeIfAbsent(
                  TaskShape.of(spec), shape -> remainingTasks.search.fitsIgnoringReservations());
      if (fits) {
        passedOver.add(spec.id());
      }
    }
    return passedOver;
  }
}
