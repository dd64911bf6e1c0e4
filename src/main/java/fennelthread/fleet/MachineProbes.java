package fennelthread.fleet;

import fennelthread.constants.ControlConstants;
import fennelthread.constants.FleetConstants;
import fennelthread.net.Answer;
import fennelthread.wire.WorkerReport;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Asks workers what is on their machines, by commands that hold nothing but our token. Only so many
 * are asked at once; those on whose answer a task's next start depends come first.
 */
final class MachineProbes {
  private final FleetContext context;
  private final CommandQueue.AnswerListener onAnswer;
  private final Set<Machine> waiting = new LinkedHashSet<>();
  private int underWay;

  MachineProbes(FleetContext context, CommandQueue.AnswerListener onAnswer) {
    this.context = context;
    this.onAnswer = onAnswer;
  }

  /** Asks a machine as soon as it is its turn. */
  void probe(Machine machine) {
    if (canBeProbed(machine) && waiting.add(machine)) {
      probeNext();
    }
  }

  /** Asks a machine from which something is missing, if its answer is worth a connection. */
  void probeIfNeeded(Machine machine) {
    // A machine that has never reported is mostly still booting: asking it only ties up sockets,
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

  private void probeNext() {
    int most =
        Math.max(2, (int) (context.settings().mostOutbound() * FleetConstants.PROBING_SHARE));
    while (!context.isClosed() && underWay < most && !waiting.isEmpty()) {
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

  /** Asks a machine at once, at that address and as if it were in that session. */
  void send(Machine machine, String address, long inSession) {
    machine.contact().setProbing(true);
    underWay++;
    long sentAtMs = context.nowMs();
    ReportPosition known = ReportPosition.of(machine);
    context
        .transport()
        .send(
            machine,
            address,
            CommandQueue.call(machine.token(context.epoch()), Math.max(1, inSession), List.of())
                .asSpare(),
            ControlConstants.PROBE_TIMEOUT_MS,
            answer -> answered(machine, sentAtMs, known, answer, true),
            tried -> answered(machine, sentAtMs, known, null, tried));
  }

  private void answered(
      Machine machine, long sentAtMs, ReportPosition known, Answer answer, boolean tried) {
    machine.contact().setProbing(false);
    underWay--;
    if (answer == null && tried) {
      // Being short of sockets ourselves says nothing of the machine, which would be returned.
      machine.contact().onProbeFailed(sentAtMs);
    }
    if (answer == null) {
      // Its worker reports by itself as soon as it can: asking on and on only costs connections.
      machine.contact().suppressProbesUntil(context.nowMs() + FleetConstants.PROBE_PAUSE_MS);
    }
    WorkerReport report = CommandQueue.reportOf(answer);
    if (!context.isClosed() && report != null) {
      onAnswer.answered(machine, report, known);
    }
    probeNext();
  }
}
