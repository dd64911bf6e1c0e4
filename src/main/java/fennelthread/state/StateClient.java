package fennelthread.state;

import fennelthread.Constants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.Host;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Speaks to the state service within its request budget. Renewals never wait behind others. */
public final class StateClient {
  private static final Logger log = LoggerFactory.getLogger(StateClient.class);

  /** A key's value and revision; {@code value} is null if the key does not exist. */
  public record Entry(String key, Fields value, long revision, long grant) {}

  /** One page of a list. */
  public record Page(List<Entry> items, boolean more, long revision) {}

  /** Changes since a revision; {@code tooOld} means that the keys must be read again. */
  public record Changes(List<Entry> log, long revision, boolean tooOld) {}

  private final Host host;
  private final String address;
  private final double ratePerMs;
  private final double burst;
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
  private double tokens;
  private long filledAt;
  private boolean draining;
  private long lastOkAt;
  private long lastFailAt = -1;
  private long malformed;

  /** Creates a client. */
  public StateClient(Host host, Settings settings) {
    this.host = host;
    this.address = settings.stateAddr();
    this.ratePerMs = settings.state().rps() * Constants.STATE_RATE_SHARE / 1000;
    this.burst = Math.max(4, settings.state().rps() * Constants.STATE_RATE_SHARE / 2);
    this.tokens = burst;
    this.filledAt = host.nowMs();
    this.lastOkAt = host.nowMs();
  }

  /** How long the state service has refused us, ms; 0 if its last answer was good. */
  public long refusedForMs() {
    return lastFailAt > lastOkAt ? host.nowMs() - lastOkAt : 0;
  }

  /** When the service last answered well. */
  public long servedAtMs() {
    return lastOkAt;
  }

  /** Malformed answers seen so far. */
  public long malformed() {
    return malformed;
  }

  /** Reads one key; null means that nothing is known. */
  public void get(String key, Consumer<Entry> done) {
    budgeted(
        () ->
            call(
                Call.get("/keys/" + key),
                Constants.STATE_TIMEOUT_MS,
                answer -> {
                  if (answer == null) {
                    done.accept(null);
                  } else if (answer.status() == 404) {
                    done.accept(new Entry(key, null, 0, 0));
                  } else {
                    done.accept(
                        parse(
                            answer,
                            f ->
                                new Entry(
                                    key, f.inner("v"), f.count("edicion"), f.count("permiso", 0))));
                  }
                }),
        () -> done.accept(null));
  }

  /** Reads one page of keys; null means that nothing is known. */
  public void list(String prefix, String since, Consumer<Page> done) {
    String path =
        "/keys?under=" + prefix + (since == null ? "" : "&since=" + since) + "&most=" + Constants.PAGE;
    budgeted(
        () ->
            call(
                Call.get(path),
                Constants.STATE_TIMEOUT_MS * 2,
                answer ->
                    done.accept(
                        answer == null
                            ? null
                            : parse(
                                answer,
                                f -> {
                                  List<Entry> items = new ArrayList<>();
                                  for (Fields i : f.maps("items")) {
                                    items.add(
                                        new Entry(
                                            i.text("key"),
                                            i.inner("v"),
                                            i.count("edicion"),
                                            i.count("permiso", 0)));
                                  }
                                  return new Page(items, f.optFlag("more"), f.count("asiento"));
                                }))),
        () -> done.accept(null));
  }

  /** Sends a transaction. */
  public void txn(Txn txn, Consumer<TxnResult> done) {
    budgeted(
        () ->
            call(
                Call.post("/multi", Codec.CBOR, txn.body()),
                Constants.STATE_TIMEOUT_MS,
                answer -> done.accept(result(answer))),
        () -> done.accept(new TxnResult.Refused("too many requests wait")));
  }

  private TxnResult result(Answer answer) {
    if (answer == null) {
      return new TxnResult.Unknown();
    }
    switch (answer.status()) {
      case 200 -> {
        TxnResult applied = parse(answer, f -> new TxnResult.Applied(f.count("asiento")));
        return applied == null ? new TxnResult.Unknown() : applied;
      }
      case 409 -> {
        TxnResult conflict =
            parse(answer, f -> new TxnResult.Conflict(f.optTexts("failed") == null
                ? List.of() : f.optTexts("failed")));
        return conflict == null ? new TxnResult.Refused("conflict") : conflict;
      }
      case 400, 429, 503 -> {
        if (answer.status() == 400) {
          log.info("transaction refused with 400");
        }
        return new TxnResult.Refused("status " + answer.status());
      }
      default -> {
        return new TxnResult.Unknown();
      }
    }
  }

  /** Creates a grant; 0 means that it failed. */
  public void grant(long ttlMs, Consumer<Long> done) {
    call(
        Call.post("/grants", Codec.CBOR, Fields.create().with("ttl_ms", ttlMs)),
        Constants.STATE_TIMEOUT_MS,
        answer -> {
          Long id = answer == null ? null : parse(answer, f -> f.count("permiso"));
          done.accept(id == null ? 0L : id);
        });
  }

  /** Renews a grant: gets the status, or 0 for no answer. */
  public void extend(long grant, Consumer<Integer> done) {
    call(
        Call.post("/grants/" + grant + "/extend", Codec.CBOR, Fields.create()),
        Constants.RENEW_TIMEOUT_MS,
        answer -> done.accept(answer == null ? 0 : answer.status()));
  }

  /** Ends a grant at once: gets the status, or 0 for no answer. */
  public void endGrant(long grant, Consumer<Integer> done) {
    call(
        new Call("DELETE", "/grants/" + grant, null, Codec.CBOR),
        Constants.STATE_TIMEOUT_MS,
        answer -> done.accept(answer == null ? 0 : answer.status()));
  }

  /** Waits for changes; null means that nothing is known. */
  public void watch(String prefix, long since, Consumer<Changes> done) {
    String path =
        "/watch?under=" + prefix + "&since=" + since + "&hold_ms=" + Constants.WATCH_HOLD_MS;
    budgeted(
        () ->
            call(
                Call.get(path),
                Constants.WATCH_HOLD_MS + Constants.STATE_TIMEOUT_MS,
                answer -> {
                  if (answer != null && answer.status() == 410) {
                    done.accept(new Changes(List.of(), 0, true));
                    return;
                  }
                  done.accept(
                      answer == null
                          ? null
                          : parse(
                              answer,
                              f -> {
                                List<Entry> items = new ArrayList<>();
                                for (Fields i : f.maps("log")) {
                                  items.add(
                                      i.has("remove")
                                          ? new Entry(i.text("remove"), null, i.count("edicion"), 0)
                                          : new Entry(
                                              i.text("write"),
                                              i.inner("v"),
                                              i.count("edicion"),
                                              i.count("permiso", 0)));
                                }
                                return new Changes(items, f.count("asiento"), false);
                              }));
                }),
        () -> done.accept(null));
  }

  private interface Parser<T> {
    T parse(Fields fields) throws WireException;
  }

  /** A malformed answer is logged, counted and treated as no answer. */
  private <T> T parse(Answer answer, Parser<T> parser) {
    if (answer.status() != 200 && answer.status() != 201 && answer.status() != 409) {
      return null;
    }
    try {
      return parser.parse(answer.fields());
    } catch (WireException e) {
      malformed++;
      log.info("malformed answer of the state service: {}", e.getMessage());
      return null;
    }
  }

  private void call(Call call, long timeoutMs, Consumer<Answer> done) {
    host.call(
        address,
        call,
        timeoutMs,
        answer -> {
          boolean good = answer != null && answer.status() < 500 && answer.status() != 429;
          if (good) {
            lastOkAt = host.nowMs();
          } else if (answer == null || answer.status() >= 500) {
            lastFailAt = host.nowMs();
          }
          done.accept(answer);
        });
  }

  private void budgeted(Runnable send, Runnable refuse) {
    if (waiting.size() >= Constants.STATE_QUEUE) {
      refuse.run();
      return;
    }
    waiting.add(send);
    drain();
  }

  private void drain() {
    long now = host.nowMs();
    tokens = Math.min(burst, tokens + (now - filledAt) * ratePerMs);
    filledAt = now;
    while (tokens >= 1 && !waiting.isEmpty()) {
      tokens -= 1;
      waiting.poll().run();
    }
    if (!waiting.isEmpty() && !draining) {
      draining = true;
      host.after(
          (long) Math.ceil((1 - tokens) / ratePerMs),
          () -> {
            draining = false;
            drain();
          });
    }
  }
}
