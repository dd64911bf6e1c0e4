package fennelthread.state;

import fennelthread.constants.StateConstants;
import fennelthread.net.EventLoop;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;

/**
 * The rate-limited queue of requests to the state service, with one lane for each {@link
 * RequestPriority}. The most urgent lane is served first. A lane whose oldest request has waited
 * too long is served before all others, since a burst of submissions would otherwise starve the
 * less urgent lanes. Used on the event loop's thread only.
 */
final class RequestQueue {
  private record QueuedRequest(int changes, Runnable send, long queuedAtMs) {}

  private final EventLoop eventLoop;
  private final RateLimitBucket requestTokens;
  private final RateLimitBucket changeTokens;
  private final Map<RequestPriority, ArrayDeque<QueuedRequest>> lanes =
      new EnumMap<>(RequestPriority.class);
  private long refilledAtMs;
  private boolean isWakeUpScheduled;

  /**
   * Creates an empty queue with full token buckets.
   *
   * @param requestsPerS the service's limit on requests per second
   * @param changesPerS the service's limit on changes, puts and deletes, per second
   */
  RequestQueue(EventLoop eventLoop, double requestsPerS, double changesPerS) {
    this.eventLoop = eventLoop;
    this.requestTokens = new RateLimitBucket(requestsPerS);
    this.changeTokens = new RateLimitBucket(changesPerS);
    this.refilledAtMs = eventLoop.nowMs();
    for (RequestPriority priority : RequestPriority.values()) {
      lanes.put(priority, new ArrayDeque<>());
    }
  }

  /**
   * True if an interactive request with {@code changes} puts and deletes, submitted now, is
   * expected to be sent within {@link StateConstants#MAX_INTERACTIVE_WAIT_MS}. Overdue requests of
   * the other lanes, which may be sent first, are not counted.
   */
  boolean canSendInTime(int changes) {
    refill();
    int queuedRequests = 0;
    int queuedChanges = 0;
    for (QueuedRequest request : lanes.get(RequestPriority.INTERACTIVE)) {
      queuedRequests++;
      queuedChanges += request.changes;
    }
    return isAvailableInTime(requestTokens, queuedRequests + 1)
        && (changes == 0 || isAvailableInTime(changeTokens, queuedChanges + changes));
  }

  private static boolean isAvailableInTime(RateLimitBucket bucket, double amount) {
    return bucket.msUntilAvailable(amount, 0) <= StateConstants.MAX_INTERACTIVE_WAIT_MS;
  }

  /**
   * Queues a request and sends it once the rate limits allow.
   *
   * @param changes the number of puts and deletes that it holds
   * @param send sends the request; run before this method returns if the rate limits allow
   * @param reject run instead of {@code send}, before this method returns, if the lane is full
   */
  void submit(RequestPriority priority, int changes, Runnable send, Runnable reject) {
    ArrayDeque<QueuedRequest> lane = lanes.get(priority);
    if (lane.size() >= StateConstants.MAX_QUEUED_REQUESTS) {
      reject.run();
      return;
    }
    lane.add(new QueuedRequest(changes, send, eventLoop.nowMs()));
    sendQueued();
  }

  /**
   * Empties the token buckets, after the service has answered that all controllers together exceed
   * its limits.
   */
  void backOff() {
    requestTokens.drain();
    changeTokens.drain();
  }

  private void refill() {
    long nowMs = eventLoop.nowMs();
    requestTokens.refill(nowMs - refilledAtMs);
    changeTokens.refill(nowMs - refilledAtMs);
    refilledAtMs = nowMs;
  }

  private void sendQueued() {
    refill();
    for (RequestPriority lane = nextLane(); lane != null; lane = nextLane()) {
      QueuedRequest request = lanes.get(lane).peek();
      double waitMs = msUntilSendable(lane, request);
      if (waitMs > 0) {
        scheduleWakeUp(waitMs);
        return;
      }
      lanes.get(lane).poll();
      requestTokens.take(1);
      changeTokens.take(request.changes);
      request.send.run();
    }
  }

  private double msUntilSendable(RequestPriority lane, QueuedRequest request) {
    // Each lane leaves a share of the burst to the more urgent ones, unless it is overdue.
    double reservedShare =
        isOverdue(lane) ? 0 : lane.rank() * StateConstants.BURST_RESERVE_PER_PRIORITY;
    return Math.max(
        requestTokens.msUntilAvailable(1, reservedShare),
        request.changes == 0 ? 0 : changeTokens.msUntilAvailable(request.changes, reservedShare));
  }

  /** The lane to serve next, or null if all are empty. */
  private RequestPriority nextLane() {
    RequestPriority mostUrgent = null;
    for (RequestPriority lane : RequestPriority.values()) {
      if (isOverdue(lane)) {
        return lane;
      }
      if (mostUrgent == null && !lanes.get(lane).isEmpty()) {
        mostUrgent = lane;
      }
    }
    return mostUrgent;
  }

  private boolean isOverdue(RequestPriority lane) {
    QueuedRequest oldest = lanes.get(lane).peek();
    return oldest != null && eventLoop.nowMs() - oldest.queuedAtMs > maxWaitMs(lane);
  }

  private static long maxWaitMs(RequestPriority lane) {
    return switch (lane) {
      case INTERACTIVE -> Long.MAX_VALUE;
      case SCHEDULING -> StateConstants.SCHEDULING_MAX_WAIT_MS;
      case MAINTENANCE -> StateConstants.MAINTENANCE_MAX_WAIT_MS;
    };
  }

  private void scheduleWakeUp(double waitMs) {
    if (!isWakeUpScheduled) {
      isWakeUpScheduled = true;
      eventLoop.after(
          (long) Math.ceil(waitMs),
          () -> {
            isWakeUpScheduled = false;
            sendQueued();
          });
    }
  }
}
