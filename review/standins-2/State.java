import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The state service of PROTOCOL-fennelthread.md, "Controller nodes -> state service". Each controller reaches it at an
 * address of its own, which tells who asks, so that one of them alone can be refused or cut off.
 */
final class State {
  private record Entry(Object value, long revision, long lease) {}

  private record Change(String key, Object value, long revision) {}

  private static final class Lease {
    final long ttlMs;
    long endsAtMs;

    Lease(long ttlMs) {
      this.ttlMs = ttlMs;
    }
  }

  private static final int KEPT_CHANGES = 10_000;

  final Http.Server[] servers;
  private final double rps;
  private final double writeRps;
  private final int valueBytes;
  private final int txnOps;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Change> log = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final boolean[] refused;
  private final boolean[] cut;
  private boolean out;
  private volatile long slowMs;
  private long revision;
  private long lastLease;
  private double requests;
  private double writes;
  private long refilledAtMs = Stage.nowMs();
  private long writtenBytes;

  State(int controllers, double rps, double writeRps, int valueKb, int txnOps) throws Exception {
    this.rps = rps;
    this.writeRps = writeRps;
    this.valueBytes = valueKb * 1024;
    this.txnOps = txnOps;
    this.requests = rps;
    this.writes = writeRps;
    this.refused = new boolean[controllers];
    this.cut = new boolean[controllers];
    this.servers = new Http.Server[controllers];
    for (int i = 0; i < controllers; i++) {
      int node = i;
      servers[i] = new Http.Server(request -> handle(node, request));
    }
    Http.daemon("leases", this::endLeases);
  }

  // ---------------------------------------------------------------- troubles

  /** 503 to one controller alone, or no longer. Its leases run out meanwhile. */
  synchronized void refuse(int node, boolean refuse) {
    refused[node] = refuse;
    notifyAll();
  }

  /** One controller loses the state service: its requests get no answer and are not carried out. */
  synchronized void cut(int node, boolean lost) {
    cut[node] = lost;
    notifyAll();
  }

  /** The service answers slowly: each request waits for so long before it is carried out. */
  void slow(long ms) {
    slowMs = ms;
  }

  /** An outage: 503 to all. At its end all leases get their full time again. */
  synchronized void outage(boolean isOut) {
    out = isOut;
    if (!isOut) {
      leases.values().forEach(lease -> lease.endsAtMs = Stage.nowMs() + lease.ttlMs);
    }
    notifyAll();
  }

  // ---------------------------------------------------------------- what the test may look at

  synchronized Object value(String key) {
    Entry entry = entries.get(key);
    return entry == null ? null : entry.value;
  }

  /** The bytes of all values under live/ that were written so far, as a watch sends them. */
  synchronized long writtenBytes() {
    return writtenBytes;
  }

  /** The member that the leader's record names, null if nobody leads. */
  synchronized String leader() {
    Entry entry = entries.get("live/lead");
    return entry == null ? null : (String) ((Map<?, ?>) entry.value).get("member");
  }

  // ---------------------------------------------------------------- requests

  private Http.Answer handle(int node, Http.Request request) throws Exception {
    Thread.sleep(slowMs + 1 + ThreadLocalRandom.current().nextInt(4));
    synchronized (this) {
      while (cut[node]) {
        // Whoever asks gives up; the request stays undone and its connection ends with the cut.
        wait(100);
        if (!cut[node]) {
          return null;
        }
      }
      if (out || refused[node]) {
        return error(503, "unavailable");
      }
      refill();
      if (requests < 1) {
        return error(429, "too many requests");
      }
      requests--;
    }
    String path = request.path();
    if (path.startsWith("/watch?")) {
      return watch(node, query(path));
    }
    synchronized (this) {
      if (path.startsWith("/keys?")) {
        return list(query(path));
      }
      if (path.startsWith("/keys/")) {
        return get(path.substring("/keys/".length()));
      }
      if (path.equals("/multi")) {
        return multi(Cbor.decode(request.body()));
      }
      if (path.equals("/grants")) {
        long ttlMs = (Long) Cbor.decode(request.body()).get("ttl_ms");
        Lease lease = new Lease(ttlMs);
        lease.endsAtMs = Stage.nowMs() + ttlMs;
        leases.put(++lastLease, lease);
        return new Http.Answer(200, Cbor.map("permiso", lastLease));
      }
      if (path.startsWith("/grants/")) {
        String[] parts = path.split("/");
        return lease(Long.parseLong(parts[2]), request.method().equals("DELETE"));
      }
    }
    return error(400, "unknown path");
  }

  private static Http.Answer error(int status, String text) {
    return new Http.Answer(status, Cbor.map("error", text));
  }

  private static Map<String, String> query(String path) {
    Map<String, String> query = new HashMap<>();
    for (String pair : path.substring(path.indexOf('?') + 1).split("&")) {
      int equals = pair.indexOf('=');
      query.put(pair.substring(0, equals), pair.substring(equals + 1));
    }
    return query;
  }

  private void refill() {
    long now = Stage.nowMs();
    requests = Math.min(rps, requests + (now - refilledAtMs) * rps / 1000);
    writes = Math.min(writeRps, writes + (now - refilledAtMs) * writeRps / 1000);
    refilledAtMs = now;
  }

  private Http.Answer get(String key) {
    Entry entry = entries.get(key);
    if (entry == null) {
      return new Http.Answer(404, Cbor.map("asiento", revision));
    }
    Map<String, Object> body = Cbor.map("key", key, "v", entry.value, "edicion", entry.revision);
    if (entry.lease != 0) {
      body.put("permiso", entry.lease);
    }
    return new Http.Answer(200, body);
  }

  private Http.Answer list(Map<String, String> query) {
    String under = query.get("under");
    String since = query.getOrDefault("since", "");
    int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
    List<Object> items = new ArrayList<>();
    boolean more = false;
    int bytes = 0;
    for (Map.Entry<String, Entry> entry : entries.tailMap(under, true).entrySet()) {
      if (!entry.getKey().startsWith(under)) {
        break;
      }
      if (entry.getKey().compareTo(since) <= 0) {
        continue;
      }
      Entry found = entry.getValue();
      Map<String, Object> item =
          Cbor.map("key", entry.getKey(), "v", found.value, "edicion", found.revision);
      bytes += Cbor.jsonLength(item);
      if (items.size() >= most || (bytes > 512 * 1024 && !items.isEmpty())) {
        more = true;
        break;
      }
      items.add(item);
    }
    return new Http.Answer(200, Cbor.map("items", items, "more", more, "asiento", revision));
  }

  @SuppressWarnings("unchecked")
  private Http.Answer multi(Map<String, Object> body) {
    List<Map<String, Object>> when =
        (List<Map<String, Object>>) body.getOrDefault("when", List.of());
    List<Map<String, Object>> then =
        (List<Map<String, Object>>) body.getOrDefault("then", List.of());
    if (then.size() > txnOps || when.size() > 4 * txnOps || Cbor.jsonLength(body) > 64 * 1024) {
      return error(400, "too large");
    }
    for (Map<String, Object> change : then) {
      if (Cbor.jsonLength(change.get("v")) > valueBytes) {
        return error(400, "value too large");
      }
      if (change.get("permiso") != null && !leases.containsKey((Long) change.get("permiso"))) {
        return error(400, "no such lease");
      }
    }
    if (writes < then.size()) {
      return error(429, "too many changes");
    }
    writes -= then.size();
    List<Object> failed = new ArrayList<>();
    for (Map<String, Object> condition : when) {
      Entry entry = entries.get((String) condition.get("key"));
      if ((entry == null ? 0 : entry.revision) != (Long) condition.get("edicion")) {
        failed.add(condition.get("key"));
      }
    }
    if (!failed.isEmpty()) {
      return new Http.Answer(409, Cbor.map("failed", failed, "asiento", revision));
    }
    if (!then.isEmpty()) {
      long at = ++revision;
      for (Map<String, Object> change : then) {
        if (change.containsKey("remove")) {
          remove((String) change.get("remove"), at);
        } else {
          Object lease = change.get("permiso");
          String key = (String) change.get("write");
          entries.put(key, new Entry(change.get("v"), at, lease == null ? 0 : (Long) lease));
          append(new Change(key, change.get("v"), at));
          writtenBytes += key.startsWith("live/") ? Cbor.encode(change.get("v")).length : 0;
        }
      }
      notifyAll();
    }
    return new Http.Answer(200, Cbor.map("asiento", revision));
  }

  private void remove(String key, long at) {
    if (entries.remove(key) != null) {
      append(new Change(key, null, at));
    }
  }

  private void append(Change change) {
    log.add(change);
    if (log.size() > KEPT_CHANGES * 2) {
      log.subList(0, log.size() - KEPT_CHANGES).clear();
    }
  }

  private Http.Answer lease(long id, boolean delete) {
    Lease lease = leases.get(id);
    if (lease == null) {
      return error(404, "no such lease");
    }
    if (delete) {
      end(id);
    } else {
      lease.endsAtMs = Stage.nowMs() + lease.ttlMs;
    }
    return new Http.Answer(200, Cbor.map("permiso", id));
  }

  private void end(long id) {
    leases.remove(id);
    List<String> bound = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.lease == id) {
            bound.add(key);
          }
        });
    if (!bound.isEmpty()) {
      long at = ++revision;
      bound.forEach(key -> remove(key, at));
      notifyAll();
    }
  }

  private void endLeases() {
    while (true) {
      Stage.sleep(20);
      synchronized (this) {
        if (!out) {
          long now = Stage.nowMs();
          List.copyOf(leases.keySet()).stream()
              .filter(id -> leases.get(id).endsAtMs + 20 < now)
              .forEach(this::end);
        }
      }
    }
  }

  private synchronized Http.Answer watch(int node, Map<String, String> query) throws Exception {
    String under = query.get("under");
    long since = Long.parseLong(query.get("since"));
    long holdMs = Math.min(60_000, Long.parseLong(query.getOrDefault("hold_ms", "0")));
    long untilMs = Stage.nowMs() + holdMs;
    while (true) {
      if (!out && !refused[node] && !cut[node]) {
        int from = Math.max(0, log.size() - KEPT_CHANGES);
        if (from > 0 && log.get(from - 1).revision > since) {
          return error(410, "too old");
        }
        List<Object> found = new ArrayList<>();
        // The newest part of the log is small in nearly every call, so it is searched from its end.
        int first = log.size();
        while (first > from && log.get(first - 1).revision > since) {
          first--;
        }
        for (Change change : log.subList(first, log.size())) {
          if (change.key.startsWith(under)) {
            found.add(
                change.value == null
                    ? Cbor.map("remove", change.key, "edicion", change.revision)
                    : Cbor.map("write", change.key, "v", change.value, "edicion", change.revision));
          }
        }
        if (!found.isEmpty() || Stage.nowMs() >= untilMs) {
          return new Http.Answer(200, Cbor.map("asiento", revision, "log", found));
        }
      }
      wait(out || refused[node] || cut[node] ? 50 : Math.max(1, untilMs - Stage.nowMs()));
    }
  }
}
