package fennelthread.state;

import fennelthread.wire.Fields;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A compare-and-swap transaction under construction: changes that the service applies together, and
 * only if every key of its conditions has the required revision. Not thread-safe.
 */
public final class Txn {
  private final Map<String, Long> requiredRevisions = new LinkedHashMap<>();
  private final Map<String, Fields> writesByKey = new LinkedHashMap<>();
  private final List<String> removedKeys = new ArrayList<>();
  private String leaseBoundKey;
  private long leaseId;

  /** Adds the condition that {@code key} has this revision; 0 means that it must not exist. */
  public Txn requireRevision(String key, long revision) {
    requiredRevisions.put(key, revision);
    return this;
  }

  /** Adds the write of a key. */
  public Txn write(String key, Fields value) {
    writesByKey.put(key, value);
    return this;
  }

  /**
   * Adds the write of a key that is bound to a lease; a transaction holds at most one such write.
   */
  public Txn writeWithLease(String key, Fields value, long leaseId) {
    this.leaseBoundKey = key;
    this.leaseId = leaseId;
    return write(key, value);
  }

  /** Adds the removal of a key. */
  public Txn remove(String key) {
    removedKeys.add(key);
    return this;
  }

  /** True if the transaction writes a key that is bound to a lease. */
  boolean isLeaseBound() {
    return leaseBoundKey != null;
  }

  /** The number of changes, puts and deletes. */
  public int changeCount() {
    return writesByKey.size() + removedKeys.size();
  }

  /** The number of conditions. */
  public int conditionCount() {
    return requiredRevisions.size();
  }

  Map<String, Fields> writesByKey() {
    return writesByKey;
  }

  List<String> removedKeys() {
    return removedKeys;
  }

  /** Encodes the body of the request. */
  Fields encodeBody() {
    List<Object> conditions = new ArrayList<>();
    requiredRevisions.forEach(
        (key, revision) ->
            conditions.add(Fields.create().with("key", key).with("edicion", revision).map()));
    List<Object> changes = new ArrayList<>();
    writesByKey.forEach((key, value) -> changes.add(encodeWrite(key, value).map()));
    removedKeys.forEach(key -> changes.add(Fields.create().with("remove", key).map()));
    return Fields.create().with("when", conditions).with("then", changes);
  }

  private Fields encodeWrite(String key, Fields value) {
    Fields write = Fields.create().with("write", key).with("v", value.map());
    return key.equals(leaseBoundKey) ? write.with("permiso", leaseId) : write;
  }
}
