package fennelthread.api;

import fennelthread.constants.ApiConstants;
import fennelthread.net.EventLoop;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts the users that are told to come back, by cause, and logs a line now and then. */
final class Refusals {
  private static final Logger log = LoggerFactory.getLogger(Refusals.class);

  private final EventLoop eventLoop;
  private final Map<String, Integer> counts = new TreeMap<>();

  Refusals(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** A user was told to come back. */
  void add(String cause) {
    if (counts.isEmpty()) {
      eventLoop.after(
          ApiConstants.REFUSALS_LOG_MS,
          () -> {
            log.info("users told to come back: {}", counts);
            counts.clear();
          });
    }
    counts.merge(cause, 1, Integer::sum);
  }
}
