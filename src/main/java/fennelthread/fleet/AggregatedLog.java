package fennelthread.fleet;

import fennelthread.constants.FleetConstants;
import fennelthread.net.EventLoop;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * A log of events that happen to many machines at once. It writes at most one line a second for
 * each kind of event: one line per event can amount to 150 lines a second, and writing them takes
 * processor time that the leader needs.
 */
final class AggregatedLog {

  /** Receives the lines of the log. */
  @FunctionalInterface
  interface LineWriter {
    void write(String line);
  }

  private static final class EventCount {
    final Set<String> machines = new LinkedHashSet<>();
    int events;
  }

  private final EventLoop eventLoop;
  private final LineWriter writer;
  private final Map<String, EventCount> counts = new LinkedHashMap<>();

  AggregatedLog(EventLoop eventLoop, LineWriter writer) {
    this.eventLoop = eventLoop;
    this.writer = writer;
  }

  /**
   * Records that an event has happened to a machine.
   *
   * @param event the first part of the line: the event, and keys and values that all its machines
   *     share
   * @param machine the machine's name
   * @param times how often it has happened
   */
  void add(String event, String machine, int times) {
    if (counts.isEmpty()) {
      eventLoop.after(FleetConstants.LOG_AGGREGATION_MS, this::flush);
    }
    EventCount count = counts.computeIfAbsent(event, k -> new EventCount());
    count.machines.add(machine);
    count.events += times;
  }

  private void flush() {
    counts.forEach((event, count) -> writer.write(formatLine(event, count)));
    counts.clear();
  }

  /** Formats one line: {@code <event> events=5 machines=3 names=n-1|n-2|n-3}. */
  private static String formatLine(String event, EventCount count) {
    StringBuilder line = new StringBuilder(event);
    line.append(" events=").append(count.events);
    line.append(" machines=").append(count.machines.size()).append(" names=");
    int named = 0;
    for (String machine : count.machines) {
      if (named == FleetConstants.LOG_MAX_NAMES) {
        line.append("|...");
        break;
      }
      line.append(named++ == 0 ? "" : "|").append(machine);
    }
    return line.toString();
  }
}
