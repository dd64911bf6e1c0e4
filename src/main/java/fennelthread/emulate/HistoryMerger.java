package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

/**
 * Brings the events of several processes into the order of their times. Each source says up to when
 * it has told everything; an event is handed on once no source can tell of an earlier one.
 */
final class HistoryMerger {
  /** One source of events, whose times must not fall; used by one thread. */
  static final class Source {
    private final Queue<HistoryEvent> events = new ConcurrentLinkedQueue<>();
    private volatile long toldUntilNanos = Long.MIN_VALUE;

    /** Adds an event. */
    void add(HistoryEvent event) {
      events.add(event);
      toldUntilNanos = event.nanos();
    }

    /** Says that nothing earlier than this will be added. */
    void toldUntil(long nanos) {
      toldUntilNanos = Math.max(toldUntilNanos, nanos);
    }

    /** Says that nothing will be added any more. */
    void end() {
      toldUntilNanos = Long.MAX_VALUE;
    }
  }

  private record Ordered(HistoryEvent event, long order) {}

  private final List<Source> sources = new ArrayList<>();
  private final PriorityQueue<Ordered> waiting =
      new PriorityQueue<>(
          Comparator.<Ordered>comparingLong(o -> o.event.nanos()).thenComparingLong(o -> o.order));
  private final Consumer<HistoryEvent> sink;
  private final LongConsumer clock;
  private long order;

  /**
   * Creates it without sources.
   *
   * @param sink gets the events in order
   * @param clock is told up to when everything was handed on
   */
  HistoryMerger(Consumer<HistoryEvent> sink, LongConsumer clock) {
    this.sink = sink;
    this.clock = clock;
  }

  /** Adds a source; before the first {@link #drain}. */
  Source source() {
    Source source = new Source();
    sources.add(source);
    return source;
  }

  /** Hands on what is in order; called by one thread again and again. */
  void drain() {
    long safe = Long.MAX_VALUE;
    for (Source source : sources) {
      // Read first: what is added between the two reads is later than this.
      safe = Math.min(safe, source.toldUntilNanos);
    }
    for (Source source : sources) {
      for (HistoryEvent e = source.events.poll(); e != null; e = source.events.poll()) {
        waiting.add(new Ordered(e, order++));
      }
    }
    while (!waiting.isEmpty() && waiting.peek().event.nanos() <= safe) {
      HistoryEvent event = waiting.poll().event;
      clock.accept(event.nanos());
      sink.accept(event);
    }
    if (safe != Long.MAX_VALUE && safe != Long.MIN_VALUE) {
      clock.accept(safe);
    }
  }

  /** Drains in a thread until it is interrupted, and once more. */
  Thread startDraining() {
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  drain();
                  Thread.sleep(EmulationConstants.DRAIN_INTERVAL_MS);
                }
              } catch (InterruptedException e) {
                drain();
              }
            },
            "history");
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
