package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.simulation.LeaderChanges.Change;
import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

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
   * ask those machines yet. Its later session proves nothing: their tasks run on and nowhere else,
   * and the machines get work as soon as they can be asked.
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
    c.world.runUntil(c.world.now() + 6_000);
    c.submit(LeaderChanges.batch(c, 300, 20));
    c.world.runUntil(c.world.now() + 5_000);
    List<WorkerEmulator> idle = new ArrayList<>(silent);
    idle.removeAll(LeaderChanges.carrying(c));
    assertTrue(idle.size() <= 2, idle.size() + " machines are not used again");
    c.world.runUntil(c.world.now() + 20_000);
    assertTrue(c.allRun(services));
  }

  /**
   * Half of the reports come again at every controller when the next leader begins, or when it has
   * acted, over six changes of leader, while jobs come, end and are cancelled.
   */
  @ParameterizedTest
  @CsvSource({
    "1,0,CRASH",
    "2,3,REFUSED",
    "3,50,FROZEN",
    "4,1000,BACK_AT_ONCE",
    "5,8000,CRASH",
    "6,25000,ALONE"
  })
  void oldReportsReachEveryController(long seed, long afterMs, Change change) {
    SimulatedCluster c = settled(seed);
    List<JobSpec> services = Scenes.services(c, 10, 100, 15_000);
    c.keepReportsForNextLeader(0.5, 70_000, afterMs);
    List<JobSpec> jobs = LeaderChanges.busy(c, 80, 800);
    long epoch = LeaderChanges.epoch(c);
    for (int i = 0; i < 6; i++) {
      c.world.after(6_000 + i * 10_500L, () -> LeaderChanges.end(c, change));
    }
    c.world.runUntil(c.world.now() + 75_000);
    long changes = LeaderChanges.epoch(c) - epoch;
    assertTrue(changes >= 4, changes + " changes of leader");
    assertTrue(c.reportCopies.handed() > 200, c.reportCopies.handed() + " copies");
    LeaderChanges.settle(c, services, jobs);
  }

  /**
   * A machine answers the next leader's question and dies; reports that it sent to the leader
   * before come in eight seconds later. They renew nothing: with the cloud out, its tasks run
   * elsewhere a lease after its death.
   */
  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void oldReportsRenewNoLeaseAtTheNextLeader(long seed) {
    SimulatedCluster c = settled(seed);
    List<JobSpec> services = Scenes.services(c, 15, 100, 15_000);
    c.cloud.outage(90_000);
    c.keepReportsForNextLeader(0.9, 15_000, 8_000);
    c.world.runUntil(c.world.now() + 15_000);
    long epoch = LeaderChanges.epoch(c);
    c.crash(c.leader(), 3_000);
    Scenes.until(c, 15_000, () -> LeaderChanges.epoch(c) > epoch);
    c.world.runUntil(c.world.now() + 200);
    WorkerEmulator dead = LeaderChanges.carrying(c).get(0);
    c.cloud.end(dead, true);
    long took = Scenes.until(c, 60_000, () -> c.allRun(services));
    assertTrue(c.reportCopies.handed() > 100, c.reportCopies.handed() + " copies");
    assertTrue(took < 14_000, "whole after " + took + " ms");
  }

  // ---------------------------------------------------------------- commands of an earlier leader

  /**
   * Starts and stops of a leader are held up, it ends or is deposed, and they arrive after the next
   * one's first command; where the next one can't reach a machine, before it.
   */
  @ParameterizedTest
  @CsvSource({
    "1,CRASH,false",
    "2,FROZEN,false",
    "3,REFUSED,false",
    "4,ALONE,false",
    "5,CRASH,true",
    "6,REFUSED,true",
    "7,BACK_AT_ONCE,true"
  })
  void commandsOfTheLeaderBefore(long seed, Change change, boolean outOfReach) {
    SimulatedCluster c = settled(seed);
    List<JobSpec> services = Scenes.services(c, 10, 100, 15_000);
    long epoch = LeaderChanges.epoch(c);
    List<JobSpec> jobs = LeaderChanges.busy(c, 90, 600);
    for (int i = 0; i < 4; i++) {
      c.world.after(
          4_000 + i * 13_000L,
          () -> {
            c.holdCommands(0.6, 3_000);
            c.world.after(2_000, () -> LeaderChanges.end(c, change));
            if (outOfReach) {
              c.world.after(
                  2_000,
                  () ->
                      c.cloud
                          .machines()
                          .values()
                          .forEach(w -> LeaderChanges.cutEveryOther(c, w, 6_500)));
            }
          });
    }
    c.world.runUntil(c.world.now() + 60_000);
    long changes = LeaderChanges.epoch(c) - epoch;
    assertTrue(changes >= 3, changes + " changes of leader");
    int afterwards =
        c.cloud.machines().values().stream().mapToInt(w -> w.runsOfEarlierLeaders).sum();
    assertTrue(
        afterwards > 0 && c.world.requestFaults.commandsDelivered > 10,
        afterwards + " starts came after the next leader's first command");
    LeaderChanges.settle(c, services, jobs);
  }

  /**
   * All commands of three seconds are held up for long. That they got no answer raises the tokens,
   * reports under these show that nothing was started, and it is started elsewhere, long before the
   * held commands arrive and are refused.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void startsWithoutAnswerAreMadeElsewhere(long seed) {
    SimulatedCluster c = settled(seed);
    c.world.hold(new SimulatedNetwork.Held("/commands", false, 1, 40_000, 60_000), 3_000);
    List<JobSpec> services = Scenes.services(c, 10, 100, 15_000);
    c.world.runUntil(c.world.now() + 60_000);
    int stale = c.cloud.machines().values().stream().mapToInt(w -> w.staleRuns).sum();
    assertTrue(stale >= 10, stale + " came late");
    assertTrue(c.allRun(services));
  }

  /**
   * Leaders end in every way, ten times in two minutes, also inside an outage, and while a share of
   * the transactions is carried out late, after the next leader's claim.
   */
  @ParameterizedTest
  @CsvSource({
    "1,0,0,0",
    "2,0,0,0.2",
    "3,30000,12000,0",
    "4,55000,25000,0.1",
    "5,10000,40000,0",
    "6,80000,20000,0.2"
  })
  void leadersChangeTenTimes(long seed, long outageAtMs, long outageMs, double lateShare) {
    SimulatedCluster c = settled(seed);
    List<JobSpec> services = Scenes.services(c, 10, 100, 15_000);
    List<JobSpec> jobs = LeaderChanges.busy(c, 100, 1_000);
    int[] claims = new int[1];
    LeaderChanges.onClaim(c, member -> claims[0]++);
    c.state.lateWrites(lateShare, 110_000);
    if (outageMs > 0) {
      c.world.after(outageAtMs, () -> c.state.outage(outageMs));
      for (long at = 1_000; at < outageMs; at += 4_000) {
        String member = "nodo-" + at / 4_000 % 3;
        c.world.after(outageAtMs + at, () -> c.crash(member, 2_000));
      }
    }
    Change[] ways = {Change.CRASH, Change.BACK_AT_ONCE, Change.REFUSED, Change.FROZEN};
    LeaderChanges.endEach(c, ways, 5_500, c.world.now() + 118_000);
    c.world.runUntil(c.world.now() + 120_000);
    assertTrue(claims[0] >= 10, claims[0] + " claims");
    LeaderChanges.settle(c, services, jobs);
  }

  // ---------------------------------------------------------------- cancellations in between

  /**
   * Jobs are cancelled from the moment of a claim on, through each controller, also the one that
   * was leader, while the new leader's copy of the state lags and no worker has reported to it.
   */
  @ParameterizedTest
  @CsvSource({
    "1,CRASH,0",
    "2,FROZEN,300",
    "3,REFUSED,600",
    "4,ALONE,600",
    "5,UNHEARD,600",
    "6,UNHEARD,0",
    "7,BACK_AT_ONCE,600",
    "8,CRASH,1500"
  })
  void cancelledWhileWorkChangesHands(long seed, Change change, long copyLateMs) {
    SimulatedCluster c = settled(seed);
    List<JobSpec> services = Scenes.services(c, 36, 100, 15_000);
    List<JobSpec> cancelled = services.subList(0, 24);
    String old = c.leader();
    long[] claimedAt = {-1};
    List<String> members = List.copyOf(c.controllers.keySet());
    LeaderChanges.onClaim(
        c,
        member -> {
          if (claimedAt[0] >= 0) {
            return;
          }
          claimedAt[0] = c.world.now();
          for (int i = 0; i < cancelled.size(); i++) {
            String by = members.get(i % 3);
            String id = cancelled.get(i).id();
            c.world.after(i / 3 * 120L, () -> c.cancelThrough(by, id, 25));
          }
        });
    if (copyLateMs > 0) {
      c.world.hold(
          new SimulatedNetwork.Held("/watch", true, 1, copyLateMs, copyLateMs + 300), 14_000);
    }
    LeaderChanges.end(c, change);
    for (int i = 0; i < 30_000 / 10 && claimedAt[0] < 0; i++) {
      c.world.runUntil(c.world.now() + 10);
    }
    assertTrue(claimedAt[0] >= 0, "nobody has claimed");
    c.world.runUntil(claimedAt[0] + 60_000);
    long soon =
        cancelled.stream()
            .filter(job -> c.rules.ranWhenCancelled(job.id()) > 0)
            .filter(job -> c.rules.cancelledAt(job.id()) < claimedAt[0] + 1_500)
            .count();
    assertTrue(soon >= 6, soon + " were cancelled at once, while they ran; leader was " + old);
    LeaderChanges.settle(c, services.subList(24, 36), List.of());
    LeaderChanges.assertCancelled(c, cancelled);
  }

  /**
   * Jobs are cancelled through the others at the very moment at which the state service refuses the
   * leader alone; a second later it is out for longer than the time in which their tasks must be
   * gone. The leader hears the others, one of them, or none.
   */
  @ParameterizedTest
  @CsvSource({"1,2", "2,1", "3,0", "4,0", "5,2", "6,1"})
  void cancelledAsTheLeaderIsRefused(long seed, int peersHeard) {
    long cancelMs = 50_000;
    Deployment deployment = Deployment.large(MACHINES).withLease(4_000, 22_000, cancelMs);
    SimulatedCluster c = Scenes.settled(seed, deployment, 0.0005);
    List<JobSpec> services = Scenes.services(c, 24, 50, 20_000);
    List<JobSpec> cancelled = services.subList(0, 16);
    String old = c.leader();
    List<String> others = LeaderChanges.others(c, old);
    others.subList(peersHeard, 2).forEach(m -> c.world.cut(old, m, 2 * cancelMs));
    c.state.refuse(old, 2 * cancelMs);
    for (int i = 0; i < cancelled.size(); i++) {
      String id = cancelled.get(i).id();
      String by = others.get(i % 2);
      c.world.after(i % 4, () -> c.cancelThrough(by, id, 3));
    }
    List<WorkerEmulator> hanging = LeaderChanges.carrying(c).subList(0, 4);
    hanging.forEach(w -> w.hang(12_000));
    c.world.after(1_000, () -> c.state.outage(cancelMs + 20_000));
    c.world.runUntil(c.world.now() + 1_000);
    long told = cancelled.stream().filter(j -> c.rules.ranWhenCancelled(j.id()) > 0).count();
    assertTrue(told >= 12, told + " were told");
    assertEquals(old, c.leader(), "it has stepped down before the outage");
    c.world.runUntil(c.world.now() + 2 * cancelMs + 60_000);
    assertTrue(c.allRun(services.subList(16, 24)), "services are whole");
    for (JobSpec job : cancelled) {
      assertTrue(
          c.rules.cancelledAt(job.id()) < 0 || c.rules.running(job.id()) == 0, job.id() + " runs");
    }
  }

  // ---------------------------------------------------------------- nobody is there

  /** How all controllers are away. */
  private enum Away {
    ENDED,
    FROZEN,
    CUT_FROM_WORKERS,
    ENDED_IN_AN_OUTAGE,
    /** All but one come back much later still. */
    ONE_RETURNS
  }

  /**
   * All controllers are away for longer than a lease; jobs are cancelled just before, held commands
   * and old reports arrive when they are back.
   */
  @ParameterizedTest
  @EnumSource
  void allAreAwayForLongerThanALease(Away away) {
    for (long seed = 1; seed <= 2; seed++) {
      allAway(seed, away, seed == 1 ? 13_000 : 31_000);
    }
  }

  private static void allAway(long seed, Away away, long awayMs) {
    SimulatedCluster c = settled(seed);
    List<JobSpec> services = Scenes.services(c, 20, 100, 15_000);
    List<JobSpec> cancelled = services.subList(0, 6);
    List<JobSpec> kept = services.subList(6, 20);
    c.keepReportsForNextLeader(0.5, 3_000, 200);
    c.holdCommands(0.5, 3_000);
    List<JobSpec> jobs = LeaderChanges.busy(c, 10, 250);
    c.world.runUntil(c.world.now() + 2_500);
    cancelled.forEach(job -> c.cancel(job.id()));
    c.world.runUntil(c.world.now() + 60);
    for (String member : List.copyOf(c.controllers.keySet())) {
      boolean last = member.equals("nodo-2");
      switch (away) {
        case FROZEN -> c.processes.get(member).pause(awayMs);
        case CUT_FROM_WORKERS -> c.world.cut(member, "n-", awayMs);
        case ONE_RETURNS -> c.crash(member, last ? awayMs : awayMs + 40_000);
        default -> c.crash(member, awayMs);
      }
    }
    if (away == Away.ENDED_IN_AN_OUTAGE) {
      c.state.outage(awayMs + 4_000);
    }
    c.world.runUntil(c.world.now() + awayMs - 50);
    assertEquals(0, c.rules.running(), "some lease is not over");
    long took = Scenes.until(c, 60_000, () -> c.allRun(kept));
    assertTrue(took < 30_000, away + ": whole after " + took + " ms");
    LeaderChanges.settle(c, kept, jobs);
    LeaderChanges.assertCancelled(c, cancelled);
  }

  /**
   * The lead goes to another controller and back, by refusals of the state service; then all end,
   * and only one returns, within a second.
   */
  @ParameterizedTest
  @CsvSource({"1,50", "2,300", "3,900", "4,50", "5,2000"})
  void handedOverAndBackThenOneReturns(long seed, long downMs) {
    SimulatedCluster c = settled(seed);
    List<JobSpec> services = Scenes.services(c, 12, 100, 15_000);
    List<JobSpec> jobs = LeaderChanges.busy(c, 60, 900);
    String first = c.leader();
    List<String> led = new ArrayList<>();
    LeaderChanges.onClaim(c, led::add);
    c.state.refuse(first, 7_000);
    c.world.runUntil(c.world.now() + 9_000);
    String second = c.leader();
    assertNotNull(second);
    LeaderChanges.others(c, first).forEach(m -> c.state.refuse(m, 7_000));
    c.world.runUntil(c.world.now() + 9_000);
    assertTrue(led.indexOf(second) >= 0 && led.lastIndexOf(first) > 0, "went to " + led);
    int before = c.rules.starts;
    List.copyOf(c.controllers.keySet())
        .forEach(m -> c.crash(m, m.equals(second) ? downMs : 30_000));
    c.world.runUntil(c.world.now() + downMs + 7_000);
    assertEquals(second, c.leader());
    // Users and workers wait 4 to 5 s for each of the two that are gone before they come over.
    c.world.runUntil(c.world.now() + 7_000);
    assertTrue(c.rules.starts > before, "nothing is started");
    LeaderChanges.settle(c, services, jobs);
  }

  /**
   * A leader ends while machines with long tasks hear nothing of the next one, commands, answers or
   * both, for less than a lease and for longer, and two more leaders end meanwhile.
   */
  @ParameterizedTest
  @CsvSource({"1,true,7000", "2,true,30000", "3,false,7000", "4,false,30000"})
  void machinesDoNotHearTheNextLeader(long seed, boolean onlyAnswers, long forMs) {
    SimulatedCluster c = settled(seed);
    List<JobSpec> services = Scenes.services(c, 10, 100, 15_000);
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 16; i++) {
      JobSpec job = LeaderChanges.batch(c, 6, 60);
      jobs.add(job);
      c.world.after(i * 50L, () -> c.submit(job));
    }
    c.world.runUntil(c.world.now() + 6_000);
    int unheard = 0;
    List<WorkerEmulator> carrying = LeaderChanges.carrying(c);
    for (WorkerEmulator w : carrying) {
      if (unheard++ % 3 == 0) {
        c.world.cutOneWay("nodo", w.name(), forMs);
      }
    }
    if (onlyAnswers) {
      c.world.hold(new SimulatedNetwork.Held("/agent/beat", true, 0.5, 4_500, 9_000), forMs);
    }
    String first = c.leader();
    c.crash(first, 3_000);
    c.world.runUntil(c.world.now() + 5_000);
    LeaderChanges.end(c, Change.BACK_AT_ONCE);
    c.world.runUntil(c.world.now() + 5_000);
    LeaderChanges.end(c, Change.CRASH);
    c.world.runUntil(c.world.now() + 35_000);
    assertTrue(unheard > 6, unheard + " machines with tasks");
    LeaderChanges.settle(c, services, jobs);
  }

  /**
   * More seeds of each: {@code mvn test -Dtest=LeaderChangeMeetingsTest#soak -Dsim.from=100
   * -Dsim.to=139}.
   */
  @Test
  @EnabledIfSystemProperty(named = "sim.from", matches = "[0-9]+")
  void soak() {
    long[] delays = {0, 3, 50, 400, 3_000};
    Change[] ways = Change.values();
    Map<String, LongConsumer> meetings = new TreeMap<>();
    meetings.put(
        "earlier life",
        s -> reportsOfAnEarlierLifeReachTheNextLeader(s, delays[(int) (s % 5)], s % 2 == 0));
    meetings.put(
        "old reports",
        s -> oldReportsReachEveryController(s, delays[(int) (s % 5)], ways[(int) (s % 5)]));
    meetings.put("commands", s -> commandsOfTheLeaderBefore(s, ways[(int) (s % 5)], s % 2 == 0));
    meetings.put("no answer", this::startsWithoutAnswerAreMadeElsewhere);
    meetings.put(
        "ten changes",
        s ->
            leadersChangeTenTimes(
                s, s % 10 * 9_000, s % 4 == 0 ? 0 : 8_000 + s % 4 * 9_000, s % 3 * 0.1));
    meetings.put("hands", s -> cancelledWhileWorkChangesHands(s, ways[(int) (s % 6)], s % 4 * 400));
    meetings.put("refused", s -> cancelledAsTheLeaderIsRefused(s, (int) (s % 3)));
    meetings.put(
        "away", s -> allAway(s, Away.values()[(int) (s % 5)], s % 2 == 0 ? 13_000 : 31_000));
    meetings.put(
        "one returns", s -> handedOverAndBackThenOneReturns(s, delays[(int) (s % 5)] + 50));
    meetings.put(
        "unheard", s -> machinesDoNotHearTheNextLeader(s, s % 2 == 0, s % 3 == 0 ? 7_000 : 25_000));
    assertEquals(List.of(), LeaderChanges.broken(meetings));
  }
}
