package fennelthread.jobs;

import java.util.function.Consumer;

/** Passes on only the first result, since a request that is sent twice may be answered twice. */
final class OnceConsumer<T> implements Consumer<T> {
  private final Consumer<T> delegate;
  private boolean isCalled;

  OnceConsumer(Consumer<T> delegate) {
    this.delegate = delegate;
  }

  /** True once a result was passed on. */
  boolean isCalled() {
    return isCalled;
  }

  @Override
  public void accept(T result) {
    if (!isCalled) {
      isCalled = true;
      delegate.accept(result);
    }
  }
}
