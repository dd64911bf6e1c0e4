package fennelthread.fleet;

import fennelthread.jobs.StartRecord;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.List;

/**
 * Applies a report that is newer than all before to the attempts on its machine. Until the machine
 * has shown a token of our own epoch, the report may be a copy of any age: then tasks that it shows
 * count as present, those that it shows as done are done, and nothing else follows.
 */
final class ReportEvidence {

  /**
   * The consequences of a report.
   *
   * @param ended attempts that have ended or are proven not to be on the machine
   * @param discovered attempts that the report shows and that this term did not start
   */
  record Outcome(List<Attempt> ended, List<Attempt> discovered) {}

  /** Finds the start that belongs to a reported task which this term did not start. */
  @FunctionalInterface
  interface StartLookup {
    StartRecord.Start startOf(WorkerReport.Task task);
  }

  private final Machine machine;
  private final WorkerReport report;
  private final boolean ofOurEpoch;
  private final long nowMs;
  private final List<Attempt> ended = new ArrayList<>(0);
  private final List<Attempt> discovered = new ArrayList<>(0);

  private ReportEvidence(Machine machine, WorkerReport report, long epoch, long nowMs) {
    this.machine = machine;
    this.report = report;
    this.ofOurEpoch = MachineFencingTokens.epochOf(report) == epoch;
    this.nowMs = nowMs;
  }

  /**
   * Applies a report to a machine.
   *
   * @param epoch the epoch of our term
   * @param starts finds the starts of tasks that this term did not start
   */
  static Outcome apply(
      Machine machine, WorkerReport report, long epoch, long nowMs, StartLookup starts) {
    ReportEvidence evidence = new ReportEvidence(machine, report, epoch, nowMs);
    if (evidence.ofOurEpoch) {
      evidence.dropEarlierSessions();
    }
    long reportNumber = machine.onReport(report, epoch, nowMs);
    for (WorkerReport.Task task : report.tasks()) {
      evidence.applyTask(task, reportNumber, starts);
    }
    if (evidence.ofOurEpoch) {
      evidence.dropAbsent(reportNumber);
    }
    machine.updateIdleSince(nowMs);
    return new Outcome(evidence.ended, evidence.discovered);
  }

  /** In a later session the worker has killed and forgotten all tasks of earlier ones. */
  private void dropEarlierSessions() {
    for (Attempt attempt : List.copyOf(machine.attempts())) {
      if (attempt.start().session() < report.session()) {
        machine.drop(attempt, ended);
      }
    }
  }

  private void applyTask(WorkerReport.Task task, long reportNumber, StartLookup starts) {
    Attempt attempt = machine.find(task.ref(), task.attempt());
    if (attempt == null) {
      StartRecord.Start start = starts.startOf(task);
      attempt = new Attempt(machine, start, Attempt.Phase.UNCONFIRMED, 0, nowMs);
      machine.add(attempt);
      discovered.add(attempt);
    }
    attempt.markSeenIn(reportNumber);
    if (attempt.phase() == Attempt.Phase.RECORDED || attempt.phase() == Attempt.Phase.DEFERRED) {
      return;
    }
    boolean wasEnded = attempt.phase() == Attempt.Phase.ENDED;
    boolean done =
        task.phase() == WorkerReport.Phase.ENDED && task.motive() == WorkerReport.Motive.DONE;
    boolean outdated = wasEnded && task.phase() != WorkerReport.Phase.ENDED;
    if (outdated || !(ofOurEpoch || done)) {
      return;
    }
    attempt.applyReport(task, nowMs);
    if (attempt.phase() == Attempt.Phase.ENDED && !wasEnded) {
      ended.add(attempt);
    }
  }

  private void dropAbsent(long reportNumber) {
    List<Attempt> absent = new ArrayList<>(0);
    for (Attempt attempt : machine.attempts()) {
      if (!attempt.wasSeenIn(reportNumber) && !mayStillStart(attempt)) {
        absent.add(attempt);
      }
    }
    absent.forEach(attempt -> machine.drop(attempt, ended));
  }

  /**
   * Returns true if a start may still be carried out: one that is in flight, or arrives a second
   * time, is refused only under a higher token than its own.
   */
  private boolean mayStillStart(Attempt attempt) {
    return attempt.phase() == Attempt.Phase.RECORDED
        || attempt.phase() == Attempt.Phase.DEFERRED
        || report.token() <= attempt.token();
  }
}
