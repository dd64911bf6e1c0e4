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

/**
 * Creates the commands by which workers clear ended attempts and stop unwanted or preempted ones,
 * and requests stops of attempts that are not expected to finish before their spot instance is
 * interrupted.
 */
final class WorkerCommands {
  private final EventLoop eventLoop;
  private final Fleet fleet;
  private final ActiveJobs activeJobs;
  private final RunTimeEstimator runTimes;
  private final JobRecords.EndedJobs endedJobs;

  WorkerCommands(EventLoop eventLoop, TermState term, JobRecords.EndedJobs endedJobs) {
    this.eventLoop = eventLoop;
    this.fleet = term.fleet();
    this.activeJobs = term.activeJobs();
    this.runTimes = term.runTimes();
    this.endedJobs = endedJobs;
  }

  /**
   * The clear and stop commands that are due for a machine's attempts, at most as many as one
   * answer may have.
   */
  List<WorkerCommand> commandsFor(Machine machine) {
    List<WorkerCommand> commands = new ArrayList<>();
    for (Attempt attempt : machine.attempts()) {
      switch (attempt.phase()) {
        case ENDED -> addClear(commands, attempt);
        case FETCHING, RUNNING, FLUSHING -> addStop(commands, attempt);
        default -> {
          // Attempts that the worker has not reported, or that are gone, need no command.
        }
      }
      if (commands.size() >= LeaseRenewalConstants.COMMANDS_PER_ANSWER) {
        break;
      }
    }
    return commands;
  }

  /**
   * Adds a command to clear an ended attempt, unless its result is not stored yet and would be
   * lost.
   */
  private void addClear(List<WorkerCommand> commands, Attempt attempt) {
    ActiveJob activeJob = activeJobs.jobOf(attempt);
    // Each start is sent exactly once, so no start of an ended attempt can be in flight.
    if (activeJob == null
        || attempt.endReason() != WorkerReport.EndReason.DONE
        || activeJob.job().spec().service()
        || activeJob.isStored(attempt.start().task().index())) {
      commands.add(new WorkerCommand.Clear(attempt.start().task(), attempt.start().attempt()));
    }
  }

  private void addStop(List<WorkerCommand> commands, Attempt attempt) {
    ActiveJob activeJob = activeJobs.jobOf(attempt);
    boolean isUnwanted =
        activeJob == null
            || activeJob.isFinished(attempt.start().task().index())
            || endedJobs.hasEnded(activeJob.id());
    if (isUnwanted) {
      commands.add(new WorkerCommand.Stop(attempt.start().task(), attempt.start().attempt(), 0));
    } else if (attempt.isStopRequested() && attempt.phase() != Attempt.Phase.FLUSHING) {
      JobSpec spec = activeJob.job().spec();
      double graceS = spec.checkpointS() > 0 ? spec.saveS() + 1 : 0;
      commands.add(
          new WorkerCommand.Stop(attempt.start().task(), attempt.start().attempt(), graceS));
    }
  }

  /**
   * Requests stops of the attempts that are not expected to finish before their spot instance is
   * interrupted.
   */
  void stopBeforeInterruptions() {
    long nowMs = eventLoop.nowMs();
    for (Machine machine : fleet.machines()) {
      if (machine.phase() != Machine.Phase.REPORTING || machine.interruptionAtMs() < 0) {
        continue;
      }
      double remainingS = (machine.interruptionAtMs() - nowMs) / 1000.0;
      boolean isAnyStopRequested = false;
      for (Attempt attempt : machine.attempts()) {
        ActiveJob activeJob = activeJobs.jobOf(attempt);
        if (activeJob == null || attempt.isStopRequested() || !attempt.mayBePresent()) {
          continue;
        }
        if (!isExpectedToFinishWithin(remainingS, attempt, activeJob.job().spec(), nowMs)) {
          attempt.requestStop();
          isAnyStopRequested = true;
        }
      }
      if (isAnyStopRequested) {
        fleet.sendCommands(machine);
      }
    }
  }

  private boolean isExpectedToFinishWithin(
      double remainingS, Attempt attempt, JobSpec spec, long nowMs) {
    if (spec.service() || attempt.phase() != Attempt.Phase.RUNNING) {
      return false;
    }
    double ranS = attempt.runningSinceMs() < 0 ? 0 : (nowMs - attempt.runningSinceMs()) / 1000.0;
    return runTimes.expectedS(spec) - ranS < remainingS;
  }
}
