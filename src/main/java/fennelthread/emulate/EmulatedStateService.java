package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.emulate.EmulationConfig.StateSettings;
import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.settings.Settings;
import fennelthread.state.Keys;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The state service as its protocol describes it, over real sockets: limits, latency, outages,
 * refusals of one controller. Each controller has an address of its own to ask at, which tells who
 * asks. Everything runs on its loop's thread but the counters, which others may read.
 */
final class EmulatedStateService {
  /** Who leads, as the stored records say; {@code member} is null if nobody does. */
  record Leader(String member, long epoch) {}

  private record Watch(int member, String prefix, long since, Consumer<Answer> reply, Once once) {}

  /** Lets one answer out. */
  private static final class Once {
    boolean answered;
  }

  private final SelectorLoop loop;
  private final StateSettings settings;
  private final RandomGenerator random;
  private final StateStore store;
  private final List<Watch> watches = new ArrayList<>();
  private final Set<Integer> refused = new HashSet<>();
  private final TokenBucket requestBudget;
  private final TokenBucket changeBudget;
  private boolean out;
  private long extraMs;

  /** Requests so far. */
  final AtomicLong requests = new AtomicLong();

  /** Puts and deletes so far. */
  final AtomicLong changes = new AtomicLong();

  /** Requests above a limit so far. */
  final AtomicLong refusedAsTooMany = new AtomicLong();

  /** Requests refused as malformed or too large so far. */
  final AtomicLong refusedAsMalformed = new AtomicLong();

  /** Bytes of requests and answers so far, without heads. */
  final AtomicLong bytes = new AtomicLong();

  /** Stored keys. */
  volatile int keys;

  /** Who leads. */
  volatile Leader leader = new Leader(null, 0);

  /** Creates it; whoever listens calls {@link #serviceFor}. */
  EmulatedStateService(SelectorLoop loop, StateSettings settings, RandomGenerator random) {
    this.loop = loop;
    this.settings = settings;
    this.random = random;
    Settings.StateLimits limits = settings.limits();
    this.store = new StateStore(limits);
    this.requestBudget = new TokenBucket(limits.rps(), limits.rps());
    this.changeBudget = new TokenBucket(limits.writeRps(), limits.writeRps());
  }

  /** Begins to end leases; on the loop's thread. */
  void start() {
    loop.every(EmulationConstants.LEASE_CHECK_INTERVAL_MS, this::expireLeases);
  }

  /** The service as one controller sees it. */
  Service serviceFor(int member) {
    return (request, reply) -> handle(member, request, answer -> respond(answer, reply));
  }

  /** Answers everybody with 503 for so long. */
  void outage(long forMs) {
    out = true;
    loop.after(
        forMs,
        () -> {
          out = false;
          store.restartLeases(SelectorLoop.nowMs());
          serveWatches();
        });
  }

  /** Answers one controller with 503 for so long. */
  void refuse(int member, long forMs) {
    refused.add(member);
    loop.after(
        forMs,
        () -> {
          refused.remove(member);
          serveWatches();
        });
  }

  /** Answers everybody so much later for so long. */
  void slow(long moreMs, long forMs) {
    extraMs = moreMs;
    loop.after(forMs, () -> extraMs = 0);
  }

  private void respond(Answer answer, Consumer<Answer> reply) {
    bytes.addAndGet(answer.body().length);
    long latency = settings.latencyMs();
    long delay = extraMs + (latency == 0 ? 0 : latency / 2 + random.nextLong(latency + 1));
    if (delay == 0) {
      reply.accept(answer);
    } else {
      loop.after(delay, () -> reply.accept(answer));
    }
  }

  private void expireLeases() {
    if (!out && store.expireLeases(SelectorLoop.nowMs())) {
      changed();
    }
  }

  private void handle(int member, Request request, Consumer<Answer> reply) {
    requests.incrementAndGet();
    bytes.addAndGet(request.body().length);
    if (out || refused.contains(member)) {
      reply.accept(Answer.error(503, "trouble"));
      return;
    }
    if (!requestBudget.take(1)) {
      refusedAsTooMany.incrementAndGet();
      reply.accept(Answer.error(429, "too many requests"));
      return;
    }
    try {
      serve(member, request, reply);
    } catch (WireException | NumberFormatException e) {
      refusedAsMalformed.incrementAndGet();
      reply.accept(Answer.error(400, String.valueOf(e.getMessage())));
    }
  }

  private void serve(int member, Request request, Consumer<Answer> reply) throws WireException {
    String path = request.path();
    if (path.equals("/multi")) {
      transaction(Codec.CBOR.decode(request.body()), reply);
    } else if (path.startsWith("/keys/")) {
      reply.accept(read(path.substring("/keys/".length())));
    } else if (path.startsWith("/keys?")) {
      reply.accept(list(query(path)));
    } else if (path.startsWith("/watch?")) {
      watch(member, query(path), reply);
    } else if (path.equals("/grants")) {
      long ttlMs = Codec.CBOR.decode(request.body()).count("ttl_ms");
      reply.accept(lease(store.grant(ttlMs, SelectorLoop.nowMs())));
    } else if (path.startsWith("/grants/")) {
      reply.accept(changeLease(path.substring("/grants/".length())));
    } else {
      reply.accept(Answer.error(404, "no such path"));
    }
  }

  private static Map<String, String> query(String path) {
    Map<String, String> query = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      int equals = part.indexOf('=');
      query.put(part.substring(0, equals), part.substring(equals + 1));
    }
    return query;
  }

  private static Answer lease(long id) {
    return Answer.of(200, Codec.CBOR, Fields.create().with("permiso", id));
  }

  private Answer changeLease(String rest) {
    boolean extend = rest.endsWith("/extend");
    long id = Long.parseLong(extend ? rest.substring(0, rest.indexOf('/')) : rest);
    boolean known = extend ? store.extend(id, SelectorLoop.nowMs()) : store.revoke(id);
    if (!extend && known) {
      changed();
    }
    return known ? lease(id) : Answer.error(404, "no such lease");
  }

  private Answer read(String key) {
    StateStore.Item item = store.get(key);
    if (item == null) {
      return Answer.of(404, Codec.CBOR, Fields.create().with("asiento", store.revision()));
    }
    Object lease = item.lease() == 0 ? null : (Object) item.lease();
    return Answer.of(200, Codec.CBOR, entry(key, item).with("permiso", lease));
  }

  private static Fields entry(String key, StateStore.Item item) {
    return Fields.create()
        .with("key", key)
        .with("v", item.value().map())
        .with("edicion", item.revision());
  }

  private Answer list(Map<String, String> query) {
    int most = Integer.parseInt(query.getOrDefault("most", "1000"));
    List<Object> found = new ArrayList<>();
    long size = 0;
    boolean more = false;
    for (Map.Entry<String, StateStore.Item> e :
        store.after(query.get("under"), query.getOrDefault("since", "")).entrySet()) {
      if (found.size() == most || size > EmulationConstants.MAX_PAGE_BYTES) {
        more = true;
        break;
      }
      Fields entry = entry(e.getKey(), e.getValue());
      size += Codec.JSON.encode(entry).length;
      found.add(entry.map());
    }
    return Answer.of(
        200,
        Codec.CBOR,
        Fields.create().with("items", found).with("more", more).with("asiento", store.revision()));
  }

  private void transaction(Fields body, Consumer<Answer> reply) throws WireException {
    int count = StateStore.changesIn(body);
    if (!changeBudget.take(count)) {
      refusedAsTooMany.incrementAndGet();
      reply.accept(Answer.error(429, "too many changes"));
      return;
    }
    changes.addAndGet(count);
    StateStore.Outcome outcome = store.commit(body);
    Fields answer = Fields.create();
    if (!outcome.applied()) {
      answer.with("failed", new ArrayList<Object>(outcome.failed()));
    }
    reply.accept(
        Answer.of(
            outcome.applied() ? 200 : 409, Codec.CBOR, answer.with("asiento", outcome.revision())));
    if (outcome.applied() && count > 0) {
      changed();
    }
  }

  private void changed() {
    keys = store.size();
    try {
      StateStore.Item lead = store.get(Keys.LEADER);
      String member = lead == null ? null : lead.value().optText("member");
      leader = new Leader(member, member == null ? leader.epoch : lead.value().count("epoch", 0));
    } catch (WireException e) {
      throw new IllegalStateException("the leader's record can't be read", e);
    }
    serveWatches();
  }

  private void watch(int member, Map<String, String> query, Consumer<Answer> reply) {
    long since = Long.parseLong(query.get("since"));
    if (store.isForgotten(since)) {
      reply.accept(Answer.error(410, "too old"));
      return;
    }
    Watch watch = new Watch(member, query.get("under"), since, reply, new Once());
    watches.add(watch);
    loop.after(
        Long.parseLong(query.getOrDefault("hold_ms", "0")),
        () -> {
          if (answer(watch, true)) {
            watches.remove(watch);
          }
        });
    watches.removeIf(w -> answer(w, false));
  }

  private void serveWatches() {
    if (!out) {
      watches.removeIf(w -> answer(w, false));
    }
  }

  /** True if the watch is answered, now or before. */
  private boolean answer(Watch watch, boolean timeIsUp) {
    if (watch.once.answered) {
      return true;
    }
    if (out || refused.contains(watch.member)) {
      return false;
    }
    List<Object> found = new ArrayList<>();
    for (StateStore.Change change : store.changesAfter(watch.since, watch.prefix)) {
      boolean removal = change.value() == null;
      Fields entry = Fields.create().with(removal ? "remove" : "write", change.key());
      if (!removal) {
        entry.with("v", change.value().map());
      }
      found.add(entry.with("edicion", change.revision()).map());
    }
    if (found.isEmpty() && !timeIsUp) {
      return false;
    }
    watch.once.answered = true;
    watch.reply.accept(
        Answer.of(
            200, Codec.CBOR, Fields.create().with("asiento", store.revision()).with("log", found)));
    return true;
  }
}
