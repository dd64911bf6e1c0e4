package fennelthread.simulation;

import fennelthread.constants.SimulationConstants;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A queue of simulated events, ordered by time and then by when they were added. Events of the next
 * seconds stand in one slot per millisecond, so that adding and taking one costs the same however
 * many there are; most are timeouts that nothing comes of.
 */
final class EventQueue {
  private record Later(long atMs, long order, Runnable task) {}

  private final List<ArrayDeque<Runnable>> slots =
      new ArrayList<>(Collections.nCopies(SimulationConstants.EVENT_WINDOW_MS, null));
  private final BitSet used = new BitSet(SimulationConstants.EVENT_WINDOW_MS);
  private final PriorityQueue<Later> later =
      new PriorityQueue<>(Comparator.comparingLong(Later::atMs).thenComparingLong(Later::order));
  private long windowStartMs;
  private long order;

  /** Adds an event; its time is not before that of the event taken last. */
  void add(long atMs, Runnable task) {
    if (atMs < windowStartMs + SimulationConstants.EVENT_WINDOW_MS) {
      addToSlot(atMs, task);
    } else {
      later.add(new Later(atMs, order++, task));
    }
  }

  private void addToSlot(long atMs, Runnable task) {
    int index = (int) (atMs & (SimulationConstants.EVENT_WINDOW_MS - 1));
    ArrayDeque<Runnable> slot = slots.get(index);
    if (slot == null) {
      slot = new ArrayDeque<>(4);
      slots.set(index, slot);
    }
    slot.add(task);
    used.set(index);
  }

  /** The time of the next event, or {@link Long#MAX_VALUE} if there is none. */
  long nextMs() {
    int start = (int) (windowStartMs & (SimulationConstants.EVENT_WINDOW_MS - 1));
    int index = used.nextSetBit(start);
    if (index < 0) {
      index = used.nextSetBit(0);
    }
    if (index >= 0) {
      return windowStartMs + ((index - start) & (SimulationConstants.EVENT_WINDOW_MS - 1));
    }
    return later.isEmpty() ? Long.MAX_VALUE : later.peek().atMs;
  }

  /** Takes the next event; there is one. */
  Runnable poll() {
    moveWindow(nextMs());
    int index = (int) (windowStartMs & (SimulationConstants.EVENT_WINDOW_MS - 1));
    ArrayDeque<Runnable> slot = slots.get(index);
    Runnable task = slot.poll();
    if (slot.isEmpty()) {
      used.clear(index);
    }
    return task;
  }

  /** All events of a time pass into the window at once, so that none overtakes an earlier one. */
  private void moveWindow(long startMs) {
    windowStartMs = startMs;
    while (!later.isEmpty()
        && later.peek().atMs < windowStartMs + SimulationConstants.EVENT_WINDOW_MS) {
      Later event = later.poll();
      addToSlot(event.atMs, event.task);
    }
  }
}
