package fennelthread.net;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * What a controller needs from the machine it runs on. Everything is called back on one thread, so
 * that no state needs a lock; in tests a seeded simulation takes the place of the machine.
 */
public interface EventLoop {

  /** Something that can be called off. */
  interface Cancellable {
    /** Calls it off; does nothing if it has happened already. */
    void cancel();
  }

  /** The steady clock in milliseconds; it may run fast by the protocol's bound. */
  long nowMs();

  /** The time of day in milliseconds, for deadlines and display only. */
  long wallMs();

  /** Runs {@code task} after {@code delayMs}. */
  Cancellable after(long delayMs, Runnable task);

  /** The source of all randomness. */
  RandomGenerator random();

  /** The memory that our objects live in. */
  interface Heap {
    /** Bytes in use, garbage included. */
    long usedBytes();

    /** Bytes that may be in use. */
    long mostBytes();

    /** Removes the garbage now: what is used afterwards lives. Takes tens of milliseconds. */
    void collect();
  }

  /** The heap of this process. */
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

  /** Told that nothing of a request was ever sent: it was not executed and never will be. */
  @FunctionalInterface
  interface Unsent {
    /** {@code tried} is false if we had no socket left: that says nothing of the other side. */
    void over(boolean tried);
  }

  /**
   * Sends a request. {@code done} gets the answer, or null if there was none in time: then the
   * request may have been executed, or may still be. If nothing of it was ever sent, {@code unsent}
   * is told instead.
   */
  void call(String address, Call call, long timeoutMs, Consumer<Answer> done, Unsent unsent);

  /** Sends a request whose sender need not know whether an unanswered one was sent at all. */
  default void call(String address, Call call, long timeoutMs, Consumer<Answer> done) {
    call(address, call, timeoutMs, done, tried -> done.accept(null));
  }
}
