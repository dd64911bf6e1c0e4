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

/** Feeds the checker histories made up for each rule: it fires just when the rule is broken. */
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

  /** Nobody: the machines of these histories boot, and no controller answers them. */
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

  /** A job of the red team, which may use 8 CPUs and 2 cards. */
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
    private boolean samePlace;
    private boolean apart;
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
          .sameZone(samePlace)
          .spreadAcrossZones(apart)
          .spotAllowed(spot)
          .estimateS(service ? 0 : 5)
          .dependencies(dependencies)
          .build();
    }
  }

  private static JobBuilder job() {
    return new JobBuilder();
  }

  private JobSpec accepted(JobBuilder builder) {
    JobSpec spec = builder.build();
    checker.recordSubmission(spec);
    tell(spec, "pending");
    return spec;
  }

  private void tell(JobSpec spec, String state) {
    checker.recordAnswer(spec.id(), state, checker.userKnowledge(spec.id()));
  }

  private void cancel(JobSpec spec) {
    checker.recordCancelRequest(spec.id());
    tell(spec, "withdrawn");
  }

  /** Lets so much time pass, with an event every 100 ms. */
  private void pass(long ms) {
    for (long t = 100; t <= ms; t += 100) {
      network.after(t, () -> {});
    }
    network.runUntil(network.now() + ms);
  }

  private static void assertBroken(String rule, Runnable history) {
    AssertionError error = assertThrows(AssertionError.class, history::run);
    assertTrue(error.getMessage().contains(" " + rule + ": "), error.getMessage());
  }

  @Test
  void waitingBreaksAfterNinetySeconds() {
    machine(SMALL, "norte", false);
    JobSpec spec = accepted(job());
    checker.recordTaskStart(machines.get(0), spec, 0);
    checker.recordEndOfFaults();
    assertDoesNotThrow(() -> pass(90_000));
    assertBroken("waiting", () -> pass(3_000));
  }

  @Test
  void waitingCountsOnlyOnceTheTroublesAreOver() {
    machine(SMALL, "norte", false);
    accepted(job());
    pass(300_000);
    checker.recordEndOfFaults();
    assertDoesNotThrow(() -> pass(90_000));
    assertBroken("waiting", () -> pass(3_000));
  }

  /**
   * Whose room it is makes no difference: work of any priority waits in front of a free machine.
   */
  @ParameterizedTest
  @CsvSource({
    "mesa,norte,false,true",
    "torre,norte,false,true",
    "mesa,sur,false,true",
    "mesa,norte,true,false"
  })
  void waitingNeedsAMachineOfTheRightKind(String type, String zone, boolean spot, boolean breaks) {
    machine(type.equals("mesa") ? SMALL : LARGE, zone, spot);
    accepted(job());
    checker.recordEndOfFaults();
    if (breaks) {
      assertBroken("waiting", () -> pass(95_000));
    } else {
      assertDoesNotThrow(() -> pass(300_000));
    }
  }

  /**
   * None of these jobs could be started on the one machine there is, of the small type in norte.
   */
  @Test
  void waitingIsExcusedWhereNothingFits() {
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
    JobBuilder crowded = job();
    crowded.id = "job-000004";
    crowded.apart = true;
    JobBuilder together = job();
    together.id = "job-000005";
    together.samePlace = true;
    together.spot = true;
    List.of(elsewhere, otherType, tooLarge).forEach(this::accepted);
    JobSpec apart = accepted(crowded);
    checker.recordTaskStart(small, apart, 0);
    JobSpec place = accepted(together);
    checker.recordTaskStart(far, place, 0);
    JobBuilder filler = job();
    filler.id = "job-000006";
    filler.spot = true;
    filler.tasks = 1;
    filler.memGb = 62;
    JobSpec full = accepted(filler);
    checker.recordTaskStart(far, full, 0);
    checker.recordEndOfFaults();
    assertDoesNotThrow(() -> pass(300_000));
    checker.recordTaskEnd(far, full, 0, true);
    assertBroken("waiting", () -> pass(95_000));
  }

  @Test
  void waitingIsExcusedAtTheTeamsLimit() {
    WorkerEmulator large = machine(LARGE, "norte", false);
    JobBuilder eight = job();
    eight.tasks = 8;
    JobSpec first = accepted(eight);
    for (int i = 0; i < 8; i++) {
      checker.recordTaskStart(large, first, i);
    }
    JobBuilder second = job();
    second.id = "job-000002";
    accepted(second);
    checker.recordEndOfFaults();
    assertDoesNotThrow(() -> pass(300_000));
    checker.recordTaskEnd(large, first, 0, true);
    assertBroken("waiting", () -> pass(95_000));
  }

  @Test
  void waitingIsExcusedWhileDependenciesAreNotDone() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobBuilder needed = job();
    needed.tasks = 1;
    JobSpec first = accepted(needed);
    checker.recordTaskStart(small, first, 0);
    JobBuilder dependent = job();
    dependent.id = "job-000002";
    dependent.dependencies = List.of(first.id());
    accepted(dependent);
    checker.recordEndOfFaults();
    assertDoesNotThrow(() -> pass(300_000));
    checker.recordTaskEnd(small, first, 0, true);
    assertBroken("waiting", () -> pass(95_000));
  }

  @Test
  void waitingIsExcusedForCancelledJobsAndByProgress() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobBuilder unwanted = job();
    unwanted.id = "job-000002";
    cancel(accepted(unwanted));
    JobSpec spec = accepted(job());
    checker.recordEndOfFaults();
    for (int i = 0; i < 4; i++) {
      assertDoesNotThrow(() -> pass(80_000));
      checker.recordTaskStart(small, spec, 0);
      checker.recordTaskEnd(small, spec, 0, false);
    }
    assertBroken("waiting", () -> pass(95_000));
  }

  @Test
  void aCancelledTaskMustBeGoneInTime() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobSpec spec = accepted(job());
    checker.recordTaskStart(small, spec, 0);
    pass(5_000);
    cancel(spec);
    assertDoesNotThrow(() -> pass(CANCEL_MS));
    assertBroken("ran_cancelled", () -> pass(200));
  }

  /** A machine that hung goes on with a task long after: there is no upper bound to the rule. */
  @ParameterizedTest
  @CsvSource({"40000", "100000", "3000000"})
  void aCancelledTaskMustNotGoOnLongAfter(long laterMs) {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobSpec spec = accepted(job());
    checker.recordTaskStart(small, spec, 0);
    cancel(spec);
    pass(1_000);
    checker.recordTaskEnd(small, spec, 0, false);
    network.runUntil(network.now() + laterMs);
    assertBroken("ran_cancelled", () -> checker.recordTaskStart(small, spec, 0));
  }

  /** The task was there all the time, and nothing happened until long after: still seen. */
  @Test
  void aCancelledTaskIsFoundHoweverLateOneLooks() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobSpec spec = accepted(job());
    checker.recordTaskStart(small, spec, 0);
    cancel(spec);
    small.terminate(true);
    network.at(network.now() + 20 * CANCEL_MS, () -> {});
    assertBroken("ran_cancelled", () -> network.runUntil(network.now() + 21 * CANCEL_MS));
  }

  @Test
  void startsAfterAConfirmedCancellationAreCounted() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobSpec spec = accepted(job());
    checker.recordTaskStart(small, spec, 0);
    assertEquals(0, checker.startsAfterCancel);
    cancel(spec);
    checker.recordTaskStart(small, spec, 1);
    assertEquals(1, checker.startsAfterCancel);
  }

  /** The answer is older by one task than one given before its question was sent. */
  @Test
  void countsOfDoneTasksMustNotFall() {
    JobSpec spec = accepted(job());
    InvariantChecker.UserKnowledge early = checker.userKnowledge(spec.id());
    network.runUntil(network.now() + 1);
    checker.recordAnswer(spec.id(), "running", 2, early);
    // A question sent before that answer may be answered with less, one sent after it not.
    checker.recordAnswer(spec.id(), "running", 1, early);
    InvariantChecker.UserKnowledge late = checker.userKnowledge(spec.id());
    assertDoesNotThrow(() -> checker.recordAnswer(spec.id(), "running", -1, late));
    assertDoesNotThrow(() -> checker.recordAnswer(spec.id(), "running", 2, late));
    assertBroken("went_back", () -> checker.recordAnswer(spec.id(), "running", 1, late));
  }

  /** A millisecond between an answer and the next question is enough. */
  @Test
  void statesMustNotBeOlderThanWhatWasTold() {
    WorkerEmulator small = machine(SMALL, "norte", false);
    JobBuilder single = job();
    single.tasks = 1;
    JobSpec done = accepted(single);
    checker.recordTaskStart(small, done, 0);
    checker.recordTaskEnd(small, done, 0, true);
    InvariantChecker.UserKnowledge early = checker.userKnowledge(done.id());
    tell(done, "done");
    assertDoesNotThrow(() -> checker.recordAnswer(done.id(), "running", early));
    network.runUntil(network.now() + 1);
    assertBroken("went_back", () -> tell(done, "running"));
    JobBuilder other = job();
    other.id = "job-000002";
    JobSpec cancelled = accepted(other);
    cancel(cancelled);
    assertBroken("went_back", () -> tell(cancelled, "pending"));
    InvariantChecker.UserKnowledge known = checker.userKnowledge(cancelled.id());
    assertBroken("forgotten", () -> checker.recordRefusal(cancelled.id(), 404, known));
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
  void whatCanNeverRunMustNotBeAccepted(
      String team,
      double cpus,
      double cards,
      double memGb,
      String type,
      String zone,
      boolean service,
      int tasks) {
    JobBuilder b = job();
    b.team = team;
    b.cpus = cpus;
    b.cards = cards;
    b.memGb = memGb;
    b.types = type == null ? null : List.of(type);
    b.zone = zone;
    b.service = service;
    b.tasks = tasks;
    assertBroken("accepted_invalid", () -> accepted(b));
  }

  @Test
  void whatCanRunMayBeAccepted() {
    JobBuilder array = job();
    array.tasks = 1_000;
    array.cpus = 8;
    array.cards = 1;
    JobBuilder service = job();
    service.id = "job-000002";
    service.service = true;
    service.tasks = 8;
    assertDoesNotThrow(() -> accepted(array));
    assertDoesNotThrow(() -> accepted(service));
  }

  @Test
  void whatLacksAFieldMustNotBeAccepted() {
    checker.recordInvalidSubmission("job-000077");
    InvariantChecker.UserKnowledge before = checker.userKnowledge("job-000077");
    assertDoesNotThrow(() -> checker.recordRefusal("job-000077", 400, before));
    assertBroken("accepted_invalid", () -> checker.recordAnswer("job-000077", "pending", before));
  }
}
