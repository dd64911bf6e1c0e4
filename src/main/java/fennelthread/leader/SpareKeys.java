package fennelthread.leader;

import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Keys of this term's own round records that nobody needs any more. The next round writes over one
 * of them instead of making a new key: that is one change where a new key and its removal are two,
 * and the records can't pile up while the state service is too busy for removals.
 */
final class SpareKeys {
  private final Set<String> keys = new LinkedHashSet<>();

  /** A record is no longer needed, and never will be again. */
  void offer(String key) {
    keys.add(key);
  }

  /** A key to write over, which is no longer offered; null if there is none. */
  String take() {
    Iterator<String> first = keys.iterator();
    if (!first.hasNext()) {
      return null;
    }
    String key = first.next();
    first.remove();
    return key;
  }

  /** How many are offered. */
  int size() {
    return keys.size();
  }
}
