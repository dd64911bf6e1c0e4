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
 * A queue of simulated events, ordered by time and then by insertion. Events within the next {@link
 * SimulationConstants#EVENT_WINDOW_MS} are kept in one slot per millisecond, so that adding and
 * taking an event takes constant time however many are queued; most of the queued events are
 * timeouts of requests that have been answered already.
 */
final class EventQueue {
  private record LaterEvent(long atMs, long insertionOrder, Runnable task) {}

  private final List<ArrayDeque<Runnable>> slots =
      new ArrayList<>(Collections.nCopies(SimulationConstants.EVENT_WINDOW_MS, null));
  private final BitSet usedSlots = new BitSet(SimulationConstants.EVENT_WINDOW_MS);
  private final PriorityQueue<LaterEvent> laterEvents =
      new PriorityQueue<>(
          Comparator.comparingLong(LaterEvent::atMs).thenComparingLong(LaterEvent::insertionOrder));
  private long windowStartMs;
  private long insertionOrder;

  /** Adds an event; its time must not be before that of the event taken last. */
  void add(long atMs, Runnable task) {
    if (atMs < windowStartMs + SimulationConstants.EVENT_WINDOW_MS) {
      addToSlot(atMs, task);
    } else {
      laterEvents.add(new LaterEvent(atMs, insertionOrder++, task));
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
    usedSlots.set(index);
  }

  /** The time of the next event, or {@link Long#MAX_VALUE} if there is none. */
  long nextMs() {
    int start = (int) (windowStartMs & (SimulationConstants.EVENT_WINDOW_MS - 1));
    int index = usedSlots.nextSetBit(start);
    if (index < 0) {
      index = usedSlots.nextSetBit(0);
    }
    if (index >= 0) {
      return windowStartMs + ((index - start) & (SimulationConstants.EVENT_WINDOW_MS - 1));
    }
    return laterEvents.isEmpty() ? Long.MAX_VALUE : laterEvents.peek().atMs;
  }

  /** Removes and returns the next event; the queue must not be empty. */
  Runnable poll() {
    moveWindow(nextMs());
    int index = (int) (windowStartMs & (SimulationConstants.EVENT_WINDOW_MS - 1));
    ArrayDeque<Runnable> slot = slots.get(index);
    Runnable task = slot.poll();
    if (slot.isEmpty()) {
      usedSlots.clear(index);
    }
    return task;
  }

  /**
   * Moves the window, and all later events that now fall into it. Events of one time move together,
   * in insertion order, before any newer event can be added to their slot.
   */
  private void moveWindow(long startMs) {
    windowStartMs = startMs;
    while (!laterEvents.isEmpty()
        && laterEvents.peek().atMs < windowStartMs + SimulationConstants.EVENT_WINDOW_MS) {
      LaterEvent event = laterEvents.poll();
      addToSlot(event.atMs, event.task);
    }
  }
}
