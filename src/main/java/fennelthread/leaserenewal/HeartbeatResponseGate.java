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
 * The one place that lets out an answer that renews a worker's lease, whoever gives it: a leader,
 * one whose copy of the state has not reached its claim yet, one that has resigned, a follower that
 * keeps leases; directly or through a peer. Whoever answers knows of every cancellation that users
 * were told of until a moment so late that the lease, were it the last, ends in time for all later
 * ones; and the answer stops all that the report shows of those that are known.
 * docs/lease-renewal.md has the inequality and the list of places.
 *
 * <p>A leader that was refused by the state service right after its claim, and then with everybody,
 * once answered reports for the whole of an outage without a single stop.
 */
public final class HeartbeatResponseGate implements HeartbeatResponder {
  private final EventLoop eventLoop;
  private final CancellationWatermark currency;
  private final CancellationLog cancellations;
  private final long keepMs;

  HeartbeatResponseGate(
      EventLoop eventLoop,
      CancellationWatermark currency,
      CancellationLog cancellations,
      long keepMs) {
    this.eventLoop = eventLoop;
    this.currency = currency;
    this.cancellations = cancellations;
    this.keepMs = keepMs;
  }

  /** True if reports may be answered at this moment by whoever is entitled to otherwise. */
  @Override
  public boolean mayRespond() {
    return eventLoop.nowMs() < currency.knownUntilMs() + keepMs;
  }

  /**
   * The answer to a report: stops of all that it shows and that is known to be over come first,
   * then what its sender is to be told otherwise. Clears beyond what an answer holds are left to
   * the next one.
   *
   * @param token what the worker is to obey
   */
  @Override
  public Answer respond(WorkerReport report, long token, List<WorkerCommand> orders) {
    if (!mayRespond()) {
      throw new IllegalStateException("nobody may be answered now");
    }
    Set<WorkerCommand> all = new LinkedHashSet<>();
    for (WorkerReport.Task t : report.tasks()) {
      if (t.phase() != WorkerReport.Phase.ENDED
          && cancellations.isOver(t.ref().job())
          && all.size() < LeaseRenewalConstants.ORDERS_PER_ANSWER) {
        all.add(new WorkerCommand.Stop(t.ref(), t.attempt(), 0));
      }
    }
    for (WorkerCommand order : orders) {
      if (all.size() < LeaseRenewalConstants.ORDERS_PER_ANSWER
          || order instanceof WorkerCommand.Run) {
        all.add(order);
      }
    }
    return Answer.of(200, Codec.CBOR, WorkerCommand.write(token, 0, List.copyOf(all)));
  }
}
