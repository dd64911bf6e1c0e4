package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Troubles that meet a change of leader. The rules are checked after each step; each test sees to
 * it that its meeting came about. Leases are of 10 s and cancelled jobs' tasks gone after 30 s, if
 * nothing else is said.
 */
class LeaderChangeMeetingsTest {
  private static final int MACHINES = 60;

  private static SimulatedCluster settled(long seed) {
    return Scenes.settled(seed, Deployment.large(MACHINES), 0);
  }

  // ---------------------------------------------------------------- old reports

  /**
   * Machines were in their second session, were started anew and are in their first again, with
   * tasks. A report of the life before reaches every controller as a new leader begins, which can't
   * ask those machines yet. Its later session proves nothing: their tasks run on, and run nowhere
   * else.
   */
  @ParameterizedTest
  @CsvSource({
    "1,0,false",
    "2,4,false",
    "3,50,false",
    "4,3000,false",
    "5,4,true",
    "6,50,true",
    "7,200,true"
  })
  void reportsOfAnEarlierLifeReachTheNextLeader(long seed, long afterMs, boolean slowCopy) {
    SimulatedCluster c = settled(seed);
    // The cloud takes nothing back: of whoever is silent only its lease's end tells.
    c.cloud.outage(90_000);
    c.world.cut("n-", "nodo", 12_000);
    c.world.runUntil(c.world.now() + 16_000);
    Map<WorkerEmulator, byte[]> old = new LinkedHashMap<>();
    for (WorkerEmulator w : c.cloud.machines().values()) {
      if (w.isUp() && w.peek().session() > 1) {
        old.put(w, LeaderChanges.reportOf(w));
      }
    }
    old.keySet().forEach(w -> w.reboot(50));
    c.world.runUntil(c.world.now() + 8_000);
    List<JobSpec> services = Scenes.services(c, 30, 100, 15_000);
    List<WorkerEmulator> carrying = LeaderChanges.carrying(c);
    List<WorkerEmulator> silent = new ArrayList<>(old.keySet());
    silent.removeAll(carrying.subList(0, carrying.size() / 2));
    assertTrue(silent.stream().filter(carrying::contains).count() > 5, "too few with tasks");
    int[] handed = new int[1];
    LeaderChanges.onClaim(
        c,
        member -> {
          if (handed[0]++ == 0) {
            c.world.after(afterMs, () -> LeaderChanges.handToAll(c, old.values()));
          }
        });
    if (slowCopy) {
      c.world.hold(new SimulatedNetwork.Held("/watch", true, 1, 400, 600), 6_000);
    }
    silent.forEach(w -> c.world.cut(w.name(), "nodo", 7_000));
    c.crash(c.leader(), 3_000);
    c.world.runUntil(c.world.now() + 9_000);
    assertTrue(handed[0] > 0, "nobody has claimed");
    c.world.runUntil(c.world.now() + 20_000);
    assertTrue(c.allRun(services));
    JobSpec wide = LeaderChanges.batch(c, 300, 5);
    c.submit(wide);
    c.world.runUntil(c.world.now() + 30_000);
    assertTrue(c.rules.isOver(wide.id()), "not all machines are used again");
  }
}
