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
 * Decides which task goes where: a function of the snapshot alone. A machine that has the image
 * comes before one that must fetch it; among equals the one left fullest is taken.
 *
 * <p>Machines are ranked once per job and not per task ({@link PlacementSearch}), and what found no
 * room once is not looked for again ({@link RoundState}). On a fleet of hundreds a burst beyond
 * capacity otherwise costs tasks times machines times running work, on the one thread that also
 * renews the lease. The tests hold the plain version, which must choose the same.
 */
public final class Planner {
  /**
   * The order of placement: what is owed to whom. Users count jobs that are done in time: when
   * there is not room for all, a job that can't be in time any more must not make the next one late
   * too, and many small jobs come before one large one. That alone would put the largest off for
   * ever. So work counts for less the longer it has waited, and what has waited long with nothing
   * at work comes first with its first task, whatever its priority: one task of each such job is
   * the price.
   */
  public static final Comparator<Snapshot.PendingJob> ORDER =
      Comparator.<Snapshot.PendingJob>comparingLong(
              n -> n.agingBoost() == AgingBoost.ABOVE_ALL ? n.order() : Long.MAX_VALUE)
          .thenComparing(Snapshot.PendingJob::priority)
          .thenComparing(n -> n.agingBoost() != AgingBoost.WITHIN_PRIORITY)
          .thenComparing(Snapshot.PendingJob::late)
          .thenComparing(n -> !n.withinGuarantee())
          .thenComparingDouble(Snapshot.PendingJob::work)
          .thenComparingLong(Snapshot.PendingJob::order);

  /** A job that has tasks left without a place. */
  private record Left(Snapshot.PendingJob pendingJob, PlacementSearch search) {}

  private final Snapshot snapshot;
  private final RoundState round;
  private final TeamBudgets budgets;
  private final List<Plan.Start> starts = new ArrayList<>();
  private final List<Plan.Unplaced> unplaced = new ArrayList<>();
  private final List<Left> left = new ArrayList<>();

  private Planner(Snapshot snapshot) {
    this.snapshot = snapshot;
    this.round = new RoundState(snapshot);
    this.budgets = new TeamBudgets(snapshot.teams());
  }

  /** Plans one round. */
  public static Plan plan(Snapshot snapshot) {
    Planner planner = new Planner(snapshot);
    List<Snapshot.PendingJob> pendingJobs = new ArrayList<>(snapshot.pendingJobs());
    pendingJobs.sort(ORDER);
    pendingJobs.forEach(planner::place);
    return new Plan(
        planner.starts,
        planner.round.preemption.preemptions(),
        planner.unplaced,
        planner.passedOver());
  }

  private void place(Snapshot.PendingJob pendingJob) {
    PlacementSearch search = new PlacementSearch(round, pendingJob);
    JobSpec spec = pendingJob.spec();
    boolean overdue = snapshot.starvedJobs().contains(spec.id());
    boolean mayAwaitImage = spec.service() && !overdue;
    boolean hopeful = true;
    int before = starts.size();
    int missing = 0;
    for (int task : pendingJob.tasks()) {
      boolean mayAsk = budgets.allowsRequest(spec);
      boolean mayStart = mayAsk || (overdue && budgets.allowsStart(spec));
      boolean mayLook = mayStart && missing == 0 && starts.size() < snapshot.maxStarts();
      FreeCapacity best = mayLook ? search.best() : null;
      if (best != null && mayAwaitImage && MachineRanking.fetchSeconds(spec, best) > 1) {
        mayAwaitImage = search.makeCachedRoom();
        if (mayAwaitImage) {
          // Less urgent work leaves a machine that has the image: sooner than fetching it here.
          budgets.request(spec);
          continue;
        }
      }
      if (best != null) {
        search.take(best);
        budgets.start(spec);
        starts.add(new Plan.Start(spec, task, best.machine.name()));
      } else if (mayAsk) {
        missing++;
        budgets.request(spec);
        if (hopeful && starts.size() < snapshot.maxStarts()) {
          hopeful = search.awaitRoom();
        }
      } else {
        break;
      }
    }
    noteLeft(pendingJob, search, missing, pendingJob.tasks().size() - (starts.size() - before));
  }

  /** Keeps in mind what has no place: {@code missing} tasks asked for one, of all that are left. */
  private void noteLeft(
      Snapshot.PendingJob pendingJob, PlacementSearch search, int missing, int notStarted) {
    if (missing > 0) {
      unplaced.add(new Plan.Unplaced(pendingJob.spec(), missing, search.zones()));
    }
    if (notStarted > 0) {
      left.add(new Left(pendingJob, search));
    }
  }

  /**
   * The jobs with tasks left for which some machine has room and their team's limit allows one more
   * task: only what is reserved for others, or asked for by others of their team, keeps them back.
   */
  private Set<String> passedOver() {
    Set<String> passedOver = new HashSet<>();
    Map<TaskShape, Boolean> known = new HashMap<>();
    for (Left l : left) {
      JobSpec spec = l.pendingJob.spec();
      if (!budgets.allowsStart(spec)) {
        continue;
      }
      boolean room =
          PlacementConstraints.dependOnOtherTasks(spec)
              ? l.search.hasUnreservedRoom()
              : known.computeIfAbsent(TaskShape.of(spec), shape -> l.search.hasUnreservedRoom());
      if (room) {
        passedOver.add(spec.id());
      }
    }
    return passedOver;
  }
}
