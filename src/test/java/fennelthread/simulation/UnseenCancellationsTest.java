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
 * Cancellations that the leader cannot read. The state service refuses the leader alone, the other
 * controllers confirm cancellations to users, and then the state service is down for all while
 * workers still report to that leader. The rules, above all {@code ran_cancelled} and {@code
 * ran_twice}, are checked after each step; each test asserts that cancellations were confirmed
 * while their tasks ran.
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

  /** A further fault or condition of a run. */
  private enum Complication {
    NONE,
    /** The leader loses its connection with the peer that confirms the cancellations. */
    CUT_FROM_ONE_PEER,
    /** The leader loses its connections with both peers. */
    CUT_FROM_BOTH_PEERS,
    /** The leader loses its connections with a third of the workers. */
    CUT_FROM_A_THIRD_OF_WORKERS,
    /**
     * The controller that confirmed crashes as the outage begins and is back 50 ms later, without
     * its memory.
     */
    CONFIRMER_RESTARTS,
    /** The controller that confirmed crashes as the outage begins and stays down. */
    CONFIRMER_STAYS_DOWN,
    /** All controllers crash during the outage and are back 300 ms later. */
    ALL_RESTART,
    /**
     * Users also learn of the cancellations from a lookup at the third controller; the one that
     * carried them out crashes and stays down.
     */
    CONFIRMED_BY_LOOKUP,
    /** The leader has just claimed and its copy of the state does not yet hold the claim. */
    JUST_CLAIMED,
    /** Tasks that take 60 s to save a checkpoint have been told to stop and are saving. */
    SAVING_CHECKPOINTS,
    /** The third controller runs the version in production. */
    OLD_VERSION,
    /** The same sequence runs a second time, after 25 s. */
    TWICE
  }

  private static Deployment deployment() {
    return Deployment.large(MACHINES).withLease(REPORT_MS, LEASE_MS, CANCEL_MS);
  }

  private static List<String> otherControllers(SimulatedCluster cluster, String leader) {
    return cluster.controllers.keySet().stream().filter(m -> !m.equals(leader)).toList();
  }

  /**
   * Refuses the leader, cancels the jobs through a peer within {@code refusalMs}, then takes the
   * state service down.
   *
   * @param refusalMs time between the refusal and the outage
   * @return how many jobs were confirmed as cancelled before the outage while tasks of theirs ran
   */
  private static int cancelUnseenByLeader(
      SimulatedCluster cluster,
      List<JobSpec> jobs,
      long refusalMs,
      long outageMs,
      Complication complication) {
    String leader = cluster.leader();
    assertNotNull(leader);
    if (complication == Complication.JUST_CLAIMED) {
      leader = claimThenRefuse(cluster, leader);
    }
    String refusedLeader = leader;
    String confirmer = otherControllers(cluster, refusedLeader).get(0);
    String third = otherControllers(cluster, refusedLeader).get(1);
    long totalMs = refusalMs + outageMs;
    switch (complication) {
      case CUT_FROM_ONE_PEER -> cluster.world.cut(refusedLeader, confirmer, totalMs);
      case CUT_FROM_BOTH_PEERS ->
          otherControllers(cluster, refusedLeader)
              .forEach(m -> cluster.world.cut(refusedLeader, m, totalMs));
      case CUT_FROM_A_THIRD_OF_WORKERS -> {
        int i = 0;
        for (WorkerEmulator worker : List.copyOf(cluster.cloud.machines().values())) {
          if (i++ % 3 == 0) {
            cluster.world.cut(refusedLeader, worker.name(), totalMs);
          }
        }
      }
      case OLD_VERSION -> cluster.downgrade(third, 50);
      case SAVING_CHECKPOINTS ->
          cluster
              .cloud
              .machines()
              .values()
              .forEach(worker -> worker.announceTermination(refusalMs + 30_000));
      default -> {}
    }
    if (complication == Complication.SAVING_CHECKPOINTS) {
      cluster.world.runUntil(cluster.world.now() + REPORT_MS + 2_000);
    }
    cluster.state.refuseCaller(refusedLeader, totalMs);
    long from = cluster.world.now();
    long outageAt = from + refusalMs;
    cluster.world.at(outageAt, () -> cluster.state.outage(outageMs));
    for (int i = 0; i < jobs.size(); i++) {
      String id = jobs.get(i).id();
      cluster.world.at(
          from + refusalMs * i / (jobs.size() + 1),
          () -> cluster.cancelThrough(confirmer, id, 1 + (int) refusalMs / 1_000));
      if (complication == Complication.CONFIRMED_BY_LOOKUP) {
        cluster.world.at(
            from + refusalMs * i / (jobs.size() + 1) + 100, () -> cluster.askThrough(third, id));
      }
    }
    switch (complication) {
      case CONFIRMER_RESTARTS -> cluster.world.at(outageAt - 1, () -> cluster.crash(confirmer, 50));
      case CONFIRMER_STAYS_DOWN, CONFIRMED_BY_LOOKUP ->
          cluster.world.at(outageAt - 1, () -> cluster.crash(confirmer, 10 * outageMs));
      case ALL_RESTART ->
          cluster.world.at(
              outageAt + outageMs / 3,
              () -> List.copyOf(cluster.controllers.keySet()).forEach(m -> cluster.crash(m, 300)));
      default -> {}
    }
    cluster.world.runUntil(outageAt);
    long ranWhenConfirmed =
        jobs.stream()
            .filter(job -> cluster.checker.countRunningWhenCancelled(job.id()) > 0)
            .count();
    cluster.world.runUntil(outageAt + outageMs);
    return (int) ranWhenConfirmed;
  }

  /**
   * Makes a controller claim and has the state service refuse it at once, so that it never reads
   * its claim back.
   */
  private static String claimThenRefuse(SimulatedCluster cluster, String leader) {
    String[] claimed = new String[1];
    cluster.state.onWrite.add(
        key -> {
          if (key.equals("live/lead") && claimed[0] == null) {
            claimed[0] = cluster.state.caller();
            cluster.state.refuseCaller(claimed[0], 60_000);
          }
        });
    // Pauses the leader rather than crash it: with a new peer process all controllers would wait
    // for the state service.
    long frozenAt = Long.MIN_VALUE / 2;
    while (claimed[0] == null || !claimed[0].equals(cluster.leader())) {
      if (claimed[0] == null && cluster.world.now() - frozenAt > 8_000) {
        cluster.processes.get(leader).pause(3_000);
        frozenAt = cluster.world.now();
      }
      cluster.world.runUntil(cluster.world.now() + 5);
      assertTrue(cluster.world.now() < 120_000, "nobody claims");
    }
    return claimed[0];
  }

  private static void runCase(
      long seed, long refusalMs, double outageFactor, Complication complication) {
    SimulatedCluster cluster = Scenes.settled(seed, deployment(), 0.0005);
    List<JobSpec> services =
        complication == Complication.SAVING_CHECKPOINTS
            ? startSavingJobs(cluster)
            : Scenes.services(cluster, SERVICES, 50, 20_000);
    List<JobSpec> cancelled = services.subList(0, CANCELLED);
    long outageMs = (long) (outageFactor * CANCEL_MS);
    int ranWhenConfirmed =
        cancelUnseenByLeader(cluster, cancelled, refusalMs, outageMs, complication);
    String description =
        complication + " seed " + seed + ", " + refusalMs + " ms before " + outageMs;
    assertTrue(
        ranWhenConfirmed >= 3,
        description + ": only " + ranWhenConfirmed + " confirmed while their tasks ran");
    if (complication == Complication.TWICE) {
      cluster.world.runUntil(cluster.world.now() + 25_000);
      int secondTime =
          cancelUnseenByLeader(
              cluster,
              services.subList(CANCELLED, SERVICES),
              refusalMs,
              outageMs,
              Complication.NONE);
      assertTrue(secondTime >= 2, description + ": only " + secondTime + " the second time");
    }
    // The rules are checked after each step, until long after every confirmed job has to be gone.
    cluster.world.runUntil(cluster.world.now() + CANCEL_MS + 30_000);
    for (JobSpec job : cancelled) {
      if (cluster.checker.cancelledAt(job.id()) >= 0) {
        assertEquals(0, cluster.checker.running(job.id()), description);
      }
    }
    if (complication != Complication.TWICE && complication != Complication.SAVING_CHECKPOINTS) {
      assertTrue(
          cluster.allRun(services.subList(CANCELLED, SERVICES)),
          description + ": services that were not cancelled lack replicas");
    }
  }

  private static List<JobSpec> startSavingJobs(SimulatedCluster cluster) {
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
  void unseenCancellationsHoldUnderEachComplication(Complication complication) {
    for (long seed = 1; seed <= 2; seed++) {
      // A leader that alone is refused for more than 2.5 s steps down. One that has just claimed
      // must still lead when the outage begins.
      runCase(seed, complication == Complication.JUST_CLAIMED ? 1_000 : 1_500, 2, complication);
    }
  }

  @ParameterizedTest
  @CsvSource({"300,1", "2000,0.5", "2000,1", "2000,5", "5000,2", "10000,1", "20000,2"})
  void unseenCancellationsHoldForEachRefusalAndOutage(long refusalMs, double outageFactor) {
    runCase(3, refusalMs, outageFactor, Complication.NONE);
  }

  /**
   * Runs every complication with more seeds: {@code mvn test -Dtest=UnseenCancellationsTest#soak
   * -Dsim.from=100 -Dsim.to=110}.
   */
  @Test
  @EnabledIfSystemProperty(named = "sim.from", matches = "[0-9]+")
  void soak() {
    long[] refusalsMs = {300, 1_000, 2_000, 5_000, 10_000, 20_000};
    double[] outageFactors = {0.5, 1, 2, 5};
    List<String> failures =
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
                    runCase(
                        seed,
                        refusalsMs[(int) (seed % refusalsMs.length)],
                        outageFactors[(int) (seed / 2 % outageFactors.length)],
                        complication);
                    return "";
                  } catch (AssertionError | RuntimeException e) {
                    return complication + " seed " + seed + ": " + e;
                  }
                })
            .filter(text -> !text.isEmpty())
            .toList();
    assertEquals(List.of(), failures);
  }

  /**
   * Some five thousand jobs, single tasks and services, are cancelled within 10 s. The state
   * service has limits high enough to accept all of it.
   */
  @Test
  void thousandsOfUnseenCancellationsHold() {
    long seed = 1;
    Settings.StateLimits highLimits = new Settings.StateLimits(9_000, 9_000, 8 * 1024, 16);
    SimulatedCluster cluster = Scenes.settled(seed, deployment().withLimits(highLimits), 0.0005);
    List<JobSpec> services = Scenes.services(cluster, 20, 50, 20_000);
    List<JobSpec> batchJobs = new ArrayList<>();
    for (int i = 0; i < 4_980; i++) {
      JobSpec job = cluster.plainJob(false, 1);
      batchJobs.add(job);
      cluster.world.after(i * 4L, () -> cluster.submitOnce(job));
    }
    cluster.world.runUntil(cluster.world.now() + 21_000);
    List<JobSpec> all = new ArrayList<>(batchJobs);
    for (int i = 0; i < services.size(); i++) {
      all.add(i * all.size() / services.size(), services.get(i));
    }
    int ranWhenConfirmed =
        cancelUnseenByLeader(cluster, all, 10_000, 2 * CANCEL_MS, Complication.CUT_FROM_ONE_PEER);
    long confirmed = all.stream().filter(job -> cluster.checker.cancelledAt(job.id()) >= 0).count();
    System.out.printf(
        "%d of %d confirmed while tasks of %d ran%n", confirmed, all.size(), ranWhenConfirmed);
    assertTrue(confirmed > 2_500, confirmed + " cancellations were confirmed");
    assertTrue(ranWhenConfirmed >= 10, ranWhenConfirmed + " ran when confirmed");
    cluster.world.runUntil(cluster.world.now() + CANCEL_MS + 5_000);
  }

  /**
   * With {@code cancel_s} close to {@code lease_s} controllers stop answering reports sooner: no
   * task is restarted without faults, and cancelled tasks still end in time.
   */
  @ParameterizedTest
  @CsvSource({"1,26000", "2,26000", "3,30000", "4,36000"})
  void unseenCancellationsHoldWithACancelTimeCloseToTheLease(long seed, long cancelMs) {
    SimulatedCluster cluster =
        Scenes.settled(
            seed, Deployment.large(MACHINES).withLease(REPORT_MS, LEASE_MS, cancelMs), 0.0005);
    List<JobSpec> services = Scenes.services(cluster, SERVICES, 50, 20_000);
    int startsBefore = cluster.checker.starts;
    cluster.world.runUntil(cluster.world.now() + 60_000);
    assertEquals(startsBefore, cluster.checker.starts, "tasks restarted without faults");
    for (Complication complication :
        new Complication[] {Complication.CUT_FROM_BOTH_PEERS, Complication.CUT_FROM_ONE_PEER}) {
      int ranWhenConfirmed =
          cancelUnseenByLeader(
              cluster,
              services.subList(
                  complication == Complication.CUT_FROM_BOTH_PEERS ? 0 : 8,
                  complication == Complication.CUT_FROM_BOTH_PEERS ? 8 : 16),
              1_500,
              2 * cancelMs,
              complication);
      assertTrue(ranWhenConfirmed >= 3, ranWhenConfirmed + " confirmed while their tasks ran");
      cluster.world.runUntil(cluster.world.now() + 60_000);
    }
  }
}
