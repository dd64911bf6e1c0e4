package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/** What the walk over objects adds up is what the collector finds, within three percent. */
@EnabledIfSystemProperty(named = "slopes.file", matches = ".+")
class ObjectGraphTest {
  private static final int TASKS = 200_000;
  private static final int COLLECTIONS = 8;
  private static final double SHARE = 0.03;

  @Test
  void theGraphAgreesWithTheCollector() {
    // The first map is thrown away: what is made once only is there when it counts.
    new ObjectGraph().bytes(tasks());
    long before = liveBytes();
    Map<String, long[]> map = tasks();
    double collector = liveBytes() - before;
    double graph = new ObjectGraph().bytes(map);
    System.out.printf("graph %.0f bytes, collector %.0f%n", graph, collector);
    assertEquals(1, graph / collector, SHARE);
  }

  private static Map<String, long[]> tasks() {
    Map<String, long[]> map = new HashMap<>();
    for (int i = 0; i < TASKS; i++) {
      map.put("task-" + i, new long[i % 7]);
    }
    return map;
  }

  /** The least of several: only each fourth full collection leaves no dead objects in place. */
  private static long liveBytes() {
    Runtime runtime = Runtime.getRuntime();
    long least = Long.MAX_VALUE;
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
      least = Math.min(least, runtime.totalMemory() - runtime.freeMemory());
    }
    return least;
  }
}
