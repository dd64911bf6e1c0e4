package fennelthread.fleet;

import fennelthread.wire.MachineType;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WorkerReport;
import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * One machine as the leader knows it: what it is, the phase that it is in, and what its worker
 * reported last. What is on it is kept by {@link MachineAttempts}, when it was in contact by {@link
 * MachineContact}, and its fencing tokens by {@link MachineFencingTokens}.
 */
public final class Machine {

  /** The phases of a machine, from its rental until the cloud has confirmed its return. */
  public enum Phase {
    /** Rented or named in a record, but its worker has not reported to this leader. */
    AWAITING_REPORT,
    /** Its worker reports. */
    REPORTING,
    /** Its worker's lease has expired and it has not reported since. */
    LOST,
    /** The cloud was asked to take it back. */
    RETURNING,
    /** The cloud has taken it back: nothing is on it any more, and its name is never used again. */
    GONE
  }

  private final String name;
  private final long createdAtMs;
  private final MachineFencingTokens tokens = new MachineFencingTokens();
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
  private long reports;

  Machine(String name, long nowMs) {
    this.name = name;
    this.createdAtMs = nowMs;
    this.contact = new MachineContact(nowMs);
    this.attempts = new MachineAttempts(this::markChanged, nowMs);
  }

  /** Changes the phase; the only place that does. */
  void transitionTo(Phase next) {
    if (phase == Phase.GONE && next != Phase.GONE) {
      throw new IllegalStateException(name + ": " + phase + " -> " + next);
    }
    phase = next;
  }

  // ---------------------------------------------------------------- description

  /** Sets the machine's type, zone and kind, which may change until its worker has reported. */
  void describe(String newType, String newZone, boolean newSpot) {
    if (described && newType.equals(type) && newZone.equals(zone) && newSpot == spot) {
      return;
    }
    type = newType;
    zone = newZone;
    spot = newSpot;
    described = true;
    markChanged();
  }

  /** Records that something has changed that placement depends on. */
  public void markChanged() {
    version++;
  }

  /**
   * Returns a number that grows whenever something changes that placement depends on. Sums that
   * were made at an earlier version are outdated.
   */
  public long version() {
    return version;
  }

  /** Sets the worker's address; null keeps the known one. */
  void setAddress(String newAddress) {
    if (newAddress != null) {
      address = newAddress;
    }
  }

  /** Returns the name, which the cloud never uses twice. */
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

  /** Returns true once type, zone and kind are known. */
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

  /** Returns the fencing token for what is sent now: the epoch above, a counter below. */
  long token(long epoch) {
    return tokens.current(epoch);
  }

  /** Returns true if the worker has shown the token without which nothing is concluded or sent. */
  boolean isConfirmed(long epoch) {
    return tokens.isConfirmed(epoch);
  }

  /**
   * Returns when this leader and the machine were last in contact, ms, or -1: a report showed that
   * what was sent before had arrived. That reports arrive shows only that the way from the machine
   * is open.
   */
  public long lastContactAtMs() {
    return contact.lastContactAtMs();
  }

  /** Returns since when there has been no contact, ms: never before this leader knew it. */
  public long outOfContactSinceMs() {
    return Math.max(contact.lastContactAtMs(), createdAtMs);
  }

  // ---------------------------------------------------------------- reports

  /** Returns the session (incarnation number) of the worker in its newest report. */
  public long session() {
    return session;
  }

  /** Returns the sequence number of the newest report within its session. */
  long seq() {
    return seq;
  }

  /**
   * Returns true if a report is later than all that is known. A restarted machine counts sessions
   * and reports from the start and forgets its tokens: a report that seems later but shows a lower
   * token is of an earlier incarnation.
   */
  boolean isNewer(WorkerReport report) {
    return new ReportPosition(session, seq).isBefore(report)
        && report.token() >= tokens.lastShown();
  }

  /**
   * Returns true if a report can't be of the known incarnation of the machine: it is an old copy,
   * or the first report after a restart.
   */
  boolean isOfOtherIncarnation(WorkerReport report) {
    return report.token() < tokens.lastShown();
  }

  /**
   * Records a report that is newer than all before; what it proves about attempts is for {@link
   * ReportEvidence}.
   *
   * @return the number of the report, to mark the attempts that it shows
   */
  long onReport(WorkerReport report, long epoch, long nowMs) {
    if (session > 0 && report.session() > session) {
      contact.onSessionChange(nowMs);
    }
    session = report.session();
    seq = report.seq();
    tokens.setLastShown(report.token());
    contact.onReport(nowMs, isConfirmed(epoch));
    boolean interrupted = report.noticeS() != WorkerReport.NO_NOTICE;
    interruptionAtMs = interrupted ? nowMs + (long) (report.noticeS() * 1000) : -1;
    return ++reports;
  }

  /**
   * Records that the machine was restarted: it has answered a probe with an earlier session or
   * report than was known when the probe was sent. What it reports now is all there is on it; its
   * sessions begin again.
   */
  void onRestarted() {
    session = 0;
    seq = 0;
    tokens.clearLastShown();
    contact.clearSessionChanges();
    clearImages();
  }

  /**
   * Returns true if one of its sessions is over: it has shown a later one under a token of our
   * epoch. A later session in any other report proves nothing, since the report may be of an
   * earlier incarnation of the machine.
   */
  boolean hasEndedSession(long ofSession, long epoch) {
    return session > ofSession && tokens.areOf(epoch);
  }

  // ---------------------------------------------------------------- attempts

  void add(Attempt attempt) {
    attempts.add(attempt);
  }

  void remove(Attempt attempt) {
    attempts.remove(attempt);
  }

  /** Drops an attempt that is proven gone, and adds it to {@code ended} if it was present. */
  void drop(Attempt attempt, List<Attempt> ended) {
    attempts.drop(attempt, ended);
  }

  /** Drops all attempts, since all are proven gone; returns those that counted as present. */
  List<Attempt> dropAll() {
    return attempts.dropAll();
  }

  /** Returns the attempt with that number at a task, or null. */
  Attempt find(TaskRef task, long attemptNumber) {
    return attempts.find(task, attemptNumber);
  }

  /** Returns true if only an answer of its worker can tell whether some attempt is on it. */
  boolean hasUnconfirmedAttempts() {
    return attempts.hasUnconfirmed();
  }

  /** Returns all attempts on it, ended ones included until they are cleared. */
  public Collection<Attempt> attempts() {
    return attempts.all();
  }

  /** Returns true if no attempt may be present on it. */
  public boolean isEmpty() {
    return attempts.nonePresent();
  }

  /** Updates the time since when nothing has been on it. */
  void updateIdleSince(long nowMs) {
    attempts.updateIdleSince(nowMs);
  }

  /** Returns since when nothing has been on it, reported ends included, ms, or -1. */
  public long idleSinceMs() {
    return attempts.idleSinceMs();
  }

  // ---------------------------------------------------------------- use

  /** Records that an image is cached on it; {@code machineType} is null if it is not known. */
  void recordCachedImage(String image, double gb, MachineType machineType) {
    if (images.recordUse(image, gb, machineType)) {
      markChanged();
    }
  }

  /** Forgets the cached images. */
  void clearImages() {
    images.clear();
    markChanged();
  }

  /** Returns the names of the images that it has cached, as far as is known. */
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

  /** Returns true if it gets no new tasks. */
  public boolean isCordoned() {
    return cordoned;
  }

  /** Returns when its spot interruption notice runs out, ms, or -1 if it has none. */
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
