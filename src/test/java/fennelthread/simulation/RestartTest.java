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
        SimulatedCluster c = settled(seed);
        List<JobSpec> services = Scenes.services(c, 10, 100, 15_000);
        int before = c.rules.starts;
        int[] crashes = new int[1];
        c.state.onWrite.add(
            key -> {
              String writer = c.state.caller();
              if (key.startsWith(prefix) && c.controllers.containsKey(writer) && crashes[0] < 3) {
                crashes[0]++;
                c.crash(writer, downMs);
              }
            });
        String leader = c.leader();
        switch (trouble) {
          case "crash" -> c.crash(leader, downMs);
          case "freeze" -> c.processes.get(leader).pause(20_000);
          case "refuse" -> c.refuseMesh(8_000);
          default -> {}
        }
        List<JobSpec> batches = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
          JobSpec job = c.plain(false, 4);
          batches.add(job);
          c.world.after(200 + i * 400L, () -> c.submit(job));
        }
        c.world.runUntil(c.world.now() + 60_000);
        String what = prefix + " seed " + seed + " back after " + downMs;
        assertTrue(crashes[0] > 0, what + ": nothing was written");
        assertTrue(c.allRun(services), what);
        c.rules.checkServed(30_000);
        assertFewAgain(before + 12 * 4, c, what);
        for (JobSpec job : batches) {
          assertTrue(c.rules.isOver(job.id()), what + ": " + job.id());
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
    SimulatedCluster c = settled(5);
    List<JobSpec> services = Scenes.services(c, 10, 100, 15_000);
    int before = c.rules.starts;
    String faulty = c.leader();
    int led = 0;
    int ledByFaulty = 0;
    for (int i = 0; i < 20; i++) {
      c.crash(faulty, downMs);
      for (int t = 0; t < 12; t++) {
        c.world.runUntil(c.world.now() + 100);
        led += c.leader() == null ? 0 : 1;
        ledByFaulty += faulty.equals(c.leader()) ? 1 : 0;
      }
    }
    System.out.printf(
        "back after %d ms: led %d of 240 looks, %d by the faulty one%n", downMs, led, ledByFaulty);
    assertNotEquals(faulty, c.leader());
    assertTrue(led > 180, led + " of 240");
    assertTrue(ledByFaulty < 30, ledByFaulty + " of 240");
    assertEquals(before, c.rules.starts, "a task was lost");
    assertTrue(c.allRun(services));
  }

  /** Two of three in turns, 20 times: the third leads. */
  @Test
  void twoInTurns() {
    SimulatedCluster c = settled(6);
    List<JobSpec> services = Scenes.services(c, 10, 100, 15_000);
    int before = c.rules.starts;
    String third = c.leader();
    List<String> two = c.controllers.keySet().stream().filter(m -> !m.equals(third)).toList();
    for (int i = 0; i < 20; i++) {
      c.crash(two.get(i % 2), 50);
      c.world.runUntil(c.world.now() + 600);
    }
    assertEquals(third, c.leader());
    assertEquals(before, c.rules.starts, "a task was lost");
    assertTrue(c.allRun(services));
  }

  /**
   * All three every 1.5 s for 20 s, back after 50 ms or 300 ms: tasks live, and all is well 5 s
   * later.
   */
  @ParameterizedTest
  @CsvSource({"50,60", "300,60", "50,480"})
  void allOfThemAgainAndAgain(long downMs, int machines) {
    SimulatedCluster c = settled(7, machines);
    List<JobSpec> services = Scenes.services(c, 10, 100, 15_000);
    int before = c.rules.starts;
    for (int i = 0; i < 13; i++) {
      c.controllers.keySet().forEach(m -> c.crash(m, downMs));
      c.world.runUntil(c.world.now() + 1_500);
    }
    JobSpec job = c.plain(false, 4);
    c.submit(job);
    c.world.runUntil(c.world.now() + 5_000);
    assertTrue(c.leader() != null);
    assertTrue(c.rules.starts >= before + 4, "nothing starts");
    assertFewAgain(before + 4, c, "all again and again");
    assertTrue(c.allRun(services));
  }

  /** Back during an outage, all of them, and the heir at the moment it would claim. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void backDuringAnOutage(long seed) {
    SimulatedCluster c = settled(seed);
    List<JobSpec> services = Scenes.services(c, 10, 100, 15_000);
    int before = c.rules.starts;
    c.state.outage(5_000);
    c.world.runUntil(c.world.now() + 800);
    // When it is over: whoever claims first ends there and then.
    int[] claims = new int[1];
    c.state.onWrite.add(
        key -> {
          if (key.equals("live/lead") && claims[0]++ < 4) {
            c.crash(c.state.caller(), 50);
          }
        });
    c.controllers.keySet().forEach(m -> c.crash(m, 50));
    c.world.runUntil(c.world.now() + 4_300);
    c.world.runUntil(c.world.now() + 8_000);
    assertTrue(claims[0] >= 4, claims[0] + " claims");
    assertTrue(c.leader() != null);
    assertFewAgain(before, c, "outage");
    assertTrue(c.allRun(services));
  }

  /** The version in production beside, crashing and back at once in the same way. */
  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23})
  void theOldVersionLikewise(long seed) {
    SimulatedCluster c = new SimulatedCluster(seed, Deployment.large(MACHINES).inProduction());
    c.world.loss = 0;
    c.world.late = 0;
    c.world.runUntil(15_000);
    List<JobSpec> services = Scenes.services(c, 10, 100, 15_000);
    List<String> members = List.copyOf(c.controllers.keySet());
    for (int i = 0; i < 6; i++) {
      c.crash(members.get(i % 3), 50);
      c.world.runUntil(c.world.now() + 700);
    }
    c.upgrade(members.get(0), 50);
    c.world.runUntil(c.world.now() + 4_000);
    for (int i = 0; i < 12; i++) {
      c.crash(members.get(i % 3), 50);
      c.world.runUntil(c.world.now() + 700);
    }
    c.upgrade(members.get(1), 300);
    c.upgrade(members.get(2), 300);
    c.world.runUntil(c.world.now() + 25_000);
    assertTrue(c.leader() != null);
    assertTrue(c.allRun(services));
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
        SimulatedCluster c = settled(seed);
        String leader = c.leader();
        long from = c.world.now();
        int[] writes = new int[1];
        c.state.onWrite.add(key -> writes[0] += key.startsWith("live/") ? 1 : 0);
        c.crash(leader, downMs);
        until(c, from + 20_000, () -> c.leader() != null);
        next.add(c.world.now() - from);
        itself += leader.equals(c.leader()) ? 1 : 0;
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
  private static void assertFewAgain(int starts, SimulatedCluster c, String what) {
    assertTrue(
        c.rules.starts - starts <= 3, what + ": " + (c.rules.starts - starts) + " started again");
  }

  private static void until(SimulatedCluster c, long latest, BooleanSupplier holds) {
    while (c.world.now() < latest && !holds.getAsBoolean()) {
      c.world.runUntil(c.world.now() + 10);
    }
  }

  private static SimulatedCluster settled(long seed) {
    return settled(seed, MACHINES);
  }

  private static SimulatedCluster settled(long seed, int machines) {
    return Scenes.settled(seed, Deployment.large(machines).withLease(4_000, 22_000, 50_000), 0);
  }
}
