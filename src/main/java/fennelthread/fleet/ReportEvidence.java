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
    this.ours = MachineFencingTokens.epochOf(report) == epoch;
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
    for (Attempt attempt : List.copyOf(machine.attemptList())) {
      if (attempt.start().session() < report.session()) {
        machine.drop(attempt, ended);
      }
    }
  }

  private void applyTask(
      WorkerReport.Task task, long mark, Function<WorkerReport.Task, StartRecord.Start> describe) {
    Attempt attempt = machine.find(task.ref(), task.attempt());
    if (attempt == null) {
      attempt = new Attempt(machine, describe.apply(task), Attempt.Phase.UNCONFIRMED, 0, nowMs);
      machine.add(attempt);
      adopted.add(attempt);
    }
    attempt.markSeenIn(mark);
    if (attempt.phase() == Attempt.Phase.RECORDED || attempt.phase() == Attempt.Phase.DEFERRED) {
      return;
    }
    boolean wasEnded = attempt.phase() == Attempt.Phase.ENDED;
    boolean done =
        task.phase() == WorkerReport.Phase.ENDED && task.motive() == WorkerReport.Motive.DONE;
    boolean old = wasEnded && task.phase() != WorkerReport.Phase.ENDED;
    if (old || !(ours || done)) {
      return;
    }
    attempt.reported(task, nowMs);
    if (attempt.phase() == Attempt.Phase.ENDED && !wasEnded) {
      ended.add(attempt);
    }
  }

  private void dropAbsent(long mark) {
    List<Attempt> absent = new ArrayList<>(0);
    for (Attempt attempt : machine.attempts()) {
      if (!attempt.wasSeenIn(mark) && !mayStillCome(attempt)) {
        absent.add(attempt);
      }
    }
    absent.forEach(attempt -> machine.drop(attempt, ended));
  }

  /**
   * True if a start may still be carried out: one that is in flight, or comes a second time, is
   * refused only under a higher token than its own.
   */
  private boolean mayStillCome(Attempt attempt) {
    return attempt.phase() == Attempt.Phase.RECORDED
        || attempt.phase() == Attempt.Phase.DEFERRED
        || report.token() <= attempt.token();
  }
}
