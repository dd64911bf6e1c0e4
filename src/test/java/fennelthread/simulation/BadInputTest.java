package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Submissions that are malformed or can never run, of ids that are known and of others, while the
 * state service serves, refuses everybody or is silent, and while the machine types are not known.
 * A refusal for ever needs proof that the id was never accepted: without the state service there is
 * none, and the answer is 503.
 */
class BadInputTest {
  /** What is wrong with a body. */
  private enum Body {
    GOOD(201),
    LACKS_A_FIELD(400),
    INVALID_FIELD(400),
    FITS_NO_TYPE(422),
    UNKNOWN_TEAM(422),
    ABOVE_THE_LIMIT(422),
    TOO_LARGE(400),
    WITHOUT_ID(400),
    NOT_CBOR(400);

    private final int status;

    Body(int status) {
      this.status = status;
    }

    /** True if the id can be read, so that the job may be known. */
    boolean hasId() {
      return this != WITHOUT_ID && this != NOT_CBOR;
    }

    /** True if only the machine types tell that it can or can't run. */
    boolean needsTypes() {
      return this == GOOD || this == FITS_NO_TYPE || this == TOO_LARGE;
    }

    byte[] of(JobSpec job) {
      Fields body = job.write();
      Map<String, Object> fields = new LinkedHashMap<>(body.map());
      switch (this) {
        case LACKS_A_FIELD -> fields.remove("imagen");
        case INVALID_FIELD -> fields.put("tareas", 0L);
        case FITS_NO_TYPE -> fields.put("mem_gb", 10_000.0);
        case UNKNOWN_TEAM -> fields.put("dueno", "nadie");
        case ABOVE_THE_LIMIT -> fields.put("cpus", 61.0);
        case TOO_LARGE -> fields.put("imagen", "x".repeat(9_000));
        case WITHOUT_ID -> fields.put("name_id", "../etc");
        default -> {
          // As it is.
        }
      }
      return this == NOT_CBOR ? new byte[] {'h', 'o', 'l', 'a'} : encode(fields);
    }

    private static byte[] encode(Map<String, Object> fields) {
      Fields body = Fields.create();
      fields.forEach(body::with);
      return Codec.CBOR.encode(body);
    }
  }

  /** What the state service does meanwhile. */
  private enum Service {
    SERVES,
    REFUSES,
    SILENT;

    void begin(SimulatedCluster c) {
      switch (this) {
        case REFUSES -> c.state.outage(30_000);
        case SILENT -> c.world.cut("nodo", "state", 30_000);
        default -> {
          // Nothing.
        }
      }
      c.world.runUntil(c.world.now() + 2_000);
    }
  }

  static Stream<Arguments> cases() {
    List<Arguments> cases = new ArrayList<>();
    for (Body body : Body.values()) {
      for (Service service : Service.values()) {
        for (boolean known : new boolean[] {false, true}) {
          for (String member : List.of("nodo-0", "nodo-2")) {
            cases.add(Arguments.of(body, service, known, member));
          }
        }
      }
    }
    return cases.stream();
  }

  private static Answer submit(SimulatedCluster c, String member, byte[] body) {
    Answer[] got = new Answer[1];
    c.controllers.get(member).api().handle(new Request("POST", "/v1/jobs", body), a -> got[0] = a);
    c.world.runUntil(c.world.now() + 1_100);
    assertNotNull(got[0], "no answer");
    return got[0];
  }

  @ParameterizedTest
  @MethodSource("cases")
  void eachBodyGetsItsStatus(Body body, Service service, boolean known, String member)
      throws WireException {
    SimulatedCluster c = Scenes.settled(3, Deployment.tiny(), 0);
    JobSpec job = Scenes.lasting(c, 1, 60);
    c.checker.recordSubmission(job);
    if (known) {
      assertEquals(201, submit(c, "nodo-0", Body.GOOD.of(job)).status());
    }
    service.begin(c);
    Answer answer = submit(c, member, body.of(job));
    int wanted =
        !body.hasId() ? body.status : service != Service.SERVES ? 503 : known ? 200 : body.status;
    assertEquals(wanted, answer.status(), answer.fields().map().toString());
    if (wanted >= 400) {
      assertEquals(1, answer.fields().text("error").lines().count());
    }
  }

  static Stream<Arguments> bodies() {
    return Stream.of(Body.values()).map(Arguments::of);
  }

  /** What needs no machine types is judged without them; all else comes back later. */
  @ParameterizedTest
  @MethodSource("bodies")
  void whileTheMachineTypesAreNotKnown(Body body) {
    SimulatedCluster c = new SimulatedCluster(3, Deployment.tiny());
    c.cloud.outage(60_000);
    c.world.loss = 0;
    c.world.late = 0;
    c.world.runUntil(15_000);
    JobSpec job = Scenes.lasting(c, 1, 60);
    c.checker.recordSubmission(job);
    assertEquals(body.needsTypes() ? 503 : body.status, submit(c, "nodo-1", body.of(job)).status());
  }

  /**
   * What the service takes has shrunk, and a controller that was started anew does not know that
   * the job is over: the repeated submission, too large by now, still is one of a known job.
   */
  @Test
  void aKnownJobThatHasBecomeTooLargeIsKnown() throws WireException {
    SimulatedCluster c = Scenes.settled(3, Deployment.tiny(), 0);
    JobSpec job = Scenes.lasting(c, 1, 60);
    c.checker.recordSubmission(job);
    assertEquals(201, submit(c, "nodo-0", Body.GOOD.of(job)).status());
    c.checker.recordCancelRequest(job.id());
    c.cancelAt("nodo-0", job.id());
    c.world.runUntil(c.world.now() + 1_000);
    c.crash("nodo-1", 100);
    c.world.runUntil(c.world.now() + 5_000);
    Settings.StateLimits now = c.deployment.limits();
    c.state.setLimits(new Settings.StateLimits(now.rps(), now.writeRps(), 100, now.txnOps()));
    int before = c.state.refusedAsTooLarge;
    Answer answer = submit(c, "nodo-1", Body.GOOD.of(job));
    assertEquals(1, c.state.refusedAsTooLarge - before, "refused for its size");
    assertEquals(200, answer.status());
    assertEquals("withdrawn", answer.fields().text("estado"));
  }
}
