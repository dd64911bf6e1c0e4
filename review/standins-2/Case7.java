import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service answers slowly while users ask about a giant array and about small jobs. */
final class Case7 {
  private static final int TASKS = 25_000;
  private static final long SLOW_MS = 500;
  private static final long SPAN_MS = 90_000;
  private static final String GIANT = "job-000001";

  private Case7() {}

  /** A poll: when it was sent, and whether it was answered with 200. */
  private record Poll(long sentAtMs, boolean answered) {}

  public static void main(String[] args) throws Exception {
    Stage stage = new Stage(Path.of(args[0]), 3, 32.0, 256.0, "");
    stage.startControllers();
    Stage.User user = stage.new User(stage.awaitLeader());
    Map<String, Object> giant = stage.job(GIANT, TASKS, 4_000, List.of());
    giant.put("cpus", 0.25);
    giant.put("mem_gb", 0.45);
    giant.put("prioridad", "best_effort");
    stage.leaveOutOfRecord(GIANT);
    boolean accepted = user.submitUntilAccepted(giant);
    List<String> ids = new ArrayList<>(List.of(GIANT));
    for (int i = 0; i < 8; i++) {
      String id = String.format("job-%06d", 100 + i);
      ids.add(id);
      long taskMs = i % 2 == 0 ? 300_000 : 8_000;
      accepted &= user.submitUntilAccepted(stage.job(id, 1 + i % 4, taskMs, List.of()));
    }
    if (!accepted) {
      stage.finish(2, "could not run: the jobs were not accepted");
    }
    Stage.sleep(3_000);
    if (stage.trouble) {
      stage.note("the state service answers slowly, in " + SLOW_MS + " ms");
      stage.state.slow(SLOW_MS);
    }
    Map<String, List<Poll>> polls = new TreeMap<>();
    long fromMs = Stage.nowMs();
    for (int i = 0; i < ids.size(); i++) {
      String id = ids.get(i);
      List<Poll> ofJob = new ArrayList<>();
      polls.put(id, ofJob);
      long firstMs = fromMs + i * 550;
      Http.daemon("user of " + id, () -> ask(stage, id, firstMs, ofJob));
    }
    Stage.sleep(fromMs + SPAN_MS + 7_000 - Stage.nowMs());
    int giantAnswered = 0;
    int giantAsked = 0;
    int othersAnswered = 0;
    int othersAsked = 0;
    long firstMs = Long.MAX_VALUE;
    long lastMs = 0;
    for (Map.Entry<String, List<Poll>> entry : polls.entrySet()) {
      synchronized (entry.getValue()) {
        for (Poll poll : entry.getValue()) {
          if (entry.getKey().equals(GIANT)) {
            giantAsked++;
            giantAnswered += poll.answered ? 1 : 0;
            firstMs = Math.min(firstMs, poll.sentAtMs);
            lastMs = Math.max(lastMs, poll.sentAtMs);
          } else {
            othersAsked++;
            othersAnswered += poll.answered ? 1 : 0;
          }
        }
      }
    }
    String counts =
        giantAnswered
            + " of "
            + giantAsked
            + " polls for the giant array in "
            + (lastMs - firstMs)
            + " ms were answered, "
            + othersAnswered
            + " of "
            + othersAsked
            + " for the other jobs";
    boolean mostOthers = othersAnswered * 2 > othersAsked;
    if (giantAnswered == 0 && lastMs - firstMs >= SPAN_MS && mostOthers) {
      stage.finish(1, "broken: forgotten: " + counts);
    }
    stage.finish(0, "held: " + counts);
  }

  /** A user who asks every 5 s, at one controller after the other, until the job is over. */
  private static void ask(Stage stage, String id, long firstMs, List<Poll> polls) {
    List<Stage.User> users = new ArrayList<>();
    for (int node = 0; node < Stage.MEMBERS.length; node++) {
      users.add(stage.new User(node));
    }
    Stage.sleep(firstMs - Stage.nowMs());
    for (int n = 0; true; n++) {
      long sentAtMs = Stage.nowMs();
      Http.Answer answer = users.get(n % users.size()).ask(id);
      boolean answered = answer != null && answer.status() == 200;
      synchronized (polls) {
        polls.add(new Poll(sentAtMs, answered));
      }
      if (answered && "done".equals(answer.body().get("estado"))) {
        return;
      }
      Stage.sleep(sentAtMs + 5_000 - Stage.nowMs());
    }
  }
}
