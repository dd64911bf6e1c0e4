package fennelthread.fleet;

import fennelthread.wire.MachineType;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WorkerReport;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * One machine as the leader knows it: its description, its phase, and the last report of its
 * worker. Its attempts are kept by {@link MachineAttempts}, the times of contact by {@link
 * MachineContact}, and its fencing tokens by {@link MachineFencingTokens}.
 */
public final class Machine {

  /** The phases of a machine, from its rental until the cloud has confirmed its return. */
  public enum Phase {
    /** Its worker has not reported under a token of this term's epoch yet. */
    AWAITING_REPORT,
    /** Its worker has reported, and its lease has not expired since. */
    REPORTING,
    /** Its worker's lease has expired, and it has not reported by itself since. */
    LOST,
    /** Its return to the cloud is requested, or is about to be. */
    RETURNING,
    /** The cloud has confirmed its return: nothing runs on it, and its name is never reused. */
    GONE
  }

  private final String name;
  private final long createdAtMs;
  private final MachineFencingTokens tokens;
  private final MachineContact contact;
  private final MachineAttempts attempts;
  private final CachedImages images = new CachedImages();
  private final FailureHistory failures = new FailureHistory();
  private Phase phase = Phase.AWAITING_REPORT;
  private String address;
  private String type;
  private String zone;
  private boolean spot;
  private boolean described;
  private long session;
  private long seq;
  private long interruptionAtMs = -1;
  private boolean cordoned;
  private boolean listedFailed;
  private long version;
  private long reportCount;

  Machine(String name, long nowMs) {
    this.name = name;
    this.createdAtMs = nowMs;
    this.tokens = new MachineFencingTokens(nowMs);
    this.contact = new MachineContact(nowMs);
    this.attempts = new MachineAttempts(this::markChanged, nowMs);
  }

  /** Changes the phase; the only place that does. */
  void transitionTo(Phase next) {
    if (phase == Phase.GONE && next != Phase.GONE) {
      throw new IllegalStateException(
          "machine " + name + " can't change from phase " + phase + " to " + next);
    }
    phase = next;
  }

  // ---------------------------------------------------------------- description

  /** Sets the machine's type, zone and whether it is a spot instance. */
  void setDescription(String newType, String newZone, boolean newSpot) {
    if (described && newType.equals(type) && newZone.equals(zone) && newSpot == spot) {
      return;
    }
    type = newType;
    zone = newZone;
    spot = newSpot;
    described = true;
    markChanged();
  }

  /** Raises the {@link #version()}, since something that placement depends on has changed. */
  public void markChanged() {
    version++;
  }

  /**
   * Returns a number that grows with each change of something that placement depends on: what was
   * computed from the machine at a lower version is outdated.
   */
  public long version() {
    return version;
  }

  /** Sets the worker's address, host and port; null keeps the known one. */
  void setAddress(String newAddress) {
    if (newAddress != null) {
      address = newAddress;
    }
  }

  /** Returns the name, which the cloud gives to no other machine. */
  public String name() {
    return name;
  }

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /** Returns the worker's address, host and port, or null if it is not known. */
  public String address() {
    return address;
  }

  /** Returns the name of the machine type, or null if it is not known. */
  public String type() {
    return type;
  }

  /** Returns the zone, or null if it is not known. */
  public String zone() {
    return zone;
  }

  /** Returns true for a spot instance, which the cloud may take back at any time. */
  public boolean isSpot() {
    return spot;
  }

  /** Returns true once its type, zone and whether it is a spot instance are known. */
  public boolean isDescribed() {
    return described;
  }

  // ---------------------------------------------------------------- tokens and contact

  MachineFencingTokens tokens() {
    return tokens;
  }

  MachineContact contact() {
    return contact;
  }

  /** Returns the fencing token under which a term of that epoch sends to the machine now. */
  long currentToken(long epoch) {
    return tokens.current(epoch);
  }

  /**
   * Returns true if the worker has confirmed the token that a term of that epoch requires. Tasks
   * are placed only on machines whose workers have confirmed it.
   */
  boolean isConfirmed(long epoch) {
    return tokens.isConfirmed(epoch);
  }

  /**
   * Returns when this leader and the machine were last in contact in both directions, ms, or -1 if
   * never: when a report last showed that what was sent before had arrived. Any other report shows
   * only that the network path from the machine works.
   */
  public long lastContactAtMs() {
    return contact.lastContactAtMs();
  }

  /** Returns since when there has been no contact, ms: at the earliest when it became known. */
  public long outOfContactSinceMs() {
    return Math.max(contact.lastContactAtMs(), createdAtMs);
  }

  // ---------------------------------------------------------------- reports

  /** Returns the number of the worker's session in its newest report, 0 before the first one. */
  public long session() {
    return session;
  }

  /** Returns the sequence number of the newest report within its session. */
  long seq() {
    return seq;
  }

  /**
   * Returns true if a report is newer than all that are known. A restarted machine counts sessions
   * and reports from the start and has forgotten its tokens: a report with a higher number but a
   * lower token than the known one is of an earlier incarnation of the machine.
   */
  boolean isNewer(WorkerReport report) {
    return new ReportPosition(session, seq).isBefore(report)
        && report.token() >= tokens.lastReported();
  }

  /**
   * Returns true if a report names a lower token than the newest known report: it is an old report
   * that was delivered late or again, or the first after a restart of the machine.
   */
  boolean isUnderLowerToken(WorkerReport report) {
    return report.token() < tokens.lastReported();
  }

  /**
   * Records a report that is newer than all before, except for its tasks, which {@link
   * AttemptReconciler} applies.
   *
   * @return the number of the report, by which the attempts that it shows are marked
   */
  long onReport(WorkerReport report, long epoch, long nowMs) {
    if (session > 0 && report.session() > session) {
      contact.onSessionChange(nowMs);
    }
    session = report.session();
    seq = report.seq();
    tokens.setLastReported(report.token());
    contact.onReport(nowMs, isConfirmed(epoch));
    boolean hasNotice = report.noticeS() != WorkerReport.NO_NOTICE;
    interruptionAtMs = hasNotice ? nowMs + (long) (report.noticeS() * 1000) : -1;
    return ++reportCount;
  }

  /**
   * Records that the machine was restarted: it has answered a command with an earlier session or
   * report number than was known when the command was sent. Its sessions begin again at 1.
   */
  void onRestarted() {
    session = 0;
    seq = 0;
    tokens.clearLastReported();
    contact.clearSessionChanges();
    clearImages();
  }

  /**
   * Returns true if a session is over: the machine has reported a later one under a token of the
   * epoch. A later session in any other report proves nothing, since the report may be of an
   * earlier incarnation of the machine.
   */
  boolean hasEndedSession(long sessionNumber, long epoch) {
    return session > sessionNumber && tokens.isLastReportedOf(epoch);
  }

  // ---------------------------------------------------------------- attempts

  void addAttempt(Attempt attempt) {
    attempts.add(attempt);
  }

  void removeAttempt(Attempt attempt) {
    attempts.remove(attempt);
  }

  /** Drops an attempt that is proven gone; adds it to {@code ended} if it counted as present. */
  void dropAttempt(Attempt attempt, List<Attempt> ended) {
    attempts.drop(attempt, ended);
  }

  /** Drops all attempts, since all are proven gone; returns those that counted as present. */
  List<Attempt> dropAllAttempts() {
    return attempts.dropAll();
  }

  /** Returns the attempt with that number at a task, or null. */
  Attempt findAttempt(TaskRef task, long attemptNumber) {
    return attempts.find(task, attemptNumber);
  }

  /**
   * Returns true if an attempt is unconfirmed: only a report can prove whether it is on the
   * machine.
   */
  boolean hasUnconfirmedAttempts() {
    return attempts.hasAnyIn(Attempt.Phase.UNCONFIRMED);
  }

  /** Returns true if starts were sent that no report has shown yet. */
  boolean hasUnreportedStarts() {
    return attempts.hasAnyIn(Attempt.Phase.SENT);
  }

  /** Returns all attempts on it, ended ones included until they are cleared. */
  public Collection<Attempt> attempts() {
    return attempts.all();
  }

  /** Returns true if no attempt is or may be running on it. */
  public boolean isEmpty() {
    return attempts.hasNonePresent();
  }

  /** Updates {@link #idleSinceMs()} after attempts were added or removed. */
  void updateIdleSince(long nowMs) {
    attempts.updateIdleSince(nowMs);
  }

  /**
   * Returns since when there has been no attempt on it, ms, or -1 while there is one. An ended
   * attempt counts until the worker has cleared it.
   */
  public long idleSinceMs() {
    return attempts.idleSinceMs();
  }

  // ---------------------------------------------------------------- images, failures and cordons

  /**
   * Records that an image is cached on it.
   *
   * @param gb the image's size, GB
   * @param machineType its type, or null if that is not known
   */
  void recordCachedImage(String image, double gb, MachineType machineType) {
    if (images.recordUse(image, gb, machineType)) {
      markChanged();
    }
  }

  /** Forgets which images it has cached. */
  void clearImages() {
    images.clear();
    markChanged();
  }

  /** Returns the names of the images that it has cached, as far as this leader knows. */
  public Set<String> cachedImages() {
    return images.names();
  }

  FailureHistory failures() {
    return failures;
  }

  void cordon() {
    cordoned = true;
  }

  void uncordon() {
    cordoned = false;
  }

  /** Returns true if no new tasks are placed on it. */
  public boolean isCordoned() {
    return cordoned;
  }

  /**
   * Returns when the cloud takes back this spot instance, ms, or -1 if it has not announced that.
   */
  public long interruptionAtMs() {
    return interruptionAtMs;
  }

  void setListedFailed() {
    listedFailed = true;
  }

  /** Returns true if the cloud lists it as failed. */
  boolean isListedFailed() {
    return listedFailed;
  }
}
