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
 * A bounded search through the states of a small model, breadth first: whatever may happen next
 * does, in every order, so that the first bad state found has the shortest way to it.
 *
 * @param <S> a state, never changed once it was handed over
 */
public final class Search<S> {

  /** One thing that may happen, and what is then. */
  public record Step<S>(String what, S next) {}

  /**
   * What came of it: the shortest way to a bad state, null if none was found, and how many were
   * seen.
   */
  public record Result(List<String> trace, int states) {}

  private record Origin(String from, String by) {}

  private final Function<S, String> key;
  private final Function<S, List<Step<S>>> steps;
  private final Predicate<S> bad;

  /** Creates a search; states with equal keys are the same. */
  public Search(Function<S, String> key, Function<S, List<Step<S>>> steps, Predicate<S> bad) {
    this.key = key;
    this.steps = steps;
    this.bad = bad;
  }

  /** Looks at all sequences of at most so many steps. */
  public Result run(S first, int depth) {
    Map<String, Origin> cameFrom = new HashMap<>();
    ArrayDeque<S> queue = new ArrayDeque<>();
    cameFrom.put(key.apply(first), new Origin(null, null));
    queue.add(first);
    for (int done = 0; done <= depth && !queue.isEmpty(); done++) {
      for (int left = queue.size(); left > 0; left--) {
        S state = queue.poll();
        String at = key.apply(state);
        if (bad.test(state)) {
          return new Result(trace(cameFrom, at), cameFrom.size());
        }
        if (done == depth) {
          continue;
        }
        for (Step<S> step : steps.apply(state)) {
          if (cameFrom.putIfAbsent(key.apply(step.next), new Origin(at, step.what)) == null) {
            queue.add(step.next);
          }
        }
      }
    }
    return new Result(null, cameFrom.size());
  }

  private static List<String> trace(Map<String, Origin> cameFrom, String to) {
    List<String> trace = new ArrayList<>();
    for (Origin o = cameFrom.get(to); o.from != null; o = cameFrom.get(o.from)) {
      trace.add(o.by);
    }
    Collections.reverse(trace);
    return trace;
  }
}
