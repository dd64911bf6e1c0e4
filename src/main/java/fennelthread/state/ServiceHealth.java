package fennelthread.state;

import fennelthread.constants.JobConstants;
import fennelthread.constants.StateConstants;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Determines from requests and their answers whether the state service responds. A missing answer
 * is weak evidence against it: it counts only if nothing was answered since its request was sent,
 * and only together with a second one. An answer of any status clears the evidence. Reads no clock:
 * callers pass the time, in milliseconds. Not thread-safe.
 */
public final class ServiceHealth {
  /** The state of the service according to the evidence. */
  public enum Status {
    /** It answers, or no request is overdue. */
    RESPONSIVE,
    /**
     * One request is overdue, and nothing was answered since it was sent; the answer to a probe
     * decides.
     */
    SUSPECT,
    /** Several requests are overdue, and nothing was answered since they were sent. */
    UNRESPONSIVE
  }

  private final Map<Long, Long> sentAtMsById = new LinkedHashMap<>();
  private long lastRequestId;
  private long lastAnswerAtMs;
  private long lastServedAtMs;
  private long lastFailureAtMs = -1;
  private int timeoutsSinceAnswer;
  private double averageLatencyMs;

  /**
   * Creates the health of a service that has not been asked yet and counts as serving until now.
   */
  public ServiceHealth(long nowMs) {
    this.lastAnswerAtMs = nowMs;
    this.lastServedAtMs = nowMs;
  }

  /** Records that a request was sent, and returns the id by which its outcome is recorded. */
  public long recordSent(long nowMs) {
    sentAtMsById.put(++lastRequestId, nowMs);
    return lastRequestId;
  }

  /** Records that a request was served, whether its conditions held or not. */
  public void recordSuccess(long requestId, long nowMs) {
    recordTimedAnswer(requestId, nowMs);
    lastServedAtMs = nowMs;
  }

  /** Records an answer with a status of 500 or above: the service failed to serve the request. */
  public void recordRefusal(long requestId, long nowMs) {
    recordTimedAnswer(requestId, nowMs);
    lastFailureAtMs = nowMs;
  }

  /** Records an answer with 429: neither a failure of the service nor a request served. */
  public void recordRateLimited(long requestId, long nowMs) {
    recordTimedAnswer(requestId, nowMs);
  }

  /** Records that a request had no answer in its time. */
  public void recordTimeout(long requestId, long nowMs) {
    Long sentAtMs = sentAtMsById.remove(requestId);
    lastFailureAtMs = nowMs;
    if (sentAtMs != null && sentAtMs >= lastAnswerAtMs) {
      timeoutsSinceAnswer++;
    }
  }

  /**
   * Records that a long poll was served; long polls are not recorded as sent and have no latency.
   */
  public void recordLongPollSuccess(long nowMs) {
    recordAnswer(nowMs);
    lastServedAtMs = nowMs;
  }

  private void recordAnswer(long nowMs) {
    lastAnswerAtMs = nowMs;
    timeoutsSinceAnswer = 0;
  }

  private void recordTimedAnswer(long requestId, long nowMs) {
    Long sentAtMs = sentAtMsById.remove(requestId);
    recordAnswer(nowMs);
    if (sentAtMs != null) {
      double latencyMs = nowMs - sentAtMs;
      averageLatencyMs += (latencyMs - averageLatencyMs) * StateConstants.LATENCY_AVERAGE_WEIGHT;
    }
  }

  /** The state of the service according to the evidence at this time. */
  public Status status(long nowMs) {
    int overdueRequests = timeoutsSinceAnswer;
    for (long sentAtMs : sentAtMsById.values()) {
      if (sentAtMs >= lastAnswerAtMs && nowMs - sentAtMs >= StateConstants.REQUEST_OVERDUE_MS) {
        overdueRequests++;
      }
    }
    if (overdueRequests == 0) {
      return Status.RESPONSIVE;
    }
    return overdueRequests < StateConstants.MIN_OVERDUE_UNRESPONSIVE
        ? Status.SUSPECT
        : Status.UNRESPONSIVE;
  }

  /**
   * The time until the next outstanding request may become overdue, ms; {@link
   * StateConstants#REQUEST_OVERDUE_MS} if there is none.
   */
  public long msUntilOverdue(long nowMs) {
    for (long sentAtMs : sentAtMsById.values()) {
      long leftMs = sentAtMs + StateConstants.REQUEST_OVERDUE_MS - nowMs;
      if (sentAtMs >= lastAnswerAtMs && leftMs > 0) {
        return leftMs;
      }
    }
    return StateConstants.REQUEST_OVERDUE_MS;
  }

  /** True while requests wait for their answers. */
  public boolean hasOutstandingRequests() {
    return !sentAtMsById.isEmpty();
  }

  /**
   * The time after which a transaction without an answer is worth sending again, ms: several times
   * the average latency, since a slow service would otherwise be sent the requests of waiting users
   * several times: submissions and queries up to {@link JobConstants#MAX_SENDS} times,
   * cancellations up to {@link JobConstants#MAX_CANCEL_TRIES} times.
   */
  public long overdueAfterMs() {
    return Math.max(
        StateConstants.MIN_TXN_OVERDUE_MS,
        (long) (averageLatencyMs * StateConstants.TXN_OVERDUE_LATENCIES));
  }

  /** When the service last served a request, ms of the clock that callers pass. */
  public long lastServedAtMs() {
    return lastServedAtMs;
  }

  /**
   * How long the service has not served a request, ms; 0 if no request has failed since it served
   * one.
   */
  public long failingForMs(long nowMs) {
    return lastFailureAtMs > lastServedAtMs ? nowMs - lastServedAtMs : 0;
  }
}
