import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Users who submit jobs by the clock, each through a connection that a load balancer has picked. */
final class Users {
  private record Submission(Map<String, Object> body, long firstNanos, long notBeforeNanos) {}

  private final Controllers controllers;
  private final Record record;
  private final LinkedBlockingQueue<Submission> waiting = new LinkedBlockingQueue<>();
  private final AtomicInteger accepted = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger givenUp = new AtomicInteger();
  private final List<String> acceptedIds = new ArrayList<>();
  private volatile boolean done;

  Users(Controllers controllers, Record record, int threads) {
    this.controllers = controllers;
    this.record = record;
    for (int i = 0; i < threads; i++) {
      int node = i % controllers.api().size();
      Thread thread = new Thread(() -> run(node), "user-" + i);
      thread.setDaemon(true);
      thread.start();
    }
  }

  int accepted() {
    return accepted.get();
  }

  int refused() {
    return refused.get();
  }

  int givenUp() {
    return givenUp.get();
  }

  /** The ids of the jobs that were accepted, in the order of the answers. */
  List<String> acceptedIds() {
    synchronized (acceptedIds) {
      return List.copyOf(acceptedIds);
    }
  }

  void submit(Map<String, Object> body) {
    long now = System.nanoTime();
    waiting.add(new Submission(body, now, now));
  }

  /** No submission is sent any more. */
  void stop() {
    done = true;
  }

  private void run(int firstNode) {
    int node = firstNode;
    Http.Client client = new Http.Client(controllers.api().get(node));
    while (!done) {
      try {
        Submission next = waiting.poll(100, TimeUnit.MILLISECONDS);
        if (next == null) {
          continue;
        }
        long pauseNanos = next.notBeforeNanos - System.nanoTime();
        if (pauseNanos > 0) {
          waiting.add(next);
          Thread.sleep(5);
          continue;
        }
        String id = (String) next.body.get("name_id");
        int status = 0;
        try {
          status = client.call("POST", "/v1/jobs", next.body, 5_000).status();
        } catch (IOException e) {
          client.close();
          node = (node + 1) % controllers.api().size();
          client = new Http.Client(controllers.api().get(node));
        }
        record.add("submit", id + " at " + controllers.names().get(node) + " -> " + status);
        if (status == 200 || status == 201) {
          accepted.incrementAndGet();
          synchronized (acceptedIds) {
            acceptedIds.add(id);
          }
        } else if (status >= 400 && status < 500 && status != 429) {
          record.say("submit", id + " refused for good with " + status);
        } else if (System.nanoTime() - next.firstNanos > 60_000_000_000L) {
          givenUp.incrementAndGet();
        } else {
          refused.incrementAndGet();
          // A page allows 1 s or more; the answer's Retry-After is at most 10 s here.
          long pause = status == 503 ? 10_000_000_000L : 1_000_000_000L;
          waiting.add(new Submission(next.body, next.firstNanos, System.nanoTime() + pause));
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
