package fennelthread.jobs;

import java.util.function.Consumer;

/** Passes on the first result only: a request that is sent twice may be answered twice. */
final class OnceConsumer<T> implements Consumer<T> {
  private final Consumer<T> delegate;
  private boolean called;

  OnceConsumer(Consumer<T> delegate) {
    this.delegate = delegate;
  }

  /** True once a result was passed on. */
  boolean isCalled() {
    return called;
  }

  @Override
  public void accept(T result) {
    if (!called) {
      called = true;
      delegate.accept(result);
    }
  }
}
