package fennelthread.leaserenewal;

import fennelthread.constants.LeaseRenewalConstants;
import fennelthread.fleet.HeartbeatResponder;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import fennelthread.wire.Codec;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The only place that creates the answers to reports that renew a worker's lease. Every sender uses
 * it: a leader, also before its replica contains its claim and after it has resigned, and a
 * follower that renews in place of a silent leader; directly or through a peer. It ensures two
 * things. The sender knows every cancellation disclosed to users up to a moment recent enough that
 * the renewed lease ends before the deadline of any later one. And the answer stops all tasks in
 * the report whose jobs are known to have ended. docs/lease-renewal.md has the inequality and the
 * list of senders.
 *
 * <p>Without this check, a leader that the state service refuses right after its claim, and that
 * stays leader during a following outage of the state service for all controllers, would answer
 * reports for the whole outage without stopping cancelled tasks.
 */
public final class ReportResponseGate implements HeartbeatResponder {
  private final EventLoop eventLoop;
  private final CancellationWatermark watermark;
  private final CancellationLog cancellations;
  private final long renewalWindowMs;

  ReportResponseGate(
      EventLoop eventLoop,
      CancellationWatermark watermark,
      CancellationLog cancellations,
      long renewalWindowMs) {
    this.eventLoop = eventLoop;
    this.watermark = watermark;
    this.cancellations = cancellations;
    this.renewalWindowMs = renewalWindowMs;
  }

  /** True if cancellations are known recently enough for reports to be answered now. */
  @Override
  public boolean mayRespond() {
    return eventLoop.nowMs() < watermark.completeUntilMs() + renewalWindowMs;
  }

  /**
   * {@inheritDoc}
   *
   * <p>Stop commands for tasks whose jobs have ended come first. At {@link
   * LeaseRenewalConstants#COMMANDS_PER_ANSWER}, further commands except starts are omitted and left
   * to a later answer.
   *
   * @throws IllegalStateException unless {@link #mayRespond}
   */
  @Override
  public Answer respond(WorkerReport report, long token, List<WorkerCommand> commands) {
    if (!mayRespond()) {
      throw new IllegalStateException("knowledge of cancellations too old to answer reports");
    }
    Set<WorkerCommand> includedCommands = new LinkedHashSet<>();
    for (WorkerReport.Task task : report.tasks()) {
      if (task.phase() != WorkerReport.Phase.ENDED
          && cancellations.hasEnded(task.ref().job())
          && includedCommands.size() < LeaseRenewalConstants.COMMANDS_PER_ANSWER) {
        includedCommands.add(new WorkerCommand.Stop(task.ref(), task.attempt(), 0));
      }
    }
    for (WorkerCommand command : commands) {
      if (includedCommands.size() < LeaseRenewalConstants.COMMANDS_PER_ANSWER
          || command instanceof WorkerCommand.Run) {
        includedCommands.add(command);
      }
    }
    return Answer.of(200, Codec.CBOR, WorkerCommand.write(token, 0, List.copyOf(includedCommands)));
  }
}
