package fennelthread.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.simulation.Search;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Exhaustive search of the rules of failover in {@link TakeoverModel}: once a takeover was applied,
 * the previous leader must never conclude that it may start work. If any one rule is left out, the
 * search finds two leaders that may start work, and the test prints the shortest trace.
 */
class TakeoverModelTest {
  @Test
  void noTwoLeadersMayStartWork() {
    Search.Result result = TakeoverModel.search(TakeoverModel.OmittedRule.NOTHING);
    System.out.printf(
        "%d states in sequences of at most %d steps%n", result.states(), TakeoverModel.DEPTH);
    assertNull(result.trace(), () -> String.join("; ", result.trace()));
    assertTrue(result.states() > 10_000, result.states() + " states");
  }

  @ParameterizedTest
  @EnumSource(names = "NOTHING", mode = EnumSource.Mode.EXCLUDE)
  void eachRuleIsNeeded(TakeoverModel.OmittedRule omitted) {
    Search.Result result = TakeoverModel.search(omitted);
    assertTrue(
        result.trace() != null,
        "without " + omitted + " no violation is found in " + result.states() + " states");
    System.out.printf(
        "without %s, %d steps: %s%n",
        omitted, result.trace().size(), String.join("; ", result.trace()));
  }

  /** The leader agrees to no takeover, so that a majority comes from the followers alone. */
  @Test
  void majorityAndRequiredPromisesOverlap() {
    for (int controllers = 2; controllers <= 9; controllers++) {
      assertTrue(
          LeadershipPromises.majority(controllers) + promisesThatProtect(controllers)
              > controllers - 1,
          controllers + " controllers");
    }
    assertEquals(
        List.of(2, 2, 3, 3, 4),
        Arrays.asList(2, 3, 4, 5, 6).stream().map(LeadershipPromises::majority).toList());
  }

  /** The number of followers whose promises protect a leader. */
  private static int promisesThatProtect(int controllers) {
    LeadershipPromises promises = new LeadershipPromises(controllers);
    promises.beginEpoch(1);
    int count = 0;
    while (promises.protectedUntilMs() == Long.MIN_VALUE) {
      promises.recordPromise("follower-" + count, 1, 1_000);
      count++;
    }
    return count;
  }
}
