package fennelthread.state;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * The callers that wait until the replica is as current as of a time. Used on the event loop's
 * thread only.
 */
final class CurrencyRequests {
  /** A caller that waits; the time is in ms of the event loop's clock. */
  private record CurrencyRequest(long asOfMs, Consumer<Boolean> done) {}

  private final List<CurrencyRequest> waiting = new ArrayList<>();

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  void add(long asOfMs, Consumer<Boolean> done) {
    waiting.add(new CurrencyRequest(asOfMs, done));
  }

  /** Answers the callers whose time is not after {@code currentAsOfMs} with true. */
  void answerReached(long currentAsOfMs) {
    List<CurrencyRequest> reached = new ArrayList<>(0);
    waiting.removeIf(request -> request.asOfMs <= currentAsOfMs && reached.add(request));
    reached.forEach(request -> request.done.accept(true));
  }

  /** Answers all callers with false. */
  void failAll() {
    List<CurrencyRequest> failed = List.copyOf(waiting);
    waiting.clear();
    failed.forEach(request -> request.done.accept(false));
  }
}
