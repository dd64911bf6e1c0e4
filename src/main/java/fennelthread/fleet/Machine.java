package fennelthread.fleet;

import fennelthread.Constants;
import fennelthread.jobs.StartRecord;
import fennelthread.wire.MachineType;
import fennelthread.wire.TaskRef;
import fennelthread.wire.WorkerReport;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** One machine as the leader knows it, with every attempt that may be on it. */
public final class Machine {

  /** Where a machine stands. */
  public enum Phase {
    /** Rented or recorded, but its worker was not heard by this leader. */
    UNHEARD,
    /** Its worker reports. */
    REPORTING,
    /** Its worker's lease is over and it has not reported since. */
    LOST,
    /** The cloud was asked to take it back. */
    RETURNING,
    /** The cloud has taken it back: nothing is on it any more, and its name is never used again. */
    GONE
  }

  /** A failed task, remembered for a while. */
  private record Failure(long atMs, String job) {}

  private final String name;
  private final long createdAtMs;
  private Phase phase = Phase.UNHEARD;
  private String address;
  private String type;
  private String zone;
  private boolean spot;
  private boolean typeKnown;
  private long session;
  private long seq;
  private long tokenCounter;
  private long neededCounter;
  private long clearedAtMs = Long.MIN_VALUE / 2;
  private long ackedToken = -1;
  private long heardAtMs = -1;
  private long contactAtMs = -1;
  private long unshownSinceMs = -1;
  private long askedWhichAtMs = Long.MIN_VALUE / 2;
  private String path;
  private final Deque<Long> rises = new ArrayDeque<>();
  private long answeredAtMs;
  private long noticeUntilMs = -1;
  private long lastFailureAtMs = Long.MIN_VALUE / 2;
  private boolean draining;
  private boolean listedFailed;
  private boolean probing;
  private long failedProbeSentAtMs = -1;
  private long askAgainAtMs = Long.MIN_VALUE;
  private long unreachableAtMs = Long.MIN_VALUE / 2;
  private long idleSinceMs;
  private long version;
  private long reports;
  private final Map<Attempt.Key, Attempt> attempts = new LinkedHashMap<>();
  private final LinkedHashMap<String, Double> images = new LinkedHashMap<>(16, 0.75f, true);
  private final List<Attempt> adopted = new ArrayList<>();
  private final List<Failure> failures = new ArrayList<>();

  Machine(String name, long nowMs) {
    this.name = name;
    this.createdAtMs = nowMs;
    this.answeredAtMs = nowMs;
    this.idleSinceMs = nowMs;
  }

  /** The only place where the phase changes. */
  void moveTo(Phase next) {
    if (phase == Phase.GONE && next != Phase.GONE) {
      throw new IllegalStateException(name + ": " + phase + " -> " + next);
    }
    phase = next;
  }

  void describe(String newType, String newZone, boolean newSpot) {
    if (typeKnown && newType.equals(type) && newZone.equals(zone) && newSpot == spot) {
      return;
    }
    type = newType;
    zone = newZone;
    spot = newSpot;
    typeKnown = true;
    touch();
  }

  /** Notes that something changed that placement looks at. */
  public void touch() {
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

  /** The full token for this machine: the epoch above, the counter below. */
  long token(long epoch) {
    return (epoch << Constants.TOKEN_BITS) + tokenCounter;
  }

  /**
   * From now on only a report under a higher token counts: whatever was said before may not have
   * arrived.
   */
  void raiseToken() {
    tokenCounter++;
    neededCounter = tokenCounter;
  }

  /**
   * Raises the token for clears. What was started under a lower one can't be started again by a
   * command that comes a second time, which the worker would not know for one after the clear.
   * Nothing has to be waited for.
   */
  void raiseForClears(long nowMs) {
    tokenCounter++;
    clearedAtMs = nowMs;
  }

  /** When the token was last raised for clears, ms. */
  long clearedAtMs() {
    return clearedAtMs;
  }

  /**
   * True if the worker has shown the token that it must have seen for anything to be concluded or
   * sent.
   */
  boolean isConfirmed(long epoch) {
    return ackedToken >= (epoch << Constants.TOKEN_BITS) + neededCounter;
  }

  /**
   * Applies a report that is newer than all before; returns the attempts that it ends. Until the
   * machine has shown a token of our own epoch what it reports may be as old as any late copy: what
   * is on it counts, what is done is done, and nothing else follows.
   */
  List<Attempt> apply(
      WorkerReport beat,
      long epoch,
      long now,
      Function<WorkerReport.Task, StartRecord.Start> describe) {
    List<Attempt> ended = new ArrayList<>();
    boolean ours = beat.token() >> Constants.TOKEN_BITS == epoch;
    if (ours) {
      // A later session: the worker has killed and forgotten everything of earlier ones.
      for (Attempt a : List.copyOf(attempts.values())) {
        if (a.start().session() < beat.session()) {
          drop(a, ended);
        }
      }
    }
    if (session > 0 && beat.session() > session) {
      rises.add(now);
    }
    session = beat.session();
    seq = beat.seq();
    ackedToken = beat.token();
    heardAtMs = now;
    if (isConfirmed(epoch)) {
      contactAtMs = now;
      unshownSinceMs = -1;
    }
    noticeUntilMs =
        beat.noticeS() == WorkerReport.NO_NOTICE ? -1 : now + (long) (beat.noticeS() * 1000);
    reports++;
    for (WorkerReport.Task t : beat.tasks()) {
      Attempt a = find(t.ref(), t.attempt());
      if (a == null) {
        a = new Attempt(this, describe.apply(t), Attempt.Phase.UNSURE, 0, now);
        add(a);
        adopted.add(a);
      }
      a.mark(reports);
      if (a.phase() == Attempt.Phase.RECORDED || a.phase() == Attempt.Phase.CARRIED) {
        continue;
      }
      boolean wasEnded = a.phase() == Attempt.Phase.ENDED;
      boolean done =
          t.phase() == WorkerReport.Phase.ENDED && t.motive() == WorkerReport.Motive.DONE;
      if ((wasEnded && t.phase() != WorkerReport.Phase.ENDED) || !(ours || done)) {
        continue;
      }
      a.reported(t, now);
      if (a.phase() == Attempt.Phase.ENDED && !wasEnded) {
        ended.add(a);
      }
    }
    List<Attempt> absent = new ArrayList<>(0);
    for (Attempt a : attempts.values()) {
      if (a.isMarked(reports)) {
        continue;
      }
      // A start that is in flight, or comes a second time, is refused only under a higher token
      // than its own.
      boolean mayCome =
          a.phase() == Attempt.Phase.RECORDED
              || a.phase() == Attempt.Phase.CARRIED
              || beat.token() <= a.token();
      if (ours && !mayCome) {
        absent.add(a);
      }
    }
    absent.forEach(a -> drop(a, ended));
    if (attempts.isEmpty()) {
      if (idleSinceMs < 0) {
        idleSinceMs = now;
      }
    } else {
      idleSinceMs = -1;
    }
    return ended;
  }

  private void drop(Attempt a, List<Attempt> ended) {
    boolean wasPresent = a.mayBePresent();
    a.moveTo(Attempt.Phase.GONE);
    remove(a);
    if (wasPresent) {
      ended.add(a);
    }
  }

  /** Attempts that reports showed since the last call and that we did not start. */
  List<Attempt> takeAdopted() {
    if (adopted.isEmpty()) {
      return List.of();
    }
    List<Attempt> taken = List.copyOf(adopted);
    adopted.clear();
    return taken;
  }

  /** Everything on it is proven gone; returns what was. */
  List<Attempt> dropAll() {
    List<Attempt> ended = new ArrayList<>();
    for (Attempt a : List.copyOf(attempts.values())) {
      drop(a, ended);
    }
    return ended;
  }

  void add(Attempt a) {
    attempts.put(a.key(), a);
    idleSinceMs = -1;
    touch();
  }

  void remove(Attempt a) {
    attempts.remove(a.key());
    touch();
  }

  /** True if some attempt may be on it of which only its worker's answer tells. */
  boolean awaitsProof() {
    for (Attempt a : attempts.values()) {
      if (a.phase() == Attempt.Phase.UNSURE) {
        return true;
      }
    }
    return false;
  }

  /**
   * True if a report is later than all we know. Sessions and reports are counted anew if the
   * machine was started anew, tokens are forgotten then: one that seems later but shows a lower
   * token is of an earlier life.
   */
  boolean isNewer(WorkerReport beat) {
    return isAfter(beat, session, seq) && beat.token() >= ackedToken;
  }

  /**
   * True if a report can't be of the life that we know: it is an old copy, or the first of the next
   * life.
   */
  boolean isOfAnotherLife(WorkerReport beat) {
    return beat.token() < ackedToken;
  }

  static boolean isAfter(WorkerReport beat, long session, long seq) {
    return beat.session() > session || (beat.session() == session && beat.seq() > seq);
  }

  /**
   * The machine was started anew: it has answered a question with an earlier session or report than
   * was known when the question was put to it. What it reports now is all there is on it; its
   * sessions begin again.
   */
  void reborn() {
    session = 0;
    seq = 0;
    ackedToken = -1;
    rises.clear();
    forgetImages();
  }

  /** The session and report known last: what is asked from now on is answered by later ones. */
  long seq() {
    return seq;
  }

  /**
   * By whom a report came: a worker that was answered stays with the controller that it reports to.
   *
   * @return true if by somebody else than the one before
   */
  boolean cameBy(String newPath) {
    boolean changed = path != null && !path.equals(newPath);
    path = newPath;
    return changed;
  }

  /** Notes that an answer is about to leave which holds a token that the machine has not shown. */
  void answeredUnshown(long epoch, long nowMs) {
    if (!isConfirmed(epoch) && unshownSinceMs < 0) {
      unshownSinceMs = nowMs;
    }
  }

  /** Since when answers have left without any sign that one has arrived, ms, or -1. */
  long unshownSinceMs() {
    return unshownSinceMs;
  }

  /** How often its session has risen since then: each time no answer had arrived for a lease. */
  int risesSince(long sinceMs) {
    while (!rises.isEmpty() && rises.size() > Constants.RISES_REMEMBERED) {
      rises.poll();
    }
    int count = 0;
    for (long at : rises) {
      count += at >= sinceMs ? 1 : 0;
    }
    return count;
  }

  /**
   * True if one of its sessions is over: it has shown a later one under a token of our epoch. A
   * later one in any other report proves nothing, which may be of a life before this one.
   */
  boolean isPast(long ofSession, long epoch) {
    return session > ofSession && ackedToken >> Constants.TOKEN_BITS == epoch;
  }

  /** The attempt that a report speaks of, or null. */
  Attempt find(TaskRef task, long attempt) {
    return attempts.get(new Attempt.Key(task, attempt));
  }

  void cached(String image, double gb, MachineType flavor) {
    if (images.put(image, gb) != null) {
      return;
    }
    touch();
    double total = 0;
    for (double size : images.values()) {
      total += size;
    }
    var oldest = images.entrySet().iterator();
    while (flavor != null && total > flavor.cacheGb() && oldest.hasNext()) {
      Map.Entry<String, Double> e = oldest.next();
      if (!e.getKey().equals(image)) {
        total -= e.getValue();
        oldest.remove();
      }
    }
  }

  void forgetImages() {
    images.clear();
    touch();
  }

  /** When a task last failed there, ms. */
  long lastFailureAtMs() {
    return lastFailureAtMs;
  }

  /** Notes a failed task; true if the machine, not the job, must be at fault. */
  boolean failed(String job, long now) {
    failures.removeIf(f -> f.atMs < now - Constants.FAILURE_WINDOW_MS);
    failures.add(new Failure(now, job));
    lastFailureAtMs = now;
    long jobs = failures.stream().map(Failure::job).distinct().count();
    return jobs >= Constants.BAD_MACHINE_JOBS || failures.size() >= Constants.BAD_MACHINE_TASKS;
  }

  void succeeded() {
    failures.clear();
  }

  void answered(long now) {
    answeredAtMs = now;
  }

  void drain() {
    draining = true;
  }

  void undrain() {
    draining = false;
  }

  void probeFailedSince(long sentAtMs) {
    failedProbeSentAtMs = sentAtMs;
  }

  /** Notes that it did not answer: no question is worth its connection before then. */
  void askAgainAt(long atMs) {
    askAgainAtMs = atMs;
  }

  long askAgainAtMs() {
    return askAgainAtMs;
  }

  /** Notes that no connection to it could be had. */
  void unreachable(long now) {
    unreachableAtMs = now;
  }

  long unreachableAtMs() {
    return unreachableAtMs;
  }

  /** When it was last asked whether it was started anew. */
  long askedWhichAtMs() {
    return askedWhichAtMs;
  }

  void askedWhich(long nowMs) {
    askedWhichAtMs = nowMs;
  }

  /** True if it did not answer a question that was sent after we last were in contact. */
  boolean probeFailed() {
    return failedProbeSentAtMs > contactAtMs;
  }

  void setListedFailed() {
    listedFailed = true;
  }

  void setProbing(boolean on) {
    probing = on;
  }

  boolean isProbing() {
    return probing;
  }

  boolean isListedFailed() {
    return listedFailed;
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

  /** The session of the newest report. */
  public long session() {
    return session;
  }

  long ackedToken() {
    return ackedToken;
  }

  /** When it was last heard, or -1. */
  public long heardAtMs() {
    return heardAtMs;
  }

  /**
   * When we were last in contact, or -1: its report showed that what we said before had arrived.
   * That reports come in shows only that the way from it is open.
   */
  public long contactAtMs() {
    return contactAtMs;
  }

  /** Since when we are out of contact: never before this leader knew it. */
  public long quietSinceMs() {
    return Math.max(contactAtMs, createdAtMs);
  }

  long answeredAtMs() {
    return answeredAtMs;
  }

  /** When its notice runs out, or -1. */
  public long noticeUntilMs() {
    return noticeUntilMs;
  }

  /** True if it gets no new tasks. */
  public boolean isDraining() {
    return draining;
  }

  /** When it was first known to this leader. */
  public long createdAtMs() {
    return createdAtMs;
  }

  /** Since when nothing has been on it, or -1. */
  public long idleSinceMs() {
    return idleSinceMs;
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
    for (Attempt a : attempts.values()) {
      if (a.mayBePresent()) {
        return false;
      }
    }
    return true;
  }

  /** Images that it has cached, as far as we know. */
  public Set<String> images() {
    return images.keySet();
  }
}
