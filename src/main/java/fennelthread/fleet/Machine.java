package fennelthread.fleet;

import fennelthread.wire.MachineType;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WorkerReport;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One machine as the leader knows it, with every attempt that may be on it. */
public final class Machine {

  /** Where a machine stands. */
  public enum Phase {
    /** Rented or recorded, but its worker was not heard by this leader. */
    AWAITING_REPORT,
    /** Its worker reports. */
    REPORTING,
    /** Its worker's lease is over and it has not reported since. */
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
  private final CachedImages images = new CachedImages();
  private final FailureHistory failures = new FailureHistory();
  private final Map<Attempt.Key, Attempt> attempts = new LinkedHashMap<>();
  private Phase phase = Phase.AWAITING_REPORT;
  private String address;
  private String type;
  private String zone;
  private boolean spot;
  private boolean typeKnown;
  private long session;
  private long seq;
  private long interruptionAtMs = -1;
  private boolean cordoned;
  private boolean listedFailed;
  private long idleSinceMs;
  private long version;
  private long reports;

  Machine(String name, long nowMs) {
    this.name = name;
    this.createdAtMs = nowMs;
    this.contact = new MachineContact(nowMs);
    this.idleSinceMs = nowMs;
  }

  /** The only place where the phase changes. */
  void transitionTo(Phase next) {
    if (phase == Phase.GONE && next != Phase.GONE) {
      throw new IllegalStateException(name + ": " + phase + " -> " + next);
    }
    phase = next;
  }

  // ---------------------------------------------------------------- what it is

  void describe(String newType, String newZone, boolean newSpot) {
    if (typeKnown && newType.equals(type) && newZone.equals(zone) && newSpot == spot) {
      return;
    }
    type = newType;
    zone = newZone;
    spot = newSpot;
    typeKnown = true;
    markChanged();
  }

  /** Notes that something changed that placement looks at. */
  public void markChanged() {
    version++;
  }

  /** Rises whenever something changes that placement looks at: what was added up before is old. */
  public long version() {
    return version;
  }

  void setAddress(String newAddress) {
    if (newAddress != null) {
      address = newAddress;
    }
  }

  /** Its name, never used twice by the cloud. */
  public String name() {
    return name;
  }

  /** Where it stands. */
  public Phase phase() {
    return phase;
  }

  /** Its worker's address, or null. */
  public String address() {
    return address;
  }

  /** Its type's name. */
  public String type() {
    return type;
  }

  /** Its zone. */
  public String zone() {
    return zone;
  }

  /** True if the cloud may take it back at any time. */
  public boolean spot() {
    return spot;
  }

  /** True once type, zone and kind are known. */
  public boolean isDescribed() {
    return typeKnown;
  }

  /** When it was first known to this leader, ms. */
  public long createdAtMs() {
    return createdAtMs;
  }

  // ---------------------------------------------------------------- tokens and contact

  MachineFencingTokens tokens() {
    return tokens;
  }

  MachineContact contact() {
    return contact;
  }

  /** The full token for this machine: the epoch above, a counter below. */
  long token(long epoch) {
    return tokens.current(epoch);
  }

  /** True if it has shown the token that it must have seen for anything to be concluded or sent. */
  boolean isConfirmed(long epoch) {
    return tokens.isConfirmed(epoch);
  }

  /** Notes that an answer to its report is about to leave. */
  void onUnacknowledgedAnswer(long epoch, long nowMs) {
    if (!isConfirmed(epoch)) {
      contact.onUnacknowledgedAnswer(nowMs);
    }
  }

  /** When it was last heard, ms, or -1. */
  public long lastReportAtMs() {
    return contact.lastReportAtMs();
  }

  /**
   * When we were last in contact, ms, or -1: its report showed that what we said before had
   * arrived. That reports come in shows only that the way from it is open.
   */
  public long lastContactAtMs() {
    return contact.lastContactAtMs();
  }

  /** Since when we are out of contact, ms: never before this leader knew it. */
  public long outOfContactSinceMs() {
    return Math.max(contact.lastContactAtMs(), createdAtMs);
  }

  /**
   * When this leader last answered a report that the machine sent by itself, or first knew the
   * machine, ms.
   */
  public long reportAnsweredAtMs() {
    return contact.reportAnsweredAtMs();
  }

  // ---------------------------------------------------------------- reports

  /** The session of the newest report. */
  public long session() {
    return session;
  }

  /** The number of the newest report within its session. */
  long seq() {
    return seq;
  }

  /**
   * True if a report is later than all we know. Sessions and reports are counted anew if the
   * machine was started anew, tokens are forgotten then: one that seems later but shows a lower
   * token is of an earlier life.
   */
  boolean isNewer(WorkerReport report) {
    return new ReportPosition(session, seq).isBefore(report) && report.token() >= tokens.shown();
  }

  /**
   * True if a report can't be of the life that we know: it is an old copy, or the first of the next
   * life.
   */
  boolean isOfOtherIncarnation(WorkerReport report) {
    return report.token() < tokens.shown();
  }

  /**
   * Notes a report that is newer than all before; what it says of tasks is for {@link
   * ReportEvidence}.
   *
   * @return the number of the report, to mark the attempts that it shows
   */
  long reported(WorkerReport report, long epoch, long nowMs) {
    if (session > 0 && report.session() > session) {
      contact.onIncarnationChange(nowMs);
    }
    session = report.session();
    seq = report.seq();
    tokens.shown(report.token());
    contact.heard(nowMs, isConfirmed(epoch));
    boolean noticed = report.noticeS() != WorkerReport.NO_NOTICE;
    interruptionAtMs = noticed ? nowMs + (long) (report.noticeS() * 1000) : -1;
    return ++reports;
  }

  /**
   * The machine was started anew: it has answered a question with an earlier session or report than
   * was known when the question was put to it. What it reports now is all there is on it; its
   * sessions begin again.
   */
  void onRestarted() {
    session = 0;
    seq = 0;
    tokens.shown(-1);
    contact.clearIncarnationChanges();
    clearImages();
  }

  // ---------------------------------------------------------------- attempts

  void add(Attempt attempt) {
    attempts.put(attempt.key(), attempt);
    idleSinceMs = -1;
    markChanged();
  }

  void remove(Attempt attempt) {
    attempts.remove(attempt.key());
    markChanged();
  }

  /** An attempt is proven gone; it is added to {@code ended} if it counted as present. */
  void drop(Attempt attempt, List<Attempt> ended) {
    boolean wasPresent = attempt.mayBePresent();
    attempt.transitionTo(Attempt.Phase.GONE);
    remove(attempt);
    if (wasPresent) {
      ended.add(attempt);
    }
  }

  /** Everything on it is proven gone; returns what was. */
  List<Attempt> dropAll() {
    List<Attempt> ended = new ArrayList<>();
    for (Attempt attempt : List.copyOf(attempts.values())) {
      drop(attempt, ended);
    }
    return ended;
  }

  /** The attempt that a report speaks of, or null. */
  Attempt find(TaskRef task, long attempt) {
    return attempts.get(new Attempt.Key(task, attempt));
  }

  /**
   * True if one of its sessions is over: it has shown a later one under a token of our epoch. A
   * later one in any other report proves nothing, which may be of a life before this one.
   */
  boolean hasEndedSession(long ofSession, long epoch) {
    return session > ofSession && tokens.areOf(epoch);
  }

  /** True if some attempt may be on it of which only its worker's answer tells. */
  boolean hasUnconfirmedAttempts() {
    for (Attempt attempt : attempts.values()) {
      if (attempt.phase() == Attempt.Phase.UNCONFIRMED) {
        return true;
      }
    }
    return false;
  }

  /** All attempts on it, ended ones included until they are cleared. */
  public Iterable<Attempt> attempts() {
    return attempts.values();
  }

  Collection<Attempt> attemptList() {
    return attempts.values();
  }

  /** True if no attempt may be on it. */
  public boolean isEmpty() {
    for (Attempt attempt : attempts.values()) {
      if (attempt.mayBePresent()) {
        return false;
      }
    }
    return true;
  }

  /** Notes whether anything is on it, reported ends included. */
  void noteIdle(long nowMs) {
    if (!attempts.isEmpty()) {
      idleSinceMs = -1;
    } else if (idleSinceMs < 0) {
      idleSinceMs = nowMs;
    }
  }

  /** Since when nothing has been on it, ms, or -1. */
  public long idleSinceMs() {
    return idleSinceMs;
  }

  // ---------------------------------------------------------------- use

  void recordCachedImage(String image, double gb, MachineType machineType) {
    if (images.use(image, gb, machineType)) {
      markChanged();
    }
  }

  void clearImages() {
    images.clear();
    markChanged();
  }

  /** Images that it has cached, as far as we know. */
  public Set<String> images() {
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

  /** True if it gets no new tasks. */
  public boolean isCordoned() {
    return cordoned;
  }

  /** When its notice runs out, ms, or -1. */
  public long interruptionAtMs() {
    return interruptionAtMs;
  }

  void setListedFailed() {
    listedFailed = true;
  }

  /** True if the cloud lists it as failed. */
  boolean isListedFailed() {
    return listedFailed;
  }
}
