package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.constants.RelayConstants;
import fennelthread.net.Answer;
import fennelthread.wire.WorkerCommand;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends starts whose record is written, each exactly once: directly, or with the answer to the
 * machine's next report if no connection is to be had.
 */
final class StartSender {
  private static final Logger log = LoggerFactory.getLogger(StartSender.class);

  private final FleetContext context;
  private final CommandQueue.AnswerListener onAnswer;
  private final MachineProbes probes;
  private final Set<Machine> carriers = new LinkedHashSet<>();

  StartSender(FleetContext context, MachineProbes probes, CommandQueue.AnswerListener onAnswer) {
    this.context = context;
    this.probes = probes;
    this.onAnswer = onAnswer;
  }

  /**
   * Sends starts directly. The caller has just checked the local lease. An answer that stays away
   * means that the worker may act minutes later: the token is raised, and until a report under it
   * arrives, the attempts count as present.
   */
  void send(Machine m, List<Attempt> attempts) {
    long token = m.token(context.epoch());
    List<WorkerCommand> commands = new ArrayList<>();
    for (Attempt a : attempts) {
      a.sent(token);
      commands.add(new WorkerCommand.Run(a.start().task(), a.start().attempt()));
    }
    long session = attempts.get(0).start().session();
    KnownReport known = new KnownReport(session, m.seq());
    log.debug("{}: starts {} under token {}", m.name(), commands, token);
    m.contact()
        .startLeaves(
            context.nowMs() + FleetConstants.COMMAND_TIMEOUT_MS + RelayConstants.RELAY_SLACK_MS);
    context
        .transport()
        .send(
            m,
            m.address(),
            CommandQueue.call(token, session, commands),
            FleetConstants.COMMAND_TIMEOUT_MS,
            answer -> answered(m, attempts, known, answer),
            tried -> notSent(m, attempts, tried));
  }

  private void answered(Machine m, List<Attempt> attempts, KnownReport known, Answer answer) {
    if (context.isClosed()) {
      return;
    }
    WorkerReport report = CommandQueue.reportOf(answer);
    if (report == null) {
      unanswered(m, attempts);
    } else if (answer.status() == 409) {
      // Nothing was executed, and this was the only time these attempts were sent.
      attempts.forEach(a -> neverStarted(m, a));
    } else {
      // Executed: whether it is still there, this report or a newer one tells.
      moveSent(attempts, Attempt.Phase.FETCHING);
    }
    if (report != null) {
      onAnswer.answered(m, report, known);
    }
    context.listener().onFleetChanged();
  }

  private void unanswered(Machine m, List<Attempt> attempts) {
    context
        .aggregatedLog()
        .add("starts without an answer, tokens raised", m.name(), attempts.size());
    m.tokens().raise();
    moveSent(attempts, Attempt.Phase.UNSURE);
    probes.probe(m);
  }

  private static void moveSent(List<Attempt> attempts, Attempt.Phase next) {
    for (Attempt a : attempts) {
      if (a.phase() == Attempt.Phase.SENT) {
        a.moveTo(next);
      }
    }
  }

  /**
   * No connection could be had, so that nothing left: these attempts are nowhere. Taking them for
   * unsure once raised hundreds of tokens when connections were short, each of which then needed a
   * connection to be confirmed.
   */
  private void notSent(Machine m, List<Attempt> attempts, boolean tried) {
    if (context.isClosed()) {
      return;
    }
    if (tried) {
      context.aggregatedLog().add("starts not sent", m.name(), attempts.size());
      m.contact().unreachable(context.nowMs());
      attempts.forEach(a -> neverStarted(m, a));
    } else {
      // We are short of connections ourselves: the worker's next report brings one.
      context.aggregatedLog().add("starts carried by the next report", m.name(), attempts.size());
      moveSent(attempts, Attempt.Phase.CARRIED);
      carriers.add(m);
    }
    context.listener().onFleetChanged();
  }

  /** The starts that go out with the answer to a report, checked as if they were sent directly. */
  List<WorkerCommand> withAnswer(Machine m, boolean newest) {
    if (!carriers.contains(m)) {
      return List.of();
    }
    List<WorkerCommand> starts = new ArrayList<>();
    boolean left = false;
    for (Attempt a : carried(m)) {
      if (a.start().session() != m.session() || !context.listener().mayStart(a)) {
        neverStarted(m, a);
      } else if (newest && starts.size() < FleetConstants.STARTS_PER_ANSWER) {
        a.sentInAnswer(m.token(context.epoch()));
        starts.add(new WorkerCommand.Run(a.start().task(), a.start().attempt()));
      } else {
        left = true;
      }
    }
    if (!left) {
      carriers.remove(m);
    }
    return starts;
  }

  /**
   * Starts that an earlier answer held and the newest report does not show: whether that answer
   * arrived, nobody says. The token is raised, and the next report under it tells.
   */
  void doubtUnshown(Machine m) {
    boolean doubted = false;
    for (Attempt a : m.attempts()) {
      if (a.isSentInAnswer()) {
        a.moveTo(Attempt.Phase.UNSURE);
        doubted = true;
      }
    }
    if (doubted) {
      m.tokens().raise();
    }
  }

  /** Gives up starts whose machine does not report: they are better tried elsewhere. */
  void dropLate() {
    long patienceMs = (long) (context.reportMs() * FleetConstants.CARRY_REPORTS);
    boolean dropped = false;
    for (Machine m : List.copyOf(carriers)) {
      boolean left = false;
      for (Attempt a : carried(m)) {
        if (context.nowMs() - a.createdAtMs() > patienceMs) {
          neverStarted(m, a);
          dropped = true;
        } else {
          left = true;
        }
      }
      if (!left) {
        carriers.remove(m);
      }
    }
    if (dropped) {
      context.listener().onFleetChanged();
    }
  }

  private static List<Attempt> carried(Machine m) {
    List<Attempt> carried = new ArrayList<>();
    for (Attempt a : m.attempts()) {
      if (a.phase() == Attempt.Phase.CARRIED) {
        carried.add(a);
      }
    }
    return carried;
  }

  private void neverStarted(Machine m, Attempt a) {
    if (a.phase() == Attempt.Phase.SENT || a.phase() == Attempt.Phase.CARRIED) {
      a.moveTo(Attempt.Phase.GONE);
      m.remove(a);
      context.listener().onAttemptEnded(m, a);
    }
  }
}
