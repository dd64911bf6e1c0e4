import com.sun.net.httpserver.HttpServer;
import fennelthread.wire.Codec;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service as PROTOCOL-fennelthread.md describes it, with its limits and its latency. */
final class StateService {
  private record Entry(Object value, long edicion, long permiso) {}

  private record Change(long edicion, String key, Map<String, Object> item) {}

  private static final class Bucket {
    private final double rate;
    private double tokens;
    private long atNanos = System.nanoTime();

    Bucket(double rate) {
      this.rate = rate;
      this.tokens = rate;
    }

    boolean take(int amount) {
      long now = System.nanoTime();
      tokens = Math.min(rate, tokens + (now - atNanos) / 1e9 * rate);
      atNanos = now;
      if (tokens < amount) {
        return false;
      }
      tokens -= amount;
      return true;
    }
  }

  private static final int KEPT_CHANGES = 10_000;

  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final ArrayList<Change> log = new ArrayList<>();
  private final Map<Long, Long> grantEndsNanos = new HashMap<>();
  private final Map<Long, Long> grantTtlMs = new HashMap<>();
  private final Bucket requests;
  private final Bucket writes;
  private final int valueBytes;
  private final int txnOps;
  private final long latencyMs;
  private long asiento = 1;
  private long droppedUpTo;
  private long lastGrant;
  private boolean isOut;

  StateService(double rps, double writeRps, int valueKb, int txnOps, long latencyMs) {
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    this.valueBytes = valueKb * 1024;
    this.txnOps = txnOps;
    this.latencyMs = latencyMs;
  }

  /** Starts one more server for this store; each controller gets one of its own. */
  HttpServer serve() throws IOException {
    return Http.serve(this::handle);
  }

  /** Begins or ends an outage: every request gets 503, and watches stay open. */
  synchronized void setOut(boolean out) {
    if (isOut && !out) {
      long now = System.nanoTime();
      grantEndsNanos.replaceAll((id, end) -> now + grantTtlMs.get(id) * 1_000_000);
    }
    isOut = out;
  }

  private Http.Answer handle(String method, String path, Map<String, Object> body)
      throws Exception {
    Thread.sleep(latencyMs);
    if (path.startsWith("/watch?")) {
      return watch(query(path));
    }
    synchronized (this) {
      if (isOut) {
        return new Http.Answer(503, Map.of());
      }
      expireGrants();
      if (!requests.take(1)) {
        return new Http.Answer(429, Map.of());
      }
      if (method.equals("GET") && path.startsWith("/keys/")) {
        return get(path.substring(6));
      }
      if (method.equals("GET") && path.startsWith("/keys?")) {
        return list(query(path));
      }
      if (method.equals("POST") && path.equals("/multi")) {
        return multi(body);
      }
      if (method.equals("POST") && path.equals("/grants")) {
        long id = ++lastGrant;
        long ttlMs = ((Number) body.get("ttl_ms")).longValue();
        grantTtlMs.put(id, ttlMs);
        grantEndsNanos.put(id, System.nanoTime() + ttlMs * 1_000_000);
        return new Http.Answer(200, Http.map("permiso", id));
      }
      if (path.startsWith("/grants/")) {
        String[] parts = path.split("/");
        long id = Long.parseLong(parts[2]);
        if (!grantTtlMs.containsKey(id)) {
          return new Http.Answer(404, Map.of());
        }
        if (method.equals("DELETE")) {
          endGrant(id);
        } else {
          grantEndsNanos.put(id, System.nanoTime() + grantTtlMs.get(id) * 1_000_000);
        }
        return new Http.Answer(200, Map.of());
      }
      return new Http.Answer(400, Map.of());
    }
  }

  private static Map<String, String> query(String path) {
    Map<String, String> values = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      int equals = part.indexOf('=');
      values.put(part.substring(0, equals), part.substring(equals + 1));
    }
    return values;
  }

  private Http.Answer get(String key) {
    Entry entry = entries.get(key);
    return entry == null
        ? new Http.Answer(404, Http.map("asiento", asiento))
        : new Http.Answer(
            200,
            Http.map(
                "key", key, "v", entry.value, "edicion", entry.edicion, "permiso", entry.permiso));
  }

  private Http.Answer list(Map<String, String> query) {
    String under = query.get("under");
    String since = query.get("since");
    int most = Math.min(1_000, Integer.parseInt(query.getOrDefault("most", "1000")));
    List<Object> items = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    Map<String, Entry> tail =
        since == null ? entries.tailMap(under, true) : entries.tailMap(since, false);
    for (Map.Entry<String, Entry> item : tail.entrySet()) {
      if (!item.getKey().startsWith(under)) {
        break;
      }
      Map<String, Object> encoded =
          Http.map(
              "key", item.getKey(), "v", item.getValue().value, "edicion", item.getValue().edicion);
      int size = Codec.JSON.encode(encoded).length + 1;
      if (items.size() == most || bytes + size > 512 * 1024 - 100) {
        more = true;
        break;
      }
      bytes += size;
      items.add(encoded);
    }
    return new Http.Answer(200, Http.map("items", items, "more", more, "asiento", asiento));
  }

  @SuppressWarnings("unchecked")
  private Http.Answer multi(Map<String, Object> body) {
    List<Map<String, Object>> when = (List<Map<String, Object>>) body.getOrDefault("when", List.of());
    List<Map<String, Object>> then = (List<Map<String, Object>>) body.getOrDefault("then", List.of());
    if (then.size() > txnOps
        || when.size() > 4 * txnOps
        || Codec.JSON.encode(body).length > 64 * 1024) {
      return new Http.Answer(400, Http.map("error", "too large"));
    }
    for (Map<String, Object> op : then) {
      Object value = op.get("v");
      if (value != null && Codec.JSON.encode(value).length > valueBytes) {
        return new Http.Answer(400, Http.map("error", "value too large"));
      }
      if (op.get("permiso") instanceof Number id && !grantTtlMs.containsKey(id.longValue())) {
        return new Http.Answer(400, Http.map("error", "no such lease"));
      }
    }
    if (!then.isEmpty() && !writes.take(then.size())) {
      return new Http.Answer(429, Map.of());
    }
    List<Object> failed = new ArrayList<>();
    for (Map<String, Object> condition : when) {
      Entry entry = entries.get((String) condition.get("key"));
      if ((entry == null ? 0 : entry.edicion) != ((Number) condition.get("edicion")).longValue()) {
        failed.add(condition.get("key"));
      }
    }
    if (!failed.isEmpty()) {
      return new Http.Answer(409, Http.map("failed", failed, "asiento", asiento));
    }
    if (!then.isEmpty()) {
      asiento++;
      for (Map<String, Object> op : then) {
        if (op.get("write") instanceof String key) {
          long grant = op.get("permiso") instanceof Number id ? id.longValue() : 0;
          put(key, op.get("v"), grant);
        } else {
          remove((String) op.get("remove"));
        }
      }
      notifyAll();
    }
    return new Http.Answer(200, Http.map("asiento", asiento));
  }

  private void put(String key, Object value, long grant) {
    entries.put(key, new Entry(value, asiento, grant));
    log(key, Http.map("write", key, "v", value, "edicion", asiento));
  }

  private void remove(String key) {
    if (entries.remove(key) != null) {
      log(key, Http.map("remove", key, "edicion", asiento));
    }
  }

  private void log(String key, Map<String, Object> item) {
    log.add(new Change(asiento, key, item));
    if (log.size() > 2 * KEPT_CHANGES) {
      List<Change> dropped = log.subList(0, log.size() - KEPT_CHANGES);
      droppedUpTo = dropped.get(dropped.size() - 1).edicion;
      dropped.clear();
    }
  }

  private void endGrant(long id) {
    grantTtlMs.remove(id);
    grantEndsNanos.remove(id);
    List<String> keys = new ArrayList<>();
    entries.forEach(
        (key, entry) -> {
          if (entry.permiso == id) {
            keys.add(key);
          }
        });
    if (!keys.isEmpty()) {
      asiento++;
      keys.forEach(this::remove);
      notifyAll();
    }
  }

  private void expireGrants() {
    long now = System.nanoTime();
    Set<Long> ended = new HashSet<>();
    grantEndsNanos.forEach(
        (id, end) -> {
          if (now > end) {
            ended.add(id);
          }
        });
    ended.forEach(this::endGrant);
  }

  private synchronized Http.Answer watch(Map<String, String> query) throws InterruptedException {
    if (isOut) {
      return new Http.Answer(503, Map.of());
    }
    if (!requests.take(1)) {
      return new Http.Answer(429, Map.of());
    }
    String under = query.get("under");
    long since = Long.parseLong(query.get("since"));
    long endNanos =
        System.nanoTime() + Long.parseLong(query.getOrDefault("hold_ms", "0")) * 1_000_000;
    while (true) {
      if (isOut) {
        wait(50);
        continue;
      }
      expireGrants();
      long oldestKept = log.size() > KEPT_CHANGES ? log.get(log.size() - KEPT_CHANGES).edicion : 0;
      if (since < Math.max(droppedUpTo, oldestKept - 1)) {
        return new Http.Answer(410, Map.of());
      }
      List<Object> changes = new ArrayList<>();
      for (int i = log.size() - 1; i >= 0 && log.get(i).edicion > since; i--) {
        if (log.get(i).key.startsWith(under)) {
          changes.add(log.get(i).item);
        }
      }
      long waitMs = (endNanos - System.nanoTime()) / 1_000_000;
      if (!changes.isEmpty() || waitMs <= 0) {
        java.util.Collections.reverse(changes);
        return new Http.Answer(200, Http.map("asiento", asiento, "log", changes));
      }
      wait(Math.min(waitMs, 50));
    }
  }
}
