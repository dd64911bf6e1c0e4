package fennelthread.fleet;

import fennelthread.jobs.StartRecord;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One attempt at a task on one machine, from its start record until it is proven gone. */
public final class Attempt {
  private static final Logger log = LoggerFactory.getLogger(Attempt.class);

  /** The phases of an attempt. In all but ENDED and GONE it may be running on the machine. */
  public enum Phase {
    /** Its start record is being committed; no start was sent. */
    RECORDED,
    /** No connection could be opened for the start: it leaves with the next report's answer. */
    DEFERRED,
    /** The start was sent and its answer is awaited. */
    SENT,
    /** A start may have been sent, or may still arrive: only a report under a later token tells. */
    UNCONFIRMED,
    /** On the machine, waiting for its image. */
    FETCHING,
    /** On the machine, running. */
    RUNNING,
    /** On the machine, writing its checkpoint before it ends. */
    FLUSHING,
    /** Ended; the worker still reports it. */
    ENDED,
    /** Proven not to be on the machine. */
    GONE
  }

  /** The identity of an attempt among all others, on the machine and in reports. */
  record Key(TaskRef task, long attempt) {
    @Override
    public int hashCode() {
      // Attempt numbers are all but unique; hashing the names for each report would cost more.
      return Long.hashCode(attempt) * 31 + task.index();
    }
  }

  private final Machine machine;
  private final Key key;
  private final long createdAtMs;
  private StartRecord.Start start;
  private Phase phase;
  private WorkerReport.Motive motive;
  private long token;
  private long runningSinceMs = -1;
  private boolean stopRequested;
  private boolean endHandled;
  private boolean sentInResponse;
  private long lastSeenInReport;

  /**
   * Creates an attempt.
   *
   * @param token the fencing token under which its start is sent, or at most was sent
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
      throw new IllegalStateException(this + " -> " + next);
    }
    if (phase != next) {
      phase = next;
      machine.markChanged();
    }
  }

  private boolean mayTransitionTo(Phase next) {
    return switch (phase) {
      case RECORDED, DEFERRED -> next == Phase.SENT || next == Phase.GONE;
      case SENT -> next != Phase.RECORDED && next != Phase.SENT;
      case GONE -> false;
      case ENDED -> next == Phase.ENDED || next == Phase.GONE;
      default -> next != Phase.RECORDED && next != Phase.DEFERRED && next != Phase.SENT;
    };
  }

  /** Records that the start is sent under a fencing token. */
  void onStartSent(long underToken) {
    transitionTo(Phase.SENT);
    token = underToken;
  }

  /** Records that the start leaves with a report's answer: only the next report confirms it. */
  void onStartSentInResponse(long underToken) {
    onStartSent(underToken);
    sentInResponse = true;
  }

  /** Returns true if an earlier report's answer held the start and no report has shown it since. */
  boolean isSentInResponse() {
    return sentInResponse && phase == Phase.SENT;
  }

  /** Applies what a report says of the attempt. */
  void applyReport(WorkerReport.Task task, long nowMs) {
    switch (task.phase()) {
      case FETCHING -> transitionTo(Phase.FETCHING);
      case RUNNING -> {
        if (runningSinceMs < 0) {
          runningSinceMs = nowMs;
          log.debug("attempt running attempt={} sinceRecordMs={}", this, nowMs - createdAtMs);
        }
        transitionTo(Phase.RUNNING);
      }
      case FLUSHING -> transitionTo(Phase.FLUSHING);
      case ENDED -> {
        transitionTo(Phase.ENDED);
        motive = task.motive();
      }
      default -> throw new IllegalStateException(this + ": unknown task phase " + task.phase());
    }
  }

  /**
   * Replaces what was assumed of an attempt that a report showed first by its start record: the job
   * may be cancelled and unknown by now, yet its tasks still count against their team's quota.
   */
  void replaceStart(StartRecord.Start recorded) {
    start = recorded;
    machine.markChanged();
  }

  /** Returns the key under which its machine keeps it. */
  Key key() {
    return key;
  }

  /** Records the number of a report that shows it. */
  void markSeenIn(long reportNumber) {
    lastSeenInReport = reportNumber;
  }

  /** Returns true if the report of that number shows it. */
  boolean wasSeenIn(long reportNumber) {
    return lastSeenInReport == reportNumber;
  }

  /** Returns its start as recorded, or as assumed if only a report has shown it. */
  public StartRecord.Start start() {
    return start;
  }

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /** Returns why it ended, or null if no report has said so. */
  public WorkerReport.Motive endReason() {
    return motive;
  }

  /** Returns true unless it is proven not to be running on the machine. */
  public boolean mayBePresent() {
    return phase != Phase.ENDED && phase != Phase.GONE;
  }

  /** Returns the fencing token under which the start was sent. */
  long token() {
    return token;
  }

  /** Returns when it was first seen running, ms, or -1. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** Returns when this leader created it, ms. */
  public long createdAtMs() {
    return createdAtMs;
  }

  /** Returns true once a stop was requested. */
  public boolean isStopRequested() {
    return stopRequested;
  }

  /** Requests that it be stopped. */
  public void requestStop() {
    if (!stopRequested) {
      stopRequested = true;
      machine.markChanged();
    }
  }

  /** Returns true once its end was handled. */
  public boolean isEndHandled() {
    return endHandled;
  }

  /** Records that its end was handled. */
  public void markEndHandled() {
    endHandled = true;
  }

  /** Returns its identity and phase for log lines, without spaces. */
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
