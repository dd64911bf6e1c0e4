package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Where two troubles meet. The rules are checked after each step; each test sees to it that its
 * meeting came about. The gap has {@link UnseenCancellationsTest}, late copies {@link
 * DuplicateMessagesTest}, machines that hear nothing {@link OneWayPartitionTest}, processes that
 * are back within a second {@link RestartTest}. Leases are of 10 s, cancelled jobs' tasks gone
 * after 30 s.
 */
class FaultCombinationsTest {
  private static final int MACHINES = 60;

  private static SimulatedCluster settled(long seed) {
    return Scenes.settled(seed, Deployment.large(MACHINES), 0);
  }

  private static JobSpec lasting(SimulatedCluster cluster, int tasks, double estimateS) {
    JobSpec any = cluster.plainJob(false, tasks);
    return JobSpec.builder(any.id())
        .jobClass(any.jobClass())
        .team(any.team())
        .priority(any.priority())
        .tasks(tasks)
        .cpus(1)
        .memGb(2)
        .image(any.image())
        .imageGb(1)
        .spotAllowed(true)
        .estimateS(estimateS)
        .build();
  }

  /** Jobs of some tasks, one every so often, of which every third is cancelled a little later. */
  private static List<JobSpec> busy(SimulatedCluster cluster, int count, long everyMs) {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      JobSpec job = lasting(cluster, 1 + i % 4, 2 + i % 11);
      jobs.add(job);
      cluster.world.after(i * everyMs, () -> cluster.submit(job));
      if (i % 3 == 0) {
        cluster.world.after(i * everyMs + 300 + i % 7 * 400L, () -> cluster.cancel(job.id()));
      }
    }
    return jobs;
  }

  /** Nothing fails any more: every job is over, every question answered, every service whole. */
  private static void settle(SimulatedCluster cluster, List<JobSpec> services, List<JobSpec> jobs) {
    cluster.world.runUntil(cluster.world.now() + 60_000);
    cluster.checker.recordEndOfFaults();
    cluster.world.runUntil(cluster.world.now() + 60_000);
    assertTrue(cluster.allRun(services), "services are whole");
    assertEquals(
        List.of(),
        jobs.stream().map(JobSpec::id).filter(id -> !cluster.checker.isOver(id)).toList());
    cluster.checker.checkServed(30_000);
  }

  private static int staleRuns(SimulatedCluster cluster) {
    return cluster.cloud.machines().values().stream().mapToInt(worker -> worker.staleRuns).sum();
  }

  // ---------------------------------------------------------------- a command is held up, and the
  // machine goes on

  /**
   * Starts, stops and their answers are held up for seconds to a minute, machines hang and go on,
   * leaders change and jobs are cancelled meanwhile. What was started elsewhere, or is over, is not
   * started by a held command: the token was raised before anything was concluded.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void commandsAreHeldAndTheMachineGoesOn(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    cluster.world.holdMessages(
        new SimulatedNetwork.HeldMessages("/commands", false, 0.25, 2_000, 60_000), 60_000);
    cluster.world.holdMessages(
        new SimulatedNetwork.HeldMessages("/commands", true, 0.15, 2_000, 60_000), 60_000);
    List<JobSpec> jobs = busy(cluster, 80, 700);
    for (int i = 0; i < 12; i++) {
      cluster.world.after(
          2_000 + i * 4_500L,
          () -> {
            List<WorkerEmulator> all = List.copyOf(cluster.cloud.machines().values());
            all.get(cluster.world.faults.nextInt(all.size()))
                .hang(3_000 + cluster.world.faults.nextInt(6_000));
          });
    }
    for (int i = 0; i < 3; i++) {
      cluster.world.after(10_000 + i * 17_000L, () -> ifLed(cluster, m -> cluster.crash(m, 300)));
    }
    cluster.world.runUntil(cluster.world.now() + 60_000);
    assertTrue(cluster.world.deliveredLate > 50, cluster.world.deliveredLate + " late");
    settle(cluster, services, jobs);
    assertTrue(staleRuns(cluster) > 0, "no start came under an old token");
  }

  private static void ifLed(SimulatedCluster cluster, java.util.function.Consumer<String> trouble) {
    if (cluster.leader() != null) {
      trouble.accept(cluster.leader());
    }
  }

  // ---------------------------------------------------------------- a transaction is carried out
  // late

  /**
   * A share of all transactions gets no answer and is carried out 2 to 12 s later, after newer ones
   * of the same controller: submissions, cancellations, rounds, finished batches, removals, claims.
   * Leaders end meanwhile.
   */
  @ParameterizedTest
  @CsvSource({"1,0.1", "2,0.3", "3,0.3", "4,0.5", "5,0.2", "6,0.3"})
  void transactionsAreCarriedOutLate(long seed, double share) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    cluster.state.delayTransactions(share, 70_000);
    List<JobSpec> jobs = busy(cluster, 80, 800);
    for (int i = 0; i < 4; i++) {
      cluster.world.after(8_000 + i * 15_000L, () -> ifLed(cluster, m -> cluster.crash(m, 50)));
    }
    cluster.world.runUntil(cluster.world.now() + 82_000);
    assertTrue(cluster.state.appliedLate > 20, cluster.state.appliedLate + " late");
    settle(cluster, services, jobs);
  }

  /** The same in the storm of everything. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13, 14})
  void lateTransactionsInAStorm(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.state.delayTransactions(0.2, 300_000);
    cluster.world.holdMessages(
        new SimulatedNetwork.HeldMessages("/commands", false, 0.1, 2_000, 60_000), 300_000);
    cluster.world.copyRequests(
        new SimulatedNetwork.RequestCopies("/agent/beat", 0.2, 2_000, 30_000), 300_000);
    cluster.addRandomUsersAndFaults(300_000);
    SimulationTest.settle(cluster);
    assertTrue(cluster.state.appliedLate > 50, cluster.state.appliedLate + " late");
  }

  /**
   * Pipelines of users, whose jobs wait for one another, with late transactions and cancellations.
   */
  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23})
  void lateTransactionsOfChainedJobs(long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed);
    cluster.state.delayTransactions(0.25, 200_000);
    cluster.pipelines(200_000);
    cluster.addRandomUsersAndFaults(200_000);
    SimulationTest.settle(cluster);
    assertTrue(cluster.state.appliedLate > 50, cluster.state.appliedLate + " late");
  }

  // ---------------------------------------------------------------- small jobs end far apart
  // across a leader's end

  /**
   * Jobs of two or three tasks of which one ends at once and another long after, a change of leader
   * between them, and again; the leader ends in the middle of its writing of finished tasks, too.
   * What is done is neither lost nor counted twice: no job is called done early, none stays open,
   * no completed task is started again.
   */
  @ParameterizedTest
  @CsvSource({"1,50,0", "2,300,0", "3,4000,0", "4,50,0.3", "5,4000,0.3"})
  void smallJobsEndFarApart(long seed, long downMs, double lateShare) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 6, 100, 15_000);
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      JobSpec job = lasting(cluster, 2 + i % 2, 1 + i % 5 * 9);
      jobs.add(job);
      cluster.world.after(i * 500L, () -> cluster.submit(job));
    }
    cluster.state.delayTransactions(lateShare, 50_000);
    int[] changes = new int[1];
    int[] inTheWriting = new int[1];
    cluster.state.onWrite.add(
        key -> {
          if (key.startsWith("live/done/")
              && inTheWriting[0] < 4
              && cluster.state.caller().equals(cluster.leader())) {
            inTheWriting[0]++;
            cluster.crash(cluster.state.caller(), downMs);
          }
        });
    for (int i = 0; i < 5; i++) {
      cluster.world.after(
          3_000 + i * 9_000L,
          () ->
              ifLed(
                  cluster,
                  m -> {
                    changes[0]++;
                    cluster.crash(m, downMs);
                  }));
    }
    cluster.world.runUntil(cluster.world.now() + 60_000);
    assertTrue(changes[0] >= 3, changes[0] + " changes of leader");
    settle(cluster, services, jobs);
    for (JobSpec job : jobs) {
      assertTrue(cluster.checker.allCompleted(job.id()), job.id());
    }
    assertEquals(0, cluster.checker.startsAfterDone, "completed tasks started again");
  }

  /**
   * A batch of finished tasks that gets no answer is carried out after newer ones of the same
   * leader, and all controllers end then: the next leader knows of every task whose end a worker
   * was told to clear.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void aLateBatchOfFinishedTasksTakesNothingBack(long seed) {
    SimulatedCluster cluster = settled(seed);
    long[] carriedOutAt = {Long.MAX_VALUE};
    int[] ends = new int[1];
    cluster.state.transactionDelayMs =
        (caller, body) -> {
          if (ends[0] > 0
              || carriedOutAt[0] != Long.MAX_VALUE
              || !body.contains("live/finished/")) {
            return 0;
          }
          carriedOutAt[0] = cluster.world.now() + 8_000;
          return 8_000;
        };
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      JobSpec job = lasting(cluster, 60, 14);
      jobs.add(job);
      cluster.submit(job);
    }
    for (int i = 0; i < 60_000 / 5 && ends[0] == 0; i++) {
      cluster.world.runUntil(cluster.world.now() + 5);
      if (cluster.world.now() > carriedOutAt[0]) {
        ends[0]++;
        // All of them: a follower that saw the newer batch come would remember it.
        List.copyOf(cluster.controllers.keySet()).forEach(m -> cluster.crash(m, 300));
      }
    }
    assertEquals(1, ends[0], "no batch came late");
    assertTrue(
        jobs.stream().noneMatch(job -> cluster.checker.allCompleted(job.id())),
        "too late to matter");
    // That no record of finished tasks loses one is checked with each write (Cluster).
    settle(cluster, List.of(), jobs);
    assertEquals(0, cluster.checker.startsAfterDone, "completed tasks started again");
  }

  // ---------------------------------------------------------------- machines can't be reached when
  // the leader ends

  /**
   * A leader ends while a third of the machines, with long tasks, is cut off, or hears nothing of
   * the next one: their tasks count as present until proven gone, over two more changes of leader,
   * and none runs twice.
   */
  @ParameterizedTest
  @CsvSource({"1,false", "2,true", "3,false", "4,true"})
  void theLeaderEndsWhileMachinesCanNotBeReached(long seed, boolean oneWay) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 8, 100, 15_000);
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      JobSpec job = lasting(cluster, 6, 60);
      jobs.add(job);
      cluster.world.after(i * 100L, () -> cluster.submit(job));
    }
    cluster.world.runUntil(cluster.world.now() + 6_000);
    int untold = 0;
    int with = 0;
    for (WorkerEmulator worker : List.copyOf(cluster.cloud.machines().values())) {
      if (untold++ % 3 != 0) {
        continue;
      }
      with +=
          cluster.checker.tasksOnMachines().stream().anyMatch(p -> p.endsWith("@" + worker.name()))
              ? 1
              : 0;
      if (oneWay) {
        cluster.world.cutOneWay("nodo", worker.name(), 35_000);
      } else {
        cluster.world.cut(worker.name(), "nodo", 8_500);
      }
    }
    assertTrue(with > 2, with + " machines with tasks");
    String first = cluster.leader();
    cluster.crash(first, 3_000);
    cluster.world.runUntil(cluster.world.now() + 4_000);
    assertNotEquals(first, cluster.leader());
    ifLed(cluster, m -> cluster.crash(m, 300));
    cluster.world.runUntil(cluster.world.now() + 5_000);
    ifLed(cluster, m -> cluster.crash(m, 50));
    cluster.world.runUntil(cluster.world.now() + 40_000);
    settle(cluster, services, jobs);
  }

  // ---------------------------------------------------------------- a leader is alone with its
  // workers

  /**
   * A leader loses the state service and the others, not its workers and users, and jobs are
   * cancelled through the next one, while their tasks are on machines that report to the old one.
   * For the whole of it users ask everybody, and nobody hears an old answer; an outage of the state
   * service comes before, inside or never.
   */
  @ParameterizedTest
  @CsvSource({
    "1,5000,none",
    "2,20000,none",
    "3,60000,none",
    "4,180000,none",
    "5,60000,before",
    "6,60000,inside",
    "7,60000,in turn",
    "8,20000,in turn"
  })
  void aLeaderAloneWithItsWorkers(long seed, long forMs, String outage) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 20, 100, 15_000);
    String old = cluster.leader();
    if (outage.equals("before")) {
      cluster.state.outage(12_000);
      cluster.world.runUntil(cluster.world.now() + 11_000);
    }
    cluster.isolateFromPeersAndState(old, forMs);
    if (outage.equals("inside")) {
      cluster.world.after(15_000, () -> cluster.state.outage(40_000));
    }
    List<String> others =
        cluster.controllers.keySet().stream().filter(m -> !m.equals(old)).toList();
    if (outage.equals("in turn")) {
      cluster.world.after(
          forMs / 2, () -> ifLed(cluster, m -> cluster.isolateFromPeersAndState(m, forMs / 2)));
    }
    List<JobSpec> cancelled = services.subList(0, 12);
    int[] there = new int[1];
    for (int i = 0; i < cancelled.size(); i++) {
      String id = cancelled.get(i).id();
      String by = others.get(i % 2);
      cluster.world.after(
          400 + i * Math.min(1_000, forMs / 12),
          () -> {
            there[0] += cluster.checker.running(id) > 0 ? 1 : 0;
            cluster.cancelThrough(by, id, 30);
          });
    }
    cluster.world.runUntil(cluster.world.now() + forMs);
    assertTrue(there[0] >= 10, there[0] + " cancelled while their tasks ran");
    assertNotEquals(
        old,
        forMs > 10_000 && !outage.equals("in turn") ? cluster.leaderOtherThan(old) : "",
        "who leads");
    settle(cluster, services.subList(12, 20), List.of());
    assertTrue(
        cancelled.stream().allMatch(job -> cluster.checker.cancelledAt(job.id()) >= 0),
        "not all were told");
    for (JobSpec job : cancelled) {
      assertEquals(0, cluster.checker.running(job.id()), job.id());
    }
  }

  // ---------------------------------------------------------------- a machine is back within a
  // moment

  /**
   * Machines are started anew under their names and addresses, within a moment or a few seconds,
   * while copies of what they reported before still come and starts for them are held up, over
   * changes of leader. Sessions begin at 1 again, so that their order proves nothing across it.
   */
  @ParameterizedTest
  @CsvSource({"1,50", "2,300", "3,2000", "4,50", "5,8000", "6,300"})
  void machinesAreBackWithinAMoment(long seed, long downMs) {
    SimulatedCluster cluster = settled(seed);
    // Half of the machines lose a lease first: what is copied of them is of a higher session than
    // what comes after.
    int half = 0;
    for (WorkerEmulator worker : List.copyOf(cluster.cloud.machines().values())) {
      if (half++ % 2 == 0) {
        cluster.world.cut(worker.name(), "nodo", 12_000);
      }
    }
    cluster.world.runUntil(cluster.world.now() + 16_000);
    List<JobSpec> services = Scenes.services(cluster, 12, 100, 15_000);
    cluster.world.copyRequests(
        new SimulatedNetwork.RequestCopies("/agent/beat", 0.4, 200, 30_000), 70_000);
    cluster.world.holdMessages(
        new SimulatedNetwork.HeldMessages("/commands", false, 0.1, 500, 30_000), 70_000);
    List<JobSpec> jobs = busy(cluster, 60, 1_000);
    int[] reboots = new int[1];
    for (int i = 0; i < 30; i++) {
      cluster.world.after(
          1_000 + i * 2_000L,
          () -> {
            List<WorkerEmulator> with =
                cluster.cloud.machines().values().stream()
                    .filter(
                        worker ->
                            cluster.checker.tasksOnMachines().stream()
                                .anyMatch(p -> p.endsWith("@" + worker.name())))
                    .toList();
            if (!with.isEmpty()) {
              reboots[0]++;
              with.get(cluster.world.faults.nextInt(with.size())).reboot(downMs);
            }
          });
    }
    for (int i = 0; i < 8; i++) {
      cluster.world.after(5_000 + i * 7_000L, () -> ifLed(cluster, m -> cluster.crash(m, 300)));
    }
    cluster.world.runUntil(cluster.world.now() + 70_000);
    assertTrue(reboots[0] > 20, reboots[0] + " machines started anew");
    settle(cluster, services, jobs);
  }

  // ---------------------------------------------------------------- on demand

  /**
   * More seeds of each: {@code mvn test -Dtest=FaultCombinationsTest#soak -Dsim.from=100
   * -Dsim.to=120}.
   */
  @Test
  @EnabledIfSystemProperty(named = "sim.from", matches = "[0-9]+")
  void soak() {
    List<LongConsumer> meetings =
        List.of(
            this::commandsAreHeldAndTheMachineGoesOn,
            seed -> transactionsAreCarriedOutLate(seed, 0.3),
            this::lateTransactionsInAStorm,
            this::lateTransactionsOfChainedJobs,
            seed -> smallJobsEndFarApart(seed, seed % 2 == 0 ? 50 : 4_000, seed % 3 == 0 ? 0.3 : 0),
            seed -> theLeaderEndsWhileMachinesCanNotBeReached(seed, seed % 2 == 0),
            seed -> aLeaderAloneWithItsWorkers(seed, 60_000, seed % 2 == 0 ? "none" : "inside"),
            seed ->
                machinesAreBackWithinAMoment(
                    seed, seed % 3 == 0 ? 50 : seed % 3 == 1 ? 300 : 3_000));
    List<String> broken =
        LongStream.rangeClosed(Long.getLong("sim.from"), Long.getLong("sim.to"))
            .boxed()
            .flatMap(
                seed ->
                    java.util.stream.IntStream.range(0, meetings.size())
                        .mapToObj(i -> new long[] {seed, i}))
            .parallel()
            .map(
                at -> {
                  try {
                    meetings.get((int) at[1]).accept(at[0]);
                    return "";
                  } catch (AssertionError | RuntimeException e) {
                    return "meeting " + at[1] + " seed " + at[0] + ": " + e;
                  }
                })
            .filter(text -> !text.isEmpty())
            .toList();
    assertEquals(List.of(), broken);
  }
}
