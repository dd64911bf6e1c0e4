package fennelthread.emulate;

import fennelthread.constants.EmulationConstants;
import fennelthread.net.Answer;
import fennelthread.net.Call;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * The users' way to the controllers: a health check a second, a healthy controller for each
 * request, another one if it takes no connection. Runs on its loop's thread.
 */
final class ControllerDirectory {
  private static final class Controller {
    final String address;
    final ArrayDeque<HttpClientConnection> idle = new ArrayDeque<>();
    final HttpClientConnection probe;
    int successes;
    int failures;
    boolean healthy;

    Controller(SelectorLoop loop, String address) {
      this.address = address;
      this.probe = new HttpClientConnection(loop, null, address);
    }

    void probed(boolean good) {
      successes = good ? successes + 1 : 0;
      failures = good ? 0 : failures + 1;
      if (successes >= EmulationConstants.HEALTHY_THRESHOLD) {
        healthy = true;
      } else if (failures >= EmulationConstants.UNHEALTHY_THRESHOLD) {
        healthy = false;
      }
    }
  }

  private final SelectorLoop loop;
  private final RandomGenerator random;
  private final List<Controller> controllers = new ArrayList<>();
  private volatile int healthy;

  ControllerDirectory(SelectorLoop loop, RandomGenerator random, List<String> addresses) {
    this.loop = loop;
    this.random = random;
    addresses.forEach(a -> controllers.add(new Controller(loop, a)));
  }

  /** Begins to check controllers' health. */
  void start() {
    loop.every(EmulationConstants.HEALTH_CHECK_INTERVAL_MS, this::probe);
  }

  /** How many controllers are healthy. */
  int healthy() {
    return healthy;
  }

  private void probe() {
    for (Controller c : controllers) {
      if (!c.probe.isBusy()) {
        c.probe.call(
            Call.get("/up"),
            EmulationConstants.HEALTH_CHECK_INTERVAL_MS,
            answer -> {
              c.probed(answer != null && answer.status() == 200);
              healthy = (int) controllers.stream().filter(o -> o.healthy).count();
            });
      }
    }
  }

  /** Sends a request to a healthy controller; {@code done} gets null if there was no answer. */
  void call(Call call, long timeoutMs, Consumer<Answer> done) {
    List<Controller> candidates = new ArrayList<>();
    for (Controller c : controllers) {
      if (c.healthy) {
        candidates.add(random.nextInt(candidates.size() + 1), c);
      }
    }
    attempt(candidates, call, timeoutMs, done);
  }

  private void attempt(
      List<Controller> candidates, Call call, long timeoutMs, Consumer<Answer> done) {
    if (candidates.isEmpty()) {
      loop.after(0, () -> done.accept(null));
      return;
    }
    Controller to = candidates.get(0);
    HttpClientConnection idle = to.idle.poll();
    HttpClientConnection connection =
        idle == null ? new HttpClientConnection(loop, null, to.address) : idle;
    connection.call(
        call,
        timeoutMs,
        answer -> {
          if (answer != null && to.idle.size() < EmulationConstants.MAX_IDLE_CONNECTIONS) {
            to.idle.push(connection);
          } else {
            connection.close();
          }
          if (answer == null && connection.failedToConnect()) {
            attempt(candidates.subList(1, candidates.size()), call, timeoutMs, done);
          } else {
            done.accept(answer);
          }
        });
  }
}
