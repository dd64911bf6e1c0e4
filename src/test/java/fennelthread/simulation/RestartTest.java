package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Processes that end and are back within a fraction of a second, in the middle of what they do,
 * while their last messages are still under way. The rules are checked after each step; what is
 * looked at here is that nothing of what runs is lost.
 */
class RestartTest {
  private static final int MACHINES = 60;

  static {
    Production.serve();
  }

  /**
   * The writer of a key crashes the moment the state service has applied it, before it hears so: a
   * claim, a takeover (its leader is frozen), a word that the leader goes alone (the peer network
   * is refused), a round's record, a job's end.
   */
  @ParameterizedTest
  @CsvSource({
    "live/lead,crash",
    "live/lead,freeze",
    "live/epoch,freeze",
    "live/solo,refuse",
    "live/round,none",
    "final/,none",
    "live/job,none"
  })
  void crashInTheMiddle(String prefix, String trouble) {
    for (long seed = 1; seed <= 3; seed++) {
      for (long downMs : new long[] {50, 300, 1_000}) {
        SimulatedCluster cluster = settled(seed);
        List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
        int before = cluster.checker.starts;
        int[] crashes = new int[1];
        cluster.state.onWrite.add(
            key -> {
              String writer = cluster.state.caller();
              if (key.startsWith(prefix)
                  && cluster.controllers.containsKey(writer)
                  && crashes[0] < 3) {
                crashes[0]++;
                cluster.crash(writer, downMs);
              }
            });
        String leader = cluster.leader();
        switch (trouble) {
          case "crash" -> cluster.crash(leader, downMs);
          case "freeze" -> cluster.processes.get(leader).pause(20_000);
          case "refuse" -> cluster.cutPeerLinks(8_000);
          default -> {}
        }
        List<JobSpec> batches = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
          JobSpec job = cluster.plainJob(false, 4);
          batches.add(job);
          cluster.world.after(200 + i * 400L, () -> cluster.submit(job));
        }
        cluster.world.runUntil(cluster.world.now() + 60_000);
        String what = prefix + " seed " + seed + " back after " + downMs;
        assertTrue(crashes[0] > 0, what + ": nothing was written");
        assertTrue(cluster.allRun(services), what);
        cluster.checker.checkServed(30_000);
        assertFewAgain(before + 12 * 4, cluster, what);
        for (JobSpec job : batches) {
          assertTrue(cluster.checker.isOver(job.id()), what + ": " + job.id());
        }
      }
    }
  }

  /**
   * One process ends 20 times, each time soon after it is back, with a fault of its own: the others
   * lead, and it does not hold leadership a moment at a time.
   */
  @ParameterizedTest
  @ValueSource(longs = {50, 300})
  void aProcessThatEndsAtOnceEachTime(long downMs) {
    SimulatedCluster cluster = settled(5);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    int before = cluster.checker.starts;
    String faulty = cluster.leader();
    int led = 0;
    int ledByFaulty = 0;
    for (int i = 0; i < 20; i++) {
      cluster.crash(faulty, downMs);
      for (int t = 0; t < 12; t++) {
        cluster.world.runUntil(cluster.world.now() + 100);
        led += cluster.leader() == null ? 0 : 1;
        ledByFaulty += faulty.equals(cluster.leader()) ? 1 : 0;
      }
    }
    System.out.printf(
        "back after %d ms: led %d of 240 looks, %d by the faulty one%n", downMs, led, ledByFaulty);
    assertNotEquals(faulty, cluster.leader());
    assertTrue(led > 180, led + " of 240");
    assertTrue(ledByFaulty < 30, ledByFaulty + " of 240");
    assertEquals(before, cluster.checker.starts, "a task was lost");
    assertTrue(cluster.allRun(services));
  }

  /** Two of three in turns, 20 times: the third leads. */
  @Test
  void twoInTurns() {
    SimulatedCluster cluster = settled(6);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    int before = cluster.checker.starts;
    String third = cluster.leader();
    List<String> two = cluster.controllers.keySet().stream().filter(m -> !m.equals(third)).toList();
    for (int i = 0; i < 20; i++) {
      cluster.crash(two.get(i % 2), 50);
      cluster.world.runUntil(cluster.world.now() + 600);
    }
    assertEquals(third, cluster.leader());
    assertEquals(before, cluster.checker.starts, "a task was lost");
    assertTrue(cluster.allRun(services));
  }

  /**
   * All three every 1.5 s for 20 s, back after 50 ms or 300 ms: tasks live, and all is well 5 s
   * later.
   */
  @ParameterizedTest
  @CsvSource({"50,60", "300,60", "50,480"})
  void allOfThemAgainAndAgain(long downMs, int machines) {
    SimulatedCluster cluster = settled(7, machines);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    int before = cluster.checker.starts;
    for (int i = 0; i < 13; i++) {
      cluster.controllers.keySet().forEach(m -> cluster.crash(m, downMs));
      cluster.world.runUntil(cluster.world.now() + 1_500);
    }
    JobSpec job = cluster.plainJob(false, 4);
    cluster.submit(job);
    cluster.world.runUntil(cluster.world.now() + 5_000);
    assertTrue(cluster.leader() != null);
    assertTrue(cluster.checker.starts >= before + 4, "nothing starts");
    assertFewAgain(before + 4, cluster, "all again and again");
    assertTrue(cluster.allRun(services));
  }

  /** Back during an outage, all of them, and the heir at the moment it would claim. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void backDuringAnOutage(long seed) {
    SimulatedCluster cluster = settled(seed);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    int before = cluster.checker.starts;
    cluster.state.outage(5_000);
    cluster.world.runUntil(cluster.world.now() + 800);
    // When it is over: whoever claims first ends there and then.
    int[] claims = new int[1];
    cluster.state.onWrite.add(
        key -> {
          if (key.equals("live/lead") && claims[0]++ < 4) {
            cluster.crash(cluster.state.caller(), 50);
          }
        });
    cluster.controllers.keySet().forEach(m -> cluster.crash(m, 50));
    cluster.world.runUntil(cluster.world.now() + 4_300);
    cluster.world.runUntil(cluster.world.now() + 8_000);
    assertTrue(claims[0] >= 4, claims[0] + " claims");
    assertTrue(cluster.leader() != null);
    assertFewAgain(before, cluster, "outage");
    assertTrue(cluster.allRun(services));
  }

  /** The version in production beside, crashing and back at once in the same way. */
  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23})
  void theOldVersionLikewise(long seed) {
    SimulatedCluster cluster =
        new SimulatedCluster(seed, Deployment.large(MACHINES).withProductionVersion());
    cluster.world.loss = 0;
    cluster.world.late = 0;
    cluster.world.runUntil(15_000);
    List<JobSpec> services = Scenes.services(cluster, 10, 100, 15_000);
    List<String> members = List.copyOf(cluster.controllers.keySet());
    for (int i = 0; i < 6; i++) {
      cluster.crash(members.get(i % 3), 50);
      cluster.world.runUntil(cluster.world.now() + 700);
    }
    cluster.upgrade(members.get(0), 50);
    cluster.world.runUntil(cluster.world.now() + 4_000);
    for (int i = 0; i < 12; i++) {
      cluster.crash(members.get(i % 3), 50);
      cluster.world.runUntil(cluster.world.now() + 700);
    }
    cluster.upgrade(members.get(1), 300);
    cluster.upgrade(members.get(2), 300);
    cluster.world.runUntil(cluster.world.now() + 25_000);
    assertTrue(cluster.leader() != null);
    assertTrue(cluster.allRun(services));
  }

  /**
   * A crash of the leader, by how soon it is back: who leads next, after how long, by how many
   * changes.
   */
  @Test
  @EnabledIfSystemProperty(named = "sim.restarts", matches = "true")
  void table() {
    for (long downMs : new long[] {50, 300, 1_000, 4_000, 60_000}) {
      List<Long> next = new ArrayList<>();
      int itself = 0;
      long changes = 0;
      for (long seed = 1; seed <= 15; seed++) {
        SimulatedCluster cluster = settled(seed);
        String leader = cluster.leader();
        long from = cluster.world.now();
        int[] writes = new int[1];
        cluster.state.onWrite.add(key -> writes[0] += key.startsWith("live/") ? 1 : 0);
        cluster.crash(leader, downMs);
        until(cluster, from + 20_000, () -> cluster.leader() != null);
        next.add(cluster.world.now() - from);
        itself += leader.equals(cluster.leader()) ? 1 : 0;
        changes += writes[0];
      }
      next.sort(null);
      System.out.printf(
          "back after %d ms: led again after %d ms on the median, %d at the worst; itself %d of 15; %.1f changes%n",
          downMs, next.get(7), next.get(14), itself, changes / 15.0);
    }
  }

  /**
   * Here a dead process's address stays silent half of the time: a worker that waits 4 s for each
   * of several in a row may have no time left of its lease.
   */
  private static void assertFewAgain(int starts, SimulatedCluster cluster, String what) {
    assertTrue(
        cluster.checker.starts - starts <= 3,
        what + ": " + (cluster.checker.starts - starts) + " started again");
  }

  private static void until(SimulatedCluster cluster, long latest, BooleanSupplier holds) {
    while (cluster.world.now() < latest && !holds.getAsBoolean()) {
      cluster.world.runUntil(cluster.world.now() + 10);
    }
  }

  private static SimulatedCluster settled(long seed) {
    return settled(seed, MACHINES);
  }

  private static SimulatedCluster settled(long seed, int machines) {
    return Scenes.settled(seed, Deployment.large(machines).withLease(4_000, 22_000, 50_000), 0);
  }
}
