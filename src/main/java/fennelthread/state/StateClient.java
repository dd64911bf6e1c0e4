package fennelthread.state;

import fennelthread.constants.StateConstants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import fennelthread.settings.Settings;
import fennelthread.state.StateTransport.StateRequest;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * The client of the state service, a consensus-backed key-value store with revisions,
 * compare-and-swap transactions, leases and watches. Reads, watches and transactions are
 * rate-limited by {@link RequestQueue}; requests about leases are sent at once. All methods and
 * callbacks run on the event loop's thread; a request's callback runs exactly once.
 */
public final class StateClient {
  private final EventLoop eventLoop;
  private final SizeLimits limits;
  private final RequestQueue queue;
  private final ServiceHealth health;
  private final StateTransport transport;

  /** Creates a client of the service that the settings name; sends nothing yet. */
  public StateClient(EventLoop eventLoop, Settings settings) {
    this.eventLoop = eventLoop;
    this.limits = new SizeLimits(settings.state());
    this.queue = new RequestQueue(eventLoop, settings.state().rps(), settings.state().writeRps());
    this.health = new ServiceHealth(eventLoop.nowMs());
    this.transport =
        new StateTransport(
            eventLoop,
            settings.stateAddr(),
            queue,
            health,
            () -> readStoreRevision(revision -> {}));
  }

  // ---------------------------------------------------------------- health

  /**
   * True if an interactive request with {@code changes} puts and deletes, sent now, is likely to be
   * answered in time.
   */
  public boolean canAnswerInTime(int changes) {
    return unavailability(changes).isEmpty();
  }

  /**
   * Why an interactive request with {@code changes} puts and deletes, sent now, would not be
   * answered in time: the service is unresponsive, or too many requests are queued. Callers should
   * then refuse at once and not let the user wait. Empty if an answer in time is likely.
   */
  public Optional<Unavailability> unavailability(int changes) {
    if (health.status(eventLoop.nowMs()) == ServiceHealth.Status.UNRESPONSIVE) {
      return Optional.of(Unavailability.UNRESPONSIVE);
    }
    return queue.canSendInTime(changes) ? Optional.empty() : Optional.of(Unavailability.BUSY);
  }

  /**
   * How long the service has failed to serve this controller, ms; 0 if no request has failed since
   * it served one.
   */
  public long failingForMs() {
    return health.failingForMs(eventLoop.nowMs());
  }

  /** When the service last served a request of this controller, ms of the event loop's clock. */
  public long lastServedAtMs() {
    return health.lastServedAtMs();
  }

  /** The limits on the sizes of values and transactions. */
  public SizeLimits limits() {
    return limits;
  }

  // ---------------------------------------------------------------- reads and watches

  /** Reads one key. */
  public void get(String key, Consumer<ReadResult> done) {
    submitRead(
        StateRequest.of(Call.get("/keys/" + key), StateConstants.REQUEST_TIMEOUT_MS),
        answer -> done.accept(ResponseDecoder.readResult(key, answer)));
  }

  /** Reads the revision that the store has reached; empty if there is no valid answer. */
  public void readStoreRevision(Consumer<OptionalLong> done) {
    get(Keys.NEVER_WRITTEN, result -> done.accept(storeRevisionOf(result)));
  }

  private static OptionalLong storeRevisionOf(ReadResult result) {
    if (result instanceof ReadResult.Absent absent) {
      return OptionalLong.of(absent.storeRevision());
    }
    if (result instanceof ReadResult.Found found) {
      return OptionalLong.of(found.entry().revision());
    }
    return OptionalLong.empty();
  }

  /**
   * Reads one page of the keys with a prefix; empty if there is no valid answer.
   *
   * @param afterKey the last key of the page before, null for the first page
   */
  public void list(String prefix, String afterKey, Consumer<Optional<KeyPage>> done) {
    String path =
        "/keys?under="
            + prefix
            + (afterKey == null ? "" : "&since=" + afterKey)
            + "&most="
            + StateConstants.KEYS_PER_PAGE;
    submitRead(
        StateRequest.of(Call.get(path), StateConstants.REQUEST_TIMEOUT_MS * 2),
        answer -> done.accept(ResponseDecoder.keyPage(answer)));
  }

  /**
   * Waits for changes of keys with a prefix after a revision, for {@link
   * StateConstants#WATCH_HOLD_MS} at most.
   */
  void watch(String prefix, long afterRevision, Consumer<WatchResult> done) {
    submitRead(
        StateRequest.longPoll(
            watchCall(prefix, afterRevision, StateConstants.WATCH_HOLD_MS),
            StateConstants.WATCH_HOLD_MS + StateConstants.REQUEST_TIMEOUT_MS),
        answer -> done.accept(ResponseDecoder.watchResult(answer)));
  }

  /** Reads the changes of keys with a prefix after a revision, without waiting for any. */
  void readChanges(String prefix, long afterRevision, Consumer<WatchResult> done) {
    submitRead(
        StateRequest.of(watchCall(prefix, afterRevision, 0), StateConstants.REQUEST_TIMEOUT_MS),
        answer -> done.accept(ResponseDecoder.watchResult(answer)));
  }

  private static Call watchCall(String prefix, long afterRevision, long holdMs) {
    return Call.get("/watch?under=" + prefix + "&since=" + afterRevision + "&hold_ms=" + holdMs);
  }

  private void submitRead(StateRequest request, Consumer<Answer> done) {
    queue.submit(
        RequestPriority.INTERACTIVE,
        0,
        () -> transport.send(request, done),
        () -> done.accept(null));
  }

  // ---------------------------------------------------------------- transactions

  /** Queues a transaction and sends it once the rate limits allow. */
  public void submitTxn(RequestPriority priority, Txn txn, Consumer<TxnResult> done) {
    submitTxn(priority, txn, () -> {}, done);
  }

  /**
   * Queues a transaction and sends it once the rate limits allow.
   *
   * @param onOverdue run if there is no answer within {@link ServiceHealth#overdueAfterMs} of
   *     sending. The answer may still arrive; until then the caller may learn the outcome by other
   *     means. Not run once the service has answered with 429.
   */
  public void submitTxn(
      RequestPriority priority, Txn txn, Runnable onOverdue, Consumer<TxnResult> done) {
    queue.submit(
        priority,
        txn.changeCount(),
        () -> sendTxn(txn, onOverdue, done),
        () -> done.accept(new TxnResult.Refused("too many requests queued")));
  }

  private void sendTxn(Txn txn, Runnable onOverdue, Consumer<TxnResult> done) {
    EventLoop.Cancellable timer = eventLoop.after(health.overdueAfterMs(), onOverdue);
    StateRequest request =
        new StateRequest(
            Call.post("/multi", Codec.CBOR, txn.encodeBody()),
            StateConstants.REQUEST_TIMEOUT_MS,
            false,
            // The service answers but is overloaded: the transaction must not be sent twice now.
            timer::cancel);
    transport.send(
        request,
        answer -> {
          timer.cancel();
          TxnResult result = ResponseDecoder.txnResult(answer);
          if (result instanceof TxnResult.TooLarge && !txn.isLeaseBound()) {
            // A transaction bound to a lease is rejected in the same way if the lease has expired.
            limits.shrinkAfterRejection(txn);
          }
          done.accept(result);
        });
  }

  // ---------------------------------------------------------------- leases

  /** Requests a new lease with a time to live, ms. */
  public void createLease(long ttlMs, Consumer<LeaseGrant> done) {
    transport.send(
        StateRequest.of(
            Call.post("/grants", Codec.CBOR, Fields.create().with("ttl_ms", ttlMs)),
            StateConstants.REQUEST_TIMEOUT_MS),
        answer -> done.accept(ResponseDecoder.leaseGrant(answer)));
  }

  /** Renews a lease. */
  public void renewLease(long leaseId, Consumer<LeaseRenewalResult> done) {
    transport.send(
        StateRequest.of(
            Call.post("/grants/" + leaseId + "/extend", Codec.CBOR, Fields.create()),
            StateConstants.LEASE_RENEWAL_TIMEOUT_MS),
        answer -> done.accept(ResponseDecoder.leaseRenewal(answer)));
  }

  /** Revokes a lease: all keys that are bound to it are removed at once. */
  public void revokeLease(long leaseId, Consumer<LeaseRevocation> done) {
    transport.send(
        StateRequest.of(
            new Call("DELETE", "/grants/" + leaseId, null, Codec.CBOR),
            StateConstants.REQUEST_TIMEOUT_MS),
        answer -> done.accept(ResponseDecoder.leaseRevocation(answer)));
  }
}
