package fennelthread.simulation;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;

/** Plays tests with many seeds, given by {@code -Dsim.from} and {@code -Dsim.to}. */
final class Soak {
  private Soak() {}

  /** Plays every case with every seed; gives a line for each that failed. */
  static List<String> run(Map<String, LongConsumer> cases) {
    return LongStream.rangeClosed(Long.getLong("sim.from"), Long.getLong("sim.to"))
        .boxed()
        .flatMap(seed -> cases.entrySet().stream().map(e -> Map.entry(e, seed)))
        .toList()
        .parallelStream()
        .map(e -> failure(e.getKey().getKey(), e.getKey().getValue(), e.getValue()))
        .filter(Objects::nonNull)
        .sorted()
        .toList();
  }

  private static String failure(String name, LongConsumer test, long seed) {
    try {
      test.accept(seed);
      return null;
    } catch (AssertionError | RuntimeException e) {
      return name + " seed " + seed + ": " + e;
    }
  }
}
