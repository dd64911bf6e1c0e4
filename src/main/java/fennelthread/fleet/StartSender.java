package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.wire.WorkerCommand;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends starts whose records are committed, each at most once and only with the answer to a report
 * of the machine. A worker drops such an answer if it is late or belongs to an earlier session, so
 * that no copy of it can start the task again. A direct command has no such bound: a machine that
 * is started anew has forgotten every token, and would execute a copy of a start which arrives
 * before its first report is answered.
 */
final class StartSender {
  private static final Logger log = LoggerFactory.getLogger(StartSender.class);

  private final FleetContext context;
  private final EarlyReports earlyReports;
  private final Set<Machine> machinesWithQueuedStarts = new LinkedHashSet<>();

  StartSender(FleetContext context, EarlyReports earlyReports) {
    this.context = context;
    this.earlyReports = earlyReports;
  }

  /** Queues starts for the answer to the machine's next report, and asks for an early one. */
  void enqueue(Machine machine, List<Attempt> attempts) {
    attempts.forEach(attempt -> attempt.transitionTo(Attempt.Phase.QUEUED));
    machinesWithQueuedStarts.add(machine);
    earlyReports.request(machine, () -> onUnreachable(machine));
  }

  private void onUnreachable(Machine machine) {
    if (machinesWithQueuedStarts.contains(machine)) {
      dropQueuedStarts(machine, "starts not sent reason=unreachable");
      context.listener().onFleetChanged();
    }
  }

  private void dropQueuedStarts(Machine machine, String event) {
    List<Attempt> queued = queuedStarts(machine);
    context.aggregatedLog().add(event, machine.name(), queued.size());
    machinesWithQueuedStarts.remove(machine);
    queued.forEach(attempt -> onNeverStarted(machine, attempt));
  }

  /**
   * Returns the queued starts to send with the answer to a report. Those that may not be sent any
   * more are dropped: their session is over, their job has ended, or the leader's lease does not
   * allow starts.
   *
   * @param isNewest whether the report is the newest of its machine; only then starts are returned
   */
  List<WorkerCommand> startsForResponse(Machine machine, boolean isNewest) {
    if (!machinesWithQueuedStarts.contains(machine)) {
      return List.of();
    }
    List<WorkerCommand> starts = new ArrayList<>();
    boolean hasRemaining = false;
    for (Attempt attempt : queuedStarts(machine)) {
      if (attempt.start().session() != machine.session() || !context.listener().mayStart(attempt)) {
        onNeverStarted(machine, attempt);
      } else if (isNewest && starts.size() < FleetConstants.MAX_STARTS_PER_ANSWER) {
        attempt.onStartSent(machine.currentToken(context.epoch()));
        log.debug(
            "start sent attempt={} waitedMs={} sinceRaiseMs={}",
            attempt,
            context.nowMs() - attempt.createdAtMs(),
            context.nowMs() - machine.tokens().raisedAtMs());
        starts.add(new WorkerCommand.Run(attempt.start().task(), attempt.start().attempt()));
      } else {
        hasRemaining = true;
      }
    }
    if (!hasRemaining) {
      machinesWithQueuedStarts.remove(machine);
    }
    return starts;
  }

  /**
   * Marks starts as unconfirmed that were sent with an earlier answer and that the newest report
   * does not show, since that answer may or may not have arrived. The token is raised; the next
   * report under it shows whether it did.
   */
  void markUnreportedUnconfirmed(Machine machine) {
    int unreported = 0;
    for (Attempt attempt : machine.attempts()) {
      if (attempt.phase() == Attempt.Phase.SENT) {
        attempt.transitionTo(Attempt.Phase.UNCONFIRMED);
        unreported++;
      }
    }
    if (unreported > 0) {
      context
          .aggregatedLog()
          .add("starts unanswered action=raiseToken", machine.name(), unreported);
      machine.tokens().raise(context.nowMs());
    }
  }

  /**
   * Drops queued starts whose machine has not reported in time, so that their tasks can be placed
   * on other machines.
   */
  void dropOverdueStarts() {
    long nowMs = context.nowMs();
    long maxWaitMs = (long) (context.reportMs() * FleetConstants.MAX_START_WAIT_REPORT_INTERVALS);
    boolean hasDropped = false;
    for (Machine machine : List.copyOf(machinesWithQueuedStarts)) {
      if (machine.contact().isEarlyReportMissing(nowMs) && !context.isCatchingUp()) {
        dropQueuedStarts(machine, "starts not sent reason=noEarlyReport");
        hasDropped = true;
      } else if (isAnyQueuedLongerThan(machine, maxWaitMs)) {
        dropQueuedStarts(machine, "starts not sent reason=noReport");
        hasDropped = true;
      }
    }
    if (hasDropped) {
      context.listener().onFleetChanged();
    }
  }

  private boolean isAnyQueuedLongerThan(Machine machine, long maxWaitMs) {
    return queuedStarts(machine).stream()
        .anyMatch(attempt -> context.nowMs() - attempt.createdAtMs() > maxWaitMs);
  }

  private static List<Attempt> queuedStarts(Machine machine) {
    List<Attempt> queued = new ArrayList<>();
    for (Attempt attempt : machine.attempts()) {
      if (attempt.phase() == Attempt.Phase.QUEUED) {
        queued.add(attempt);
      }
    }
    return queued;
  }

  private void onNeverStarted(Machine machine, Attempt attempt) {
    attempt.transitionTo(Attempt.Phase.GONE);
    machine.removeAttempt(attempt);
    context.listener().onAttemptEnded(machine, attempt);
  }
}
