package fennelthread.simulation;

import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.net.Service;
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
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;

/** The state service as its protocol describes it. */
final class StateEmulator implements Service {
  private static final String EXTEND = "/extend";

  private record Item(Fields value, long revision, long grant) {}

  private record Change(long revision, String key, Fields value) {}

  private static final class Watch {
    final String by;
    final String prefix;
    final long since;
    final Consumer<Answer> reply;
    boolean over;

    Watch(String by, String prefix, long since, Consumer<Answer> reply) {
      this.by = by;
      this.prefix = prefix;
      this.since = since;
      this.reply = reply;
    }
  }

  private static final class Grant {
    final long ttl;
    long until;

    Grant(long ttl, long until) {
      this.ttl = ttl;
      this.until = until;
    }
  }

  private final SimulatedNetwork world;
  private final SimulatedProcess process;
  private Settings.StateLimits limits;
  private final RateLimiter limiter = new RateLimiter();

  /** Requests that were above a limit. */
  int refusedAsTooMany;

  /** Hands each stored key and its value to a consumer, in the order of the keys. */
  void forEachStored(BiConsumer<String, Fields> consumer) {
    items.forEach((key, item) -> consumer.accept(key, item.value()));
  }

  /** Puts and deletes that counted against the limit. */
  long changes;

  /** How often a leader's key was written over before its grant had ended. */
  int takeovers;

  /** Transactions that were too large. */
  int refusedAsTooLarge;

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final Map<Long, Grant> grants = new HashMap<>();
  private final List<Change> log = new ArrayList<>();
  private final List<Watch> watches = new ArrayList<>();
  private final Set<String> refused = new HashSet<>();
  private long revision;
  private long nextGrant = 1;
  private boolean down;

  /** Called with each key that a transaction writes, right after it was applied. */
  final List<Consumer<String>> onWrite = new ArrayList<>();

  private final TransactionAnswers answers;

  /** Transactions that were carried out while their answers were lost. */
  int answersLost;

  StateEmulator(SimulatedNetwork world, SimulatedProcess process, Settings.StateLimits limits) {
    this.world = world;
    this.answers = new TransactionAnswers(world, () -> answersLost++);
    this.process = process;
    this.limits = limits;
    expire();
  }

  /** From now on other limits hold; what is stored stays readable. */
  void setLimits(Settings.StateLimits next) {
    limits = next;
  }

  void outage(long forMs) {
    down = true;
    world.after(
        forMs,
        () -> {
          down = false;
          grants.values().forEach(g -> g.until = world.now() + g.ttl);
          serveWatches();
        });
  }

  private double lateShare;

  /** Transactions that got no answer and were carried out late. */
  int appliedLate;

  /** For so long a share of the transactions gets no answer and is carried out 2 to 12 s later. */
  void delayTransactions(double share, long forMs) {
    lateShare = share;
    world.after(forMs, () -> lateShare = 0);
  }

  /** For so long that share of the transactions is carried out at once, and its answer is lost. */
  void loseAnswers(double share, long forMs) {
    answers.lose(share, forMs);
  }

  /**
   * The next {@code times} transactions that match are applied at once, and their answers are lost.
   *
   * @param which tests the caller's name and the body, decoded as ISO-8859-1
   */
  void loseNextAnswers(BiPredicate<String, String> which, int times) {
    answers.loseNext(which, times);
  }

  /** For so long every request is answered so much later. */
  void delayAnswers(long extraMs, long forMs) {
    answers.delay(extraMs, forMs);
  }

  /** Refuses one caller for so long. */
  void refuseCaller(String member, long forMs) {
    refused.add(member);
    world.after(
        forMs,
        () -> {
          refused.remove(member);
          serveWatches();
        });
  }

  /** How many keys there are with this prefix. */
  int countKeys(String prefix) {
    return items.subMap(prefix, prefix + '\uffff').size();
  }

  /** The values of the keys with this prefix. */
  List<Fields> valuesUnder(String prefix) {
    return items.subMap(prefix, prefix + '\uffff').values().stream().map(Item::value).toList();
  }

  /** The epoch that was claimed last. */
  long claimedEpoch() throws WireException {
    return items.get("live/epoch").value.count("epoch");
  }

  private void expire() {
    if (!down) {
      for (Long id : List.copyOf(grants.keySet())) {
        if (world.now() > grants.get(id).until) {
          end(id);
        }
      }
    }
    world.after(20, this::expire);
  }

  private void end(long id) {
    grants.remove(id);
    List<String> gone = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.grant == id) {
            gone.add(key);
          }
        });
    if (!gone.isEmpty()) {
      revision++;
      for (String key : gone) {
        items.remove(key);
        log.add(new Change(revision, key, null));
      }
      serveWatches();
    }
  }

  /** Holds a transaction back in the network for so many milliseconds. */
  java.util.function.ToLongBiFunction<String, String> transactionDelayMs = (caller, body) -> 0;

  /** Whose request is being handled. */
  String caller() {
    return process.caller;
  }

  @Override
  public void handle(Request request, Consumer<Answer> caller) {
    Consumer<Answer> reply = answers.through(process.caller, request, caller);
    if (request.path().equals("/multi")) {
      long hold =
          transactionDelayMs.applyAsLong(
              process.caller,
              new String(request.body(), java.nio.charset.StandardCharsets.ISO_8859_1));
      if (hold > 0) {
        later(hold, request, reply);
        return;
      }
      if (lateShare > 0 && world.faults.nextDouble() < lateShare) {
        // No answer ever, and carried out after newer ones of the same controller.
        appliedLate++;
        later(2_000 + world.faults.nextInt(10_000), request, answer -> {});
        return;
      }
    }
    serve(request, reply);
  }

  private void later(long ms, Request request, Consumer<Answer> reply) {
    String caller = process.caller;
    world.after(
        ms,
        () -> {
          process.caller = caller;
          serve(request, reply);
        });
  }

  private void serve(Request request, Consumer<Answer> reply) {
    if (down || refused.contains(process.caller)) {
      reply.accept(Answer.error(503, "trouble"));
      return;
    }
    limiter.refill(world.now(), limits);
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
      list(query(path), reply);
    } else if (path.startsWith("/watch?")) {
      watch(query(path), reply);
    } else if (path.equals("/multi")) {
      multi(Codec.CBOR.decode(request.body()), reply);
    } else if (path.equals("/grants")) {
      long ttl = Codec.CBOR.decode(request.body()).count("ttl_ms");
      grants.put(nextGrant, new Grant(ttl, world.now() + ttl));
      reply.accept(Answer.of(200, Codec.CBOR, Fields.create().with("permiso", nextGrant++)));
    } else if (path.startsWith("/grants/")) {
      extendOrRevoke(path.substring("/grants/".length()), reply);
    } else {
      reply.accept(Answer.error(404, "path"));
    }
  }

  private void extendOrRevoke(String rest, Consumer<Answer> reply) {
    boolean extend = rest.endsWith(EXTEND);
    long id = Long.parseLong(extend ? rest.substring(0, rest.length() - EXTEND.length()) : rest);
    Grant grant = grants.get(id);
    if (grant == null) {
      reply.accept(Answer.error(404, "no such lease"));
      return;
    }
    if (extend) {
      grant.until = world.now() + grant.ttl;
    } else {
      end(id);
    }
    reply.accept(Answer.of(200, Codec.CBOR, Fields.create().with("permiso", id)));
  }

  private static Map<String, String> query(String path) {
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
    int most = Integer.parseInt(query.getOrDefault("most", "1000"));
    List<Object> found = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Item> e : items.entrySet()) {
      if (e.getKey().startsWith(prefix) && e.getKey().compareTo(since) > 0) {
        if (found.size() == most) {
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

  private void multi(Fields body, Consumer<Answer> reply) throws WireException {
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

  /** Refuses changes that the protocol does not allow, whatever is stored. */
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
        log.add(new Change(revision, f.text("write"), f.inner("v")));
        for (Consumer<String> c : onWrite) {
          c.accept(f.text("write"));
        }
      } else if (items.remove(f.text("remove")) != null) {
        log.add(new Change(revision, f.text("remove"), null));
      }
    }
  }

  private void watch(Map<String, String> query, Consumer<Answer> reply) {
    long since = Long.parseLong(query.get("since"));
    if (log.size() > 10_000 && log.get(log.size() - 10_000).revision > since) {
      reply.accept(Answer.error(410, "too old"));
      return;
    }
    Watch watch = new Watch(process.caller, query.get("under"), since, reply);
    watches.add(watch);
    world.after(Long.parseLong(query.get("hold_ms")), () -> answer(watch, true));
    serveWatches();
  }

  private void serveWatches() {
    if (!down) {
      List.copyOf(watches).forEach(w -> answer(w, false));
    }
  }

  private void answer(Watch watch, boolean timeIsUp) {
    if (watch.over || down || refused.contains(watch.by)) {
      return;
    }
    List<Object> changes = new ArrayList<>();
    for (int i = log.size() - 1; i >= 0 && log.get(i).revision > watch.since; i--) {
      Change c = log.get(i);
      if (c.key.startsWith(watch.prefix)) {
        Fields f = Fields.create().with(c.value == null ? "remove" : "write", c.key);
        if (c.value != null) {
          f.with("v", c.value.map());
        }
        changes.add(0, f.with("edicion", c.revision).map());
      }
    }
    if (changes.isEmpty() && !timeIsUp) {
      return;
    }
    watch.over = true;
    watches.remove(watch);
    watch.reply.accept(
        Answer.of(200, Codec.CBOR, Fields.create().with("asiento", revision).with("log", changes)));
  }
}
