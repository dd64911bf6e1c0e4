package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Machines that are asked for and come up late, never, or at once. A small machine's nominal boot
 * takes 6 s.
 */
class BootingTest {
  private static final long NOMINAL_MS = 6_000;

  /** Machines there are at the start: one task of four CPUs takes a small one whole. */
  private static final int FIRST = 8;

  private static SimulatedCluster cluster(long seed, int more) {
    Deployment d = Deployment.tiny();
    SimulatedCluster c =
        new SimulatedCluster(
            seed,
            new Deployment(
                3,
                List.of("norte"),
                FIRST,
                0,
                FIRST + more,
                0,
                1_000,
                d.limits(),
                d.announcedLimits(),
                d.reportMs(),
                d.leaseMs(),
                d.cancelMs(),
                false));
    c.world.loss = 0;
    c.world.late = 0;
    return c;
  }

  /** A job of so many tasks, each of which takes a small ordinary machine whole for so long. */
  private static JobSpec wholes(SimulatedCluster c, int tasks, double takesS) {
    JobSpec any = c.plainJob(false, tasks);
    return JobSpec.builder(any.id())
        .jobClass(any.jobClass())
        .team(any.team())
        .priority(any.priority())
        .tasks(tasks)
        .cpus(4)
        .memGb(2)
        .image(any.image())
        .imageGb(1)
        .estimateS(takesS)
        .build();
  }

  private static long waitUntil(
      SimulatedCluster c, java.util.function.BooleanSupplier holds, long mostMs) {
    long from = c.world.now();
    while (!holds.getAsBoolean() && c.world.now() < from + mostMs) {
      c.world.runUntil(c.world.now() + 100);
    }
    return c.world.now() - from;
  }

  /**
   * One of a batch never comes up while the cloud has no other: it stood in the way of a machine
   * that would come for five times a boot and twenty seconds.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void oneOfABatchThatNeverComesUpMakesRoomForAnother(long seed) {
    SimulatedCluster c = cluster(seed, 6);
    int[] asked = new int[1];
    c.cloud.bootMs = () -> ++asked[0] == 2 ? -1 : 5_000;
    c.world.runUntil(10_000);
    JobSpec job = wholes(c, FIRST + 14, 300);
    c.submit(job);
    long took = waitUntil(c, () -> !c.cloud.returned.isEmpty(), 60_000);
    assertTrue(took < 4 * NOMINAL_MS, "given back after " + took + " ms");
    // And at once another is had in its place, though the cloud refused more a moment ago.
    int before = asked[0];
    assertTrue(waitUntil(c, () -> asked[0] > before, 10_000) < 3_000);
  }

  /**
   * For two minutes none of the new machines comes up, then all of them at once: none is given
   * back, since the next would be as late, and no more are asked for than the work needs.
   */
  @ParameterizedTest
  @ValueSource(longs = {4, 5, 6})
  void whenAllAreLateNoneIsGivenBackOrReplaced(long seed) {
    SimulatedCluster c = cluster(seed, 200);
    long until = 130_000;
    c.cloud.bootMs = () -> Math.max(5_000, until - c.world.now());
    c.world.runUntil(10_000);
    JobSpec job = wholes(c, FIRST + 20, 300);
    c.submit(job);
    c.world.runUntil(30_000);
    int asked = c.cloud.rented.get("mesa");
    c.world.runUntil(until - 2_000);
    assertEquals(List.of(), c.cloud.returned);
    assertEquals(asked, c.cloud.rented.get("mesa"), "asked for others");
    c.world.runUntil(until + 8_000);
    assertEquals(FIRST + 20, c.checker.running(job.id()));
    assertEquals(List.of(), c.cloud.returned);
  }

  /** A machine that is up within a second is used long before a list that is 24 s late shows it. */
  @ParameterizedTest
  @ValueSource(longs = {7, 8})
  void oneThatIsUpAtOnceIsUsedAtOnce(long seed) {
    SimulatedCluster c = cluster(seed, 30);
    c.cloud.bootMs = () -> 300;
    c.cloud.listAgeSnapshots = () -> 48;
    c.world.runUntil(30_000);
    JobSpec job = wholes(c, FIRST + 10, 300);
    c.submit(job);
    long took = waitUntil(c, () -> c.checker.running(job.id()) == FIRST + 10, 60_000);
    assertTrue(took < 10_000, "all at work after " + took + " ms");
  }

  /**
   * One that never comes up goes back within its bound though leaders change and the cloud is out:
   * its age is known from the list, and no new leader begins to wait anew.
   */
  @ParameterizedTest
  @ValueSource(longs = {9, 10, 11})
  void itsTimeRunsOnOverChangesOfLeaderAndAnOutage(long seed) {
    SimulatedCluster c = cluster(seed, 30);
    c.cloud.bootMs = () -> -1;
    c.world.runUntil(10_000);
    JobSpec job = wholes(c, FIRST + 3, 300);
    c.submit(job);
    waitUntil(c, () -> c.cloud.machines().size() >= FIRST + 3, 20_000);
    long asked = c.world.now();
    Set<String> first = new HashSet<>(c.cloud.machines().keySet());
    c.world.runUntil(asked + 15_000);
    c.crash(c.leader(), 3_000);
    c.world.runUntil(asked + 30_000);
    c.cloud.outage(10_000);
    c.crash(c.leader(), 3_000);
    c.world.runUntil(asked + 120_000);
    c.crash(c.leader(), 3_000);
    // The longest time that any is given, a lease to be heard by the last leader, the list's age.
    c.world.runUntil(asked + 150_000 + 16_000);
    List<String> left = new ArrayList<>(first);
    left.removeAll(c.cloud.returned);
    left.removeIf(name -> c.cloud.machines().get(name).isUp());
    assertEquals(List.of(), left, "still charged");
  }

  /**
   * It is given back as one that never came up, the cloud refuses, and a moment later it reports:
   * it serves.
   */
  @ParameterizedTest
  @ValueSource(longs = {12, 13})
  void oneThatReportsWhileItIsGivenBackServesIfTheCloudRefused(long seed) {
    SimulatedCluster c = cluster(seed, 1);
    c.cloud.bootMs = () -> 156_000;
    c.world.runUntil(10_000);
    // Its tasks run for half the estimate at least, longer than the test.
    JobSpec job = wholes(c, FIRST + 1, 600);
    c.submit(job);
    waitUntil(c, () -> c.cloud.machines().size() > FIRST, 20_000);
    long up = c.world.now() + 156_000;
    c.world.runUntil(up - 16_000);
    c.cloud.outage(40_000);
    c.world.runUntil(up + 6_000);
    assertEquals(List.of(), c.cloud.returned);
    assertEquals(FIRST + 1, c.checker.running(job.id()));
  }
}
