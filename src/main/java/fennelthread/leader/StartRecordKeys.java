package fennelthread.leader;

import fennelthread.state.Keys;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The keys of one term's start records: allocates them and keeps a free list of those whose records
 * are obsolete. A round reuses a free key instead of allocating one: overwriting a record takes one
 * change instead of a write and a removal, and records don't pile up while the state service is too
 * busy for removals.
 */
final class StartRecordKeys {
  private final long epoch;
  private final String ownPrefix;
  private final Set<String> free = new LinkedHashSet<>();
  private final Set<String> beingWritten = new HashSet<>();
  private long allocated;

  StartRecordKeys(long epoch) {
    this.epoch = epoch;
    this.ownPrefix = Keys.startRecordPrefix(epoch);
  }

  /** Returns a key that was never used. */
  String allocate() {
    return Keys.startRecord(epoch, ++allocated);
  }

  /** True if the key was allocated in this term. */
  boolean isOwn(String key) {
    return key.startsWith(ownPrefix);
  }

  /** Adds a key whose record is obsolete to the free list. */
  void release(String key) {
    free.add(key);
  }

  /** Takes the key that was released first from the free list; null if the list is empty. */
  String takeFree() {
    Iterator<String> oldest = free.iterator();
    if (!oldest.hasNext()) {
      return null;
    }
    String key = oldest.next();
    oldest.remove();
    return key;
  }

  /** The length of the free list. */
  int freeCount() {
    return free.size();
  }

  /** Marks a key whose record is part of the transaction in flight. */
  void markBeingWritten(String key) {
    beingWritten.add(key);
  }

  /** Unmarks all keys, once the transaction is answered. */
  void clearBeingWritten() {
    beingWritten.clear();
  }

  /**
   * True while the key's record is being written: its attempts are not sent yet, and some may
   * already be discarded, so that their phases do not show whether the record is obsolete.
   */
  boolean isBeingWritten(String key) {
    return beingWritten.contains(key);
  }
}
