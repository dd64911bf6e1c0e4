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
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A controller's replica of all keys under {@link Keys#LIVE_PREFIX}, loaded page by page and then
 * followed by watch. It may lag behind the store: before a user is answered from it, the revisions
 * must be confirmed with the state service. Used on the event loop's thread only.
 */
public final class Replica {
  private static final Logger log = LoggerFactory.getLogger(Replica.class);

  /** Whether all keys have been read. */
  private enum Phase {
    /** Pages of keys are being read. */
    LOADING,
    /** All keys have been read; changes arrive by watch. */
    FOLLOWING
  }

  /** Receives every change of a key after it was applied to the replica. */
  @FunctionalInterface
  public interface Listener {
    /** Handles a change of a key; {@code value} is null if the key was removed. */
    void onChange(String key, Fields value, long revision);
  }

  /** A value and its revision; the value is null for keys with {@link Keys#isDecodedByListener}. */
  private record VersionedValue(Fields value, long revision) {}

  private final EventLoop eventLoop;
  private final StateClient state;
  private final TreeMap<String, VersionedValue> entries = new TreeMap<>();

  /** Revisions of removals that the watch has not reached, by key: older writes are ignored. */
  private final Map<String, Long> removalRevisions = new HashMap<>();

  private final List<Listener> listeners = new ArrayList<>();
  private final List<Runnable> callbacksOnAdvance = new ArrayList<>();
  private final CurrencyRequests currencyRequests = new CurrencyRequests();
  private boolean isCatchingUp;
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

  /**
   * Loads all keys and then follows their changes; called again once the store has compacted
   * changes that the watch has not delivered yet.
   */
  public void start() {
    transitionTo(Phase.LOADING);
    loadedKeys = new HashSet<>();
    loadRevision = 0;
    loadStartedAtMs = eventLoop.nowMs();
    loadPage(null);
  }

  /** True if all keys have been read; false again while they are reloaded. */
  public boolean isReady() {
    return phase == Phase.FOLLOWING;
  }

  /** The revision of the store that the replica has reached. */
  public long revision() {
    return revision;
  }

  /**
   * Records that the store had reached {@code storeRevision} when it was asked at {@code
   * askedAtMs}: a replica that has reached it too is as current as if it had been read then. The
   * watch alone does not tell, since it is silent while nothing changes.
   */
  public void confirmRevision(long storeRevision, long askedAtMs) {
    if (storeRevision <= revision) {
      currentAsOfMs = Math.max(currentAsOfMs, askedAtMs);
      answerCurrencyRequests();
    }
  }

  /**
   * The time before which every committed change is in the replica, ms of the event loop's clock.
   */
  public long currentAsOfMs() {
    return currentAsOfMs;
  }

  /**
   * Makes sure that every change committed before a time is in the replica. If it may lag behind
   * that time, the changes that it lacks are read at once, since the watch may be silent, or not
   * open again yet after a failure.
   *
   * @param asOfMs the time, ms of the event loop's clock; not in the future
   * @param done called once, possibly before this returns: with true if the replica is as current
   *     as requested, with false if the changes can't be read now
   */
  public void awaitCurrentAsOf(long asOfMs, Consumer<Boolean> done) {
    if (currentAsOfMs >= asOfMs) {
      done.accept(true);
    } else if (phase == Phase.LOADING || !state.canAnswerInTime(0)) {
      done.accept(false);
    } else {
      currencyRequests.add(asOfMs, done);
      catchUp();
    }
  }

  /** Runs {@code callback} once, after the next result of the watch or the next completed load. */
  public void onNextAdvance(Runnable callback) {
    callbacksOnAdvance.add(callback);
  }

  /**
   * The value of a key that no listener decodes ({@link Keys#isDecodedByListener}), null without
   * one.
   */
  public Fields get(String key) {
    VersionedValue entry = entries.get(key);
    return entry == null ? null : entry.value;
  }

  /** The revision of a key, 0 if it is not in the replica. */
  public long revisionOf(String key) {
    VersionedValue entry = entries.get(key);
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
      // The watch has already delivered this change, and perhaps a later one that undid it:
      // applying it again could restore a removed job.
      return;
    }
    txn.writesByKey().forEach((key, value) -> put(key, value, commitRevision));
    txn.removedKeys().forEach(key -> remove(key, commitRevision));
  }

  /**
   * Applies an entry that was read on its own, unless the replica has reached its revision already.
   */
  public void applyRead(KeyValue entry) {
    if (entry.revision() > revision) {
      put(entry.key(), entry.value(), entry.revision());
    }
  }

  /** Changes the phase, which changes nowhere else. */
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
      // Applied page by page: all values at once would take a large part of a small heap.
      loadedKeys.add(entry.key());
      put(entry.key(), entry.value(), entry.revision());
    }
    if (page.hasMore() && !page.items().isEmpty()) {
      loadPage(page.items().get(page.items().size() - 1).key());
      return;
    }
    finishLoad();
  }

  private void finishLoad() {
    for (String key : new ArrayList<>(entries.keySet())) {
      // Entries that this controller wrote after the first page was read have newer revisions
      // and are kept.
      if (!loadedKeys.contains(key) && entries.get(key).revision <= loadRevision) {
        remove(key, loadRevision);
      }
    }
    loadedKeys = Set.of();
    revision = Math.max(revision, loadRevision);
    currentAsOfMs = Math.max(currentAsOfMs, loadStartedAtMs);
    transitionTo(Phase.FOLLOWING);
    runAdvanceCallbacks();
    watch();
  }

  // ---------------------------------------------------------------- watching

  private void watch() {
    long afterRevision = revision;
    long sentAtMs = eventLoop.nowMs();
    state.watch(
        Keys.LIVE_PREFIX, afterRevision, result -> onWatchResult(afterRevision, sentAtMs, result));
  }

  private void onWatchResult(long afterRevision, long sentAtMs, WatchResult result) {
    if (result instanceof WatchResult.Changes batch) {
      applyChanges(batch, Math.max(afterRevision, batch.revision()), sentAtMs);
      watchAfterPause(sentAtMs);
    } else if (result instanceof WatchResult.Compacted) {
      start();
    } else {
      retryLater(this::watch);
    }
  }

  private void watchAfterPause(long lastSentAtMs) {
    long pauseMs = StateConstants.MIN_WATCH_INTERVAL_MS - (eventLoop.nowMs() - lastSentAtMs);
    if (pauseMs > 0) {
      eventLoop.after(pauseMs, this::watch);
    } else {
      watch();
    }
  }

  /**
   * Applies a batch of changes. It may overlap with one that was applied before, since the changes
   * that the replica lacks are also read beside the open watch: those are skipped.
   */
  private void applyChanges(WatchResult.Changes batch, long reachedRevision, long sentAtMs) {
    for (KeyChange change : batch.changes()) {
      if (change.revision() <= revision) {
        continue;
      }
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
  }

  /** Reads the changes that the replica lacks, unless they are being read already. */
  private void catchUp() {
    if (isCatchingUp || phase == Phase.LOADING) {
      return;
    }
    isCatchingUp = true;
    long sentAtMs = eventLoop.nowMs();
    long afterRevision = revision;
    state.readChanges(
        Keys.LIVE_PREFIX, afterRevision, result -> onCaughtUp(afterRevision, sentAtMs, result));
  }

  private void onCaughtUp(long afterRevision, long sentAtMs, WatchResult result) {
    isCatchingUp = false;
    if (phase == Phase.LOADING) {
      // The load that has begun meanwhile brings all changes, and answers the callers.
      return;
    }
    if (result instanceof WatchResult.Changes batch) {
      applyChanges(batch, Math.max(afterRevision, batch.revision()), sentAtMs);
    } else {
      currencyRequests.failAll();
    }
  }

  /** Answers the callers whose time the replica has reached, and catches up for the others. */
  private void answerCurrencyRequests() {
    currencyRequests.answerReached(currentAsOfMs);
    if (!currencyRequests.isEmpty()) {
      catchUp();
    }
  }

  private void runAdvanceCallbacks() {
    List<Runnable> callbacks = new ArrayList<>(callbacksOnAdvance);
    callbacksOnAdvance.clear();
    callbacks.forEach(Runnable::run);
    answerCurrencyRequests();
  }

  private void retryLater(Runnable request) {
    double jitter = 1 + ProtocolConstants.PAUSE_JITTER_SHARE * eventLoop.random().nextDouble();
    eventLoop.after((long) (ProtocolConstants.STATE_RETRY_DELAY_MS * jitter), request);
  }

  // ---------------------------------------------------------------- entries

  private void put(String key, Fields value, long putRevision) {
    if (!key.startsWith(Keys.LIVE_PREFIX)) {
      return;
    }
    VersionedValue known = entries.get(key);
    Long removedAt = removalRevisions.get(key);
    if ((known != null && known.revision >= putRevision)
        || (removedAt != null && removedAt >= putRevision)) {
      return;
    }
    entries.put(key, new VersionedValue(Keys.isDecodedByListener(key) ? null : value, putRevision));
    listeners.forEach(listener -> listener.onChange(key, value, putRevision));
  }

  private void remove(String key, long removeRevision) {
    if (!key.startsWith(Keys.LIVE_PREFIX)) {
      return;
    }
    VersionedValue known = entries.get(key);
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
