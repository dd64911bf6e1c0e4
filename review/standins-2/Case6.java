import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Jobs are cancelled as the state service refuses the leader alone, and a second later it is out for all. */
final class Case6 {
  private static final int CHAINS = 6;

  private Case6() {}

  public static void main(String[] args) throws Exception {
    Stage stage = new Stage(Path.of(args[0]), 3, 32.0, 256.0, "");
    stage.startControllers();
    int leader = stage.awaitLeader();
    int other = (leader + 1) % Stage.MEMBERS.length;
    Stage.User user = stage.new User(other);
    List<String> first = new ArrayList<>();
    List<String> second = new ArrayList<>();
    for (int i = 0; i < CHAINS; i++) {
      first.add(String.format("job-%06d", 100 + i));
      second.add(String.format("job-%06d", 200 + i));
      boolean accepted =
          user.submitUntilAccepted(stage.job(first.get(i), 1, 300_000, List.of()))
              && user.submitUntilAccepted(
                  stage.job(second.get(i), 1, 5_000, List.of(first.get(i))));
      if (!accepted) {
        stage.finish(2, "could not run: the jobs were not accepted");
      }
    }
    for (long until = Stage.nowMs() + 10_000; Stage.nowMs() < until; Stage.sleep(100)) {
      if (first.stream().allMatch(id -> stage.isPresent(id + "/0"))) {
        break;
      }
    }
    if (stage.leader() != leader || !first.stream().allMatch(id -> stage.isPresent(id + "/0"))) {
      stage.finish(2, "could not run: the first jobs did not start");
    }
    Stage.sleep(1_000);
    // The disruption begins: the leader alone is refused, and in the same moment users cancel.
    if (stage.trouble) {
      stage.note("the state service refuses " + Stage.MEMBERS[leader] + " alone");
      stage.state.refuse(leader, true);
    }
    long refusedAtMs = Stage.nowMs();
    Map<String, Long> toldAtMs = new ConcurrentHashMap<>();
    for (int i = 0; i < CHAINS; i++) {
      String state = user.cancelUntilAnswered(first.get(i));
      if (!"withdrawn".equals(state)) {
        stage.finish(2, "could not run: " + first.get(i) + " was not cancelled");
      }
      toldAtMs.put(second.get(i), Stage.nowMs());
    }
    if (Stage.nowMs() - refusedAtMs > 900) {
      stage.finish(2, "could not run: the cancellations took too long");
    }
    List<String> broken = new ArrayList<>();
    for (int i = 0; i < CHAINS; i++) {
      String id = second.get(i);
      int offset = i;
      Http.daemon("user of " + id, () -> ask(stage, leader, id, toldAtMs.get(id), offset, broken));
    }
    Stage.sleep(1_000 - (Stage.nowMs() - refusedAtMs));
    if (stage.trouble) {
      stage.note("the state service is out for all");
      stage.state.outage(true);
      stage.state.refuse(leader, false);
    }
    long endMs = toldAtMs.values().stream().mapToLong(Long::longValue).max().getAsLong();
    Stage.sleep(endMs + Stage.CANCEL_MS + 3_000 - Stage.nowMs());
    if (stage.trouble) {
      stage.note("the state service is back");
      stage.state.outage(false);
    }
    Stage.sleep(6_000);
    synchronized (broken) {
      if (broken.isEmpty()) {
        stage.finish(0, "held: no job was called pending more than cancel_s after its user was told");
      }
      stage.finish(1, "broken: orphaned: " + String.join("; ", broken));
    }
  }

  /** A user who has a connection to the leader and asks for a job every half second. */
  private static void ask(
      Stage stage, int node, String id, long toldAtMs, int offset, List<String> broken) {
    Stage.User user = stage.new User(node);
    Stage.sleep(offset * 500L / CHAINS);
    while (true) {
      long askedAtMs = Stage.nowMs();
      Http.Answer answer = user.ask(id);
      Object state = answer == null || answer.status() != 200 ? null : answer.body().get("estado");
      if (askedAtMs > toldAtMs + Stage.CANCEL_MS
          && ("pending".equals(state) || "running".equals(state))) {
        synchronized (broken) {
          broken.add(id + " is " + state + " " + (askedAtMs - toldAtMs) + " ms after its user was told");
        }
      }
      Stage.sleep(askedAtMs + 500 - Stage.nowMs());
    }
  }
}
