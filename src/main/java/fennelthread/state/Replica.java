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
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller's replica of all keys under {@link Keys#LIVE_PREFIX}, loaded page by page and then
 * followed by watch. It may lag behind the store: whoever answers a user from it confirms revisions
 * first. Used on the event loop's thread only.
 */
public final class Replica {
  private static final Logger log = LoggerFactory.getLogger(Replica.class);

  /** Whether all keys are present. */
  private enum Phase {
    /** Pages of keys are being read. */
    LOADING,
    /** All keys were read; changes arrive by watch. */
    FOLLOWING
  }

  /** Receives every change of a key after it was applied to the replica. */
  @FunctionalInterface
  public interface Listener {
    /** Handles a change; {@code value} is null for a removal. */
    void onChange(String key, Fields value, long revision);
  }

  /** The value is null for keys that listeners decode: see {@link Keys#isDecodedByListener}. */
  private record Versioned(Fields value, long revision) {}

  private final EventLoop eventLoop;
  private final StateClient state;
  private final TreeMap<String, Versioned> entries = new TreeMap<>();
  private final Map<String, Long> removalRevisions = new HashMap<>();
  private final List<Listener> listeners = new ArrayList<>();
  private final List<Runnable> advanceCallbacks = new ArrayList<>();
  private Phase phase = Phase.LOADING;
  private Set<String> loadedKeys = Set.of();
  private long revision;
  private long loadRevision;
  private long loadStartedAtMs;
  private long currentAsOfMs = Long.MIN_VALUE / 2;

  /** Creates an empty replica; {@link #start} fills it. */
  public Replica(EventLoop eventLoop, StateClient state) {
    this.eventLoop = eventLoop;
    this.state = state;
  }

  /** Adds a listener; listeners are called in the order in which they were added. */
  public void addListener(Listener listener) {
    listeners.add(listener);
  }

  /** Starts to load all keys and then to follow their changes. */
  public void start() {
    transitionTo(Phase.LOADING);
    loadedKeys = new HashSet<>();
    loadRevision = 0;
    loadStartedAtMs = eventLoop.nowMs();
    loadPage(null);
  }

  /** True once all keys were read. */
  public boolean isReady() {
    return phase == Phase.FOLLOWING;
  }

  /** The revision of the store that the replica has reached. */
  public long revision() {
    return revision;
  }

  /**
   * Records that the store had reached {@code storeRevision} when it was asked at {@code
   * askedAtMs}: a replica that has reached it too is as current as if it had been read then. An
   * open watch says nothing while nothing changes.
   */
  public void confirmRevision(long storeRevision, long askedAtMs) {
    if (storeRevision <= revision) {
      currentAsOfMs = Math.max(currentAsOfMs, askedAtMs);
    }
  }

  /** The moment before which every change that was committed is in the replica, ms. */
  public long currentAsOfMs() {
    return currentAsOfMs;
  }

  /** Runs {@code callback} once, after the next time that the watch or a load has advanced. */
  public void onNextAdvance(Runnable callback) {
    advanceCallbacks.add(callback);
  }

  /**
   * The value of a key that no listener decodes ({@link Keys#isDecodedByListener}), null without
   * one.
   */
  public Fields get(String key) {
    Versioned entry = entries.get(key);
    return entry == null ? null : entry.value;
  }

  /** The revision of a key, 0 if it is not in the replica. */
  public long revisionOf(String key) {
    Versioned entry = entries.get(key);
    return entry == null ? 0 : entry.revision;
  }

  /** A copy of all keys with a prefix, in order, each with its revision. */
  public NavigableMap<String, Long> revisionsUnder(String prefix) {
    TreeMap<String, Long> revisions = new TreeMap<>();
    entries
        .subMap(prefix, true, prefix + '\uffff', false)
        .forEach((key, entry) -> revisions.put(key, entry.revision));
    return revisions;
  }

  /** Applies a transaction of this controller that was committed, ahead of the watch. */
  public void applyCommitted(Txn txn, long commitRevision) {
    if (commitRevision <= revision) {
      // The watch has brought this change already, and perhaps a later one that undid it: applying
      // it again would bring a removed job back to life.
      return;
    }
    txn.writesByKey().forEach((key, value) -> put(key, value, commitRevision));
    txn.removedKeys().forEach(key -> remove(key, commitRevision));
  }

  /** Applies an entry that was read by itself, unless the replica has passed its revision. */
  public void applyRead(KeyValue entry) {
    if (entry.revision() > revision) {
      put(entry.key(), entry.value(), entry.revision());
    }
  }

  /** The only place where the phase changes. */
  private void transitionTo(Phase next) {
    if (phase != next) {
      log.debug("replica phase changed from={} to={} revision={}", phase, next, revision);
    }
    phase = next;
  }

  // ---------------------------------------------------------------- loading

  private void loadPage(String afterKey) {
    state.list(Keys.LIVE_PREFIX, afterKey, page -> onPage(afterKey, page));
  }

  private void onPage(String afterKey, Optional<KeyPage> result) {
    if (result.isEmpty()) {
      retryLater(() -> loadPage(afterKey));
      return;
    }
    KeyPage page = result.get();
    if (loadRevision == 0) {
      loadRevision = page.revision();
    }
    for (KeyValue entry : page.items()) {
      // Applied page by page: all values at once are a large part of a small heap.
      loadedKeys.add(entry.key());
      put(entry.key(), entry.value(), entry.revision());
    }
    if (page.more() && !page.items().isEmpty()) {
      loadPage(page.items().get(page.items().size() - 1).key());
      return;
    }
    finishLoad();
  }

  private void finishLoad() {
    for (String key : new ArrayList<>(entries.keySet())) {
      // Entries that this controller wrote after the list was read have newer revisions, and stay.
      if (!loadedKeys.contains(key) && entries.get(key).revision <= loadRevision) {
        remove(key, loadRevision);
      }
    }
    loadedKeys = Set.of();
    revision = Math.max(revision, loadRevision);
    currentAsOfMs = Math.max(currentAsOfMs, loadStartedAtMs);
    transitionTo(Phase.FOLLOWING);
    runAdvanceCallbacks();
    watch(loadRevision);
  }

  // ---------------------------------------------------------------- watching

  private void watch(long afterRevision) {
    long sentAtMs = eventLoop.nowMs();
    state.watch(
        Keys.LIVE_PREFIX, afterRevision, result -> onWatchResult(afterRevision, sentAtMs, result));
  }

  private void onWatchResult(long afterRevision, long sentAtMs, WatchResult result) {
    if (result instanceof WatchResult.Changes batch) {
      applyChanges(batch, Math.max(afterRevision, batch.revision()), sentAtMs);
    } else if (result instanceof WatchResult.Compacted) {
      start();
    } else {
      retryLater(() -> watch(afterRevision));
    }
  }

  private void applyChanges(WatchResult.Changes batch, long reachedRevision, long sentAtMs) {
    for (KeyChange change : batch.changes()) {
      if (change instanceof KeyChange.Put put) {
        put(put.key(), put.value(), put.revision());
      } else {
        remove(change.key(), change.revision());
      }
    }
    revision = Math.max(revision, reachedRevision);
    removalRevisions.values().removeIf(removedAt -> removedAt <= reachedRevision);
    currentAsOfMs = Math.max(currentAsOfMs, sentAtMs);
    runAdvanceCallbacks();
    long pauseMs = StateConstants.MIN_WATCH_INTERVAL_MS - (eventLoop.nowMs() - sentAtMs);
    if (pauseMs > 0) {
      eventLoop.after(pauseMs, () -> watch(reachedRevision));
    } else {
      watch(reachedRevision);
    }
  }

  private void runAdvanceCallbacks() {
    List<Runnable> callbacks = new ArrayList<>(advanceCallbacks);
    advanceCallbacks.clear();
    callbacks.forEach(Runnable::run);
  }

  private void retryLater(Runnable request) {
    double jitter = 1 + ProtocolConstants.JITTER * eventLoop.random().nextDouble();
    eventLoop.after((long) (ProtocolConstants.RETRY_MS * jitter), request);
  }

  // ---------------------------------------------------------------- entries

  private void put(String key, Fields value, long putRevision) {
    if (!key.startsWith(Keys.LIVE_PREFIX)) {
      return;
    }
    Versioned known = entries.get(key);
    Long removedAt = removalRevisions.get(key);
    if ((known != null && known.revision >= putRevision)
        || (removedAt != null && removedAt >= putRevision)) {
      return;
    }
    entries.put(key, new Versioned(Keys.isDecodedByListener(key) ? null : value, putRevision));
    listeners.forEach(listener -> listener.onChange(key, value, putRevision));
  }

  private void remove(String key, long removeRevision) {
    if (!key.startsWith(Keys.LIVE_PREFIX)) {
      return;
    }
    Versioned known = entries.get(key);
    if (known != null && known.revision > removeRevision) {
      return;
    }
    removalRevisions.merge(key, removeRevision, Math::max);
    if (known != null) {
      entries.remove(key);
      listeners.forEach(listener -> listener.onChange(key, null, removeRevision));
    }
  }
}
