package fennelthread.state;

import fennelthread.wire.Fields;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A transaction being put together. */
public final class Txn {
  private final Map<String, Long> when = new LinkedHashMap<>();
  private final Map<String, Fields> writes = new LinkedHashMap<>();
  private final List<String> removes = new ArrayList<>();
  private String boundKey;
  private long grant;

  /** Requires that {@code key} has this revision; 0 means that it must not exist. */
  public Txn when(String key, long revision) {
    when.put(key, revision);
    return this;
  }

  /** Writes a key. */
  public Txn write(String key, Fields value) {
    writes.put(key, value);
    return this;
  }

  /** Writes a key that vanishes with a grant. */
  public Txn writeBound(String key, Fields value, long grant) {
    this.boundKey = key;
    this.grant = grant;
    return write(key, value);
  }

  /** Removes a key. */
  public Txn remove(String key) {
    removes.add(key);
    return this;
  }

  /** True if it writes a key that vanishes with a grant. */
  boolean isBound() {
    return boundKey != null;
  }

  /** How many puts and deletes it holds. */
  public int ops() {
    return writes.size() + removes.size();
  }

  /** How many conditions it holds. */
  public int conditions() {
    return when.size();
  }

  Map<String, Long> conditionMap() {
    return when;
  }

  Map<String, Fields> writeMap() {
    return writes;
  }

  List<String> removeList() {
    return removes;
  }

  Fields body() {
    List<Object> conditions = new ArrayList<>();
    when.forEach(
        (key, revision) ->
            conditions.add(Fields.create().with("key", key).with("edicion", revision).map()));
    List<Object> then = new ArrayList<>();
    writes.forEach(
        (key, value) -> {
          Fields f = Fields.create().with("write", key).with("v", value.map());
          if (key.equals(boundKey)) {
            f.with("permiso", grant);
          }
          then.add(f.map());
        });
    removes.forEach(key -> then.add(Fields.create().with("remove", key).map()));
    return Fields.create().with("when", conditions).with("then", then);
  }
}
