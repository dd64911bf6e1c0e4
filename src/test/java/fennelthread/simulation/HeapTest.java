package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.admission.BacklogSize;
import fennelthread.constants.AdmissionConstants;
import fennelthread.constants.HealthConstants;
import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.wire.Codec;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Controllers near the end of their heaps. */
class HeapTest {
  private static final long SMALL_HEAP_BYTES = 20 << 20;

  /** More than what that heap has for jobs. */
  private static final double SMALL_HEAP_JOB_BYTES =
      SMALL_HEAP_BYTES * HealthConstants.MEMORY_PRESSURE_LIVE_SHARE
          - AdmissionConstants.BASE_HEAP_BYTES;

  private static final int NAMED_JOBS = 300;
  private static final long MAX_ANSWER_MS = 5_000;

  /** So many that the job that the others wait for is not done in the time of the test. */
  private static final int TASKS_OF_RUNNING_JOB = 50_000;

  static {
    Production.serve();
  }

  private final SimulatedCluster c = SimulatedCluster.large(1, 40);

  private Answer submit(JobSpec job) {
    return submit("nodo-0", job);
  }

  private Answer submit(String member, JobSpec job) {
    c.checker.recordSubmission(job);
    return call(member, "/v1/jobs", Codec.CBOR.encode(job.write()));
  }

  private Answer call(String member, String path, byte[] body) {
    Answer[] answer = new Answer[1];
    c.controllers
        .get(member)
        .api()
        .handle(new Request("POST", path, body), given -> answer[0] = given);
    long endMs = c.world.now() + MAX_ANSWER_MS;
    while (answer[0] == null && c.world.now() < endMs) {
      c.world.runUntil(c.world.now() + 500);
    }
    return answer[0];
  }

  private void assertAllAnswer(int status) {
    for (String member : c.controllers.keySet()) {
      assertEquals(status, submit(member, c.plainJob(false, 1)).status(), member);
    }
  }

  private void settle(long untilMs) {
    c.world.loss = 0;
    c.world.late = 0;
    c.world.runUntil(untilMs);
  }

  /**
   * New jobs are refused at once, with when to come back; what was accepted goes on, and is known;
   * and once there is room again all is as before.
   */
  @Test
  void newWorkIsRefusedAndTheRestGoesOn() {
    c.world.loss = 0;
    c.world.late = 0;
    c.world.runUntil(20_000);
    JobSpec service = c.job(true, 3, 1, false, false, false);
    assertEquals(201, submit(service).status());
    c.world.runUntil(30_000);
    c.processes.values().forEach(p -> p.liveHeapShare = 0.62);
    c.world.runUntil(50_000);
    Answer refused = submit(c.job(false, 3, 1, true, false, false));
    assertEquals(503, refused.status());
    assertTrue(refused.retryAfterS() > 1, "when to come back");
    assertEquals(200, submit(service).status());
    assertEquals(3, c.checker.running(service.id()));
    c.processes.values().forEach(p -> p.liveHeapShare = 0.3);
    c.world.runUntil(80_000);
    assertEquals(201, submit(c.job(false, 3, 1, true, false, false)).status());
  }

  /** Guards against a leader that ends for memory while the others accept what it can't hold. */
  @Test
  void pressureAtTheLeaderRefusesAtFollowers() {
    settle(30_000);
    String leader = c.leader();
    assertAllAnswer(201);
    c.processes.get(leader).liveHeapShare = 0.62;
    c.world.runUntil(60_000);
    assertEquals(leader, c.leader());
    assertAllAnswer(503);
    c.processes.get(leader).liveHeapShare = 0.3;
    c.world.runUntil(100_000);
    assertAllAnswer(201);
  }

  /**
   * Guards against jobs that fit the controller that accepts them and not the one that has to lead
   * next: a controller has a smaller heap, none is under pressure, and jobs that name many others
   * come until none is accepted any more.
   */
  @Test
  void jobsAreAcceptedOnlyIfTheyFitTheSmallestHeap() {
    settle(20_000);
    String small = otherThan(c.leader());
    c.processes.get(small).heapBytes = SMALL_HEAP_BYTES;
    c.crash(small, 500);
    c.world.runUntil(40_000);
    JobSpec running = c.plainJob(false, TASKS_OF_RUNNING_JOB);
    assertEquals(201, submit(running).status());
    List<String> named = new ArrayList<>(List.of(running.id()));
    while (named.size() < NAMED_JOBS) {
      JobSpec waiting = c.plainJob(false, 1).withDependencies(List.of(running.id()));
      assertEquals(201, submit(waiting).status());
      named.add(waiting.id());
    }
    List<String> accepted = new ArrayList<>();
    JobSpec next = c.plainJob(false, 1).withDependencies(named);
    while (isAcceptedByAll(next)) {
      accepted.add(next.id());
      assertTrue(accepted.size() * BacklogSize.bytesOf(next) <= SMALL_HEAP_JOB_BYTES);
      next = c.plainJob(false, 1).withDependencies(named);
    }
    assertFalse(accepted.isEmpty());
    for (int i = 0; i < accepted.size(); i += 2) {
      String path = "/v1/jobs/" + accepted.get(i) + "/withdraw";
      assertEquals(200, call("nodo-0", path, new byte[0]).status(), "cancellations are served");
    }
    assertTrue(isAcceptedByAll(next));
  }

  /** Submits a job to all controllers at once; asserts that all accept or all refuse it. */
  private boolean isAcceptedByAll(JobSpec job) {
    List<Integer> statuses = new ArrayList<>();
    byte[] body = Codec.CBOR.encode(job.write());
    c.checker.recordSubmission(job);
    for (SimulatedCluster.ControllerHandle controller : c.controllers.values()) {
      Request request = new Request("POST", "/v1/jobs", body);
      controller.api().handle(request, answer -> statuses.add(answer.status()));
    }
    c.world.runUntil(c.world.now() + 500);
    boolean isAccepted = statuses.contains(201);
    for (int status : statuses) {
      assertEquals(isAccepted, status == 201 || status == 200, statuses.toString());
      assertTrue(isAccepted || status == 503, statuses.toString());
    }
    assertEquals(c.controllers.size(), statuses.size());
    return isAccepted;
  }

  /** A peer of the version in production does not tell its memory, and is not waited for. */
  @Test
  void controllersThatDoNotTellTheirMemoryAreNotCounted() {
    settle(20_000);
    String old = otherThan(c.leader());
    c.downgrade(old, 500);
    c.world.runUntil(40_000);
    assertAllAnswer(201);
    c.processes.get(c.leader()).liveHeapShare = 0.62;
    c.world.runUntil(70_000);
    for (String member : c.controllers.keySet()) {
      int expected = member.equals(old) ? 201 : 503;
      assertEquals(expected, submit(member, c.plainJob(false, 1)).status(), member);
    }
  }

  private String otherThan(String leader) {
    return c.controllers.keySet().stream()
        .filter(member -> !member.equals(leader))
        .findFirst()
        .orElseThrow();
  }
}
