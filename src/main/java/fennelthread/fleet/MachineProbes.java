package fennelthread.fleet;

import fennelthread.constants.ControlConstants;
import fennelthread.constants.FleetConstants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.wire.WorkerReport;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Probes machines. A probe is a request without commands that carries the current fencing token;
 * the worker answers with a report of what is on its machine. The number of probes in flight is
 * limited; machines whose attempts are unconfirmed come first, since the next start of those tasks
 * depends on the answer.
 */
final class MachineProbes {
  private final FleetContext context;
  private final WorkerResponseListener listener;
  private final Set<Machine> waiting = new LinkedHashSet<>();
  private int inFlight;

  MachineProbes(FleetContext context, WorkerResponseListener listener) {
    this.context = context;
    this.listener = listener;
  }

  /** Probes a machine as soon as the limit allows, if it is overdue or unconfirmed by then. */
  void probe(Machine machine) {
    if (canBeProbed(machine) && waiting.add(machine)) {
      sendWaiting();
    }
  }

  /** Probes a machine that is overdue or unconfirmed, if its answer is worth a connection. */
  void probeIfNeeded(Machine machine) {
    // A machine that has never reported is usually still booting, and its worker will report by
    // itself. Probing hundreds of them would take the connections that starts need.
    boolean isWorthProbing =
        machine.phase() == Machine.Phase.REPORTING || machine.hasUnconfirmedAttempts();
    if (isWorthProbing && isOverdueOrUnconfirmed(machine)) {
      probe(machine);
    }
  }

  private boolean isOverdueOrUnconfirmed(Machine machine) {
    return !machine.isConfirmed(context.epoch()) || context.isOverdue(machine.lastContactAtMs());
  }

  private boolean canBeProbed(Machine machine) {
    return !machine.contact().isProbing()
        && context.nowMs() >= machine.contact().nextProbeAtMs()
        && machine.address() != null
        && machine.phase() != Machine.Phase.GONE
        && machine.phase() != Machine.Phase.RETURNING;
  }

  private void sendWaiting() {
    int maxOutbound = context.settings().maxOutboundConnections();
    int maxInFlight = Math.max(2, (int) (maxOutbound * FleetConstants.PROBE_CONNECTION_SHARE));
    while (!context.isClosed() && inFlight < maxInFlight && !waiting.isEmpty()) {
      Machine next = findMostUrgent();
      waiting.remove(next);
      if (canBeProbed(next) && isOverdueOrUnconfirmed(next)) {
        send(next, next.address(), next.session());
      }
    }
  }

  private Machine findMostUrgent() {
    for (Machine machine : waiting) {
      if (machine.hasUnconfirmedAttempts()) {
        return machine;
      }
    }
    return waiting.iterator().next();
  }

  /**
   * Probes a machine at once, regardless of the limit.
   *
   * @param address the address to send the probe to
   * @param session the session that the worker is assumed to be in
   */
  void send(Machine machine, String address, long session) {
    machine.contact().setProbing(true);
    inFlight++;
    long sentAtMs = context.nowMs();
    ReportPosition known = ReportPosition.of(machine);
    long token = machine.currentToken(context.epoch());
    Call call =
        DueCommandSender.createCommandCall(token, Math.max(1, session), List.of()).asSpare();
    context
        .transport()
        .send(
            machine,
            address,
            call,
            ControlConstants.PROBE_TIMEOUT_MS,
            answer -> onOutcome(machine, sentAtMs, known, answer, true),
            wasTried -> onOutcome(machine, sentAtMs, known, null, wasTried));
  }

  /**
   * A probe with the first token of a term makes the worker report by itself. If it does not, no
   * start can be sent to it.
   */
  private void expectFirstReport(Machine machine, long sentAtMs, Answer answer) {
    boolean isFirst =
        !machine.contact().isReportAnswered() && !machine.isConfirmed(context.epoch());
    if (isFirst && !DueCommandSender.isRefused(answer)) {
      machine.contact().onEarlyReportCaused(sentAtMs, context.nowMs());
    }
  }

  private void onOutcome(
      Machine machine, long sentAtMs, ReportPosition known, Answer answer, boolean wasTried) {
    machine.contact().setProbing(false);
    inFlight--;
    if (answer == null && wasTried) {
      // A probe for which this process had no connection proves nothing about the machine, so it
      // does not count as failed: machines are returned for failed probes.
      machine.contact().onProbeFailed(sentAtMs);
    }
    if (answer == null) {
      // The worker reports by itself as soon as it can: repeated probes would only cost
      // connections.
      machine.contact().suppressProbesUntil(context.nowMs() + FleetConstants.PROBE_RETRY_DELAY_MS);
    }
    WorkerReport report = DueCommandSender.readReport(answer);
    if (!context.isClosed() && report != null) {
      expectFirstReport(machine, sentAtMs, answer);
      listener.onResponse(machine, report, known);
    }
    sendWaiting();
  }
}
