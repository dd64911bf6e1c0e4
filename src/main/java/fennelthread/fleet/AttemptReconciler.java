package fennelthread.fleet;

import fennelthread.jobs.StartRecord;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.List;

/**
 * Reconciles the attempts on a machine with a report that is newer than all before. A report under
 * a token of the current epoch was sent in this term, so it shows what is on the machine and what
 * is not. Any other report may be an old copy. It proves only that the tasks which it shows as done
 * are done; other tasks that it shows count as present.
 */
final class AttemptReconciler {

  /**
   * The changes that a report has brought about.
   *
   * @param ended attempts that have ended or are proven not to be on the machine
   * @param discovered attempts that the report shows and that this term did not start
   */
  record AttemptChanges(List<Attempt> ended, List<Attempt> discovered) {}

  /** Finds the start of a reported task that this term did not start. */
  @FunctionalInterface
  interface StartLookup {
    StartRecord.Start startOf(WorkerReport.Task task);
  }

  private final Machine machine;
  private final WorkerReport report;
  private final boolean isOfCurrentEpoch;
  private final long nowMs;
  private final List<Attempt> ended = new ArrayList<>(0);
  private final List<Attempt> discovered = new ArrayList<>(0);

  private AttemptReconciler(Machine machine, WorkerReport report, long epoch, long nowMs) {
    this.machine = machine;
    this.report = report;
    this.isOfCurrentEpoch = MachineFencingTokens.epochOf(report) == epoch;
    this.nowMs = nowMs;
  }

  /**
   * Reconciles a machine's attempts with a report, and records the report with the machine.
   *
   * @param epoch the epoch of the current term
   * @param starts finds the starts of tasks that this term did not start
   */
  static AttemptChanges reconcile(
      Machine machine, WorkerReport report, long epoch, long nowMs, StartLookup starts) {
    AttemptReconciler reconciler = new AttemptReconciler(machine, report, epoch, nowMs);
    if (reconciler.isOfCurrentEpoch) {
      reconciler.dropEarlierSessions();
    }
    long reportNumber = machine.onReport(report, epoch, nowMs);
    for (WorkerReport.Task task : report.tasks()) {
      reconciler.applyTask(task, reportNumber, starts);
    }
    if (reconciler.isOfCurrentEpoch) {
      reconciler.dropAbsent(reportNumber);
    }
    machine.updateIdleSince(nowMs);
    return new AttemptChanges(reconciler.ended, reconciler.discovered);
  }

  /**
   * Drops the attempts of earlier sessions: a worker kills its tasks before it begins the next
   * session.
   */
  private void dropEarlierSessions() {
    for (Attempt attempt : List.copyOf(machine.attempts())) {
      if (attempt.start().session() < report.session()) {
        machine.dropAttempt(attempt, ended);
      }
    }
  }

  private void applyTask(WorkerReport.Task task, long reportNumber, StartLookup starts) {
    Attempt attempt = machine.findAttempt(task.ref(), task.attempt());
    if (attempt == null) {
      StartRecord.Start start = starts.startOf(task);
      attempt = new Attempt(machine, start, Attempt.Phase.UNCONFIRMED, 0, nowMs);
      machine.addAttempt(attempt);
      discovered.add(attempt);
    }
    attempt.markSeenIn(reportNumber);
    if (attempt.isUnsent()) {
      return;
    }
    boolean wasEnded = attempt.phase() == Attempt.Phase.ENDED;
    boolean isDone =
        task.phase() == WorkerReport.Phase.ENDED && task.endReason() == WorkerReport.EndReason.DONE;
    boolean isOutdated = wasEnded && task.phase() != WorkerReport.Phase.ENDED;
    if (isOutdated || !(isOfCurrentEpoch || isDone)) {
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
    absent.forEach(attempt -> machine.dropAttempt(attempt, ended));
  }

  /**
   * Returns true if an attempt's start may still be executed: it is not sent yet, or it may be in
   * flight and the worker has not seen the higher token that makes it refuse the start. A start
   * that was executed is not executed again, since it was sent once, with the answer to a report.
   */
  private boolean mayStillStart(Attempt attempt) {
    return attempt.isUnsent() || (attempt.isUnconfirmed() && report.token() <= attempt.token());
  }
}
