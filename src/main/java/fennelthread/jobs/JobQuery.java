package fennelthread.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A query for one job's state, with the callers that share it. */
final class JobQuery {
  private final String id;
  private final List<OnceConsumer<LookupResult>> callers = new ArrayList<>();
  private int sends;

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

  /** In how many transactions the query was sent so far. */
  int sends() {
    return sends;
  }

  void countSend() {
    sends++;
  }

  /** Takes over the callers of an earlier query for the same job, with its count of sendings. */
  void merge(JobQuery earlier) {
    sends = Math.max(sends, earlier.sends);
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
