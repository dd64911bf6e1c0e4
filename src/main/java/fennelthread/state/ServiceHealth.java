package fennelthread.state;

import fennelthread.constants.StateConstants;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Judges from requests and their answers whether the state service serves. One lost answer says
 * little: it counts against the service only if nothing was answered since that request was sent,
 * and only together with a second one. An answer of any status ends the suspicion. Pure: the time
 * is handed in.
 */
public final class ServiceHealth {
  /** What is thought of the service. */
  public enum Verdict {
    /** It answers, or has had no time to. */
    SERVING,
    /** One request is overdue and nothing was answered since it was sent: a second one tells. */
    DOUBTFUL,
    /** Several requests are overdue and nothing was answered since they were sent. */
    SILENT
  }

  private final Map<Long, Long> outstanding = new LinkedHashMap<>();
  private long lastTicket;
  private long answeredAtMs;
  private long servedAtMs;
  private long failedAtMs = -1;
  private int unansweredSinceAnswer;
  private double typicalMs;
  private long answered;
  private long unanswered;
  private long refused;

  /** Creates the judgement of a service that has not been asked yet. */
  public ServiceHealth(long nowMs) {
    this.answeredAtMs = nowMs;
    this.servedAtMs = nowMs;
  }

  /** A request leaves; gives the ticket by which its end is reported. */
  public long sent(long nowMs) {
    outstanding.put(++lastTicket, nowMs);
    return lastTicket;
  }

  /** A request was answered well, whatever its conditions came to. */
  public void served(long ticket, long nowMs) {
    end(ticket, nowMs);
    servedAtMs = nowMs;
  }

  /** A request was answered with 503: not executed. */
  public void refused(long ticket, long nowMs) {
    end(ticket, nowMs);
    failedAtMs = nowMs;
    refused++;
  }

  /** A request was answered with 429: the service is there and was asked too much. */
  public void busy(long ticket, long nowMs) {
    end(ticket, nowMs);
  }

  /** A request got no answer in its time. */
  public void unanswered(long ticket, long nowMs) {
    Long sentAt = outstanding.remove(ticket);
    unanswered++;
    failedAtMs = nowMs;
    if (sentAt != null && sentAt >= answeredAtMs) {
      unansweredSinceAnswer++;
    }
  }

  /** A request that is not timed, such as a watch, was answered well. */
  public void servedUntimed(long nowMs) {
    heard(nowMs);
    servedAtMs = nowMs;
  }

  private void heard(long nowMs) {
    answeredAtMs = nowMs;
    unansweredSinceAnswer = 0;
  }

  private void end(long ticket, long nowMs) {
    Long sentAt = outstanding.remove(ticket);
    answered++;
    heard(nowMs);
    if (sentAt != null) {
      double took = nowMs - sentAt;
      typicalMs += (took - typicalMs) * StateConstants.STATE_TYPICAL_WEIGHT;
    }
  }

  /** What is thought of the service now. */
  public Verdict verdict(long nowMs) {
    int evidence = unansweredSinceAnswer;
    for (long sentAt : outstanding.values()) {
      if (sentAt >= answeredAtMs && nowMs - sentAt >= StateConstants.STATE_OVERDUE_MS) {
        evidence++;
      }
    }
    if (evidence == 0) {
      return Verdict.SERVING;
    }
    return evidence < StateConstants.STATE_SILENT_REQUESTS ? Verdict.DOUBTFUL : Verdict.SILENT;
  }

  /** How long until a request may become overdue, ms. */
  public long untilOverdueMs(long nowMs) {
    for (long sentAt : outstanding.values()) {
      long left = sentAt + StateConstants.STATE_OVERDUE_MS - nowMs;
      if (sentAt >= answeredAtMs && left > 0) {
        return left;
      }
    }
    return StateConstants.STATE_OVERDUE_MS;
  }

  /** True while requests wait for their answers. */
  public boolean isWaiting() {
    return !outstanding.isEmpty();
  }

  /**
   * After how long an answer is worth asking for again, ms: several times what answers take, so
   * that a slow service is not asked three times for everything.
   */
  public long overdueMs() {
    return Math.max(
        StateConstants.ANSWER_OVERDUE_MS,
        (long) (typicalMs * StateConstants.STATE_OVERDUE_TYPICAL));
  }

  /** When the service last answered well, ms. */
  public long servedAtMs() {
    return servedAtMs;
  }

  /** How long it has not answered well, ms; 0 if its last answer was good. */
  public long failingForMs(long nowMs) {
    return failedAtMs > servedAtMs ? nowMs - servedAtMs : 0;
  }

  /** The counts, for a line of the log. */
  public String memoryUsage() {
    return answered + " answers, " + refused + " of them 503, " + unanswered + " missing";
  }
}
