package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/** What the emulated state service stores: items with revisions, leases, and the latest changes. */
final class StateStore {
  /** A stored value; {@code lease} is 0 if it is bound to none. */
  record Item(Fields value, long revision, long lease) {}

  /** A change in the order of revisions; {@code value} is null for a removal. */
  record Change(long revision, String key, Fields value) {}

  /** What became of a transaction; {@code failed} names the conditions that did not hold. */
  record Outcome(List<String> failed, long revision) {
    boolean applied() {
      return failed.isEmpty();
    }
  }

  private static final class Lease {
    final long ttlMs;
    final Set<String> keys = new HashSet<>();
    long untilMs;

    Lease(long ttlMs, long untilMs) {
      this.ttlMs = ttlMs;
      this.untilMs = untilMs;
    }
  }

  private final Settings.StateLimits limits;
  private final NavigableMap<String, Item> items = new TreeMap<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long revision;
  private long lastLease;
  private long forgottenRevision;

  StateStore(Settings.StateLimits limits) {
    this.limits = limits;
  }

  /** The number of the latest change. */
  long revision() {
    return revision;
  }

  /** The item under a key, or null. */
  Item get(String key) {
    return items.get(key);
  }

  /** How many keys there are. */
  int size() {
    return items.size();
  }

  /** The items with a prefix that come after a key, in order. */
  NavigableMap<String, Item> after(String prefix, String since) {
    String from = since.compareTo(prefix) > 0 ? since : prefix;
    return items.subMap(from, from.equals(prefix) && since.isEmpty(), prefix + '\uffff', false);
  }

  /** Makes a lease and gives back its id. */
  long grant(long ttlMs, long nowMs) {
    leases.put(++lastLease, new Lease(ttlMs, nowMs + ttlMs));
    return lastLease;
  }

  /** Renews a lease; false if it has ended. */
  boolean extend(long id, long nowMs) {
    Lease lease = leases.get(id);
    if (lease != null) {
      lease.untilMs = nowMs + lease.ttlMs;
    }
    return lease != null;
  }

  /** Ends a lease with the keys that are bound to it; false if it has ended already. */
  boolean revoke(long id) {
    Lease lease = leases.remove(id);
    if (lease != null && !lease.keys.isEmpty()) {
      revision++;
      for (String key : lease.keys) {
        items.remove(key);
        changes.add(new Change(revision, key, null));
      }
    }
    return lease != null;
  }

  /** Ends the leases that were not renewed in time; true if a key was removed. */
  boolean expireLeases(long nowMs) {
    long before = revision;
    for (Long id : List.copyOf(leases.keySet())) {
      if (nowMs > leases.get(id).untilMs) {
        revoke(id);
      }
    }
    return revision > before;
  }

  /** Gives all leases their full time again, as after an outage. */
  void restartLeases(long nowMs) {
    leases.values().forEach(l -> l.untilMs = nowMs + l.ttlMs);
  }

  /** Puts and deletes of a transaction. */
  static int changesIn(Fields body) throws WireException {
    return body.maps("then").size();
  }

  /** Carries a transaction out if its conditions hold; a malformed one throws. */
  Outcome commit(Fields body) throws WireException {
    List<Fields> conditions = body.maps("when");
    List<Fields> operations = body.maps("then");
    checkSizes(conditions, operations);
    List<String> failed = new ArrayList<>();
    for (Fields condition : conditions) {
      Item item = items.get(condition.text("key"));
      if ((item == null ? 0 : item.revision) != condition.count("edicion")) {
        failed.add(condition.text("key"));
      }
    }
    if (failed.isEmpty() && !operations.isEmpty()) {
      revision++;
      for (Fields operation : operations) {
        apply(operation);
      }
      forgetOldChanges();
    }
    return new Outcome(failed, revision);
  }

  private void checkSizes(List<Fields> conditions, List<Fields> operations) throws WireException {
    if (operations.size() > limits.txnOps()
        || conditions.size() > limits.txnOps() * EmulationConstants.CONDITIONS_PER_OPERATION) {
      throw new WireException("then", "too many");
    }
    Set<String> touched = new LinkedHashSet<>();
    for (Fields operation : operations) {
      boolean write = operation.has("write");
      if (!touched.add(operation.text(write ? "write" : "remove"))) {
        throw new WireException("then", "touches a key twice");
      }
      if (write && Codec.JSON.encode(operation.inner("v")).length > limits.valueBytes()) {
        throw new WireException("v", "too large");
      }
      if (operation.has("permiso") && !leases.containsKey(operation.count("permiso"))) {
        throw new WireException("permiso", "no such lease");
      }
    }
  }

  private void apply(Fields operation) throws WireException {
    boolean write = operation.has("write");
    String key = operation.text(write ? "write" : "remove");
    Item old = items.get(key);
    if (old != null && old.lease != 0) {
      leases.get(old.lease).keys.remove(key);
    }
    if (write) {
      long lease = operation.count("permiso", 0);
      if (lease != 0) {
        leases.get(lease).keys.add(key);
      }
      items.put(key, new Item(operation.inner("v"), revision, lease));
      changes.add(new Change(revision, key, operation.inner("v")));
    } else if (old != null) {
      items.remove(key);
      changes.add(new Change(revision, key, null));
    }
  }

  private void forgetOldChanges() {
    int most = EmulationConstants.MIN_CHANGES_KEPT;
    if (changes.size() > 2 * most) {
      int drop = changes.size() - most;
      forgottenRevision = changes.get(drop - 1).revision;
      changes.subList(0, drop).clear();
    }
  }

  /** True if the changes after a revision are no longer known. */
  boolean isForgotten(long since) {
    return since < forgottenRevision;
  }

  /** The changes after a revision of keys with a prefix, in order. */
  List<Change> changesAfter(long since, String prefix) {
    int first = changes.size();
    while (first > 0 && changes.get(first - 1).revision > since) {
      first--;
    }
    List<Change> found = new ArrayList<>();
    for (Change change : changes.subList(first, changes.size())) {
      if (change.key.startsWith(prefix)) {
        found.add(change);
      }
    }
    return found;
  }
}
