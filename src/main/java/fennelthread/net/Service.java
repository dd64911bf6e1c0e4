package fennelthread.net;

import java.util.function.Consumer;

/** Serves requests; {@code reply} is called once, at once or later, on the same thread. */
@FunctionalInterface
public interface Service {
  /** Handles one request. */
  void handle(Request request, Consumer<Answer> reply);
}
