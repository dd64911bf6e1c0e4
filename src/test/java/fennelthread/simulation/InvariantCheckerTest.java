package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import fennelthread.wire.MachineType;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Feeds the checker a constructed history for each rule: it must fail exactly when the rule is
 * broken.
 */
class InvariantCheckerTest {
  private static final long CANCEL_MS = 30_000;
  private static final List<String> ZONES = List.of("norte", "sur");
  private static final MachineType SMALL =
      new MachineType("mesa", 4, 0, 16, 20, 0.5, 0.3, 0.1, 6, ZONES);
  private static final MachineType LARGE =
      new MachineType("torre", 16, 1, 64, 40, 1, 1.5, 0.5, 9, ZONES);

  private final SimulatedNetwork network = new SimulatedNetwork(1);
  private final List<WorkerEmulator> machines = new ArrayList<>();
  private final Environment surroundings = new Environment();
  private InvariantChecker checker;

  /** The environment of machines that boot and report, with no controller that answers them. */
  private static final class Environment implements WorkerEmulator.Environment {
    @Override
    public Map<String, String> controllers() {
      return Map.of("nodo-0", "10.0.0.1:8080");
    }

    @Override
    public JobSpec job(String id) {
      return null;
    }

    @Override
    public void onTaskStart(WorkerEmulator worker, JobSpec spec, int index) {}

    @Override
    public void onTaskEnd(WorkerEmulator worker, JobSpec spec, int index, boolean completed) {}

    @Override
    public long reportMs() {
      return 1_500;
    }

    @Override
    public long leaseMs() {
      return 10_000;
    }
  }

  @BeforeEach
  void start() {
    Map<String, Settings.Team> teams = new HashMap<>();
    teams.put("roja", new Settings.Team("roja", 0, 8, 0, 2));
    Settings settings =
        new Settings(
            "nodo-0",
            "norte",
            "10.0.0.1:8080",
            "10.0.0.1:8081",
            List.of(),
            "10.2.0.2:8443",
            "10.2.0.1:2379",
            ZONES,
            teams,
            List.of(),
            new Settings.WorkerTiming(1_500, 10_000, CANCEL_MS),
            new Settings.StateLimits(150, 50, 8 * 1024, 16),
            new Settings.CloudLimits(5, 2_000),
            500);
    checker = new InvariantChecker(network, settings);
    checker.watch(List.of(SMALL, LARGE), () -> machines);
    network.afterEach(checker::check);
  }

  private WorkerEmulator machine(MachineType type, String zone, boolean spot) {
    String name = String.format("n-%06d", machines.size() + 1);
    String address = "10.1.0." + (machines.size() + 1) + ":9000";
    WorkerEmulator worker =
        new WorkerEmulator(network, surroundings, name, address, type, zone, spot);
    machines.add(worker);
    worker.boot();
    return worker;
  }

  /** A job of the team {@code roja}, whose limits are 8 CPUs and 2 GPUs. */
  private static final class JobBuilder {
    private String id = "job-000001";
    private String team = "roja";
    private boolean service;
    private int tasks = 2;
    private double cpus = 1;
    private double cards;
    private double memGb = 2;
    private List<String> types;
    private String zone;
    private boolean sameZone;
    private boolean spreadAcrossZones;
    private boolean spot;
    private List<String> dependencies = List.of();

    JobSpec build() {
      return JobSpec.builder(id)
          .jobClass(service ? "servicio" : "lote")
          .team(team)
          .service(service)
          .tasks(tasks)
          .cpus(cpus)
          .cards(cards)
          .memGb(memGb)
          .image("img-0")
          .imageGb(1)
          .types(types)
          .zone(zone)
          .sameZone(sameZone)
          .spreadAcrossZones(spreadAcrossZones)
          .spotAllowed(spot)
          .estimateS(service ? 0 : 5)
          .dependencies(dependencies)
          .build();
    }
  }

  private static JobBuilder job() {
    return new JobBuilder();
  }

  private JobSpec submitAndAccept(JobBuilder builder) {
    JobSpec spec = builder.build();
    checker.recordSubmission(spec);
    reportState(spec, "pending");
    return spec;
  }

  private void reportState(JobSpec spec, String state) {
    checker.recordAnswer(spec.id(), state, checker.userKnowledge(spec.id()));
  }

  private void cancel(JobSpec spec) {
    checker.recordCancelRequest(spec.id());
    reportState(spec, "withdrawn");
  }

  /** Advances the simulated time, with an event every 100 ms at which the rules are checked. */
  private void advance(long ms) {
    for (long t = 100; t <= ms; t += 100) {
      network.after(t, () -> {});
    }
    network.runUntil(network.now() + ms);
  }

  private static void assertRuleBroken(String rule, Runnable history) {
    AssertionError error = assertThrows(AssertionError.class, history::run);
    assertTrue(error.getMessage().contains(" " + rule + ": "), error.getMessage());
  }

  @Test
  void waitingRuleBreaksAfterNinetySeconds() {
    machine(SMALL, "norte", false);
    JobSpec spec = submitAndAccept(job());
    checker.recordTaskStart(machines.get(0), spec, 0);
    checker.recordEndOfFaults();
    assertDoesNotThrow(() -> advance(90_000));
    assertRuleBroken("waiting", () -> advance(3_000));
  }

  @Test
  void waitingIsCountedOnlyAfterTheFaults() {
    machine(SMALL, "norte", false);
    submitAndAccept(job());
    advance(300_000);
    checker.recordEndOfFaults();
    assertDoesNotThrow(() -> advance(90_000));
    assertRuleBroken("waiting", () -> advance(3_000));
  }

  /**
   * The waiting rule counts any machine on which the task fits, whatever the priority of the job.
   */
  @ParameterizedTest
  @CsvSource({
    "mesa,norte,false,true",
    "torre,norte,false,true",
    "mesa,sur,false,true",
    "mesa,norte,true,false"
  })
  void waitingRuleNeedsAMachineThatTheJobAllows(
      String type, String zone, boolean spot, boolean mustBreak) {
    machine(type.equals("mesa") ? SMALL : LARGE, zone, spot);
    submitAndAccept(job());
    checker.recordEndOfFaults();
    if (mustBreak) {
      assertRuleBroken("waiting", () -> advance(95_000));
    } else {
      assertDoesNotThrow(() -> advance(300_000));
    }
  }

  /**
   * None of the jobs can start on either machine: zone, type, spot, size, spreading or memory
   * stands against each.
   */
  @Test
  void waitingIsAllowedWhereNothingFits() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    WorkerEmulator far = machine(LARGE, "sur", true);
    JobBuilder elsewhere = job();
    elsewhere.zone = "sur";
    JobBuilder otherType = job();
    otherType.id = "job-000002";
    otherType.types = List.of("torre");
    JobBuilder tooLarge = job();
    tooLarge.id = "job-000003";
    tooLarge.cpus = 4;
    JobBuilder spread = job();
    spread.id = "job-000004";
    spread.spreadAcrossZones = true;
    JobBuilder inOneZone = job();
    inOneZone.id = "job-000005";
    inOneZone.sameZone = true;
    inOneZone.spot = true;
    List.of(elsewhere, otherType, tooLarge).forEach(this::submitAndAccept);
    JobSpec spreadJob = submitAndAccept(spread);
    checker.recordTaskStart(small, spreadJob, 0);
    JobSpec sameZoneJob = submitAndAccept(inOneZone);
    checker.recordTaskStart(far, sameZoneJob, 0);
    JobBuilder filler = job();
    filler.id = "job-000006";
    filler.spot = true;
    filler.tasks = 1;
    filler.memGb = 62;
    JobSpec fillerJob = submitAndAccept(filler);
    checker.recordTaskStart(far, fillerJob, 0);
    checker.recordEndOfFaults();
    assertDoesNotThrow(() -> advance(300_000));
    checker.recordTaskEnd(far, fillerJob, 0, true);
    assertRuleBroken("waiting", () -> advance(95_000));
  }

  @Test
  void waitingIsAllowedAtTheTeamLimit() {
    WorkerEmulator large = machine(LARGE, "norte", false);
    JobBuilder eight = job();
    eight.tasks = 8;
    JobSpec first = submitAndAccept(eight);
    for (int i = 0; i < 8; i++) {
      checker.recordTaskStart(large, first, i);
    }
    JobBuilder second = job();
    second.id = "job-000002";
    submitAndAccept(second);
    checker.recordEndOfFaults();
    assertDoesNotThrow(() -> advance(300_000));
    checker.recordTaskEnd(large, first, 0, true);
    assertRuleBroken("waiting", () -> advance(95_000));
  }

  @Test
  void waitingIsAllowedWhileDependenciesAreNotDone() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobBuilder dependency = job();
    dependency.tasks = 1;
    JobSpec first = submitAndAccept(dependency);
    checker.recordTaskStart(small, first, 0);
    JobBuilder dependent = job();
    dependent.id = "job-000002";
    dependent.dependencies = List.of(first.id());
    submitAndAccept(dependent);
    checker.recordEndOfFaults();
    assertDoesNotThrow(() -> advance(300_000));
    checker.recordTaskEnd(small, first, 0, true);
    assertRuleBroken("waiting", () -> advance(95_000));
  }

  @Test
  void waitingIsAllowedForCancelledJobsAndAfterProgress() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobBuilder unwanted = job();
    unwanted.id = "job-000002";
    cancel(submitAndAccept(unwanted));
    JobSpec spec = submitAndAccept(job());
    checker.recordEndOfFaults();
    for (int i = 0; i < 4; i++) {
      assertDoesNotThrow(() -> advance(80_000));
      checker.recordTaskStart(small, spec, 0);
      checker.recordTaskEnd(small, spec, 0, false);
    }
    assertRuleBroken("waiting", () -> advance(95_000));
  }

  @Test
  void aCancelledTaskMustBeGoneInTime() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobSpec spec = submitAndAccept(job());
    checker.recordTaskStart(small, spec, 0);
    advance(5_000);
    cancel(spec);
    assertDoesNotThrow(() -> advance(CANCEL_MS));
    assertRuleBroken("ran_cancelled", () -> advance(200));
  }

  /**
   * A machine that hung may resume a cancelled task at any later time, so the rule has no upper
   * bound.
   */
  @ParameterizedTest
  @CsvSource({"40000", "100000", "3000000"})
  void aCancelledTaskMustNotResumeLater(long laterMs) {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobSpec spec = submitAndAccept(job());
    checker.recordTaskStart(small, spec, 0);
    cancel(spec);
    advance(1_000);
    checker.recordTaskEnd(small, spec, 0, false);
    network.runUntil(network.now() + laterMs);
    assertRuleBroken("ran_cancelled", () -> checker.recordTaskStart(small, spec, 0));
  }

  /**
   * The task runs on without any event until long after its deadline: the next check still finds
   * it.
   */
  @Test
  void aCancelledTaskThatRunsOnIsFoundByALateCheck() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobSpec spec = submitAndAccept(job());
    checker.recordTaskStart(small, spec, 0);
    cancel(spec);
    small.terminate(true);
    network.at(network.now() + 20 * CANCEL_MS, () -> {});
    assertRuleBroken("ran_cancelled", () -> network.runUntil(network.now() + 21 * CANCEL_MS));
  }

  @Test
  void startsAfterAConfirmedCancellationAreCounted() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobSpec spec = submitAndAccept(job());
    checker.recordTaskStart(small, spec, 0);
    assertEquals(0, checker.startsAfterCancel);
    cancel(spec);
    checker.recordTaskStart(small, spec, 1);
    assertEquals(1, checker.startsAfterCancel);
  }

  /** Users must not be told fewer done tasks than in an answer that preceded their request. */
  @Test
  void countsOfDoneTasksMustNotFall() {
    JobSpec spec = submitAndAccept(job());
    InvariantChecker.UserKnowledge early = checker.userKnowledge(spec.id());
    network.runUntil(network.now() + 1);
    checker.recordAnswer(spec.id(), "running", 2, early);
    // An answer to a request sent before that answer may count less, one sent after it may not.
    checker.recordAnswer(spec.id(), "running", 1, early);
    InvariantChecker.UserKnowledge late = checker.userKnowledge(spec.id());
    assertDoesNotThrow(() -> checker.recordAnswer(spec.id(), "running", -1, late));
    assertDoesNotThrow(() -> checker.recordAnswer(spec.id(), "running", 2, late));
    assertRuleBroken("went_back", () -> checker.recordAnswer(spec.id(), "running", 1, late));
  }

  /** One millisecond between an answer and the next request is enough to order the two. */
  @Test
  void statesMustNotBeOlderThanAnEarlierAnswer() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobBuilder single = job();
    single.tasks = 1;
    JobSpec done = submitAndAccept(single);
    checker.recordTaskStart(small, done, 0);
    checker.recordTaskEnd(small, done, 0, true);
    InvariantChecker.UserKnowledge early = checker.userKnowledge(done.id());
    reportState(done, "done");
    assertDoesNotThrow(() -> checker.recordAnswer(done.id(), "running", early));
    network.runUntil(network.now() + 1);
    assertRuleBroken("went_back", () -> reportState(done, "running"));
    JobBuilder other = job();
    other.id = "job-000002";
    JobSpec cancelled = submitAndAccept(other);
    cancel(cancelled);
    assertRuleBroken("went_back", () -> reportState(cancelled, "pending"));
    InvariantChecker.UserKnowledge known = checker.userKnowledge(cancelled.id());
    assertRuleBroken("forgotten", () -> checker.recordRefusal(cancelled.id(), 404, known));
  }

  @ParameterizedTest
  @CsvSource({
    "nadie,1,0,2,,,false,1",
    "roja,17,0,2,,,false,1",
    "roja,1,2,2,,,false,1",
    "roja,1,0,65,,,false,1",
    "roja,5,0,2,mesa,,false,1",
    "roja,1,0,2,,oeste,false,1",
    "roja,9,0,2,,,false,1",
    "roja,1,0,2,,,true,9"
  })
  void jobsThatCanNeverRunMustNotBeAccepted(
      String team,
      double cpus,
      double cards,
      double memGb,
      String type,
      String zone,
      boolean service,
      int tasks) {
    JobBuilder builder = job();
    builder.team = team;
    builder.cpus = cpus;
    builder.cards = cards;
    builder.memGb = memGb;
    builder.types = type == null ? null : List.of(type);
    builder.zone = zone;
    builder.service = service;
    builder.tasks = tasks;
    assertRuleBroken("accepted_invalid", () -> submitAndAccept(builder));
  }

  @Test
  void jobsThatCanRunMayBeAccepted() {
    JobBuilder array = job();
    array.tasks = 1_000;
    array.cpus = 8;
    array.cards = 1;
    JobBuilder service = job();
    service.id = "job-000002";
    service.service = true;
    service.tasks = 8;
    assertDoesNotThrow(() -> submitAndAccept(array));
    assertDoesNotThrow(() -> submitAndAccept(service));
  }

  @Test
  void jobsThatLackAFieldMustNotBeAccepted() {
    checker.recordInvalidSubmission("job-000077");
    InvariantChecker.UserKnowledge before = checker.userKnowledge("job-000077");
    assertDoesNotThrow(() -> checker.recordRefusal("job-000077", 400, before));
    assertRuleBroken(
        "accepted_invalid", () -> checker.recordAnswer("job-000077", "pending", before));
  }
}
