package fennelthread.fleet;

import fennelthread.jobs.StartRecord;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WorkerReport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One attempt at a task on one machine, from its round record until it is proven gone. */
public final class Attempt {
  private static final Logger log = LoggerFactory.getLogger(Attempt.class);

  /** Where an attempt stands. All but ENDED and GONE may be running on the machine. */
  public enum Phase {
    /** Its round record is being written; no start was sent. */
    RECORDED,
    /** No connection could be had for the start: it goes out with the next report's answer. */
    DEFERRED,
    /** The start was sent and its answer is awaited. */
    SENT,
    /** A start may have been sent, or may still arrive: only a report under a later token tells. */
    UNCONFIRMED,
    /** On the machine, waiting for its image. */
    FETCHING,
    /** On the machine, running. */
    RUNNING,
    /** On the machine, saving. */
    FLUSHING,
    /** Over; the worker still reports it. */
    ENDED,
    /** Proven not to be on the machine. */
    GONE
  }

  /** What tells it from every other attempt: on the machine, and in reports. */
  record Key(TaskRef task, long attempt) {
    @Override
    public int hashCode() {
      // Attempt numbers are all but unique; hashing the names for each report would cost more.
      return Long.hashCode(attempt) * 31 + task.index();
    }
  }

  private final Machine machine;
  private final Key key;
  private StartRecord.Start start;
  private final long createdAtMs;
  private Phase phase;
  private WorkerReport.Motive motive;
  private long token;
  private long runningSinceMs = -1;
  private boolean stopRequested;
  private boolean markEndHandled;
  private boolean sentInResponse;
  private long lastSeenInReport;

  Attempt(Machine machine, StartRecord.Start start, Phase phase, long token, long nowMs) {
    this.machine = machine;
    this.key = new Key(start.task(), start.attempt());
    this.start = start;
    this.phase = phase;
    this.token = token;
    this.createdAtMs = nowMs;
  }

  /** The only place where the phase changes. */
  void transitionTo(Phase next) {
    boolean allowed =
        switch (phase) {
          case RECORDED -> next == Phase.SENT || next == Phase.GONE;
          case DEFERRED -> next == Phase.SENT || next == Phase.GONE;
          case SENT -> next != Phase.RECORDED && next != Phase.SENT;
          case GONE -> false;
          case ENDED -> next == Phase.ENDED || next == Phase.GONE;
          default -> next != Phase.RECORDED && next != Phase.DEFERRED && next != Phase.SENT;
        };
    if (!allowed) {
      throw new IllegalStateException(this + " -> " + next);
    }
    if (phase != next) {
      phase = next;
      machine.markChanged();
    }
  }

  void onStartSent(long underToken) {
    transitionTo(Phase.SENT);
    token = underToken;
  }

  /** The start goes out with a report's answer, which nobody confirms but the next report. */
  void onStartSentInResponse(long underToken) {
    onStartSent(underToken);
    sentInResponse = true;
  }

  /** True if the answer to an earlier report held the start, and nothing has shown it since. */
  boolean isSentInResponse() {
    return sentInResponse && phase == Phase.SENT;
  }

  void reported(WorkerReport.Task task, long nowMs) {
    switch (task.phase()) {
      case FETCHING -> transitionTo(Phase.FETCHING);
      case RUNNING -> {
        if (runningSinceMs < 0) {
          runningSinceMs = nowMs;
          log.debug("{} runs, {} ms after its record", this, nowMs - createdAtMs);
        }
        transitionTo(Phase.RUNNING);
      }
      case FLUSHING -> transitionTo(Phase.FLUSHING);
      case ENDED -> {
        transitionTo(Phase.ENDED);
        motive = task.motive();
      }
      default -> throw new IllegalStateException();
    }
  }

  /**
   * Takes over what a round record says of an attempt that a report showed first: the job may be
   * cancelled and unknown by now, yet its tasks still count against their team's cap.
   */
  void replaceStart(StartRecord.Start recorded) {
    start = recorded;
    machine.markChanged();
  }

  /** The key under which a machine keeps it. */
  Key key() {
    return key;
  }

  /** Notes the report that shows it. */
  void markSeenIn(long report) {
    lastSeenInReport = report;
  }

  boolean wasSeenIn(long report) {
    return lastSeenInReport == report;
  }

  /** What was recorded of it. */
  public StartRecord.Start start() {
    return start;
  }

  /** Where it stands. */
  public Phase phase() {
    return phase;
  }

  /** Why it ended, or null. */
  public WorkerReport.Motive motive() {
    return motive;
  }

  /** True unless it is proven not to be on the machine. */
  public boolean mayBePresent() {
    return phase != Phase.ENDED && phase != Phase.GONE;
  }

  /** The token under which the start was sent. */
  long token() {
    return token;
  }

  /** When it was first seen running, or -1. */
  public long runningSinceMs() {
    return runningSinceMs;
  }

  /** When it was created here. */
  public long createdAtMs() {
    return createdAtMs;
  }

  /** True once a stop was asked for. */
  public boolean isStopRequested() {
    return stopRequested;
  }

  /** Notes that a stop was asked for. */
  public void requestStop() {
    if (!stopRequested) {
      stopRequested = true;
      machine.markChanged();
    }
  }

  /** True once its end was taken note of. */
  public boolean isEndHandled() {
    return markEndHandled;
  }

  /** Notes that its end was taken note of. */
  public void markEndHandled() {
    markEndHandled = true;
  }

  @Override
  public String toString() {
    return start.task()
        + "#"
        + start.attempt()
        + "@"
        + start.machine()
        + "/"
        + start.session()
        + " "
        + phase;
  }
}
