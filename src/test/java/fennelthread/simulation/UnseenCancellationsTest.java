package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.settings.Settings;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The gap: the state service refuses the leader alone, other controllers confirm cancellations to
 * users, then it is down for all while workers report to the old leader. What the rules say of it,
 * {@code ran_cancelled} and {@code ran_twice} above all, is checked after each step; here it is
 * seen to that the gap came about.
 */
class UnseenCancellationsTest {
  private static final int MACHINES = 60;
  private static final int SERVICES = 24;
  private static final int CANCELLED = 16;
  private static final long REPORT_MS = 4_000;
  private static final long LEASE_MS = 22_000;
  private static final long CANCEL_MS = 50_000;

  static {
    Production.serve();
  }

  /** What happens beside the gap itself. */
  private enum Complication {
    NONE,
    /** The old leader is cut off from one peer, the one that confirms. */
    CUT_FROM_ONE_PEER,
    /** From both. */
    CUT_FROM_BOTH_PEERS,
    /** From a third of its workers. */
    CUT_FROM_A_THIRD_OF_WORKERS,
    /** Whoever has confirmed ends 50 ms later and is back 50 ms after that, knowing nothing. */
    CONFIRMER_RESTARTS,
    /** Or never comes back. */
    CONFIRMER_STAYS_DOWN,
    /** All are restarted in the outage. */
    ALL_RESTART,
    /**
     * The third controller has a user told by a question only; the one that carried it out ends.
     */
    CONFIRMED_BY_LOOKUP,
    /** The leader has just claimed, and its copy of the state has not come to its claim. */
    JUST_CLAIMED,
    /** Tasks that take 60 s to save have been told to stop, and are at it. */
    SAVING_CHECKPOINTS,
    /** Another of the three is of the version in production. */
    OLD_VERSION,
    /** The whole of it again, right after. */
    TWICE
  }

  private static Deployment deployment() {
    return Deployment.large(MACHINES).withLease(REPORT_MS, LEASE_MS, CANCEL_MS);
  }

  private static List<String> others(SimulatedCluster cluster, String leader) {
    return cluster.controllers.keySet().stream().filter(m -> !m.equals(leader)).toList();
  }

  /**
   * One gap: {@code leadMs} between the refusal and the outage, in which the jobs are cancelled.
   *
   * @return how many were confirmed before the outage, complication tasks on machines at that
   *     moment
   */
  private static int gap(
      SimulatedCluster cluster,
      List<JobSpec> jobs,
      long leadMs,
      long outageMs,
      Complication complication) {
    String leader = cluster.leader();
    assertNotNull(leader);
    if (complication == Complication.JUST_CLAIMED) {
      leader = claimOf(cluster, leader);
    }
    String old = leader;
    String confirms = others(cluster, old).get(0);
    String third = others(cluster, old).get(1);
    long all = leadMs + outageMs;
    switch (complication) {
      case CUT_FROM_ONE_PEER -> cluster.world.cut(old, confirms, all);
      case CUT_FROM_BOTH_PEERS -> others(cluster, old).forEach(m -> cluster.world.cut(old, m, all));
      case CUT_FROM_A_THIRD_OF_WORKERS -> {
        int i = 0;
        for (WorkerEmulator worker : List.copyOf(cluster.cloud.machines().values())) {
          if (i++ % 3 == 0) {
            cluster.world.cut(old, worker.name(), all);
          }
        }
      }
      case OLD_VERSION -> cluster.downgrade(third, 50);
      case SAVING_CHECKPOINTS ->
          cluster
              .cloud
              .machines()
              .values()
              .forEach(worker -> worker.announceTermination(leadMs + 30_000));
      default -> {}
    }
    if (complication == Complication.SAVING_CHECKPOINTS) {
      cluster.world.runUntil(cluster.world.now() + REPORT_MS + 2_000);
    }
    cluster.state.refuseCaller(old, all);
    long from = cluster.world.now();
    long outageAt = from + leadMs;
    cluster.world.at(outageAt, () -> cluster.state.outage(outageMs));
    for (int i = 0; i < jobs.size(); i++) {
      String id = jobs.get(i).id();
      cluster.world.at(
          from + leadMs * i / (jobs.size() + 1),
          () -> cluster.cancelThrough(confirms, id, 1 + (int) leadMs / 1_000));
      if (complication == Complication.CONFIRMED_BY_LOOKUP) {
        cluster.world.at(
            from + leadMs * i / (jobs.size() + 1) + 100, () -> cluster.askThrough(third, id));
      }
    }
    switch (complication) {
      case CONFIRMER_RESTARTS -> cluster.world.at(outageAt - 1, () -> cluster.crash(confirms, 50));
      case CONFIRMER_STAYS_DOWN, CONFIRMED_BY_LOOKUP ->
          cluster.world.at(outageAt - 1, () -> cluster.crash(confirms, 10 * outageMs));
      case ALL_RESTART ->
          cluster.world.at(
              outageAt + outageMs / 3,
              () -> List.copyOf(cluster.controllers.keySet()).forEach(m -> cluster.crash(m, 300)));
      default -> {}
    }
    cluster.world.runUntil(outageAt);
    long there =
        jobs.stream().filter(job -> cluster.checker.ranWhenCancelled(job.id()) > 0).count();
    cluster.world.runUntil(outageAt + outageMs);
    return (int) there;
  }

  /**
   * A claim after which the state service refuses the new leader at once, so that it never reads
   * it.
   */
  private static String claimOf(SimulatedCluster cluster, String before) {
    String[] claimed = new String[1];
    cluster.state.onWrite.add(
        key -> {
          if (key.equals("live/lead") && claimed[0] == null) {
            claimed[0] = cluster.state.caller();
            cluster.state.refuseCaller(claimed[0], 60_000);
          }
        });
    // Frozen and back, not ended: a new process of a peer would have everybody wait for the
    // state service.
    long frozenAt = Long.MIN_VALUE / 2;
    while (claimed[0] == null || !claimed[0].equals(cluster.leader())) {
      if (claimed[0] == null && cluster.world.now() - frozenAt > 8_000) {
        cluster.processes.get(before).pause(3_000);
        frozenAt = cluster.world.now();
      }
      cluster.world.runUntil(cluster.world.now() + 5);
      assertTrue(cluster.world.now() < 120_000, "nobody claims");
    }
    return claimed[0];
  }

  private static void play(long seed, long leadMs, double outages, Complication complication) {
    SimulatedCluster cluster = Scenes.settled(seed, deployment(), 0.0005);
    List<JobSpec> services =
        complication == Complication.SAVING_CHECKPOINTS
            ? savers(cluster)
            : Scenes.services(cluster, SERVICES, 50, 20_000);
    List<JobSpec> cancelled = services.subList(0, CANCELLED);
    long outageMs = (long) (outages * CANCEL_MS);
    int there = gap(cluster, cancelled, leadMs, outageMs, complication);
    String what = complication + " seed " + seed + ", " + leadMs + " ms before " + outageMs;
    assertTrue(there >= 3, what + ": only " + there + " confirmed while their tasks ran");
    if (complication == Complication.TWICE) {
      cluster.world.runUntil(cluster.world.now() + 25_000);
      int again =
          gap(cluster, services.subList(CANCELLED, SERVICES), leadMs, outageMs, Complication.NONE);
      assertTrue(again >= 2, what + ": only " + again + " the second time");
    }
    // Rules are checked after each step: until all that was told is long due.
    cluster.world.runUntil(cluster.world.now() + CANCEL_MS + 30_000);
    for (JobSpec job : cancelled) {
      if (cluster.checker.cancelledAt(job.id()) >= 0) {
        assertEquals(0, cluster.checker.running(job.id()), what);
      }
    }
    if (complication != Complication.TWICE && complication != Complication.SAVING_CHECKPOINTS) {
      assertTrue(
          cluster.allRun(services.subList(CANCELLED, SERVICES)),
          what + ": what was not cancelled runs");
    }
  }

  private static List<JobSpec> savers(SimulatedCluster cluster) {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < SERVICES; i++) {
      JobSpec any = cluster.plainJob(false, 4);
      JobSpec job =
          JobSpec.builder(any.id())
              .jobClass(any.jobClass())
              .team(any.team())
              .priority(any.priority())
              .tasks(4)
              .cpus(1)
              .memGb(2)
              .image(any.image())
              .imageGb(1)
              .spotAllowed(true)
              .estimateS(400)
              .checkpointS(5)
              .saveS(60)
              .build();
      jobs.add(job);
      cluster.world.after(i * 50L, () -> cluster.submit(job));
    }
    cluster.world.runUntil(cluster.world.now() + 20_000);
    assertTrue(cluster.allRun(jobs));
    return jobs;
  }

  @ParameterizedTest
  @EnumSource
  void withWhateverElse(Complication complication) {
    for (long seed = 1; seed <= 2; seed++) {
      // A leader that is refused alone for longer than 2.5 s steps down: one that has just claimed
      // must not have.
      play(seed, complication == Complication.JUST_CLAIMED ? 1_000 : 1_500, 2, complication);
    }
  }

  @ParameterizedTest
  @CsvSource({"300,1", "2000,0.5", "2000,1", "2000,5", "5000,2", "10000,1", "20000,2"})
  void longerAndShorter(long leadMs, double outages) {
    play(3, leadMs, outages, Complication.NONE);
  }

  /**
   * More of it: {@code mvn test -Dtest=UnseenCancellationsTest#soak -Dsim.from=100 -Dsim.to=110}.
   */
  @Test
  @EnabledIfSystemProperty(named = "sim.from", matches = "[0-9]+")
  void soak() {
    long[] leads = {300, 1_000, 2_000, 5_000, 10_000, 20_000};
    double[] outages = {0.5, 1, 2, 5};
    List<String> broken =
        LongStream.rangeClosed(Long.getLong("sim.from"), Long.getLong("sim.to"))
            .boxed()
            .flatMap(
                seed ->
                    java.util.Arrays.stream(Complication.values())
                        .map(complication -> new Object[] {seed, complication}))
            .parallel()
            .map(
                o -> {
                  long seed = (Long) o[0];
                  Complication complication = (Complication) o[1];
                  try {
                    play(
                        seed,
                        leads[(int) (seed % leads.length)],
                        outages[(int) (seed / 2 % outages.length)],
                        complication);
                    return "";
                  } catch (AssertionError | RuntimeException e) {
                    return complication + " seed " + seed + ": " + e;
                  }
                })
            .filter(text -> !text.isEmpty())
            .toList();
    assertEquals(List.of(), broken);
  }

  /**
   * Thousands cancelled within 10 s, an array of tasks each, by a state service that takes them
   * all.
   */
  @Test
  void thousandsAtOnce() {
    long seed = 1;
    Settings.StateLimits roomy = new Settings.StateLimits(9_000, 9_000, 8 * 1024, 16);
    SimulatedCluster cluster = Scenes.settled(seed, deployment().withLimits(roomy), 0.0005);
    List<JobSpec> services = Scenes.services(cluster, 20, 50, 20_000);
    List<JobSpec> waiting = new ArrayList<>();
    for (int i = 0; i < 4_980; i++) {
      JobSpec job = cluster.plainJob(false, 1);
      waiting.add(job);
      cluster.world.after(i * 4L, () -> cluster.submitOnce(job));
    }
    cluster.world.runUntil(cluster.world.now() + 21_000);
    List<JobSpec> all = new ArrayList<>(waiting);
    for (int i = 0; i < services.size(); i++) {
      all.add(i * all.size() / services.size(), services.get(i));
    }
    int there = gap(cluster, all, 10_000, 2 * CANCEL_MS, Complication.CUT_FROM_ONE_PEER);
    long told = all.stream().filter(job -> cluster.checker.cancelledAt(job.id()) >= 0).count();
    System.out.printf("%d of %d were told, tasks of %d ran then%n", told, all.size(), there);
    assertTrue(told > 2_500, told + " were told");
    assertTrue(there >= 10, there + " ran");
    cluster.world.runUntil(cluster.world.now() + CANCEL_MS + 5_000);
  }

  /**
   * {@code cancel_s} close to {@code lease_s}: answers stop sooner, and the rule holds all the
   * same.
   */
  @ParameterizedTest
  @CsvSource({"1,26000", "2,26000", "3,30000", "4,36000"})
  void littleRoomBesideTheLease(long seed, long cancelMs) {
    SimulatedCluster cluster =
        Scenes.settled(
            seed, Deployment.large(MACHINES).withLease(REPORT_MS, LEASE_MS, cancelMs), 0.0005);
    List<JobSpec> services = Scenes.services(cluster, SERVICES, 50, 20_000);
    int before = cluster.checker.starts;
    cluster.world.runUntil(cluster.world.now() + 60_000);
    assertEquals(before, cluster.checker.starts, "started again on a quiet day");
    for (Complication complication :
        new Complication[] {Complication.CUT_FROM_BOTH_PEERS, Complication.CUT_FROM_ONE_PEER}) {
      int there =
          gap(
              cluster,
              services.subList(
                  complication == Complication.CUT_FROM_BOTH_PEERS ? 0 : 8,
                  complication == Complication.CUT_FROM_BOTH_PEERS ? 8 : 16),
              1_500,
              2 * cancelMs,
              complication);
      assertTrue(there >= 3, there + " confirmed while their tasks ran");
      cluster.world.runUntil(cluster.world.now() + 60_000);
    }
  }
}
