package fennelthread.api;

import fennelthread.constants.ApiConstants;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes the answers of 503 to users, and logs how many were made for each cause: one line for all
 * of {@link ApiConstants#UNAVAILABLE_LOG_MS}, since an outage makes thousands.
 */
final class UnavailableAnswers {
  private static final Logger log = LoggerFactory.getLogger(UnavailableAnswers.class);

  private final EventLoop eventLoop;
  private final Map<String, Integer> countsByCause = new TreeMap<>();

  UnavailableAnswers(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Counts a cause, and gives an answer that asks to come back after the shortest time. */
  Answer answer(String cause) {
    count(cause);
    return Answer.later(503, cause, ApiConstants.RETRY_AFTER_S);
  }

  /** Counts an answer of 503 that is made elsewhere. */
  void count(String cause) {
    if (countsByCause.isEmpty()) {
      eventLoop.after(ApiConstants.UNAVAILABLE_LOG_MS, this::logCounts);
    }
    countsByCause.merge(cause, 1, Integer::sum);
  }

  private void logCounts() {
    log.info("user requests answered unavailable countsByCause={}", countsByCause);
    countsByCause.clear();
  }
}
