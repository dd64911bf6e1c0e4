package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.net.EventLoop;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * A thread with a selector, timers and a queue of tasks. Everything that is registered with it runs
 * on that thread, so that its state needs no lock. It replaces the service's own event loop here
 * because thousands of emulated machines need a listening socket and a connection each.
 */
final class SelectorLoop {
  /** Told that a channel can be read, written, accepted or has connected. */
  @FunctionalInterface
  interface ChannelHandler {
    void ready(SelectionKey key) throws IOException;
  }

  private static final class Timer implements Comparable<Timer>, EventLoop.Cancellable {
    final long dueNanos;
    final long order;
    Runnable task;

    Timer(long dueNanos, long order, Runnable task) {
      this.dueNanos = dueNanos;
      this.order = order;
      this.task = task;
    }

    @Override
    public void cancel() {
      task = null;
    }

    @Override
    public int compareTo(Timer other) {
      int byTime = Long.compare(dueNanos, other.dueNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final Selector selector;
  private final Thread thread;
  private final Queue<Runnable> submitted = new ConcurrentLinkedQueue<>();
  private final PriorityQueue<Timer> timers = new PriorityQueue<>();
  private final ByteBuffer readBuffer =
      ByteBuffer.allocateDirect(EmulationConstants.READ_BUFFER_BYTES);
  private long timersMade;
  private volatile long longestDelayNanos;
  private volatile boolean stopped;

  /** Creates the loop; its thread runs from {@link #start} on. */
  SelectorLoop(String name) throws IOException {
    selector = Selector.open();
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  /** Starts the thread. */
  void start() {
    thread.start();
  }

  /** Ends the thread after what it is doing; open channels are left to the end of the process. */
  void stop() {
    stopped = true;
    selector.wakeup();
  }

  /** Runs a task on the loop's thread; may be called from any thread. */
  void execute(Runnable task) {
    submitted.add(task);
    selector.wakeup();
  }

  /** Runs a task after a delay; only on the loop's thread. */
  EventLoop.Cancellable after(long delayMs, Runnable task) {
    long due = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Math.max(0, delayMs));
    Timer timer = new Timer(due, timersMade++, task);
    timers.add(timer);
    return timer;
  }

  /** Runs a task again and again, first after one interval; only on the loop's thread. */
  void every(long intervalMs, Runnable task) {
    after(
        intervalMs,
        () -> {
          every(intervalMs, task);
          task.run();
        });
  }

  /** The longest time by which a timer came late, ms: how badly this thread lacked a core. */
  long longestDelayMs() {
    return TimeUnit.NANOSECONDS.toMillis(longestDelayNanos);
  }

  /** Milliseconds of the steady clock, the same in all processes of this machine. */
  static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Watches a channel, which must not block; only on the loop's thread. */
  SelectionKey register(SelectableChannel channel, int operations, ChannelHandler handler)
      throws IOException {
    return channel.register(selector, operations, handler);
  }

  /** A buffer that one handler may use until it returns. */
  ByteBuffer readBuffer() {
    return readBuffer.clear();
  }

  private void run() {
    while (!stopped) {
      try {
        selector.select(this::dispatch, millisToNextTimer());
      } catch (IOException e) {
        throw new IllegalStateException("the selector failed", e);
      }
      runSubmitted();
      runTimers();
    }
  }

  private long millisToNextTimer() {
    if (!submitted.isEmpty()) {
      return 1;
    }
    Timer next = timers.peek();
    if (next == null) {
      return EmulationConstants.MAX_SELECT_WAIT_MS;
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(next.dueNanos - System.nanoTime());
    return Math.min(EmulationConstants.MAX_SELECT_WAIT_MS, Math.max(1, millis + 1));
  }

  private void dispatch(SelectionKey key) {
    guarded(
        () -> {
          if (key.isValid()) {
            ((ChannelHandler) key.attachment()).ready(key);
          }
        });
  }

  private void runSubmitted() {
    for (Runnable task = submitted.poll(); task != null; task = submitted.poll()) {
      guarded(task::run);
    }
  }

  private void runTimers() {
    long now = System.nanoTime();
    for (Timer t = timers.peek(); t != null && t.dueNanos <= now; t = timers.peek()) {
      timers.poll();
      Runnable task = t.task;
      if (task != null) {
        longestDelayNanos = Math.max(longestDelayNanos, now - t.dueNanos);
        t.task = null;
        guarded(task::run);
      }
    }
  }

  @FunctionalInterface
  private interface Step {
    void run() throws IOException;
  }

  /** One handler's mistake must not end the thread; it is printed, since it falsifies the run. */
  private static void guarded(Step step) {
    try {
      step.run();
    } catch (IOException | RuntimeException e) {
      System.err.println("emulation: a handler failed");
      e.printStackTrace();
    }
  }
}
