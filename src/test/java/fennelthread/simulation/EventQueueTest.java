package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Compares the order of {@link EventQueue} with that of a {@link PriorityQueue} by time and then by
 * insertion.
 */
class EventQueueTest {
  private record Event(long atMs, int number) {}

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void eventsAreOrderedByTimeThenByInsertion(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    EventQueue queue = new EventQueue();
    PriorityQueue<Event> reference =
        new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingInt(Event::number));
    List<Integer> taken = new ArrayList<>();
    long now = 0;
    for (int number = 0; number < 50_000; number++) {
      int added = number;
      long maxDelayMs = random.nextInt(4) == 0 ? 40_000 : 20;
      Event event = new Event(now + random.nextLong(maxDelayMs), number);
      queue.add(event.atMs(), () -> taken.add(added));
      reference.add(event);
      if (random.nextInt(100) < 95) {
        Event expected = reference.poll();
        assertEquals(expected.atMs(), queue.nextMs());
        queue.poll().run();
        assertEquals(expected.number(), taken.get(taken.size() - 1));
        now = expected.atMs() + (random.nextInt(1_000) == 0 ? random.nextLong(30_000) : 0);
        now = reference.isEmpty() ? now : Math.min(now, reference.peek().atMs());
      }
    }
    while (!reference.isEmpty()) {
      queue.poll().run();
      assertEquals(reference.poll().number(), taken.get(taken.size() - 1));
    }
    assertEquals(Long.MAX_VALUE, queue.nextMs());
  }
}
