package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.net.Answer;
import fennelthread.net.Call;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each trouble of the simulation comes about as the operators' page describes it. */
class TroublesTest {
  private static final int CONTROLLERS = 3;

  private final SimulatedCluster c = Scenes.settled(1, Deployment.tiny(), 0);

  /** What came of one request of a process outside of the cluster. */
  private static final class Probe {
    private final SimulatedNetwork network;
    private Answer answer;
    private long tookMs = -1;

    Probe(SimulatedNetwork network, String name, String address, Call call) {
      this.network = network;
      long from = network.now();
      new SimulatedProcess(network, name)
          .call(
              address,
              call,
              30_000,
              a -> {
                answer = a;
                tookMs = network.now() - from;
              });
    }

    Probe after(long ms) {
      network.runUntil(network.now() + ms);
      return this;
    }
  }

  private Probe probe(String address, String path) {
    return new Probe(c.world, "probe", address, Call.get(path));
  }

  private WorkerEmulator aWorker() {
    return c.cloud.machines().firstEntry().getValue();
  }

  private boolean isStored(JobSpec job) {
    return c.state.countKeys("live/job/" + job.id()) > 0;
  }

  @Test
  void answersOfTransactionsAreLostThoughTheyAreCarriedOut() {
    JobSpec job = c.plainJob(false, 1);
    c.checker.recordSubmission(job);
    c.state.loseAnswers(1, 3_000);
    Answer[] got = new Answer[1];
    c.submitAt("nodo-0", job.id(), job.write(), answer -> got[0] = answer);
    c.world.runUntil(c.world.now() + 500);
    assertTrue(isStored(job), "not carried out at once");
    assertNull(got[0], "answered");
    assertTrue(c.state.answersLost > 0);
  }

  /** What a controller makes of it is not looked at here: it may ask again within milliseconds. */
  @Test
  void oneAnswerThatIsPickedIsLost() {
    c.state.loseNextAnswers((caller, body) -> body.contains("probe/picked"), 1);
    Probe other = write("probe/other").after(100);
    Probe picked = write("probe/picked").after(100);
    Probe next = write("probe/picked-next").after(100);
    assertEquals(200, other.answer.status());
    assertEquals(-1, picked.tookMs, "answered");
    assertEquals(200, next.answer.status());
    assertEquals(2, c.state.countKeys("probe/picked"), "not both applied");
    assertEquals(1, c.state.answersLost);
  }

  private Probe write(String key) {
    Map<String, Object> put = Map.of("write", key, "v", Map.of("a", 1L));
    Fields body = Fields.create().with("when", List.of()).with("then", List.of(put));
    Call call = Call.post("/multi", Codec.CBOR, body);
    return new Probe(c.world, "probe", SimulatedCluster.STATE, call);
  }

  @Test
  void aSlowStateServiceAnswersLater() {
    Probe usual = probe(SimulatedCluster.STATE, "/keys/live/epoch").after(1_000);
    c.state.delayAnswers(700, 800);
    Probe slow = probe(SimulatedCluster.STATE, "/keys/live/epoch").after(1_000);
    Probe again = probe(SimulatedCluster.STATE, "/keys/live/epoch").after(1_000);
    assertTrue(usual.tookMs < 20 && again.tookMs < 20);
    assertTrue(slow.tookMs >= 700 && slow.tookMs < 720, slow.tookMs + " ms");
  }

  /** What was kept of the old leader's time reaches every controller as the next one begins. */
  @ParameterizedTest
  @ValueSource(longs = {0, 3_000})
  void copiesOfReportsReachEveryControllerAfterAClaim(long afterClaimMs) {
    long[] claimedAt = {-1};
    c.state.onWrite.add(
        key -> claimedAt[0] = key.equals("live/lead") ? c.world.now() : claimedAt[0]);
    c.replayReportsToNextLeader(1, 5_000, afterClaimMs);
    c.world.runUntil(c.world.now() + 6_000);
    int kept = c.reportCopies.waiting();
    assertTrue(kept >= 10, kept + " kept");
    assertEquals(0, c.reportCopies.delivered());
    c.crash(c.leader(), 200);
    Scenes.until(c, 30_000, () -> claimedAt[0] >= 0);
    if (afterClaimMs > 0) {
      assertEquals(0, c.reportCopies.delivered());
      c.world.runUntil(claimedAt[0] + afterClaimMs);
    }
    assertEquals(CONTROLLERS * kept, c.reportCopies.delivered());
    assertEquals(0, c.reportCopies.waiting());
    c.world.runUntil(c.world.now() + 30_000);
  }

  @Test
  void aMuteMachineReachesNoControllerAndHearsCommands() {
    WorkerEmulator mute = aWorker();
    long session = mute.nextReport().session();
    // A silent machine would be given back.
    c.cloud.outage(120_000);
    c.blockRequests(mute, 25_000);
    c.world.runUntil(c.world.now() + 20_000);
    assertTrue(
        c.world.requestFaults.requestsBlocked > 3,
        c.world.requestFaults.requestsBlocked + " muted");
    assertTrue(mute.nextReport().session() > session, "some controller answered its reports");
    Fields none =
        Fields.create()
            .with("ficha", mute.nextReport().token())
            .with("turno", mute.nextReport().session())
            .with("ordenes", List.of());
    Call command = Call.post("/commands", Codec.CBOR, none);
    Probe direct = new Probe(c.world, "probe", mute.address(), command).after(1_000);
    assertEquals(200, direct.answer.status());
  }

  @Test
  void aMachineThatWasMuteForLessThanItsLeaseKeepsItsSession() {
    WorkerEmulator mute = aWorker();
    long session = mute.nextReport().session();
    c.blockRequests(mute, 4_000);
    c.world.runUntil(c.world.now() + 30_000);
    assertTrue(c.world.requestFaults.requestsBlocked >= 1);
    assertEquals(session, mute.nextReport().session());
  }

  /** A machine beside the cluster, which no controller answers. */
  private static final class Alone implements WorkerEmulator.Environment {
    final Map<Integer, Long> begunAt = new TreeMap<>();
    final SimulatedNetwork network = new SimulatedNetwork(3);
    final JobSpec job;
    final long leaseMs;
    final WorkerEmulator worker;

    Alone(JobSpec job, long leaseMs) {
      this.job = job;
      this.leaseMs = leaseMs;
      this.network.loss = 0;
      this.network.late = 0;
      Deployment tiny = Deployment.tiny();
      worker = new CloudEmulator(network, this, w -> {}, tiny).rent("torre", "norte", false, 0);
      network.runUntil(1);
    }

    Probe run(int index) {
      Fields start =
          Fields.create()
              .with("orden", "run")
              .with("tarea", job.id() + "/" + index)
              .with("intento", 1L);
      Fields body =
          Fields.create().with("ficha", 7L).with("turno", 1L).with("ordenes", List.of(start.map()));
      return new Probe(
          network, "nodo-0", worker.address(), Call.post("/commands", Codec.CBOR, body));
    }

    @Override
    public Map<String, String> controllers() {
      return Map.of("nodo-0", "10.0.0.1:8080");
    }

    @Override
    public JobSpec job(String id) {
      return job;
    }

    @Override
    public void onTaskStart(WorkerEmulator w, JobSpec spec, int index) {
      assertNull(begunAt.put(index, network.now()), "begun twice");
    }

    @Override
    public void onTaskEnd(WorkerEmulator w, JobSpec spec, int index, boolean completed) {}

    @Override
    public long reportMs() {
      return 1_500;
    }

    @Override
    public long leaseMs() {
      return leaseMs;
    }
  }

  @Test
  void heldCommandsAreCarriedOutOnceAndLateAndUnanswered() {
    Alone alone = new Alone(c.plainJob(false, 8), 1_000_000);
    alone.network.requestFaults.holdCommands(1, 1_000);
    List<Probe> sent = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      sent.add(alone.run(i));
    }
    alone.network.runUntil(2_000);
    assertEquals(Map.of(), alone.begunAt);
    alone.network.runUntil(40_000);
    assertEquals(8, alone.begunAt.size());
    assertTrue(alone.begunAt.values().stream().allMatch(at -> at >= 2_001 && at <= 16_001));
    assertTrue(alone.begunAt.values().stream().distinct().count() > 4, "all at once");
    assertTrue(sent.stream().allMatch(p -> p.answer == null), "answered");
  }

  @Test
  void heldCommandsOfAnOldSessionDoNothing() {
    Alone alone = new Alone(c.plainJob(false, 1), 1_000);
    alone.network.requestFaults.holdCommands(1, 1_000);
    alone.run(0);
    alone.network.runUntil(40_000);
    assertEquals(1, alone.network.requestFaults.commandsDelivered);
    assertEquals(Map.of(), alone.begunAt);
  }

  @Test
  void imagesAreSlowToFetch() {
    Alone alone = new Alone(c.plainJob(false, 2), 1_000_000);
    alone.worker.slowFetches(20, 10);
    alone.run(0);
    alone.network.runUntil(3_500);
    assertEquals("FETCHING", alone.worker.nextReport().tasks().get(0).phase().name());
    alone.run(1);
    alone.network.runUntil(5_300);
    assertEquals("RUNNING", alone.worker.nextReport().tasks().get(1).phase().name());
  }

  @Test
  void manyRunningJobsAreCancelledAtOnceWhileMachinesHang() {
    List<JobSpec> services = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      services.add(c.plainJob(true, 1));
      c.submit(services.get(i));
    }
    Scenes.until(c, 60_000, () -> c.allRun(services));
    long from = c.world.now();
    List<String> ids = c.cancelRunningJobs(6, 8_000);
    assertEquals(6, ids.size());
    assertTrue(c.cancellations.machinesHung >= 1 && c.cancellations.machinesHung <= 8);
    WorkerEmulator hanging =
        c.cloud.machines().values().stream()
            .filter(w -> ids.stream().anyMatch(id -> c.checker.isOn(id, w)))
            .findFirst()
            .orElseThrow();
    Probe unanswered = probe(hanging.address(), "/show");
    c.world.runUntil(from + 200);
    assertTrue(ids.stream().allMatch(c.checker::isCancelRequested));
    c.world.runUntil(from + 7_000);
    assertEquals(-1, unanswered.tookMs, "the machine doesn't hang");
    assertTrue(ids.stream().allMatch(id -> c.checker.cancelledAt(id) >= from));
    c.world.runUntil(from + 40_000);
    assertEquals(2, services.stream().filter(job -> c.checker.running(job.id()) == 1).count());
  }

  @Test
  void jobsAreCancelledAsTheirLastTaskEnds() {
    Map<String, Long> endedAt = new HashMap<>();
    Map<String, Long> cancelledAt = new HashMap<>();
    c.world.afterEach(
        () -> {
          for (JobSpec job : c.jobs) {
            if (c.checker.allCompleted(job.id())) {
              endedAt.putIfAbsent(job.id(), c.world.now());
            }
            if (c.checker.isCancelRequested(job.id())) {
              cancelledAt.putIfAbsent(job.id(), c.world.now());
            }
          }
        });
    c.cancelAtCompletion(1, 60_000);
    for (int i = 0; i < 20; i++) {
      JobSpec job = c.plainJob(false, 1 + i % 2);
      c.world.after(i * 1_000L, () -> c.submit(job));
    }
    c.world.runUntil(c.world.now() + 70_000);
    assertEquals(20, c.cancellations.cancelledAtCompletion);
    Set<Long> offsets = new HashSet<>();
    endedAt.forEach((id, at) -> offsets.add(Long.signum(cancelledAt.get(id) - at) * 1L));
    endedAt.forEach((id, at) -> assertTrue(Math.abs(cancelledAt.get(id) - at) <= 3));
    assertEquals(Set.of(-1L, 0L, 1L), offsets, "before, at and after the end");
  }

  @Test
  void usersAskEveryControllerWithinMilliseconds() {
    JobSpec job = c.plainJob(false, 1);
    Map<String, List<Long>> askedAt = new TreeMap<>();
    long[] acceptedAt = {-1};
    c.onNewStatus(id -> acceptedAt[0] = c.world.now());
    c.world.requestFaults.onRequest(
        (from, to, call) -> {
          if (call.path().equals("/v1/jobs/" + job.id())) {
            askedAt.computeIfAbsent(to, k -> new ArrayList<>()).add(c.world.now() - acceptedAt[0]);
          }
        });
    c.beginRepeatedQueries(60_000);
    c.submit(job);
    Scenes.until(c, 1_000, () -> acceptedAt[0] >= 0);
    c.world.runUntil(acceptedAt[0] + 100);
    assertEquals(c.controllers.keySet(), askedAt.keySet());
    askedAt.values().forEach(times -> assertEquals(List.of(0L, 1L, 2L, 5L, 20L, 100L), times));
    assertEquals(1, c.repeatedQueries.submissionsRepeated);
    c.world.runUntil(c.world.now() + 60_000);
    assertTrue(c.checker.isOver(job.id()));
    assertEquals(2, c.repeatedQueries.submissionsRepeated, "after the end too");
  }

  @Test
  void oddRequestsOfEveryKindAreSentAndInvalidOnesRefused() {
    for (int i = 0; i < 10; i++) {
      JobSpec job = c.plainJob(i % 2 == 0, 2);
      c.world.after(i * 3_000L, () -> c.submit(job));
    }
    c.world.runUntil(c.world.now() + 20_000);
    c.beginOddRequests(40_000);
    c.world.runUntil(c.world.now() + 45_000);
    assertEquals(Set.of(OddRequests.Kind.values()), c.oddRequests.sent.keySet());
    int invalid =
        c.oddRequests.sent.get(OddRequests.Kind.FITS_NO_TYPE)
            + c.oddRequests.sent.get(OddRequests.Kind.WITHOUT_FIELD)
            + c.oddRequests.sent.get(OddRequests.Kind.EXCEEDS_LIMIT);
    assertEquals(invalid, c.oddRequests.refused);
  }

  @Test
  void machinesAreUpWithinTwoSeconds() {
    c.cloud.bootMs = () -> -1;
    Set<String> before = Set.copyOf(c.cloud.machines().keySet());
    c.cloud.bootQuickly(60_000);
    c.submit(c.plainJob(true, 40));
    Scenes.until(c, 30_000, () -> c.cloud.machines().size() > before.size());
    List<WorkerEmulator> rented = new ArrayList<>(c.cloud.machines().values());
    rented.removeIf(w -> before.contains(w.name()));
    assertFalse(rented.isEmpty());
    c.world.runUntil(c.world.now() + 2_100);
    assertTrue(rented.stream().allMatch(WorkerEmulator::isUp));
  }

  @Test
  void aZoneIsCutOffWithItsControllers() {
    String inside = "nodo-1";
    assertEquals("sur", c.zoneOf(inside));
    c.world.setZone("probe-sur", "sur");
    c.cutZoneWithControllers("sur", 20_000);
    String address = c.controllers().get(inside);
    Probe outside = new Probe(c.world, "probe", address, Call.get("/up"));
    Probe within = new Probe(c.world, "probe-sur", address, Call.get("/up"));
    Probe state =
        new Probe(c.world, "probe-sur", SimulatedCluster.STATE, Call.get("/keys/live/epoch"));
    c.world.runUntil(c.world.now() + 10_000);
    assertNotNull(within.answer);
    assertNull(outside.answer);
    assertNull(state.answer);
  }

  @Test
  void messagesOverSlowLinksTakeLonger() {
    String member = "nodo-1";
    c.world.slowLinks(member, 300, 2_000);
    Probe slow = probe(c.controllers().get(member), "/up");
    Probe usual = probe(c.controllers().get("nodo-0"), "/up");
    c.world.runUntil(c.world.now() + 5_000);
    assertTrue(slow.tookMs >= 600 && slow.tookMs < 620, slow.tookMs + " ms");
    assertTrue(usual.tookMs < 20, usual.tookMs + " ms");
  }
}
