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
 * The only place that lets out answers to reports, which renew workers' leases, whoever gives them:
 * a leader, one whose replica has not reached its claim yet, one that has resigned, a follower that
 * renews in a silent leader's place; directly or through a peer. Whoever answers knows of every
 * cancellation that was disclosed to users up to a moment so late that the lease, were it the last,
 * ends in time for all later ones; and the answer stops all tasks in the report that are known to
 * be cancelled. docs/lease-renewal.md has the inequality and the list of places.
 *
 * <p>A leader that was refused by the state service right after its claim, and then with everybody,
 * once answered reports for the whole of an outage without a single stop.
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

  /** True if whoever is otherwise entitled to may answer reports at this moment. */
  @Override
  public boolean mayRespond() {
    return eventLoop.nowMs() < watermark.completeUntilMs() + renewalWindowMs;
  }

  /**
   * {@inheritDoc}
   *
   * <p>Stops of all tasks in the report whose jobs have ended come first. Commands beyond what an
   * answer holds are left to the next one, except starts.
   *
   * @throws IllegalStateException unless {@link #mayRespond}
   */
  @Override
  public Answer respond(WorkerReport report, long token, List<WorkerCommand> commands) {
    if (!mayRespond()) {
      throw new IllegalStateException("reports may not be answered now");
    }
    Set<WorkerCommand> answered = new LinkedHashSet<>();
    for (WorkerReport.Task task : report.tasks()) {
      if (task.phase() != WorkerReport.Phase.ENDED
          && cancellations.hasEnded(task.ref().job())
          && answered.size() < LeaseRenewalConstants.COMMANDS_PER_ANSWER) {
        answered.add(new WorkerCommand.Stop(task.ref(), task.attempt(), 0));
      }
    }
    for (WorkerCommand command : commands) {
      if (answered.size() < LeaseRenewalConstants.COMMANDS_PER_ANSWER
          || command instanceof WorkerCommand.Run) {
        answered.add(command);
      }
    }
    return Answer.of(200, Codec.CBOR, WorkerCommand.write(token, 0, List.copyOf(answered)));
  }
}
