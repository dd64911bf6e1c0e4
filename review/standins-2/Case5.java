import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A controller stands still for seconds while users submit, and cancel, jobs that each wait for many others. */
final class Case5 {
  private static final int NEEDED = 1_150;
  private static final int JOINING = 600;
  private static final int CANCELLED_PERCENT = 38;
  private static final long STILL_MS = 28_000;
  private static final long HANG_MS = 30_000;

  private Case5() {}

  public static void main(String[] args) throws Exception {
    Stage stage = new Stage(Path.of(args[0]), 2, 32.0, 256.0, "");
    stage.startControllers();
    int leader = stage.awaitLeader();
    int still = (leader + 1) % Stage.MEMBERS.length;
    int third = (leader + 2) % Stage.MEMBERS.length;
    List<String> needed = ids(100_000, NEEDED);
    if (submitAll(stage, needed, List.of(), 0, new int[] {leader, still, third}, 0, 30_000)
        < NEEDED) {
      stage.finish(2, "could not run: the jobs to wait for were not accepted");
    }
    stage.note("accepted " + NEEDED + " jobs");
    if (stage.trouble) {
      stage.signal(still, "STOP");
    }
    long stoppedAtMs = Stage.nowMs();
    int accepted =
        submitAll(
            stage,
            ids(200_000, JOINING),
            needed,
            CANCELLED_PERCENT,
            new int[] {leader, third},
            STILL_MS - 500,
            STILL_MS - 500);
    stage.note("accepted " + accepted + " jobs that wait for " + NEEDED + " others each");
    if (accepted < JOINING * 0.95) {
      stage.finish(2, "could not run: too few jobs were accepted in time");
    }
    Stage.sleep(stoppedAtMs + STILL_MS - Stage.nowMs());
    if (stage.trouble) {
      stage.signal(still, "CONT");
    }
    observe(stage, Stage.nowMs() + 62_000);
    stage.finish(0, "held: no controller ended by itself, and each answered");
  }

  /** Asks each controller for its health once a second, as the load balancer does. */
  private static void observe(Stage stage, long untilMs) {
    long[] answeredAtMs = new long[Stage.MEMBERS.length];
    for (int node = 0; node < Stage.MEMBERS.length; node++) {
      answeredAtMs[node] = Stage.nowMs();
    }
    while (Stage.nowMs() < untilMs) {
      for (int node = 0; node < Stage.MEMBERS.length; node++) {
        if (stage.exitCode(node) != null) {
          stage.finish(
              1,
              "broken: "
                  + Stage.MEMBERS[node]
                  + " ended by itself with exit code "
                  + stage.exitCode(node)
                  + " after "
                  + (Stage.nowMs() - answeredAtMs[node])
                  + " ms without an answer");
        }
        Http.Client client = new Http.Client(stage.api.get(Stage.MEMBERS[node]));
        Http.Answer answer = client.call("GET", "/up", null, 1_000);
        client.close();
        stage.note(
            "ask    /up at "
                + Stage.MEMBERS[node]
                + " -> "
                + (answer == null ? "no answer" : answer.status()));
        if (answer != null) {
          answeredAtMs[node] = Stage.nowMs();
        } else if (Stage.nowMs() - answeredAtMs[node] > HANG_MS
            && !endsSoon(stage, node, untilMs)) {
          stage.finish(
              1,
              "broken: "
                  + Stage.MEMBERS[node]
                  + " hangs: it answered nothing for "
                  + (Stage.nowMs() - answeredAtMs[node])
                  + " ms");
        }
      }
      Stage.sleep(300);
    }
  }

  /** Gives a controller that hangs the rest of the time to end by itself, so that the record tells which it was. */
  private static boolean endsSoon(Stage stage, int node, long untilMs) {
    while (Stage.nowMs() < untilMs && stage.exitCode(node) == null) {
      Http.Client client = new Http.Client(stage.api.get(Stage.MEMBERS[node]));
      boolean answers = client.call("GET", "/up", null, 1_000) != null;
      client.close();
      if (answers) {
        stage.note("ask    /up at " + Stage.MEMBERS[node] + " -> answered again");
        return false;
      }
    }
    return stage.exitCode(node) != null;
  }

  private static List<String> ids(int first, int count) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(String.format("job-%06d", first + i));
    }
    return ids;
  }

  /** Submits jobs from six users at once, evenly over a time; returns how many were accepted. */
  private static int submitAll(
      Stage stage,
      List<String> ids,
      List<String> needs,
      int cancelledPercent,
      int[] nodes,
      long overMs,
      long withinMs)
      throws InterruptedException {
    AtomicInteger next = new AtomicInteger();
    AtomicInteger accepted = new AtomicInteger();
    long fromMs = Stage.nowMs();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      Stage.User user = stage.new User(nodes[i % nodes.length]);
      threads.add(
          Http.daemon(
              "user",
              () -> {
                for (int n = next.getAndIncrement(); n < ids.size(); n = next.getAndIncrement()) {
                  Stage.sleep(fromMs + n * overMs / ids.size() - Stage.nowMs());
                  var job = stage.job(ids.get(n), 1, 400_000, needs);
                  while (Stage.nowMs() < fromMs + withinMs) {
                    Http.Answer answer = user.submit(job);
                    if (answer != null && answer.status() / 100 == 2) {
                      accepted.incrementAndGet();
                      if (n % 100 < cancelledPercent) {
                        user.cancelUntilAnswered(ids.get(n));
                      }
                      break;
                    }
                    Stage.sleep(1_000);
                  }
                }
              }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    return accepted.get();
  }
}
