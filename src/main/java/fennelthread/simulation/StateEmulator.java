package fennelthread.simulation;

import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.net.Service;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.ToLongBiFunction;

/**
 * Emulates the state service: keys with revisions, compare-and-swap transactions, watches, and
 * leases (called grants in its protocol), with rate and size limits and injected faults.
 */
final class StateEmulator implements Service {
  private static final String EXTEND_SUFFIX = "/extend";

  private record Item(Fields value, long revision, long grant) {}

  private record Change(long revision, String key, Fields value) {}

  private static final class Watch {
    final String caller;
    final String prefix;
    final long since;
    final Consumer<Answer> reply;
    boolean answered;

    Watch(String caller, String prefix, long since, Consumer<Answer> reply) {
      this.caller = caller;
      this.prefix = prefix;
      this.since = since;
      this.reply = reply;
    }
  }

  private static final class Grant {
    final long ttlMs;
    long untilMs;

    Grant(long ttlMs, long untilMs) {
      this.ttlMs = ttlMs;
      this.untilMs = untilMs;
    }
  }

  private final SimulatedNetwork network;
  private final SimulatedProcess process;
  private Settings.StateLimits limits;
  private final RateLimiter limiter = new RateLimiter();

  /** Number of requests refused by the rate limits. */
  int refusedAsTooMany;

  /** Passes each stored key and its value to a consumer, in key order. */
  void forEachStored(BiConsumer<String, Fields> consumer) {
    items.forEach((key, item) -> consumer.accept(key, item.value()));
  }

  /** Number of puts and deletes charged to the write rate limit. */
  long changes;

  /**
   * Number of writes under a grant that replaced a stored key: a leader's key was taken over before
   * the grant of its former leader ended.
   */
  int takeovers;

  /** Number of transactions refused because of their size. */
  int refusedAsTooLarge;

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final Map<Long, Grant> grants = new HashMap<>();
  private final List<Change> changeLog = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Set<String> refusedCallers = new HashSet<>();
  private long revision;
  private long nextGrant = 1;
  private boolean isDown;

  /** Listeners that get each key that a transaction puts, right after the put is applied. */
  final List<Consumer<String>> onWrite = new ArrayList<>();

  private final TransactionAnswers answers;

  /** Number of executed transactions whose answers were lost. */
  int answersLost;

  StateEmulator(SimulatedNetwork network, SimulatedProcess process, Settings.StateLimits limits) {
    this.network = network;
    this.answers = new TransactionAnswers(network, () -> answersLost++);
    this.process = process;
    this.limits = limits;
    expireGrants();
  }

  /** Replaces the limits; values already stored stay readable whatever their size. */
  void setLimits(Settings.StateLimits next) {
    limits = next;
  }

  /**
   * Refuses all requests with status 503 for {@code forMs}. No grant expires meanwhile, and all are
   * renewed for their full duration when the outage ends.
   */
  void outage(long forMs) {
    isDown = true;
    network.after(
        forMs,
        () -> {
          isDown = false;
          grants.values().forEach(grant -> grant.untilMs = network.now() + grant.ttlMs);
          serveWatches();
        });
  }

  private double delayedShare;

  /** Number of transactions that were executed late and never answered. */
  int appliedLate;

  /** For {@code forMs}, executes a share of the transactions 2 to 12 s late, without an answer. */
  void delayTransactions(double share, long forMs) {
    delayedShare = share;
    network.after(forMs, () -> delayedShare = 0);
  }

  /** For {@code forMs}, executes a share of the transactions at once and loses their answers. */
  void loseAnswers(double share, long forMs) {
    answers.lose(share, forMs);
  }

  /**
   * Loses the answers of the next {@code times} matching transactions, which are applied at once.
   *
   * @param matches tests the caller's name and the body, decoded as ISO-8859-1
   */
  void loseNextAnswers(BiPredicate<String, String> matches, int times) {
    answers.loseNext(matches, times);
  }

  /** Delays every answer by {@code extraMs} for {@code forMs}. */
  void delayAnswers(long extraMs, long forMs) {
    answers.delay(extraMs, forMs);
  }

  /** Refuses all requests of one caller with status 503 for {@code forMs}. */
  void refuseCaller(String member, long forMs) {
    refusedCallers.add(member);
    network.after(
        forMs,
        () -> {
          refusedCallers.remove(member);
          serveWatches();
        });
  }

  /** Number of keys with this prefix. */
  int countKeys(String prefix) {
    return items.subMap(prefix, prefix + '\uffff').size();
  }

  /** The values of the keys with this prefix. */
  List<Fields> valuesUnder(String prefix) {
    return items.subMap(prefix, prefix + '\uffff').values().stream().map(Item::value).toList();
  }

  /** The latest claimed leader epoch. */
  long claimedEpoch() throws WireException {
    return items.get("live/epoch").value.count("epoch");
  }

  private void expireGrants() {
    if (!isDown) {
      for (Long id : List.copyOf(grants.keySet())) {
        if (network.now() > grants.get(id).untilMs) {
          endGrant(id);
        }
      }
    }
    network.after(20, this::expireGrants);
  }

  private void endGrant(long id) {
    grants.remove(id);
    List<String> removedKeys = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.grant == id) {
            removedKeys.add(key);
          }
        });
    if (!removedKeys.isEmpty()) {
      revision++;
      for (String key : removedKeys) {
        items.remove(key);
        changeLog.add(new Change(revision, key, null));
      }
      serveWatches();
    }
  }

  /** Extra delay of a transaction in the network, ms, by caller and body (ISO-8859-1). */
  ToLongBiFunction<String, String> transactionDelayMs = (caller, body) -> 0;

  /** Name of the process whose request is being handled. */
  String caller() {
    return process.caller;
  }

  @Override
  public void handle(Request request, Consumer<Answer> replyTo) {
    Consumer<Answer> reply = answers.wrapReply(process.caller, request, replyTo);
    if (request.path().equals("/multi")) {
      long holdMs =
          transactionDelayMs.applyAsLong(
              process.caller, new String(request.body(), StandardCharsets.ISO_8859_1));
      if (holdMs > 0) {
        executeLater(holdMs, request, reply);
        return;
      }
      if (delayedShare > 0 && network.faults.nextDouble() < delayedShare) {
        // Executed after newer transactions of the same controller, and never answered.
        appliedLate++;
        executeLater(2_000 + network.faults.nextInt(10_000), request, answer -> {});
        return;
      }
    }
    serve(request, reply);
  }

  private void executeLater(long ms, Request request, Consumer<Answer> reply) {
    String caller = process.caller;
    network.after(
        ms,
        () -> {
          process.caller = caller;
          serve(request, reply);
        });
  }

  private void serve(Request request, Consumer<Answer> reply) {
    if (isDown || refusedCallers.contains(process.caller)) {
      reply.accept(Answer.error(503, "trouble"));
      return;
    }
    limiter.refill(network.now(), limits);
    if (!limiter.takeRequest()) {
      refusedAsTooMany++;
      reply.accept(Answer.error(429, "too many requests"));
      return;
    }
    try {
      route(request, reply);
    } catch (WireException e) {
      reply.accept(Answer.error(400, e.getMessage()));
    }
  }

  private void route(Request request, Consumer<Answer> reply) throws WireException {
    String path = request.path();
    if (path.startsWith("/keys/")) {
      get(path.substring("/keys/".length()), reply);
    } else if (path.startsWith("/keys?")) {
      list(parseQuery(path), reply);
    } else if (path.startsWith("/watch?")) {
      addWatch(parseQuery(path), reply);
    } else if (path.equals("/multi")) {
      transact(Codec.CBOR.decode(request.body()), reply);
    } else if (path.equals("/grants")) {
      long ttlMs = Codec.CBOR.decode(request.body()).count("ttl_ms");
      grants.put(nextGrant, new Grant(ttlMs, network.now() + ttlMs));
      reply.accept(Answer.of(200, Codec.CBOR, Fields.create().with("permiso", nextGrant++)));
    } else if (path.startsWith("/grants/")) {
      extendOrRevokeGrant(path.substring("/grants/".length()), reply);
    } else {
      reply.accept(Answer.error(404, "path"));
    }
  }

  private void extendOrRevokeGrant(String rest, Consumer<Answer> reply) {
    boolean isExtension = rest.endsWith(EXTEND_SUFFIX);
    long id =
        Long.parseLong(
            isExtension ? rest.substring(0, rest.length() - EXTEND_SUFFIX.length()) : rest);
    Grant grant = grants.get(id);
    if (grant == null) {
      reply.accept(Answer.error(404, "no such lease"));
      return;
    }
    if (isExtension) {
      grant.untilMs = network.now() + grant.ttlMs;
    } else {
      endGrant(id);
    }
    reply.accept(Answer.of(200, Codec.CBOR, Fields.create().with("permiso", id)));
  }

  private static Map<String, String> parseQuery(String path) {
    Map<String, String> query = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&", -1)) {
      int eq = part.indexOf('=');
      query.put(part.substring(0, eq), part.substring(eq + 1));
    }
    return query;
  }

  private void get(String key, Consumer<Answer> reply) {
    Item item = items.get(key);
    if (item == null) {
      reply.accept(Answer.of(404, Codec.CBOR, Fields.create().with("asiento", revision)));
      return;
    }
    reply.accept(
        Answer.of(
            200,
            Codec.CBOR,
            Fields.create()
                .with("key", key)
                .with("v", item.value.map())
                .with("edicion", item.revision)
                .with("permiso", item.grant == 0 ? null : (Object) item.grant)));
  }

  private void list(Map<String, String> query, Consumer<Answer> reply) {
    String prefix = query.get("under");
    String since = query.getOrDefault("since", "");
    int maxItems = Integer.parseInt(query.getOrDefault("most", "1000"));
    List<Object> found = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Item> e : items.entrySet()) {
      if (e.getKey().startsWith(prefix) && e.getKey().compareTo(since) > 0) {
        if (found.size() == maxItems) {
          more = true;
          break;
        }
        found.add(
            Fields.create()
                .with("key", e.getKey())
                .with("v", e.getValue().value.map())
                .with("edicion", e.getValue().revision)
                .map());
      }
    }
    reply.accept(
        Answer.of(
            200,
            Codec.CBOR,
            Fields.create().with("items", found).with("more", more).with("asiento", revision)));
  }

  private void transact(Fields body, Consumer<Answer> reply) throws WireException {
    List<Fields> when = body.maps("when");
    List<Fields> then = body.maps("then");
    if (then.size() > limits.txnOps() || when.size() > limits.txnOps() * 4) {
      refusedAsTooLarge++;
      throw new WireException("then", "too many");
    }
    if (!limiter.takeWrites(then.size())) {
      refusedAsTooMany++;
      reply.accept(Answer.error(429, "too many changes"));
      return;
    }
    changes += then.size();
    checkChanges(then);
    List<Object> failed = failedConditions(when);
    if (!failed.isEmpty()) {
      reply.accept(
          Answer.of(
              409, Codec.CBOR, Fields.create().with("failed", failed).with("asiento", revision)));
      return;
    }
    if (!then.isEmpty()) {
      apply(then);
    }
    reply.accept(Answer.of(200, Codec.CBOR, Fields.create().with("asiento", revision)));
    serveWatches();
  }

  /** Refuses changes that the protocol forbids regardless of the stored keys. */
  private void checkChanges(List<Fields> then) throws WireException {
    Set<String> touched = new LinkedHashSet<>();
    for (Fields f : then) {
      String key = f.has("write") ? f.text("write") : f.text("remove");
      if (!touched.add(key)) {
        throw new WireException("then", "touches a key twice");
      }
      if (f.has("write") && Codec.JSON.encode(f.inner("v")).length > limits.valueBytes()) {
        refusedAsTooLarge++;
        throw new WireException("v", "too large");
      }
      if (f.has("permiso") && !grants.containsKey(f.count("permiso"))) {
        throw new WireException("permiso", "no such lease");
      }
    }
  }

  private List<Object> failedConditions(List<Fields> when) throws WireException {
    List<Object> failed = new ArrayList<>();
    for (Fields f : when) {
      Item item = items.get(f.text("key"));
      if ((item == null ? 0 : item.revision) != f.count("edicion")) {
        failed.add(f.text("key"));
      }
    }
    return failed;
  }

  private void apply(List<Fields> then) throws WireException {
    revision++;
    for (Fields f : then) {
      if (f.has("write")) {
        takeovers += f.has("permiso") && items.containsKey(f.text("write")) ? 1 : 0;
        items.put(f.text("write"), new Item(f.inner("v"), revision, f.count("permiso", 0)));
        changeLog.add(new Change(revision, f.text("write"), f.inner("v")));
        for (Consumer<String> c : onWrite) {
          c.accept(f.text("write"));
        }
      } else if (items.remove(f.text("remove")) != null) {
        changeLog.add(new Change(revision, f.text("remove"), null));
      }
    }
  }

  private void addWatch(Map<String, String> query, Consumer<Answer> reply) {
    long since = Long.parseLong(query.get("since"));
    if (changeLog.size() > 10_000 && changeLog.get(changeLog.size() - 10_000).revision > since) {
      reply.accept(Answer.error(410, "too old"));
      return;
    }
    Watch watch = new Watch(process.caller, query.get("under"), since, reply);
    watches.add(watch);
    network.after(Long.parseLong(query.get("hold_ms")), () -> answerWatch(watch, true));
    serveWatches();
  }

  private void serveWatches() {
    if (!isDown) {
      List.copyOf(watches).forEach(w -> answerWatch(w, false));
    }
  }

  private void answerWatch(Watch watch, boolean isTimedOut) {
    if (watch.answered || isDown || refusedCallers.contains(watch.caller)) {
      return;
    }
    List<Object> changes = new ArrayList<>();
    for (int i = changeLog.size() - 1; i >= 0 && changeLog.get(i).revision > watch.since; i--) {
      Change c = changeLog.get(i);
      if (c.key.startsWith(watch.prefix)) {
        Fields f = Fields.create().with(c.value == null ? "remove" : "write", c.key);
        if (c.value != null) {
          f.with("v", c.value.map());
        }
        changes.add(0, f.with("edicion", c.revision).map());
      }
    }
    if (changes.isEmpty() && !isTimedOut) {
      return;
    }
    watch.answered = true;
    watches.remove(watch);
    watch.reply.accept(
        Answer.of(200, Codec.CBOR, Fields.create().with("asiento", revision).with("log", changes)));
  }
}
