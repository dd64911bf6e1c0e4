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
  void probe(Machine m) {
    if (canBeProbed(m) && waiting.add(m)) {
      probeNext();
    }
  }

  /** Asks a machine from which something is missing, if its answer is worth a connection. */
  void probeIfNeeded(Machine m) {
    // A machine that has never reported is mostly still booting: asking it only ties up sockets,
    // hundreds of them once, so that starts found no connection. Its worker reports by itself.
    boolean worthAsking = m.phase() == Machine.Phase.REPORTING || m.awaitsProof();
    if (worthAsking && isStale(m)) {
      probe(m);
    }
  }

  private boolean isStale(Machine m) {
    return !m.isConfirmed(context.epoch()) || context.isOverdue(m.contactAtMs());
  }

  private boolean canBeProbed(Machine m) {
    return !m.contact().isProbing()
        && context.nowMs() >= m.contact().askAgainAtMs()
        && m.address() != null
        && m.phase() != Machine.Phase.GONE
        && m.phase() != Machine.Phase.RETURNING;
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
    for (Machine m : waiting) {
      if (m.awaitsProof()) {
        return m;
      }
    }
    return waiting.iterator().next();
  }

  /** Asks a machine at once, at that address and as if it were in that session. */
  void send(Machine m, String address, long inSession) {
    m.contact().setProbing(true);
    underWay++;
    long sentAtMs = context.nowMs();
    KnownReport known = KnownReport.of(m);
    context
        .transport()
        .send(
            m,
            address,
            CommandQueue.call(m.token(context.epoch()), Math.max(1, inSession), List.of())
                .asSpare(),
            ControlConstants.PROBE_TIMEOUT_MS,
            answer -> answered(m, sentAtMs, known, answer, true),
            tried -> answered(m, sentAtMs, known, null, tried));
  }

  private void answered(Machine m, long sentAtMs, KnownReport known, Answer answer, boolean tried) {
    m.contact().setProbing(false);
    underWay--;
    if (answer == null && tried) {
      // Being short of sockets ourselves says nothing of the machine, which would be returned.
      m.contact().probeFailedSince(sentAtMs);
    }
    if (answer == null) {
      // Its worker reports by itself as soon as it can: asking on and on only costs connections.
      m.contact().askAgainAt(context.nowMs() + FleetConstants.PROBE_PAUSE_MS);
    }
    WorkerReport report = CommandQueue.reportOf(answer);
    if (!context.isClosed() && report != null) {
      onAnswer.answered(m, report, known);
    }
    probeNext();
  }
}
