package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.constants.ApiConstants;
import fennelthread.constants.StateConstants;
import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import fennelthread.wire.WorkerReport;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What users get for good and bad requests, on any controller. */
class UserAnswersTest {
  private SimulatedCluster c;

  @BeforeEach
  void start() {
    c = new SimulatedCluster(3);
    c.world.loss = 0;
    c.world.late = 0;
    c.world.runUntil(15_000);
  }

  private Answer ask(String member, String method, String path, byte[] body) {
    Answer[] got = new Answer[1];
    c.controllers.get(member).api().handle(new Request(method, path, body), a -> got[0] = a);
    c.world.runUntil(c.world.now() + 200);
    assertNotNull(got[0], "no answer");
    return got[0];
  }

  private Answer submit(String member, Fields body) {
    return ask(member, "POST", "/v1/jobs", Codec.CBOR.encode(body));
  }

  private Fields good() {
    JobSpec any = c.job(false, 2, 1, true, false, false);
    // The rules must know the job as it is submitted, without the place rules that chance gave it.
    JobSpec spec =
        JobSpec.builder(any.id())
            .jobClass("lote")
            .team("roja")
            .priority(any.priority())
            .tasks(2)
            .cpus(1)
            .memGb(2)
            .image("img")
            .imageGb(1)
            .spotAllowed(true)
            .estimateS(5)
            .build();
    c.checker.recordSubmission(spec);
    return spec.write();
  }

  private static String error(Answer a) throws WireException {
    return a.fields().text("error");
  }

  @Test
  void aKnownJobIsAnsweredWhateverElseTheBodyHolds() throws WireException {
    Fields body = good();
    assertEquals(201, submit("nodo-0", body).status());
    String id = body.text("name_id");
    for (String member : c.controllers.keySet()) {
      assertEquals(200, submit(member, Fields.create().with("name_id", id)).status());
      assertEquals(200, ask(member, "GET", "/v1/jobs/" + id, null).status());
    }
    assertEquals(200, submit("nodo-1", body.with("dueno", "nadie")).status());
  }

  @Test
  void malformedSubmissionsNameTheirField() throws WireException {
    Answer a = submit("nodo-0", good().with("tareas", 0L));
    assertEquals(400, a.status());
    assertTrue(error(a).startsWith("tareas"));
    assertEquals(400, submit("nodo-0", good().with("tipo", "gang")).status());
    assertEquals(
        400, ask("nodo-1", "POST", "/v1/jobs", "hola".getBytes(StandardCharsets.UTF_8)).status());
    assertEquals(400, ask("nodo-1", "POST", "/v1/jobs", null).status());
    StringBuilder image = new StringBuilder();
    image.append("x".repeat(9_000));
    assertEquals(400, submit("nodo-2", good().with("imagen", image.toString())).status());
  }

  @Test
  void whatCanNeverRunIsRefused() {
    assertEquals(422, submit("nodo-0", good().with("dueno", "nadie")).status());
    assertEquals(422, submit("nodo-0", good().with("cpus", 17.0)).status());
    assertEquals(
        422, submit("nodo-0", good().with("tipo", "standing").with("tareas", 61L)).status());
    assertEquals(422, submit("nodo-0", good().with("zona", "oeste")).status());
  }

  @Test
  void pathsAndMethods() {
    assertEquals(404, ask("nodo-0", "GET", "/nada", null).status());
    assertEquals(405, ask("nodo-0", "DELETE", "/v1/jobs", null).status());
    assertEquals(404, ask("nodo-0", "GET", "/v1/jobs/job-123456", null).status());
    assertEquals(404, ask("nodo-0", "GET", "/v1/jobs/otra", null).status());
    assertEquals(200, ask("nodo-0", "GET", "/up", null).status());
    assertEquals(404, ask("nodo-0", "POST", "/v1/jobs/job-123456/withdraw", null).status());
  }

  @Test
  void duringAnOutageNobodyIsToldAnythingUnconfirmed() throws WireException {
    Fields body = good();
    assertEquals(201, submit("nodo-0", body).status());
    c.state.outage(20_000);
    String id = body.text("name_id");
    Answer poll = ask("nodo-1", "GET", "/v1/jobs/" + id, null);
    assertEquals(503, poll.status());
    assertEquals(1, poll.retryAfterS());
    assertEquals(503, ask("nodo-1", "GET", "/v1/jobs/job-777777", null).status());
    assertEquals(503, submit("nodo-2", good()).status());
    assertEquals(503, ask("nodo-1", "POST", "/v1/jobs/" + id + "/withdraw", null).status());
  }

  /**
   * A state service that does not answer is waited for as long as its calls take at the worst,
   * once; whoever asks after that is told at once when to come back, and not held until a client's
   * patience ends.
   */
  @Test
  void nobodyWaitsForAStateServiceThatDoesNotAnswer() {
    c.world.cut("nodo-0", "state", 10_000);
    c.world.runUntil(c.world.now() + 100);
    Answer[] got = new Answer[4];
    handle("nodo-0", "POST", "/v1/jobs", Codec.CBOR.encode(good()), got, 0);
    c.world.runUntil(c.world.now() + ApiConstants.ANSWER_DEADLINE_MS + 10);
    assertEquals(503, got[0].status());
    handle("nodo-0", "POST", "/v1/jobs", Codec.CBOR.encode(good()), got, 1);
    handle("nodo-0", "GET", "/v1/jobs/job-123456", null, got, 2);
    handle("nodo-0", "POST", "/v1/jobs/job-123456/withdraw", null, got, 3);
    for (Answer a : got) {
      assertNotNull(a, "not answered at once");
      assertEquals(503, a.status());
      assertEquals(1, a.retryAfterS());
    }
  }

  /**
   * One request that stays without an answer makes a controller ask for a sign of life: it knows of
   * the silence before that request's time is over.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 100, 200, 300, 400, 500, 600, 700})
  void silenceIsFoundBeforeTheFirstRequestsTimeIsOver(long laterMs) {
    c.world.runUntil(c.world.now() + laterMs);
    String follower =
        c.controllers.keySet().stream().filter(m -> !m.equals(c.leader())).findFirst().get();
    c.world.cut(follower, "state", 10_000);
    c.world.runUntil(c.world.now() + 100);
    Answer[] got = new Answer[2];
    // A read, which is not sent again by itself.
    handle(follower, "GET", "/v1/jobs/job-123456", null, got, 0);
    c.world.runUntil(c.world.now() + 2 * StateConstants.REQUEST_OVERDUE_MS + 10);
    handle(follower, "GET", "/v1/jobs/job-123456", null, got, 1);
    assertNotNull(got[1], "not answered at once");
    assertEquals(503, got[1].status());
  }

  /** An acceptance that comes through after its user was sent away is found by the repeated id. */
  @Test
  void aLateAcceptanceIsFoundByTheRepeatedId() {
    Fields body = good();
    byte[] bytes = Codec.CBOR.encode(body);
    c.state.transactionDelayMs = (caller, text) -> text.contains("at_ms") ? 3_000 : 0;
    Answer[] got = new Answer[1];
    handle("nodo-0", "POST", "/v1/jobs", bytes, got, 0);
    c.world.runUntil(c.world.now() + ApiConstants.ANSWER_DEADLINE_MS + 10);
    assertEquals(503, got[0].status());
    c.state.transactionDelayMs = (caller, text) -> 0;
    c.world.runUntil(c.world.now() + 3_000);
    assertEquals(200, submit("nodo-1", body).status());
    assertEquals(200, submit("nodo-0", body).status());
  }

  /**
   * Users who come back while their submission is under way, or after it, must not make another
   * transaction: one known job fails it for all that share it. A burst once fed on that for 20 s.
   */
  @Test
  void repeatedSubmissionsCostNoTransaction() {
    byte[] bytes = Codec.CBOR.encode(good());
    int[] sent = new int[1];
    c.state.transactionDelayMs =
        (caller, text) -> {
          sent[0] += text.contains("at_ms") ? 1 : 0;
          // Not so long that the controller itself takes the answer for lost.
          return text.contains("at_ms") ? StateConstants.MIN_TXN_OVERDUE_MS - 10 : 0;
        };
    Answer[] got = new Answer[3];
    handle("nodo-0", "POST", "/v1/jobs", bytes, got, 0);
    c.world.runUntil(c.world.now() + 100);
    handle("nodo-0", "POST", "/v1/jobs", bytes, got, 1);
    c.world.runUntil(c.world.now() + 500);
    handle("nodo-0", "POST", "/v1/jobs", bytes, got, 2);
    c.world.runUntil(c.world.now() + 100);
    assertEquals(201, got[0].status());
    // It came when the transaction was under way, which may have been applied before it came: it is
    // told what the job is, as one that comes later.
    assertEquals(200, got[1].status());
    assertEquals(200, got[2].status());
    assertEquals(1, sent[0], "transactions");
  }

  private void handle(
      String member, String method, String path, byte[] body, Answer[] into, int at) {
    c.controllers.get(member).api().handle(new Request(method, path, body), a -> into[at] = a);
  }

  @Test
  void aCancelledJobStaysCancelledEverywhere() throws WireException {
    Fields body = good();
    submit("nodo-0", body);
    String id = body.text("name_id");
    c.checker.recordCancelRequest(id);
    assertEquals(
        "withdrawn",
        ask("nodo-2", "POST", "/v1/jobs/" + id + "/withdraw", null).fields().text("estado"));
    for (String member : c.controllers.keySet()) {
      assertEquals("withdrawn", ask(member, "GET", "/v1/jobs/" + id, null).fields().text("estado"));
      assertEquals("withdrawn", submit(member, body).fields().text("estado"));
    }
  }

  @Test
  void reportsGoToTheLeader() throws WireException {
    String leader = c.leader();
    for (String member : c.controllers.keySet()) {
      // One that has never obeyed the leader: those that have and come here are passed on.
      WorkerReport report =
          new WorkerReport(
              "n-9",
              "10.1.0.9:9000",
              "mesa",
              "norte",
              false,
              1,
              1,
              0,
              WorkerReport.NO_NOTICE,
              List.of());
      Answer a = ask(member, "POST", "/agent/beat", Codec.CBOR.encode(report.write()));
      if (member.equals(leader)) {
        assertEquals(200, a.status());
      } else {
        assertEquals(421, a.status());
        assertEquals(leader, a.fields().text("informar_a"));
      }
    }
    assertEquals(400, ask(leader, "POST", "/agent/beat", new byte[] {(byte) 0xa0}).status());
  }
}
