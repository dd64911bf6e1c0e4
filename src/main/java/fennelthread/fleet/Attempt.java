package fennelthread.fleet;

import fennelthread.jobs.StartRecord;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One attempt at a task on one machine, from its start record until it is proven to be gone. */
public final class Attempt {
  private static final Logger log = LoggerFactory.getLogger(Attempt.class);

  /** The phases of an attempt. In all but ENDED and GONE it counts as present on the machine. */
  public enum Phase {
    /** Its start record is being committed, or was just committed; the start has not been sent. */
    CREATED,
    /** Its start waits to be sent with the answer to the machine's next report. */
    QUEUED,
    /** The start was sent with the answer to a report; no report has shown the attempt yet. */
    SENT,
    /**
     * The start may have arrived or may still arrive: only a report under a higher token proves it.
     */
    UNCONFIRMED,
    /** On the machine, waiting for its image. */
    FETCHING,
    /** On the machine, running. */
    RUNNING,
    /** On the machine, writing its checkpoint before it ends. */
    FLUSHING,
    /** Ended; the worker reports it until it is cleared. */
    ENDED,
    /** Proven not to be on the machine, and removed. */
    GONE
  }

  /** The identity of an attempt: its task and its number. */
  record Key(TaskRef task, long attempt) {
    @Override
    public int hashCode() {
      // Attempt numbers are nearly unique. Hashing them is cheaper than hashing the job's name,
      // which would be done for each task of each report.
      return Long.hashCode(attempt) * 31 + task.index();
    }
  }

  private final Machine machine;
  private final Key key;
  private final long createdAtMs;
  private StartRecord.Start start;
  private Phase phase;
  private WorkerReport.EndReason endReason;
  private long token;
  private long runningSinceMs = -1;
  private boolean stopRequested;
  private boolean endHandled;
  private long lastSeenInReport;

  /**
   * Creates an attempt.
   *
   * @param token the fencing token under which its start is sent; for a restored attempt the
   *     highest under which it may have been sent; 0 for an attempt discovered in a report, so that
   *     any later report under a token of the current epoch that does not show it proves it gone
   */
  Attempt(Machine machine, StartRecord.Start start, Phase phase, long token, long nowMs) {
    this.machine = machine;
    this.key = new Key(start.task(), start.attempt());
    this.start = start;
    this.phase = phase;
    this.token = token;
    this.createdAtMs = nowMs;
  }

  /** Changes the phase; the only place that does. */
  void transitionTo(Phase next) {
    if (!mayTransitionTo(next)) {
      throw new IllegalStateException("attempt " + this + " can't change to phase " + next);
    }
    if (phase != next) {
      phase = next;
      machine.markChanged();
    }
  }

  private boolean mayTransitionTo(Phase next) {
    return switch (phase) {
      case CREATED -> next == Phase.QUEUED || next == Phase.GONE;
      case QUEUED -> next == Phase.SENT || next == Phase.GONE;
      case SENT -> next != Phase.CREATED && next != Phase.QUEUED && next != Phase.SENT;
      case GONE -> false;
      case ENDED -> next == Phase.ENDED || next == Phase.GONE;
      default -> next != Phase.CREATED && next != Phase.QUEUED && next != Phase.SENT;
    };
  }

  /** Records that the start is sent under a fencing token: only the next report can confirm it. */
  void onStartSent(long startToken) {
    transitionTo(Phase.SENT);
    token = startToken;
  }

  /** Returns true until the start is sent: no report can show the attempt. */
  public boolean isUnsent() {
    return phase == Phase.CREATED || phase == Phase.QUEUED;
  }

  /** Applies what a report says about the attempt. */
  void applyReport(WorkerReport.Task task, long nowMs) {
    switch (task.phase()) {
      case FETCHING -> transitionTo(Phase.FETCHING);
      case RUNNING -> {
        if (runningSinceMs < 0) {
          runningSinceMs = nowMs;
          log.debug("attempt running attempt={} sinceCreatedMs={}", this, nowMs - createdAtMs);
        }
        transitionTo(Phase.RUNNING);
      }
      case FLUSHING -> transitionTo(Phase.FLUSHING);
      case ENDED -> {
        transitionTo(Phase.ENDED);
        endReason = task.endReason();
      }
      default ->
          throw new IllegalStateException("attempt " + this + " has unknown phase " + task.phase());
    }
  }

  /**
   * Replaces the start that was assumed for an attempt that was discovered in a report by the
   * recorded one. It holds the team and the resources, which count against the team's quota even if
   * the job is cancelled and unknown by now.
   */
  void replaceStart(StartRecord.Start recorded) {
    start = recorded;
    machine.markChanged();
  }

  /** Returns its identity. */
  Key key() {
    return key;
  }

  /** Records that a report shows it; {@code reportNumber} counts the reports of its machine. */
  void markSeenIn(long reportNumber) {
    lastSeenInReport = reportNumber;
  }

  /** Returns true if its start was sent, or may have been, and no report has shown it since. */
  boolean isUnconfirmed() {
    return phase == Phase.SENT || phase == Phase.UNCONFIRMED;
  }

  /** Returns true if the report with that number is the last that has shown it. */
  boolean wasSeenIn(long reportNumber) {
    return lastSeenInReport == reportNumber;
  }

  /** Returns its start as recorded, or as assumed if it is only known from a report. */
  public StartRecord.Start start() {
    return start;
  }

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /** Returns why it ended, or null if no report has shown its end. */
  public WorkerReport.EndReason endReason() {
    return endReason;
  }

  /** Returns true unless a report shows it as ended or it is proven to be gone. */
  public boolean mayBePresent() {
    return phase != Phase.ENDED && phase != Phase.GONE;
  }

  /**
   * Returns the fencing token under which the start is or was sent, the highest under which it may
   * have been sent if the attempt was restored, or 0 if it was discovered in a report.
   */
  long token() {
    return token;
  }

  /** Returns when a report first showed it running, ms, or -1. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** Returns when it became known in this term, ms. */
  public long createdAtMs() {
    return createdAtMs;
  }

  /** Returns true once {@link #requestStop} was called. */
  public boolean isStopRequested() {
    return stopRequested;
  }

  /** Marks it to be stopped: {@link FleetListener#commandsFor} returns a stop command for it. */
  public void requestStop() {
    if (!stopRequested) {
      stopRequested = true;
      machine.markChanged();
    }
  }

  /** Returns true once the leader's term has handled its end. */
  public boolean isEndHandled() {
    return endHandled;
  }

  /** Records that the leader's term has handled its end, so that it is handled once only. */
  public void markEndHandled() {
    endHandled = true;
  }

  /** Returns its identity and phase for log lines: {@code task#attempt@machine/session:PHASE}. */
  @Override
  public String toString() {
    return start.task()
        + "#"
        + start.attempt()
        + "@"
        + start.machine()
        + "/"
        + start.session()
        + ":"
        + phase;
  }
}
