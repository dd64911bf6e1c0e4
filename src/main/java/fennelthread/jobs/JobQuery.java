package fennelthread.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A query for one job's state, with the callers that share it. */
final class JobQuery {
  private final String id;
  private final List<OnceConsumer<LookupResult>> callers = new ArrayList<>();
  private int sendCount;

  JobQuery(String id) {
    this.id = id;
  }

  /** The job's id. */
  String id() {
    return id;
  }

  void addCaller(Consumer<LookupResult> caller) {
    callers.add(new OnceConsumer<>(caller));
  }

  /** The number of transactions in which the query has been sent so far. */
  int sendCount() {
    return sendCount;
  }

  void countSend() {
    sendCount++;
  }

  /**
   * Takes over the callers of an earlier query for the same job, and its send count if that is
   * higher.
   */
  void merge(JobQuery earlier) {
    sendCount = Math.max(sendCount, earlier.sendCount);
    callers.addAll(earlier.callers);
  }

  /** Gives the result to all callers that have none yet. */
  void answer(LookupResult found) {
    callers.forEach(caller -> caller.accept(found));
  }

  /** True if every caller has a result. */
  boolean isAnswered() {
    return callers.stream().allMatch(OnceConsumer::isCalled);
  }
}
