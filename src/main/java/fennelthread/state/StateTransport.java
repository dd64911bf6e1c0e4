package fennelthread.state;

import fennelthread.constants.StateConstants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import java.util.function.Consumer;

/**
 * Sends requests to the state service, retries those that it rejects because of its rate limit
 * (429), and reports their outcome to {@link ServiceHealth}. It does not enforce the rate limits
 * itself: {@link RequestQueue} does. Used on the event loop's thread only.
 */
final class StateTransport {
  /**
   * A request to the state service.
   *
   * @param timeoutMs the longest wait for the answer, ms
   * @param isLongPoll true if the service holds the answer back until something changes or the poll
   *     ends, so that the time to the answer does not measure its health
   * @param onRateLimited run each time the service rejects the request with 429
   */
  record StateRequest(Call call, long timeoutMs, boolean isLongPoll, Runnable onRateLimited) {
    static StateRequest of(Call call, long timeoutMs) {
      return new StateRequest(call, timeoutMs, false, () -> {});
    }

    static StateRequest longPoll(Call call, long timeoutMs) {
      return new StateRequest(call, timeoutMs, true, () -> {});
    }
  }

  private final EventLoop eventLoop;
  private final String address;
  private final RequestQueue queue;
  private final ServiceHealth health;
  private final Runnable probe;
  private boolean isCheckScheduled;

  /**
   * Creates a transport to the service at {@code address}.
   *
   * @param queue backs off when the service rejects a request because of its rate limit
   * @param probe sends one more request; run when a single overdue request leaves open whether its
   *     answer was lost or the service is unresponsive
   */
  StateTransport(
      EventLoop eventLoop,
      String address,
      RequestQueue queue,
      ServiceHealth health,
      Runnable probe) {
    this.eventLoop = eventLoop;
    this.address = address;
    this.queue = queue;
    this.health = health;
    this.probe = probe;
  }

  /** Sends a request; {@code done} gets the answer, or null if there was none in time. */
  void send(StateRequest request, Consumer<Answer> done) {
    send(request, StateConstants.RATE_LIMITED_RETRIES, done);
  }

  private void send(StateRequest request, int retriesLeft, Consumer<Answer> done) {
    boolean isTimed = !request.isLongPoll;
    long requestId = isTimed ? health.recordSent(eventLoop.nowMs()) : 0;
    if (isTimed) {
      scheduleOverdueCheck();
    }
    eventLoop.call(
        address,
        request.call,
        request.timeoutMs,
        answer -> {
          recordOutcome(requestId, isTimed, answer);
          if (answer != null && answer.status() == 429) {
            // Not executed, since all controllers together exceed the limit: this one backs
            // off, and retries the request so that its sender need not.
            queue.backOff();
            request.onRateLimited.run();
            if (retriesLeft > 0) {
              scheduleRetry(request, retriesLeft - 1, done);
              return;
            }
          }
          done.accept(answer);
        });
  }

  private void scheduleRetry(StateRequest request, int retriesLeft, Consumer<Answer> done) {
    double jitter = 1 + eventLoop.random().nextDouble();
    eventLoop.after(
        (long) (StateConstants.RATE_LIMITED_RETRY_MS * jitter),
        () -> send(request, retriesLeft, done));
  }

  private void recordOutcome(long requestId, boolean isTimed, Answer answer) {
    long nowMs = eventLoop.nowMs();
    if (answer == null) {
      health.recordTimeout(requestId, nowMs);
    } else if (answer.status() == 429) {
      health.recordRateLimited(requestId, nowMs);
    } else if (answer.status() >= 500) {
      health.recordRefusal(requestId, nowMs);
    } else if (isTimed) {
      health.recordSuccess(requestId, nowMs);
    } else {
      health.recordLongPollSuccess(nowMs);
    }
  }

  /**
   * Checks for overdue requests while any are outstanding, and probes the service if it is suspect.
   */
  private void scheduleOverdueCheck() {
    if (isCheckScheduled) {
      return;
    }
    isCheckScheduled = true;
    eventLoop.after(
        health.msUntilOverdue(eventLoop.nowMs()),
        () -> {
          isCheckScheduled = false;
          if (health.status(eventLoop.nowMs()) == ServiceHealth.Status.SUSPECT) {
            probe.run();
          }
          if (health.hasOutstandingRequests()) {
            scheduleOverdueCheck();
          }
        });
  }
}
