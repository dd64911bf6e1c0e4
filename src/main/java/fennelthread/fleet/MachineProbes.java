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
 * Probes machines: asks workers what is on them by commands that hold nothing but our fencing
 * token. The number of probes under way is limited; machines on whose answer a task's next start
 * depends come first.
 */
final class MachineProbes {
  private final FleetContext context;
  private final WorkerResponseListener listener;
  private final Set<Machine> waiting = new LinkedHashSet<>();
  private int underWay;

  MachineProbes(FleetContext context, WorkerResponseListener listener) {
    this.context = context;
    this.listener = listener;
  }

  /** Probes a machine as soon as the limit allows. */
  void probe(Machine machine) {
    if (canBeProbed(machine) && waiting.add(machine)) {
      sendWaiting();
    }
  }

  /** Probes a machine from which something is missing, if its answer is worth a connection. */
  void probeIfNeeded(Machine machine) {
    // A machine that has never reported is mostly still booting: probing it only ties up sockets,
    // hundreds of them once, so that starts found no connection. Its worker reports by itself.
    boolean worthAsking =
        machine.phase() == Machine.Phase.REPORTING || machine.hasUnconfirmedAttempts();
    if (worthAsking && isStale(machine)) {
      probe(machine);
    }
  }

  private boolean isStale(Machine machine) {
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
    int maxOutbound = context.settings().mostOutbound();
    int maxUnderWay = Math.max(2, (int) (maxOutbound * FleetConstants.PROBE_CONNECTION_SHARE));
    while (!context.isClosed() && underWay < maxUnderWay && !waiting.isEmpty()) {
      Machine next = mostUrgent();
      waiting.remove(next);
      if (canBeProbed(next) && isStale(next)) {
        send(next, next.address(), next.session());
      }
    }
  }

  private Machine mostUrgent() {
    for (Machine machine : waiting) {
      if (machine.hasUnconfirmedAttempts()) {
        return machine;
      }
    }
    return waiting.iterator().next();
  }

  /** Probes a machine at once, at that address and as if its worker were in that session. */
  void send(Machine machine, String address, long session) {
    machine.contact().setProbing(true);
    underWay++;
    long sentAtMs = context.nowMs();
    ReportPosition known = ReportPosition.of(machine);
    long token = machine.token(context.epoch());
    Call call = CommandQueue.commandCall(token, Math.max(1, session), List.of()).asSpare();
    context
        .transport()
        .send(
            machine,
            address,
            call,
            ControlConstants.PROBE_TIMEOUT_MS,
            answer -> onOutcome(machine, sentAtMs, known, answer, true),
            tried -> onOutcome(machine, sentAtMs, known, null, tried));
  }

  private void onOutcome(
      Machine machine, long sentAtMs, ReportPosition known, Answer answer, boolean tried) {
    machine.contact().setProbing(false);
    underWay--;
    if (answer == null && tried) {
      // Being short of sockets ourselves says nothing of the machine, which would be returned.
      machine.contact().onProbeFailed(sentAtMs);
    }
    if (answer == null) {
      // Its worker reports by itself as soon as it can: probing on and on only costs connections.
      machine.contact().suppressProbesUntil(context.nowMs() + FleetConstants.PROBE_RETRY_DELAY_MS);
    }
    WorkerReport report = CommandQueue.reportIn(answer);
    if (!context.isClosed() && report != null) {
      listener.onResponse(machine, report, known);
    }
    sendWaiting();
  }
}
