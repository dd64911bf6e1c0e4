package fennelthread.state;

import fennelthread.constants.ProtocolConstants;
import fennelthread.constants.StateConstants;
import fennelthread.net.EventLoop;
import fennelthread.wire.Fields;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller's copy of everything under {@link Keys#LIVE}, followed by watch. It may be behind;
 * whoever answers a user from it confirms revisions first.
 */
public final class Replica {
  private static final Logger log = LoggerFactory.getLogger(Replica.class);

  /** How far the copy is. */
  public enum Phase {
    LOADING,
    FOLLOWING
  }

  /** Told of every change, after it was made; {@code value} is null for a removal. */
  public interface Listener {
    /** A key has changed. */
    void changed(String key, Fields value, long revision);
  }

  private record Versioned(Fields value, long revision) {}

  private final EventLoop eventLoop;
  private final StateClient state;
  private final TreeMap<String, Versioned> entries = new TreeMap<>();
  private final Map<String, Long> removed = new HashMap<>();
  private final List<Listener> listeners = new ArrayList<>();
  private final List<Runnable> waiters = new ArrayList<>();
  private Phase phase = Phase.LOADING;
  private long revision;
  private long loadRevision;
  private long loadedFromMs;
  private long readAtMs = Long.MIN_VALUE / 2;
  private Set<String> loaded;

  /** Creates an empty copy; {@link #start} fills it. */
  public Replica(EventLoop eventLoop, StateClient state) {
    this.eventLoop = eventLoop;
    this.state = state;
  }

  /** Adds a listener. */
  public void listen(Listener listener) {
    listeners.add(listener);
  }

  /** Begins to load and follow. */
  public void start() {
    moveTo(Phase.LOADING);
    loaded = new HashSet<>();
    loadRevision = 0;
    loadedFromMs = eventLoop.nowMs();
    loadFrom(null);
  }

  /** True once everything was read. */
  public boolean isReady() {
    return phase == Phase.FOLLOWING;
  }

  /** The revision that the copy has reached. */
  public long revision() {
    return revision;
  }

  /**
   * The state service has said that there were so many changes, when it was asked at {@code
   * askedAtMs}: if the copy has them all it is as good as read then. A watch that waits for a
   * change says nothing meanwhile.
   */
  public void confirmed(long changes, long askedAtMs) {
    if (changes <= revision) {
      readAtMs = Math.max(readAtMs, askedAtMs);
    }
  }

  /**
   * When what the copy holds was asked for, ms: everything that was applied before then is in it.
   */
  public long readAtMs() {
    return readAtMs;
  }

  /** Runs {@code task} after each advance of the copy, until it says that it is done. */
  public void onAdvance(Runnable task) {
    waiters.add(task);
  }

  /** The value of a key that no listener decodes ({@link Keys#isDecoded}), or null. */
  public Fields get(String key) {
    Versioned v = entries.get(key);
    return v == null ? null : v.value;
  }

  /** The revision of a key, 0 if it does not exist here. */
  public long revisionOf(String key) {
    Versioned v = entries.get(key);
    return v == null ? 0 : v.revision;
  }

  /** All keys with the prefix, in order. */
  public NavigableMap<String, Long> keys(String prefix) {
    TreeMap<String, Long> keys = new TreeMap<>();
    entries
        .subMap(prefix, true, prefix + '\uffff', false)
        .forEach((key, v) -> keys.put(key, v.revision));
    return keys;
  }

  /** Takes over what a transaction of ours has changed, without waiting for the watch. */
  public void applied(Txn txn, long at) {
    if (at <= revision) {
      // The watch has brought this change already, and perhaps a later one that undid it: applying
      // it again would bring a removed job back to life.
      return;
    }
    txn.writeMap().forEach((key, value) -> put(key, value, at));
    txn.removeList().forEach(key -> remove(key, at));
  }

  /** Takes over an entry that was read by itself, if the copy has not come so far yet. */
  public void learned(StateClient.Entry entry) {
    if (entry.value() != null && entry.revision() > revision) {
      put(entry.key(), entry.value(), entry.revision());
    }
  }

  private void moveTo(Phase next) {
    if (phase != next) {
      log.debug("replica {} -> {} at {}", phase, next, revision);
    }
    phase = next;
  }

  private void loadFrom(String since) {
    state.list(
        Keys.LIVE,
        since,
        page -> {
          if (page == null) {
            retry(() -> loadFrom(since));
            return;
          }
          if (loadRevision == 0) {
            loadRevision = page.revision();
          }
          for (StateClient.Entry e : page.items()) {
            // Taken over page by page: all values at once are a large part of a small heap.
            loaded.add(e.key());
            put(e.key(), e.value(), e.revision());
          }
          if (page.more() && !page.items().isEmpty()) {
            loadFrom(page.items().get(page.items().size() - 1).key());
            return;
          }
          finishLoad();
        });
  }

  private void finishLoad() {
    for (String key : new ArrayList<>(entries.keySet())) {
      // Written by ourselves after the list was read: a newer revision than the list's stays.
      if (!loaded.contains(key) && entries.get(key).revision <= loadRevision) {
        remove(key, loadRevision);
      }
    }
    loaded = null;
    revision = Math.max(revision, loadRevision);
    readAtMs = Math.max(readAtMs, loadedFromMs);
    moveTo(Phase.FOLLOWING);
    advanced();
    follow(loadRevision);
  }

  private void follow(long since) {
    long openedAt = eventLoop.nowMs();
    state.watch(
        Keys.LIVE,
        since,
        changes -> {
          if (changes == null) {
            retry(() -> follow(since));
            return;
          }
          if (changes.tooOld()) {
            start();
            return;
          }
          for (StateClient.Entry e : changes.log()) {
            if (e.value() == null) {
              remove(e.key(), e.revision());
            } else {
              put(e.key(), e.value(), e.revision());
            }
          }
          long reached = Math.max(since, changes.revision());
          revision = Math.max(revision, reached);
          removed.values().removeIf(at -> at <= reached);
          readAtMs = Math.max(readAtMs, openedAt);
          advanced();
          long gap = StateConstants.WATCH_GAP_MS - (eventLoop.nowMs() - openedAt);
          if (gap > 0) {
            eventLoop.after(gap, () -> follow(reached));
          } else {
            follow(reached);
          }
        });
  }

  private void advanced() {
    List<Runnable> now = new ArrayList<>(waiters);
    waiters.clear();
    now.forEach(Runnable::run);
  }

  private void retry(Runnable task) {
    eventLoop.after(
        (long)
            (ProtocolConstants.RETRY_MS
                * (1 + ProtocolConstants.JITTER * eventLoop.random().nextDouble())),
        task);
  }

  private void put(String key, Fields value, long at) {
    if (!key.startsWith(Keys.LIVE)) {
      return;
    }
    Versioned known = entries.get(key);
    Long gone = removed.get(key);
    if ((known != null && known.revision >= at) || (gone != null && gone >= at)) {
      return;
    }
    entries.put(key, new Versioned(Keys.isDecoded(key) ? null : value, at));
    listeners.forEach(l -> l.changed(key, value, at));
  }

  private void remove(String key, long at) {
    if (!key.startsWith(Keys.LIVE)) {
      return;
    }
    Versioned known = entries.get(key);
    if (known != null && known.revision > at) {
      return;
    }
    removed.merge(key, at, Math::max);
    if (known != null) {
      entries.remove(key);
      listeners.forEach(l -> l.changed(key, null, at));
    }
  }
}
