package fennelthread.fleet;

import fennelthread.jobs.StartRecord;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Applies a report that is newer than all before to the attempts on its machine. Until the machine
 * has shown a token of our own epoch what it reports may be as old as any late copy: what is on it
 * counts, what is done is done, and nothing else follows.
 */
final class ReportEvidence {

  /**
   * What followed from a report.
   *
   * @param ended attempts that are over or proven not to be on the machine
   * @param adopted attempts that it showed and that we did not start
   */
  record Outcome(List<Attempt> ended, List<Attempt> adopted) {}

  private final Machine machine;
  private final WorkerReport report;
  private final boolean ours;
  private final long nowMs;
  private final List<Attempt> ended = new ArrayList<>(0);
  private final List<Attempt> adopted = new ArrayList<>(0);

  private ReportEvidence(Machine machine, WorkerReport report, long epoch, long nowMs) {
    this.machine = machine;
    this.report = report;
    this.ours = MachineTokens.epochOf(report) == epoch;
    this.nowMs = nowMs;
  }

  /**
   * Applies a report to a machine.
   *
   * @param epoch the epoch of our term
   * @param describe says what a reported task is that we did not start
   */
  static Outcome apply(
      Machine machine,
      WorkerReport report,
      long epoch,
      long nowMs,
      Function<WorkerReport.Task, StartRecord.Start> describe) {
    ReportEvidence evidence = new ReportEvidence(machine, report, epoch, nowMs);
    if (evidence.ours) {
      evidence.dropEarlierSessions();
    }
    long mark = machine.reported(report, epoch, nowMs);
    for (WorkerReport.Task task : report.tasks()) {
      evidence.applyTask(task, mark, describe);
    }
    if (evidence.ours) {
      evidence.dropAbsent(mark);
    }
    machine.noteIdle(nowMs);
    return new Outcome(evidence.ended, evidence.adopted);
  }

  /** In a later session the worker has killed and forgotten everything of earlier ones. */
  private void dropEarlierSessions() {
    for (Attempt a : List.copyOf(machine.attemptList())) {
      if (a.start().session() < report.session()) {
        machine.drop(a, ended);
      }
    }
  }

  private void applyTask(
      WorkerReport.Task task, long mark, Function<WorkerReport.Task, StartRecord.Start> describe) {
    Attempt a = machine.find(task.ref(), task.attempt());
    if (a == null) {
      a = new Attempt(machine, describe.apply(task), Attempt.Phase.UNSURE, 0, nowMs);
      machine.add(a);
      adopted.add(a);
    }
    a.mark(mark);
    if (a.phase() == Attempt.Phase.RECORDED || a.phase() == Attempt.Phase.CARRIED) {
      return;
    }
    boolean wasEnded = a.phase() == Attempt.Phase.ENDED;
    boolean done =
        task.phase() == WorkerReport.Phase.ENDED && task.motive() == WorkerReport.Motive.DONE;
    boolean old = wasEnded && task.phase() != WorkerReport.Phase.ENDED;
    if (old || !(ours || done)) {
      return;
    }
    a.reported(task, nowMs);
    if (a.phase() == Attempt.Phase.ENDED && !wasEnded) {
      ended.add(a);
    }
  }

  private void dropAbsent(long mark) {
    List<Attempt> absent = new ArrayList<>(0);
    for (Attempt a : machine.attempts()) {
      if (!a.isMarked(mark) && !mayStillCome(a)) {
        absent.add(a);
      }
    }
    absent.forEach(a -> machine.drop(a, ended));
  }

  /**
   * True if a start may still be carried out: one that is in flight, or comes a second time, is
   * refused only under a higher token than its own.
   */
  private boolean mayStillCome(Attempt a) {
    return a.phase() == Attempt.Phase.RECORDED
        || a.phase() == Attempt.Phase.CARRIED
        || report.token() <= a.token();
  }
}
