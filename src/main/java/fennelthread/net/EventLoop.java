package fennelthread.net;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Clocks, timers, randomness, heap and requests of a process. All callbacks run on one thread, so
 * that no state needs a lock. Tests replace it with a seeded simulation, so everything that could
 * make two runs differ goes through this interface.
 */
public interface EventLoop {

  /** A timer that can be cancelled. */
  interface Cancellable {
    /** Cancels the timer; does nothing if it has fired already. */
    void cancel();
  }

  /**
   * The monotonic clock, ms. The protocol relies on a bound on the drift between the clocks of two
   * processes: {@link fennelthread.constants.ProtocolConstants#MAX_CLOCK_DRIFT}.
   */
  long nowMs();

  /**
   * The wall clock, ms since 1970, for deadlines and for times that are stored or shown. It may be
   * set back, so no lease or timeout is measured by it.
   */
  long wallMs();

  /** Runs {@code task} once, {@code delayMs} from now; timers may fire late. */
  Cancellable after(long delayMs, Runnable task);

  /** The only random number generator of the process, seeded in tests. */
  RandomGenerator random();

  /** The heap of a process. */
  interface Heap {
    /** Bytes in use by objects, including unreachable ones that are not collected yet. */
    long usedBytes();

    /** The maximum size of the heap, bytes. */
    long mostBytes();

    /**
     * Runs a full garbage collection, after which {@link #usedBytes} counts little but reachable
     * objects. Blocks the thread for tens of milliseconds.
     */
    void collect();
  }

  /** The heap of this process, as the Java runtime reports it. */
  default Heap heap() {
    return new Heap() {
      @Override
      public long usedBytes() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
      }

      @Override
      public long mostBytes() {
        return Runtime.getRuntime().maxMemory();
      }

      @Override
      public void collect() {
        System.gc();
      }
    };
  }

  /** Called if nothing of a request was ever sent: it was not executed and never will be. */
  @FunctionalInterface
  interface Unsent {
    /**
     * Handles the end of such a request.
     *
     * @param wasTried false if this process did not try to connect to the other side itself; then
     *     the call says nothing about the other side
     */
    void over(boolean wasTried);
  }

  /**
   * Sends a request.
   *
   * @param address host and port
   * @param timeoutMs the longest wait for the answer, ms
   * @param done receives the answer, or null if there was none before the timeout, the connection
   *     failed, or the answer could not be read: then the request may have been executed, or may
   *     still be
   * @param unsent called instead of {@code done} if nothing of the request was ever sent
   */
  void call(String address, Call call, long timeoutMs, Consumer<Answer> done, Unsent unsent);

  /** Sends a request; {@code done} receives null also if nothing of it was ever sent. */
  default void call(String address, Call call, long timeoutMs, Consumer<Answer> done) {
    call(address, call, timeoutMs, done, wasTried -> done.accept(null));
  }
}
