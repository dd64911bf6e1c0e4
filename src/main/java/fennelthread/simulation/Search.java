package fennelthread.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * A bounded breadth-first search through the states of a small model. It explores every order of
 * the possible steps, so that the trace to the first bad state found is a shortest one.
 *
 * @param <S> the state, which must not change once it is passed to the search
 */
public final class Search<S> {

  /**
   * A possible step of the model.
   *
   * @param description description of the step, used in traces
   * @param next state after the step
   */
  public record Step<S>(String description, S next) {}

  /**
   * The result of a search.
   *
   * @param trace steps of a shortest path to a bad state, or null if none was found
   * @param states number of distinct states seen
   */
  public record Result(List<String> trace, int states) {}

  private record Origin(String fromKey, String step) {}

  private final Function<S, String> key;
  private final Function<S, List<Step<S>>> steps;
  private final Predicate<S> isBad;

  /** Creates a search; states with equal keys count as the same state. */
  public Search(Function<S, String> key, Function<S, List<Step<S>>> steps, Predicate<S> isBad) {
    this.key = key;
    this.steps = steps;
    this.isBad = isBad;
  }

  /** Explores all sequences of at most {@code depth} steps from the first state. */
  public Result run(S first, int depth) {
    Map<String, Origin> origins = new HashMap<>();
    ArrayDeque<S> queue = new ArrayDeque<>();
    origins.put(key.apply(first), new Origin(null, null));
    queue.add(first);
    for (int stepsDone = 0; stepsDone <= depth && !queue.isEmpty(); stepsDone++) {
      for (int remaining = queue.size(); remaining > 0; remaining--) {
        S state = queue.poll();
        String stateKey = key.apply(state);
        if (isBad.test(state)) {
          return new Result(trace(origins, stateKey), origins.size());
        }
        if (stepsDone == depth) {
          continue;
        }
        for (Step<S> step : steps.apply(state)) {
          if (origins.putIfAbsent(key.apply(step.next), new Origin(stateKey, step.description))
              == null) {
            queue.add(step.next);
          }
        }
      }
    }
    return new Result(null, origins.size());
  }

  private static List<String> trace(Map<String, Origin> origins, String to) {
    List<String> trace = new ArrayList<>();
    for (Origin origin = origins.get(to);
        origin.fromKey != null;
        origin = origins.get(origin.fromKey)) {
      trace.add(origin.step);
    }
    Collections.reverse(trace);
    return trace;
  }
}
