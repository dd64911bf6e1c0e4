package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.net.Answer;
import fennelthread.net.Request;
import fennelthread.settings.Settings;
import fennelthread.wire.Codec;
import fennelthread.wire.Fields;
import fennelthread.wire.JobSpec;
import fennelthread.wire.WireException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Jobs that wait for others, on controllers of one version and of two, with the rules checked. */
class ChainedJobsTest {
  static {
    Production.serve();
  }

  private static final Settings.StateLimits NEXT = new Settings.StateLimits(400, 80, 2 * 1024, 4);

  /**
   * Whatever fails, and though the limits fall without notice, no rule is broken and all is done.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void storm(long seed) {
    SimulatedCluster c = SimulatedCluster.limited(seed, NEXT, false);
    c.world.at(120_000, () -> c.state.setLimits(NEXT));
    c.submitPipelines(300_000);
    c.addRandomUsersAndFaults(300_000);
    SimulationTest.settle(c);
    assertTrue(
        c.jobs.stream()
            .anyMatch(j -> !j.dependencies().isEmpty() && c.checker.allCompleted(j.id())));
    assertEquals(0, c.state.refusedAsTooLarge, "transactions above the limits");
    assertEquals(0, c.state.countKeys("live/chain/"), "needs left behind");
  }

  /**
   * The upgrade: controllers of the version in production are ended one by one, come back new, and
   * lead in turns, among troubles; a process that dies before its turn comes back old. Chained jobs
   * are asked for as soon as all are new, and then the limits fall.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void upgrade(long seed) {
    SimulatedCluster c = SimulatedCluster.limited(seed, NEXT, true);
    c.addRandomUsersAndFaults(260_000);
    long at = 40_000;
    for (String member : List.of("nodo-0", "nodo-1", "nodo-2")) {
      c.world.at(at, () -> c.upgrade(member, 4_000));
      at += 25_000;
    }
    // Leadership goes back and forth between the versions.
    for (long t = 50_000; t < 90_000; t += 12_000) {
      c.world.at(
          t,
          () -> {
            if (c.leader() != null) {
              c.crash(c.leader(), 3_000);
            }
          });
    }
    c.world.at(105_000, () -> c.submitPipelines(260_000));
    c.world.at(150_000, () -> c.state.setLimits(NEXT));
    SimulationTest.settle(c);
    assertTrue(
        c.jobs.stream()
            .anyMatch(j -> !j.dependencies().isEmpty() && c.checker.allCompleted(j.id())));
    assertEquals(0, c.state.refusedAsTooLarge, "transactions above the limits");
  }

  /** More seeds of both than every build needs. */
  @Test
  @EnabledIfSystemProperty(named = "sim.from", matches = "[0-9]+")
  void soak() {
    StringBuilder broken = new StringBuilder();
    for (long seed = Long.getLong("sim.from"); seed <= Long.getLong("sim.to"); seed++) {
      for (LongConsumer test : List.<LongConsumer>of(this::storm, this::upgrade)) {
        try {
          test.accept(seed);
        } catch (AssertionError | RuntimeException e) {
          broken.append("seed ").append(seed).append(": ").append(e).append('\n');
        }
      }
    }
    assertEquals("", broken.toString());
  }

  /** Old controllers end what new ones began, and the other way round, one leader after another. */
  @ParameterizedTest
  @ValueSource(longs = {21, 22})
  void tasksSurviveTheChangeOfVersion(long seed) {
    SimulatedCluster c = SimulatedCluster.limited(seed, NEXT, true);
    calm(c);
    JobSpec service = c.job(true, 3, 1, false, false, false);
    c.submit(service);
    c.world.runUntil(40_000);
    assertEquals(3, c.checker.running(service.id()));
    int before = c.checker.starts;
    for (String member : List.of("nodo-0", "nodo-1", "nodo-2")) {
      c.upgrade(member, 4_000);
      c.world.runUntil(c.world.now() + 20_000);
      assertNotNull(c.leader());
    }
    assertEquals(3, c.checker.running(service.id()));
    assertEquals(before, c.checker.starts, "a task was started again");
  }

  /** While a controller serves that would run a chained job too early, none is taken. */
  @Test
  void notTakenBesideAnOldController() {
    SimulatedCluster c = SimulatedCluster.limited(31, NEXT, true);
    calm(c);
    JobSpec first = plain(c, List.of());
    c.upgrade("nodo-0", 2_000);
    c.upgrade("nodo-1", 2_000);
    c.world.runUntil(c.world.now() + 8_000);
    assertEquals(201, submit(c, "nodo-0", first).status());
    JobSpec second = plain(c, List.of(first.id()));
    Answer refused = submit(c, "nodo-1", second);
    assertEquals(503, refused.status());
    assertTrue(refused.retryAfterS() > 0);
    assertEquals(200, submit(c, "nodo-1", first).status());
    c.upgrade("nodo-2", 2_000);
    c.world.runUntil(c.world.now() + 15_000);
    assertEquals(201, submit(c, "nodo-1", second).status());
  }

  /** A leader that ends between a need's last task and the release loses nothing of it. */
  @ParameterizedTest
  @ValueSource(longs = {41, 42, 43})
  void releasedByTheNextLeader(long seed) {
    SimulatedCluster c = new SimulatedCluster(seed);
    calm(c);
    JobSpec first = plain(c, List.of());
    JobSpec second = plain(c, List.of(first.id()));
    assertEquals(201, submit(c, "nodo-0", first).status());
    assertEquals(201, submit(c, "nodo-1", second).status());
    boolean[] crashed = new boolean[1];
    c.state.onWrite.add(
        key -> {
          if (key.equals("final/" + first.id()) && !crashed[0]) {
            crashed[0] = true;
            c.crash(c.leader(), 30_000);
          }
        });
    c.world.runUntil(c.world.now() + 90_000);
    assertTrue(crashed[0]);
    assertTrue(c.checker.allCompleted(second.id()));
  }

  /**
   * A cancellation whose cascade nobody has begun: no leader is there, and the first controller
   * that is asked about the last job of the chain finishes it before it answers.
   */
  @Test
  void cascadeDoesNotWaitForALeader() throws WireException {
    SimulatedCluster c = new SimulatedCluster(51);
    calm(c);
    JobSpec root = endless(c);
    assertEquals(201, submit(c, "nodo-0", root).status());
    List<JobSpec> chain = new ArrayList<>(List.of(root));
    for (int i = 0; i < 4; i++) {
      JobSpec next = plain(c, List.of(chain.get(i).id()));
      assertEquals(201, submit(c, "nodo-" + i % 3, next).status());
      chain.add(next);
    }
    String leader = c.leader();
    String other = leader.equals("nodo-0") ? "nodo-1" : "nodo-0";
    c.state.transactionDelayMs =
        (caller, body) -> caller.equals(leader) && body.contains("withdrawn") ? 60_000 : 0;
    Answer a = cancel(c, other, root);
    assertEquals("withdrawn", a.fields().text("estado"));
    c.world.runUntil(c.world.now() + 1_000);
    Answer last = ask(c, other, "GET", "/v1/jobs/" + chain.get(4).id(), null);
    assertEquals("withdrawn", last.fields().text("estado"));
  }

  /** A leader that ends between a cancellation and its cascade: the next one knows what is left. */
  @ParameterizedTest
  @ValueSource(longs = {52, 53})
  void cascadeByTheNextLeader(long seed) {
    SimulatedCluster c = new SimulatedCluster(seed);
    calm(c);
    JobSpec root = endless(c);
    submit(c, "nodo-0", root);
    JobSpec next = plain(c, List.of(root.id()));
    submit(c, "nodo-1", next);
    JobSpec last = plain(c, List.of(next.id()));
    submit(c, "nodo-2", last);
    String leader = c.leader();
    c.state.onWrite.add(
        key -> {
          if (key.equals("final/" + root.id())) {
            c.crash(leader, 30_000);
          }
        });
    c.cancel(root.id());
    c.world.runUntil(c.world.now() + 25_000);
    assertNotEquals(leader, c.leader());
    assertEquals(1, c.state.countKeys("final/" + last.id()));
    assertEquals(0, c.state.countKeys("live/job/"));
  }

  /** An outage right after a need's end and a cancellation: nothing is lost of either. */
  @ParameterizedTest
  @ValueSource(longs = {54, 55})
  void outageBetweenAnEndAndWhatFollows(long seed) {
    SimulatedCluster c = new SimulatedCluster(seed);
    calm(c);
    JobSpec first = plain(c, List.of());
    submit(c, "nodo-0", first);
    JobSpec second = plain(c, List.of(first.id()));
    submit(c, "nodo-1", second);
    JobSpec root = endless(c);
    submit(c, "nodo-2", root);
    JobSpec orphan = plain(c, List.of(root.id()));
    submit(c, "nodo-0", orphan);
    c.state.onWrite.add(
        key -> {
          if (key.equals("final/" + first.id())) {
            c.cancel(root.id());
          } else if (key.equals("final/" + root.id())) {
            c.world.after(0, () -> c.state.outage(12_000));
          }
        });
    c.world.runUntil(c.world.now() + 90_000);
    assertTrue(c.checker.allCompleted(second.id()));
    assertEquals(1, c.state.countKeys("final/" + orphan.id()));
    assertEquals(0, c.checker.running(orphan.id()));
  }

  /** Submissions that race with the cancellation of what they need all end cancelled, and early. */
  @Test
  void submittedWhileItsNeedIsCancelled() {
    SimulatedCluster c = new SimulatedCluster(56);
    calm(c);
    List<JobSpec> late = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      JobSpec root = endless(c);
      submit(c, "nodo-0", root);
      JobSpec next = plain(c, List.of(root.id()));
      late.add(next);
      c.world.after(10, () -> c.cancel(root.id()));
      c.world.after(2 + i, () -> c.submit(next));
    }
    c.world.runUntil(c.world.now() + 20_000);
    for (JobSpec job : late) {
      assertEquals(1, c.state.countKeys("final/" + job.id()), job.id());
    }
    assertEquals(0, c.state.countKeys("live/job/"));
  }

  /** The leader cancels all that depends on a cancelled job, asked or not. */
  @ParameterizedTest
  @ValueSource(longs = {61, 62})
  void cascadeReachesAll(long seed) throws WireException {
    SimulatedCluster c = SimulatedCluster.limited(seed, NEXT, false);
    c.state.setLimits(NEXT);
    calm(c);
    JobSpec root = endless(c);
    assertEquals(201, submit(c, "nodo-0", root).status());
    List<JobSpec> all = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      JobSpec next =
          plain(c, List.of(i < 10 ? root.id() : all.get(c.world.random.nextInt(i)).id()));
      assertEquals(201, submit(c, "nodo-" + i % 3, next).status());
      all.add(next);
    }
    cancel(c, "nodo-1", root);
    c.world.runUntil(c.world.now() + 10_000);
    assertEquals(0, c.state.countKeys("live/job/"));
    for (JobSpec job : all) {
      Answer a = ask(c, "nodo-2", "GET", "/v1/jobs/" + job.id(), null);
      assertEquals("withdrawn", a.fields().text("estado"));
    }
  }

  /** Naming a cancelled job: accepted all the same, and cancelled. */
  @Test
  void namingACancelledJob() throws WireException {
    SimulatedCluster c = new SimulatedCluster(71);
    calm(c);
    JobSpec root = endless(c);
    submit(c, "nodo-0", root);
    cancel(c, "nodo-1", root);
    JobSpec next = plain(c, List.of(root.id()));
    assertEquals(201, submit(c, "nodo-2", next).status());
    c.world.runUntil(c.world.now() + 5_000);
    assertEquals(
        "withdrawn",
        ask(c, "nodo-0", "GET", "/v1/jobs/" + next.id(), null).fields().text("estado"));
  }

  /** A cancellation that is answered with done stops nothing. */
  @Test
  void cancelledTooLate() throws WireException {
    SimulatedCluster c = new SimulatedCluster(72);
    calm(c);
    JobSpec first = plain(c, List.of());
    JobSpec second = plain(c, List.of(first.id()));
    submit(c, "nodo-0", first);
    submit(c, "nodo-0", second);
    c.world.runUntil(c.world.now() + 60_000);
    assertTrue(c.checker.allCompleted(first.id()));
    Answer a = ask(c, "nodo-1", "POST", "/v1/jobs/" + first.id() + "/withdraw", new byte[0]);
    assertEquals("done", a.fields().text("estado"));
    c.world.runUntil(c.world.now() + 60_000);
    assertTrue(c.checker.allCompleted(second.id()));
  }

  /** What a submission may name, and what it gets otherwise. */
  @Test
  void whatMayBeNamed() throws WireException {
    SimulatedCluster c = new SimulatedCluster(81);
    calm(c);
    JobSpec first = plain(c, List.of());
    assertEquals(201, submit(c, "nodo-0", first).status());
    JobSpec never = plain(c, List.of("job-99999999"));
    Answer unknown = submit(c, "nodo-1", never);
    assertEquals(422, unknown.status());
    assertTrue(unknown.fields().text("error").startsWith("espera"));
    JobSpec self = plain(c, List.of());
    assertEquals(422, submit(c, "nodo-1", self.withDependencies(List.of(self.id()))).status());
    JobSpec service = c.job(true, 1, 1, false, false, false);
    c.checker.recordSubmission(service);
    submit(c, "nodo-0", service);
    assertEquals(422, submit(c, "nodo-1", plain(c, List.of(service.id()))).status());
    Fields bad = plain(c, List.of()).write().with("espera", "job-1");
    assertEquals(400, ask(c, "nodo-0", "POST", "/v1/jobs", Codec.CBOR.encode(bad)).status());
    Fields form = plain(c, List.of()).write().with("espera", List.of("tarea-1"));
    assertEquals(400, ask(c, "nodo-0", "POST", "/v1/jobs", Codec.CBOR.encode(form)).status());
    JobSpec second = plain(c, List.of(first.id()));
    assertEquals(201, submit(c, "nodo-2", second).status());
    assertEquals(
        200,
        submit(c, "nodo-1", second.withDependencies(List.of("job-99999999"))).status(),
        "known");
    c.state.outage(10_000);
    Answer later = submit(c, "nodo-0", plain(c, List.of("job-88888888")));
    assertEquals(503, later.status());
    assertEquals(1, later.retryAfterS());
  }

  /**
   * A list of needs that one value can't hold is kept whole, and what no transaction can is not.
   */
  @Test
  void manyNeeds() throws WireException {
    SimulatedCluster c = SimulatedCluster.limited(91, NEXT, false);
    c.state.setLimits(NEXT);
    calm(c);
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < 260; i++) {
      JobSpec job = endless(c);
      assertEquals(201, submit(c, "nodo-" + i % 3, job).status());
      ids.add(job.id());
    }
    JobSpec last = plain(c, ids);
    assertEquals(201, submit(c, "nodo-0", last).status());
    assertTrue(c.state.countKeys("live/chain/") > 0);
    for (String member : c.controllers.keySet()) {
      c.crash(member, 1_000);
    }
    c.world.runUntil(c.world.now() + 15_000);
    Answer a = ask(c, "nodo-2", "GET", "/v1/jobs/" + last.id(), null);
    assertEquals(260, a.fields().optTexts("espera").size());
    List<String> tooMany = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      tooMany.add("job-" + (1_000_000 + i));
    }
    Answer refused = submit(c, "nodo-0", plain(c, tooMany));
    assertEquals(400, refused.status());
    assertTrue(refused.fields().text("error").startsWith("espera"));
    assertEquals(0, c.state.refusedAsTooLarge);
  }

  /** If the service takes less than anyone said, what it refuses is made smaller, not repeated. */
  @Test
  void smallerThanAnnounced() {
    SimulatedCluster c = new SimulatedCluster(95);
    c.state.setLimits(new Settings.StateLimits(500, 200, 1_000, 2));
    calm(c);
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      JobSpec job = c.job(false, 10, 1, true, false, false);
      jobs.add(job);
      c.submit(job);
    }
    c.world.runUntil(c.world.now() + 200_000);
    for (JobSpec job : jobs) {
      assertTrue(c.checker.isOver(job.id()), job.toString());
    }
    assertNotEquals(0, c.state.refusedAsTooLarge);
    assertTrue(c.state.refusedAsTooLarge < 40, c.state.refusedAsTooLarge + " refusals");
  }

  /** A job that waits takes no part of its team's limit, and is not started. */
  @Test
  void waitingTakesNothing() throws WireException {
    SimulatedCluster c = new SimulatedCluster(96);
    calm(c);
    JobSpec root = endless(c);
    submit(c, "nodo-0", root);
    JobSpec next = plain(c, List.of(root.id()));
    submit(c, "nodo-0", next);
    c.world.runUntil(c.world.now() + 20_000);
    assertEquals(0, c.checker.running(next.id()));
    Fields f = ask(c, "nodo-1", "GET", "/v1/jobs/" + next.id(), null).fields();
    assertEquals("pending", f.text("estado"));
    assertEquals(List.of(root.id()), f.optTexts("espera"));
    assertFalse(ask(c, "nodo-1", "GET", "/v1/jobs/" + root.id(), null).fields().has("espera"));
  }

  private static void calm(SimulatedCluster c) {
    c.world.loss = 0;
    c.world.late = 0;
    c.world.runUntil(20_000);
  }

  private static JobSpec plain(SimulatedCluster c, List<String> dependencies) {
    return known(c, 2, 5, dependencies);
  }

  /** A job of one task that runs for days: it is live until it is cancelled. */
  private static JobSpec endless(SimulatedCluster c) {
    return known(c, 1, 1_000_000, List.of());
  }

  /**
   * The rules must know the job as it is submitted, without the place rules that chance gave it.
   */
  private static JobSpec known(
      SimulatedCluster c, int tasks, double estimateS, List<String> dependencies) {
    JobSpec any = c.job(false, tasks, 1, true, false, false);
    JobSpec spec =
        JobSpec.builder(any.id())
            .jobClass("lote")
            .team("roja")
            .priority(any.priority())
            .tasks(tasks)
            .cpus(1)
            .memGb(2)
            .image("img")
            .imageGb(1)
            .spotAllowed(true)
            .estimateS(estimateS)
            .dependencies(dependencies)
            .build();
    c.checker.recordSubmission(spec);
    return spec;
  }

  private static Answer cancel(SimulatedCluster c, String member, JobSpec job) {
    c.checker.recordCancelRequest(job.id());
    return ask(c, member, "POST", "/v1/jobs/" + job.id() + "/withdraw", new byte[0]);
  }

  private static Answer submit(SimulatedCluster c, String member, JobSpec spec) {
    return ask(c, member, "POST", "/v1/jobs", Codec.CBOR.encode(spec.write()));
  }

  private static Answer ask(
      SimulatedCluster c, String member, String method, String path, byte[] body) {
    Answer[] got = new Answer[1];
    c.controllers.get(member).api().handle(new Request(method, path, body), a -> got[0] = a);
    c.world.runUntil(c.world.now() + 300);
    assertNotNull(got[0], "no answer");
    return got[0];
  }
}
