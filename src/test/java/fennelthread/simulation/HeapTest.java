package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.wire.Codec;
import fennelthread.wire.JobSpec;
import org.junit.jupiter.api.Test;

/** Controllers near the end of their heaps. */
class HeapTest {
  private final SimulatedCluster c = SimulatedCluster.large(1, 40);

  private Answer submit(JobSpec job) {
    Answer[] answer = new Answer[1];
    c.checker.recordSubmission(job);
    c.controllers
        .get("nodo-0")
        .api()
        .handle(
            new Request("POST", "/v1/jobs", Codec.CBOR.encode(job.write())), a -> answer[0] = a);
    c.world.runUntil(c.world.now() + 500);
    return answer[0];
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
}
