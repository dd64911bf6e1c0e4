package fennelthread.leader;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.fleet.Attempt;
import fennelthread.fleet.Fleet;
import fennelthread.fleet.Machine;
import fennelthread.net.EventLoop;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** What workers are told of tasks that are over, unwanted, or to be stopped. */
final class WorkerCommands {
  private final EventLoop eventLoop;
  private final Fleet fleet;
  private final ActiveJobs runs;
  private final RunTimes runTimes;
  private final Predicate<String> over;

  /**
   * Creates them; {@code over} says which jobs are known to be over although no record says so yet.
   */
  WorkerCommands(
      EventLoop eventLoop,
      Fleet fleet,
      ActiveJobs runs,
      RunTimes runTimes,
      Predicate<String> over) {
    this.over = over;
    this.eventLoop = eventLoop;
    this.fleet = fleet;
    this.runs = runs;
    this.runTimes = runTimes;
  }

  /** Clears and stops that the machine's attempts call for now. */
  List<WorkerCommand> of(Machine m) {
    List<WorkerCommand> orders = new ArrayList<>();
    for (Attempt a : m.attempts()) {
      ActiveJob run = runs.of(a);
      int index = a.start().task().index();
      switch (a.phase()) {
        case ENDED -> {
          // Each start is sent exactly once, so no start of an ended attempt can be in flight.
          if (run == null
              || a.motive() != WorkerReport.Motive.DONE
              || run.job().spec().service()
              || run.isDurable(index)) {
            orders.add(new WorkerCommand.Clear(a.start().task(), a.start().attempt()));
          }
        }
        case FETCHING, RUNNING, FLUSHING -> {
          boolean unwanted =
              run == null || run.isFinished(index) || over.test(run.job().spec().id());
          if (unwanted) {
            orders.add(new WorkerCommand.Stop(a.start().task(), a.start().attempt(), 0));
          } else if (a.isStopRequested() && a.phase() != Attempt.Phase.FLUSHING) {
            double grace = run.job().spec().checkpointS() > 0 ? run.job().spec().saveS() + 1 : 0;
            orders.add(new WorkerCommand.Stop(a.start().task(), a.start().attempt(), grace));
          }
        }
        default -> {
          // Nothing to say of attempts that the worker has not reported.
        }
      }
      if (orders.size() >= LeaseRenewalConstants.ORDERS_PER_ANSWER) {
        break;
      }
    }
    return orders;
  }

  /** Stops what can't be over before its machine is taken. */
  void stopBeforeNotices() {
    long now = eventLoop.nowMs();
    for (Machine m : fleet.machines()) {
      if (m.phase() != Machine.Phase.REPORTING || m.interruptionAtMs() < 0) {
        continue;
      }
      double leftS = (m.interruptionAtMs() - now) / 1000.0;
      boolean stopped = false;
      for (Attempt a : m.attempts()) {
        ActiveJob run = runs.of(a);
        if (run == null || a.isStopRequested() || !a.mayBePresent()) {
          continue;
        }
        JobSpec spec = run.job().spec();
        double ranS = a.runningSinceMs() < 0 ? 0 : (now - a.runningSinceMs()) / 1000.0;
        boolean willFinish =
            !spec.service()
                && a.phase() == Attempt.Phase.RUNNING
                && runTimes.of(spec) - ranS < leftS;
        if (!willFinish) {
          a.requestStop();
          stopped = true;
        }
      }
      if (stopped) {
        fleet.sendCommands(m);
      }
    }
  }
}
