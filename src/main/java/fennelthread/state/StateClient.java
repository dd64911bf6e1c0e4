package fennelthread.state;

import fennelthread.constants.EmulationConstants;
import fennelthread.constants.StateConstants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Speaks to the state service within its request budget. Renewals never wait behind others. */
public final class StateClient {
  private static final Logger log = LoggerFactory.getLogger(StateClient.class);

  /**
   * A key's value and revision; {@code value} is null if the key does not exist, and the revision
   * that of the latest change of any key then.
   */
  public record Entry(String key, Fields value, long revision, long leaseId) {}

  /** One page of a list. */
  public record Page(List<Entry> items, boolean more, long revision) {}

  /** Changes since a revision; {@code tooOld} means that the keys must be read again. */
  public record Changes(List<Entry> log, long revision, boolean tooOld) {}

  /** Whose turn comes first when the budget is short; lease renewals wait for nothing. */
  public enum Lane {
    /** Someone waits for the answer: a user, or a copy that answers are confirmed against. */
    ANSWER(0),
    /** Round records: tasks wait for them. */
    ROUND(1),
    /** Finished tasks and removals: they can wait for quieter moments. */
    UPKEEP(2);

    private final int rank;

    Lane(int rank) {
      this.rank = rank;
    }

    /** How many lanes come before this one. */
    int rank() {
      return rank;
    }
  }

  private final EventLoop eventLoop;
  private final String address;
  private final Limits limits;
  private final Budget budget;
  private final ServiceHealth health;
  private boolean looking;
  private long malformed;

  /** Creates a client. */
  public StateClient(EventLoop eventLoop, Settings settings) {
    this.eventLoop = eventLoop;
    this.address = settings.stateAddr();
    this.limits = new Limits(settings.state());
    this.budget = new Budget(eventLoop, settings.state().rps(), settings.state().writeRps());
    this.health = new ServiceHealth(eventLoop.nowMs());
  }

  /**
   * True if a request made now, with so many changes, would be answered in the time aimed at. Not
   * if the service is silent, or if too many wait already: then whoever asks is better told at once
   * when to come back.
   */
  public boolean answersSoon(int writes) {
    return whyNotSoon(writes) == null;
  }

  /** Why a request made now would not be answered soon, or null if it would. */
  public Unavailability whyNotSoon(int writes) {
    if (health.verdict(eventLoop.nowMs()) == ServiceHealth.Verdict.SILENT) {
      return Unavailability.SILENT;
    }
    return budget.sendsSoon(writes) ? null : Unavailability.BUSY;
  }

  /** After how long an answer that someone waits for is worth asking for again, ms. */
  public long overdueMs() {
    return health.overdueMs();
  }

  /** How long the state service has refused us, ms; 0 if its last answer was good. */
  public long refusedForMs() {
    return health.failingForMs(eventLoop.nowMs());
  }

  /** When the service last answered well. */
  public long servedAtMs() {
    return health.servedAtMs();
  }

  /** What became of the requests so far, for a line of the log. */
  public String memoryUsage() {
    return health.memoryUsage();
  }

  /** How large values and transactions may be. */
  public Limits limits() {
    return limits;
  }

  /** Malformed answers seen so far. */
  public long malformed() {
    return malformed;
  }

  /** Reads one key; null means that nothing is known. */
  public void get(String key, Consumer<Entry> done) {
    budget.submit(
        Lane.ANSWER,
        0,
        () ->
            call(
                Call.get("/keys/" + key),
                StateConstants.STATE_TIMEOUT_MS,
                answer -> {
                  if (answer == null) {
                    done.accept(null);
                  } else if (answer.status() == 404) {
                    done.accept(parse(answer, f -> new Entry(key, null, f.count("asiento", 0), 0)));
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

  /** Reads how many changes there were; -1 means that nothing is known. */
  public void changes(LongConsumer done) {
    get(Keys.NONE, entry -> done.accept(entry == null ? -1 : entry.revision()));
  }

  /** Reads one page of keys; null means that nothing is known. */
  public void list(String prefix, String since, Consumer<Page> done) {
    String path =
        "/keys?under="
            + prefix
            + (since == null ? "" : "&since=" + since)
            + "&most="
            + EmulationConstants.PAGE;
    budget.submit(
        Lane.ANSWER,
        0,
        () ->
            call(
                Call.get(path),
                StateConstants.STATE_TIMEOUT_MS * 2,
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
  public void txn(Lane lane, Txn txn, Consumer<TxnResult> done) {
    txn(lane, txn, () -> {}, done);
  }

  /**
   * Sends a transaction; {@code overdue} is run if it has had no answer for longer than answers
   * take, while it may still come: whoever waits for it may find out by other means.
   */
  public void txn(Lane lane, Txn txn, Runnable overdue, Consumer<TxnResult> done) {
    budget.submit(
        lane,
        txn.ops(),
        () -> {
          EventLoop.Cancellable timer = eventLoop.after(health.overdueMs(), overdue);
          call(
              Call.post("/multi", Codec.CBOR, txn.body()),
              StateConstants.STATE_TIMEOUT_MS,
              StateConstants.STATE_TRIES_WHEN_BUSY,
              // It speaks, and asks to be left alone: the last one to send things twice.
              timer::cancel,
              answer -> {
                timer.cancel();
                done.accept(result(txn, answer));
              });
        },
        () -> done.accept(new TxnResult.Refused("too many requests wait")));
  }

  private TxnResult result(Txn txn, Answer answer) {
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
            parse(
                answer,
                f ->
                    new TxnResult.Conflict(
                        f.optTexts("failed") == null ? List.of() : f.optTexts("failed")));
        return conflict == null ? new TxnResult.Refused("conflict") : conflict;
      }
      case 400 -> {
        if (!txn.isBound()) {
          // With a grant, the reason is that it has ended.
          limits.refused(txn);
        }
        return new TxnResult.TooLarge();
      }
      case 429, 503 -> {
        return new TxnResult.Refused("status " + answer.status());
      }
      default -> {
        return new TxnResult.Unknown();
      }
    }
  }

  /** Creates a grant; 0 means that it failed. */
  public void createLease(long ttlMs, Consumer<Long> done) {
    call(
        Call.post("/grants", Codec.CBOR, Fields.create().with("ttl_ms", ttlMs)),
        StateConstants.STATE_TIMEOUT_MS,
        answer -> {
          Long id = answer == null ? null : parse(answer, f -> f.count("permiso"));
          done.accept(id == null ? 0L : id);
        });
  }

  /** Renews a grant: gets the status, or 0 for no answer. */
  public void renewLease(long leaseId, Consumer<Integer> done) {
    call(
        Call.post("/grants/" + leaseId + "/extend", Codec.CBOR, Fields.create()),
        StateConstants.RENEW_TIMEOUT_MS,
        answer -> done.accept(answer == null ? 0 : answer.status()));
  }

  /** Ends a grant at once: gets the status, or 0 for no answer. */
  public void revokeLease(long leaseId, Consumer<Integer> done) {
    call(
        new Call("DELETE", "/grants/" + leaseId, null, Codec.CBOR),
        StateConstants.STATE_TIMEOUT_MS,
        answer -> done.accept(answer == null ? 0 : answer.status()));
  }

  /** Waits for changes; null means that nothing is known. */
  public void watch(String prefix, long since, Consumer<Changes> done) {
    String path =
        "/watch?under=" + prefix + "&since=" + since + "&hold_ms=" + StateConstants.WATCH_HOLD_MS;
    budget.submit(
        Lane.ANSWER,
        0,
        () ->
            call(
                Call.get(path),
                StateConstants.WATCH_HOLD_MS + StateConstants.STATE_TIMEOUT_MS,
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
    if (answer.status() != 200
        && answer.status() != 201
        && answer.status() != 404
        && answer.status() != 409) {
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
    call(call, timeoutMs, StateConstants.STATE_TRIES_WHEN_BUSY, () -> {}, done);
  }

  private void call(
      Call call, long timeoutMs, int tries, Runnable whenBusy, Consumer<Answer> done) {
    // A watch is answered when something changes: how long that takes says nothing.
    boolean timed = timeoutMs <= StateConstants.WATCH_HOLD_MS;
    long ticket = timed ? health.sent(eventLoop.nowMs()) : 0;
    if (timed) {
      look();
    }
    eventLoop.call(
        address,
        call,
        timeoutMs,
        answer -> {
          note(ticket, timed, answer);
          if (answer != null && answer.status() == 429) {
            // Not executed, since all controllers together ask for too much: we hold back, and try
            // again before whoever waits has to.
            budget.exceeded();
            whenBusy.run();
            if (tries > 0) {
              eventLoop.after(
                  (long) (StateConstants.STATE_BUSY_MS * (1 + eventLoop.random().nextDouble())),
                  () -> call(call, timeoutMs, tries - 1, whenBusy, done));
              return;
            }
          }
          done.accept(answer);
        });
  }

  private void note(long ticket, boolean timed, Answer answer) {
    long now = eventLoop.nowMs();
    if (answer == null) {
      health.unanswered(ticket, now);
    } else if (answer.status() == 429) {
      health.busy(ticket, now);
    } else if (answer.status() >= 500) {
      health.refused(ticket, now);
    } else if (timed) {
      health.served(ticket, now);
    } else {
      health.servedUntimed(now);
    }
  }

  /** While requests wait, looks whether they are overdue, and asks for a sign of life if so. */
  private void look() {
    if (looking) {
      return;
    }
    looking = true;
    eventLoop.after(
        health.untilOverdueMs(eventLoop.nowMs()),
        () -> {
          looking = false;
          if (health.verdict(eventLoop.nowMs()) == ServiceHealth.Verdict.DOUBTFUL) {
            // One question more tells a lost answer from a service that is silent.
            changes(count -> {});
          }
          if (health.isWaiting()) {
            look();
          }
        });
  }
}
