package fennelthread.net;

import java.util.function.Consumer;

/** Serves HTTP requests on the event loop's thread. */
@FunctionalInterface
public interface Service {
  /**
   * Handles one request.
   *
   * @param reply receives the answer, once, during this call or later on the same thread
   */
  void handle(Request request, Consumer<Answer> reply);
}
