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
class GapTest {
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
  private enum With {
    NOTHING,
    /** The old leader is cut off from one peer, the one that confirms. */
    CUT_FROM_ONE,
    /** From both. */
    CUT_FROM_BOTH,
    /** From a third of its workers. */
    CUT_FROM_A_THIRD,
    /** Whoever has confirmed ends 50 ms later and is back 50 ms after that, knowing nothing. */
    CONFIRMER_BACK_AT_ONCE,
    /** Or never comes back. */
    CONFIRMER_GONE,
    /** All are restarted in the outage. */
    ALL_RESTART,
    /**
     * The third controller has a user told by a question only; the one that carried it out ends.
     */
    TOLD_BY_QUESTION,
    /** The leader has just claimed, and its copy of the state has not come to its claim. */
    JUST_CLAIMED,
    /** Tasks that take 60 s to save have been told to stop, and are at it. */
    SAVING,
    /** Another of the three is of the version in production. */
    OLD_VERSION,
    /** The whole of it again, right after. */
    TWICE
  }

  private static Deployment deployment() {
    return Deployment.large(MACHINES).withLease(REPORT_MS, LEASE_MS, CANCEL_MS);
  }

  private static List<String> others(SimulatedCluster c, String leader) {
    return c.controllers.keySet().stream().filter(m -> !m.equals(leader)).toList();
  }

  /**
   * One gap: {@code leadMs} between the refusal and the outage, in which the jobs are cancelled.
   *
   * @return how many were confirmed before the outage, with tasks on machines at that moment
   */
  private static int gap(
      SimulatedCluster c, List<JobSpec> jobs, long leadMs, long outageMs, With with) {
    String leader = c.leader();
    assertNotNull(leader);
    if (with == With.JUST_CLAIMED) {
      leader = claimOf(c, leader);
    }
    String old = leader;
    String confirms = others(c, old).get(0);
    String third = others(c, old).get(1);
    long all = leadMs + outageMs;
    switch (with) {
      case CUT_FROM_ONE -> c.world.cut(old, confirms, all);
      case CUT_FROM_BOTH -> others(c, old).forEach(m -> c.world.cut(old, m, all));
      case CUT_FROM_A_THIRD -> {
        int i = 0;
        for (WorkerEmulator w : List.copyOf(c.cloud.machines().values())) {
          if (i++ % 3 == 0) {
            c.world.cut(old, w.name(), all);
          }
        }
      }
      case OLD_VERSION -> c.downgrade(third, 50);
      case SAVING -> c.cloud.machines().values().forEach(w -> w.notice(leadMs + 30_000));
      default -> {}
    }
    if (with == With.SAVING) {
      c.world.runUntil(c.world.now() + REPORT_MS + 2_000);
    }
    c.state.refuse(old, all);
    long from = c.world.now();
    long outageAt = from + leadMs;
    c.world.at(outageAt, () -> c.state.outage(outageMs));
    for (int i = 0; i < jobs.size(); i++) {
      String id = jobs.get(i).id();
      c.world.at(
          from + leadMs * i / (jobs.size() + 1),
          () -> c.cancelThrough(confirms, id, 1 + (int) leadMs / 1_000));
      if (with == With.TOLD_BY_QUESTION) {
        c.world.at(from + leadMs * i / (jobs.size() + 1) + 100, () -> c.askThrough(third, id));
      }
    }
    switch (with) {
      case CONFIRMER_BACK_AT_ONCE -> c.world.at(outageAt - 1, () -> c.crash(confirms, 50));
      case CONFIRMER_GONE, TOLD_BY_QUESTION ->
          c.world.at(outageAt - 1, () -> c.crash(confirms, 10 * outageMs));
      case ALL_RESTART ->
          c.world.at(
              outageAt + outageMs / 3,
              () -> List.copyOf(c.controllers.keySet()).forEach(m -> c.crash(m, 300)));
      default -> {}
    }
    c.world.runUntil(outageAt);
    long there = jobs.stream().filter(job -> c.rules.ranWhenCancelled(job.id()) > 0).count();
    c.world.runUntil(outageAt + outageMs);
    return (int) there;
  }

  /**
   * A claim after which the state service refuses the new leader at once, so that it never reads
   * it.
   */
  private static String claimOf(SimulatedCluster c, String before) {
    String[] claimed = new String[1];
    c.state.onWrite.add(
        key -> {
          if (key.equals("live/lead") && claimed[0] == null) {
            claimed[0] = c.state.caller();
            c.state.refuse(claimed[0], 60_000);
          }
        });
    // Frozen and back, not ended: a new process of a peer would have everybody wait for the
    // state service.
    long frozenAt = Long.MIN_VALUE / 2;
    while (claimed[0] == null || !claimed[0].equals(c.leader())) {
      if (claimed[0] == null && c.world.now() - frozenAt > 8_000) {
        c.processes.get(before).pause(3_000);
        frozenAt = c.world.now();
      }
      c.world.runUntil(c.world.now() + 5);
      assertTrue(c.world.now() < 120_000, "nobody claims");
    }
    return claimed[0];
  }

  private static void play(long seed, long leadMs, double outages, With with) {
    SimulatedCluster c = Scenes.settled(seed, deployment(), 0.0005);
    List<JobSpec> services =
        with == With.SAVING ? savers(c) : Scenes.services(c, SERVICES, 50, 20_000);
    List<JobSpec> cancelled = services.subList(0, CANCELLED);
    long outageMs = (long) (outages * CANCEL_MS);
    int there = gap(c, cancelled, leadMs, outageMs, with);
    String what = with + " seed " + seed + ", " + leadMs + " ms before " + outageMs;
    assertTrue(there >= 3, what + ": only " + there + " confirmed while their tasks ran");
    if (with == With.TWICE) {
      c.world.runUntil(c.world.now() + 25_000);
      int again = gap(c, services.subList(CANCELLED, SERVICES), leadMs, outageMs, With.NOTHING);
      assertTrue(again >= 2, what + ": only " + again + " the second time");
    }
    // Rules are checked after each step: until all that was told is long due.
    c.world.runUntil(c.world.now() + CANCEL_MS + 30_000);
    for (JobSpec job : cancelled) {
      if (c.rules.cancelledAt(job.id()) >= 0) {
        assertEquals(0, c.rules.running(job.id()), what);
      }
    }
    if (with != With.TWICE && with != With.SAVING) {
      assertTrue(
          c.allRun(services.subList(CANCELLED, SERVICES)), what + ": what was not cancelled runs");
    }
  }

  private static List<JobSpec> savers(SimulatedCluster c) {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < SERVICES; i++) {
      JobSpec any = c.plain(false, 4);
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
      c.world.after(i * 50L, () -> c.submit(job));
    }
    c.world.runUntil(c.world.now() + 20_000);
    assertTrue(c.allRun(jobs));
    return jobs;
  }

  @ParameterizedTest
  @EnumSource
  void withWhateverElse(With with) {
    for (long seed = 1; seed <= 2; seed++) {
      // A leader that is refused alone for longer than 2.5 s steps down: one that has just claimed
      // must not have.
      play(seed, with == With.JUST_CLAIMED ? 1_000 : 1_500, 2, with);
    }
  }

  @ParameterizedTest
  @CsvSource({"300,1", "2000,0.5", "2000,1", "2000,5", "5000,2", "10000,1", "20000,2"})
  void longerAndShorter(long leadMs, double outages) {
    play(3, leadMs, outages, With.NOTHING);
  }

  /** More of it: {@code mvn test -Dtest=GapTest#soak -Dsim.from=100 -Dsim.to=110}. */
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
                    java.util.Arrays.stream(With.values()).map(with -> new Object[] {seed, with}))
            .parallel()
            .map(
                o -> {
                  long seed = (Long) o[0];
                  With with = (With) o[1];
                  try {
                    play(
                        seed,
                        leads[(int) (seed % leads.length)],
                        outages[(int) (seed / 2 % outages.length)],
                        with);
                    return "";
                  } catch (AssertionError | RuntimeException e) {
                    return with + " seed " + seed + ": " + e;
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
    SimulatedCluster c = Scenes.settled(seed, deployment().withLimits(roomy), 0.0005);
    List<JobSpec> services = Scenes.services(c, 20, 50, 20_000);
    List<JobSpec> waiting = new ArrayList<>();
    for (int i = 0; i < 4_980; i++) {
      JobSpec job = c.plain(false, 1);
      waiting.add(job);
      c.world.after(i * 4L, () -> c.submitOnly(job));
    }
    c.world.runUntil(c.world.now() + 21_000);
    List<JobSpec> all = new ArrayList<>(waiting);
    for (int i = 0; i < services.size(); i++) {
      all.add(i * all.size() / services.size(), services.get(i));
    }
    int there = gap(c, all, 10_000, 2 * CANCEL_MS, With.CUT_FROM_ONE);
    long told = all.stream().filter(job -> c.rules.cancelledAt(job.id()) >= 0).count();
    System.out.printf("%d of %d were told, tasks of %d ran then%n", told, all.size(), there);
    assertTrue(told > 2_500, told + " were told");
    assertTrue(there >= 10, there + " ran");
    c.world.runUntil(c.world.now() + CANCEL_MS + 5_000);
  }

  /**
   * {@code cancel_s} close to {@code lease_s}: answers stop sooner, and the rule holds all the
   * same.
   */
  @ParameterizedTest
  @CsvSource({"1,26000", "2,26000", "3,30000", "4,36000"})
  void littleRoomBesideTheLease(long seed, long cancelMs) {
    SimulatedCluster c =
        Scenes.settled(
            seed, Deployment.large(MACHINES).withLease(REPORT_MS, LEASE_MS, cancelMs), 0.0005);
    List<JobSpec> services = Scenes.services(c, SERVICES, 50, 20_000);
    int before = c.rules.starts;
    c.world.runUntil(c.world.now() + 60_000);
    assertEquals(before, c.rules.starts, "started again on a quiet day");
    for (With with : new With[] {With.CUT_FROM_BOTH, With.CUT_FROM_ONE}) {
      int there =
          gap(
              c,
              services.subList(
                  with == With.CUT_FROM_BOTH ? 0 : 8, with == With.CUT_FROM_BOTH ? 8 : 16),
              1_500,
              2 * cancelMs,
              with);
      assertTrue(there >= 3, there + " confirmed while their tasks ran");
      c.world.runUntil(c.world.now() + 60_000);
    }
  }
}
