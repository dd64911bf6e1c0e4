import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Users submit jobs over links that, unless TROUBLE is 0, lose the packet with the body of each
 * submission, so that it arrives 200 ms later. What users were told is accepted must stay known.
 *
 * <p>First some jobs that can run and some that fit no machine, with no other trouble. Then, unless
 * TROUBLE is 0, jobs that can run during an outage of the state service of 10 s.
 */
public final class SlowLink {
  private static final long RESEND_MS = 200;
  private static final long OUTAGE_MS = 10_000;
  private static final int JOBS = 12;

  private final Cluster cluster;
  private final Record record;
  private final List<Link> links = new ArrayList<>();

  /** What each user was told: the status that ended the submission; 0 if none did. */
  private final Map<String, Integer> told = new LinkedHashMap<>();

  private SlowLink(Cluster cluster, Record record, boolean trouble) throws IOException {
    this.cluster = cluster;
    this.record = record;
    for (String node : cluster.controllers.api()) {
      links.add(new Link(node, trouble ? RESEND_MS : 0));
    }
  }

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Files.createTempDirectory("review-1-");
    int exit = 2;
    try (Record record = new Record(Path.of(args[1]))) {
      Cluster cluster =
          new Cluster(
              Path.of(args[0]), folder, Cluster.Site.ROSARIO, record);
      try {
        if (cluster.start()) {
          record.say("up", "all controllers answer /up; trouble=" + trouble);
          Thread.sleep(3_000);
          exit = new SlowLink(cluster, record, trouble).run(trouble);
        } else {
          record.say("verdict", "could not run: the controllers did not come up");
        }
      } finally {
        cluster.controllers.stop();
        record.say("folder", "logs of the controllers: " + folder);
      }
    }
    // An exception ends the program with 1, so that a broken rule needs another code.
    Runtime.getRuntime().halt(exit == 1 ? 10 : exit);
  }

  private int run(boolean trouble) throws InterruptedException {
    for (int i = 0; i < JOBS; i++) {
      submit(cluster.array("job-0001" + (10 + i), 1, 1.0, 2.0), i);
      submit(cluster.array("job-0002" + (10 + i), 1, 64.0, 2.0), i);
    }
    if (trouble) {
      record.say("outage", "the state service is out for " + OUTAGE_MS + " ms");
      cluster.state.setOut(true);
    }
    long endNanos = System.nanoTime() + OUTAGE_MS * 1_000_000;
    List<Thread> users = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      int user = i;
      Thread thread =
          new Thread(() -> submit(cluster.array("job-0003" + (10 + user), 1, 1.0, 2.0), user));
      thread.start();
      users.add(thread);
      Thread.sleep(500);
    }
    Thread.sleep(Math.max(0, (endNanos - System.nanoTime()) / 1_000_000));
    cluster.state.setOut(false);
    record.say("outage", "over");
    for (Thread user : users) {
      user.join(70_000);
    }
    Thread.sleep(5_000);
    return verdict();
  }

  /** Submits a job as the page says: the user repeats for 60 s what gets 503 or no answer. */
  private void submit(Map<String, Object> body, int user) {
    String id = (String) body.get("name_id");
    long endNanos = System.nanoTime() + 60_000_000_000L;
    int node = user % links.size();
    while (System.nanoTime() < endNanos) {
      int status = 0;
      String text = "no answer";
      try (Http.Client client = new Http.Client(links.get(node).address())) {
        Http.Answer answer = client.call("POST", "/v1/jobs", body, 5_000);
        status = answer.status();
        text = status + " " + answer.body();
      } catch (IOException e) {
        node = (node + 1) % links.size();
      }
      record.say(
          "submit",
          id + " cpus=" + body.get("cpus") + " at " + cluster.controllers.names().get(node) + " -> "
              + text);
      if (status == 200 || status == 201 || status == 400 || status == 422) {
        synchronized (told) {
          told.put(id, status);
        }
        return;
      }
      try {
        Thread.sleep(1_500);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Asks three times for each job that a user was told is accepted, at each controller. */
  private int verdict() throws InterruptedException {
    Map<String, Integer> unknown = new LinkedHashMap<>();
    int accepted = 0;
    for (int round = 0; round < 3; round++) {
      accepted = 0;
      for (Map.Entry<String, Integer> job : told.entrySet()) {
        if (job.getValue() != 200 && job.getValue() != 201) {
          continue;
        }
        accepted++;
        for (int node = 0; node < cluster.controllers.api().size(); node++) {
          String answer = "no answer";
          try (Http.Client client = new Http.Client(cluster.controllers.api().get(node))) {
            Http.Answer state = client.call("GET", "/v1/jobs/" + job.getKey(), null, 2_000);
            answer = state.status() + " " + state.body();
            if (state.status() == 404) {
              unknown.merge(job.getKey(), 1, Integer::sum);
            }
          } catch (IOException e) {
            // The user asks again later.
          }
          record.add(
              "poll",
              job.getKey() + " at " + cluster.controllers.names().get(node) + " -> " + answer);
        }
      }
      Thread.sleep(2_000);
    }
    record.say("verdict", "jobs that users were told are accepted: " + accepted);
    long impossible = unknown.keySet().stream().filter(id -> id.startsWith("job-0002")).count();
    record.say(
        "verdict",
        "forgotten (404 for an accepted job): " + unknown.size() + ", of which " + impossible
            + " fit no machine and should have got 422; " + unknown);
    return unknown.isEmpty() ? 0 : 1;
  }
}
