package fennelthread.jobs;

import java.util.function.Consumer;

/** Hands on the first answer only: a request that is sent again may be answered twice. */
final class OnceConsumer<T> implements Consumer<T> {
  private final Consumer<T> done;
  private boolean given;

  OnceConsumer(Consumer<T> done) {
    this.done = done;
  }

  /** True once an answer was handed on. */
  boolean isGiven() {
    return given;
  }

  @Override
  public void accept(T answer) {
    if (!given) {
      given = true;
      done.accept(answer);
    }
  }
}
