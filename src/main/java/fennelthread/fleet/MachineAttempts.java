package fennelthread.fleet;

import fennelthread.wire.TaskRef;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The attempts on one machine, in the order in which they became known. Ended ones stay until they
 * are proven gone.
 */
final class MachineAttempts {

  /** Called when the set of attempts changes. */
  @FunctionalInterface
  interface ChangeListener {
    void onChange();
  }

  private final ChangeListener changeListener;
  private final Map<Attempt.Key, Attempt> attempts = new LinkedHashMap<>();
  private long idleSinceMs;

  MachineAttempts(ChangeListener changeListener, long nowMs) {
    this.changeListener = changeListener;
    this.idleSinceMs = nowMs;
  }

  void add(Attempt attempt) {
    attempts.put(attempt.key(), attempt);
    idleSinceMs = -1;
    changeListener.onChange();
  }

  void remove(Attempt attempt) {
    attempts.remove(attempt.key());
    changeListener.onChange();
  }

  /** Drops an attempt that is proven gone; adds it to {@code ended} if it counted as present. */
  void drop(Attempt attempt, List<Attempt> ended) {
    boolean wasPresent = attempt.mayBePresent();
    attempt.transitionTo(Attempt.Phase.GONE);
    remove(attempt);
    if (wasPresent) {
      ended.add(attempt);
    }
  }

  /** Drops all attempts, since all are proven gone; returns those that counted as present. */
  List<Attempt> dropAll() {
    List<Attempt> ended = new ArrayList<>();
    for (Attempt attempt : List.copyOf(attempts.values())) {
      drop(attempt, ended);
    }
    return ended;
  }

  /** Returns the attempt with that number at a task, or null. */
  Attempt find(TaskRef task, long attemptNumber) {
    return attempts.get(new Attempt.Key(task, attemptNumber));
  }

  /** Returns all attempts, ended ones included until they are cleared. */
  Collection<Attempt> all() {
    return attempts.values();
  }

  /** Returns true if any attempt is in that phase. */
  boolean hasAnyIn(Attempt.Phase phase) {
    for (Attempt attempt : attempts.values()) {
      if (attempt.phase() == phase) {
        return true;
      }
    }
    return false;
  }

  /** Returns true if no attempt is or may be present. */
  boolean hasNonePresent() {
    for (Attempt attempt : attempts.values()) {
      if (attempt.mayBePresent()) {
        return false;
      }
    }
    return true;
  }

  /** Updates {@link #idleSinceMs()} after attempts were added or removed. */
  void updateIdleSince(long nowMs) {
    if (!attempts.isEmpty()) {
      idleSinceMs = -1;
    } else if (idleSinceMs < 0) {
      idleSinceMs = nowMs;
    }
  }

  /** Returns since when there has been no attempt, not even an ended one, ms, or -1. */
  long idleSinceMs() {
    return idleSinceMs;
  }
}
