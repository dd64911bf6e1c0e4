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
 * Decides which task goes where: a pure function of the snapshot. A machine that has the image
 * comes before one that must fetch it; among equals the one that is left fullest is taken (bin
 * packing, best fit).
 *
 * <p>Machines are ranked once per job and not per task ({@link PlacementSearch}), and a search that
 * found no capacity is not repeated in the round ({@link RoundState}). On a fleet of hundreds a
 * burst beyond its capacity would otherwise cost tasks times machines times running work, on the
 * one thread that also renews the lease. The tests hold a plain version, which must choose the
 * same.
 */
public final class Planner {
  /**
   * The order of placement. Users count jobs that meet their deadlines: when capacity is short, a
   * job that can't meet its own any more must not make the next one late too, and many small jobs
   * come before one large one. That alone would put the largest off for ever. So work counts for
   * less the longer it has waited, and the first task of a job that has waited long with nothing
   * running comes first, whatever its priority: one task of each such job is the price.
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

  /** A job with tasks that are not started. */
  private record Remaining(Snapshot.PendingJob pendingJob, PlacementSearch search) {}

  private final Snapshot snapshot;
  private final RoundState round;
  private final TeamBudgets budgets;
  private final List<PlacementPlan.Start> starts = new ArrayList<>();
  private final List<PlacementPlan.UnplacedTasks> unplaced = new ArrayList<>();
  private final List<Remaining> remaining = new ArrayList<>();

  private Planner(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.round = new RoundState(snapshot);
    this.budgets = new TeamBudgets(snapshot.teams());
  }

  /** Plans one round. */
  public static PlacementPlan plan(Snapshot snapshot) {
    Planner planner = new Planner(snapshot);
    List<Snapshot.PendingJob> pendingJobs = new ArrayList<>(snapshot.pendingJobs());
    pendingJobs.sort(ORDER);
    pendingJobs.forEach(planner::place);
    return new PlacementPlan(
        planner.starts,
        planner.round.preemption().preemptions(),
        planner.unplaced,
        planner.passedOver());
  }

  private void place(Snapshot.PendingJob pendingJob) {
    PlacementSearch search = new PlacementSearch(round, pendingJob);
    JobSpec spec = pendingJob.spec();
    boolean starved = snapshot.starvedJobs().contains(spec.id());
    boolean mayAwaitImage = spec.service() && !starved;
    boolean mayFindCapacity = true;
    int startsBefore = starts.size();
    int missing = 0;
    for (int task : pendingJob.tasks()) {
      boolean mayRequest = budgets.allowsRequest(spec);
      boolean mayStart = mayRequest || (starved && budgets.allowsStart(spec));
      boolean mayLook = mayStart && missing == 0 && starts.size() < snapshot.maxStarts();
      FreeCapacity best = mayLook ? search.bestMachine() : null;
      if (best != null && mayAwaitImage && MachineRanking.fetchSeconds(spec, best) > 1) {
        mayAwaitImage = search.reserveOnMachineWithImage();
        if (mayAwaitImage) {
          // Less urgent work leaves a machine that has the image: sooner than fetching it here.
          budgets.request(spec);
          continue;
        }
      }
      if (best != null) {
        search.allocate(best);
        budgets.start(spec);
        starts.add(new PlacementPlan.Start(spec, task, best.machine().name()));
      } else if (mayRequest) {
        missing++;
        budgets.request(spec);
        if (mayFindCapacity && starts.size() < snapshot.maxStarts()) {
          mayFindCapacity = search.reserveFutureCapacity();
        }
      } else {
        break;
      }
    }
    int notStarted = pendingJob.tasks().size() - (starts.size() - startsBefore);
    noteRemaining(pendingJob, search, missing, notStarted);
  }

  /** Notes what has no place: {@code missing} tasks requested one, of all that are not started. */
  private void noteRemaining(
      Snapshot.PendingJob pendingJob, PlacementSearch search, int missing, int notStarted) {
    if (missing > 0) {
      unplaced.add(new PlacementPlan.UnplacedTasks(pendingJob.spec(), missing, search.zones()));
    }
    if (notStarted > 0) {
      remaining.add(new Remaining(pendingJob, search));
    }
  }

  /**
   * The jobs with tasks left for which some machine has free capacity and their team's limit allows
   * one more task: only what is reserved for others, or requested by others of their team, holds
   * them back.
   */
  private Set<String> passedOver() {
    Set<String> passedOver = new HashSet<>();
    Map<TaskShape, Boolean> fitsByShape = new HashMap<>();
    for (Remaining left : remaining) {
      JobSpec spec = left.pendingJob.spec();
      if (!budgets.allowsStart(spec)) {
        continue;
      }
      boolean fits =
          PlacementConstraints.dependOnOtherTasks(spec)
              ? left.search.fitsIgnoringReservations()
              : fitsByShape.computeIfAbsent(
                  TaskShape.of(spec), shape -> left.search.fitsIgnoringReservations());
      if (fits) {
        passedOver.add(spec.id());
      }
    }
    return passedOver;
  }
}
