package fennelthread.api;

import fennelthread.constants.ApiConstants;
import fennelthread.net.Answer;
import fennelthread.net.EventLoop;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates answers with status 503 for users and logs how many there were for each cause. They are
 * logged in one line per {@link ApiConstants#UNAVAILABLE_LOG_MS}, since an outage causes thousands.
 */
final class UnavailableAnswers {
  private static final Logger log = LoggerFactory.getLogger(UnavailableAnswers.class);

  private final EventLoop eventLoop;
  private final Map<String, Integer> countsByCause = new TreeMap<>();

  UnavailableAnswers(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Counts a cause and returns an answer with the shortest {@code Retry-After}. */
  Answer answer(String cause) {
    count(cause);
    return Answer.later(503, cause, ApiConstants.RETRY_AFTER_S);
  }

  /** Counts an answer with status 503 that the caller creates itself. */
  void count(String cause) {
    if (countsByCause.isEmpty()) {
      eventLoop.after(ApiConstants.UNAVAILABLE_LOG_MS, this::logCounts);
    }
    countsByCause.merge(cause, 1, Integer::sum);
  }

  private void logCounts() {
    String counts =
        countsByCause.entrySet().stream()
            .map(entry -> entry.getKey() + ":" + entry.getValue())
            .collect(Collectors.joining(";"));
    log.info("user requests answered with status 503 countsByCause={}", counts);
    countsByCause.clear();
  }
}
