package fennelthread.fleet;

import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.net.EventLoop;
import java.util.function.Consumer;

/** Sends the leader's requests to workers, directly or through a peer controller. */
@FunctionalInterface
public interface CommandTransport {
  /**
   * Sends a request to a worker; the callbacks follow the contract of {@link EventLoop#call}.
   *
   * @param address the worker's address, host and port
   * @param timeoutMs the longest wait for the answer, ms
   * @param done receives the answer, or null if none arrived
   * @param unsent called instead if nothing of the request was sent
   */
  void send(
      Machine machine,
      String address,
      Call call,
      long timeoutMs,
      Consumer<Answer> done,
      EventLoop.Unsent unsent);
}
