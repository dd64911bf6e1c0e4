package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.net.EventLoop;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * What happens to many machines at once, as one line a second. A line for each once came to 150 a
 * second, and writing them took processor time that the leader needed.
 */
final class AggregatedLog {
  private static final class Count {
    final Set<String> machines = new LinkedHashSet<>();
    int events;
  }

  private final EventLoop eventLoop;
  private final Consumer<String> log;
  private final Map<String, Count> counts = new LinkedHashMap<>();

  /** Creates a tally; {@code log} gets its lines. */
  AggregatedLog(EventLoop eventLoop, Consumer<String> log) {
    this.eventLoop = eventLoop;
    this.log = log;
  }

  /** Something happened to a machine, so many times. */
  void add(String what, String machine, int times) {
    if (counts.isEmpty()) {
      eventLoop.after(FleetConstants.TALLY_MS, this::flush);
    }
    Count count = counts.computeIfAbsent(what, k -> new Count());
    count.machines.add(machine);
    count.events += times;
  }

  private void flush() {
    counts.forEach((what, count) -> log.accept(line(what, count)));
    counts.clear();
  }

  private static String line(String what, Count count) {
    StringBuilder line = new StringBuilder(what).append(": ");
    if (count.events != count.machines.size()) {
      line.append(count.events).append(" on ");
    }
    line.append(count.machines.size())
        .append(count.machines.size() == 1 ? " machine (" : " machines (");
    int named = 0;
    for (String machine : count.machines) {
      if (named == FleetConstants.TALLY_NAMES) {
        line.append(", ...");
        break;
      }
      line.append(named++ == 0 ? "" : ", ").append(machine);
    }
    return line.append(')').toString();
  }
}
