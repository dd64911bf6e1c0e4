package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Zones are cut off, with controllers inside, for longer than a lease; and jobs bound to zones lose
 * machines there. Leases are of 10 s, cancelled jobs' tasks gone after 30 s.
 */
class ZoneMeetingsTest {
  private static final long LEASE_MS = 10_000;

  /** Long enough for a lease, its margin and a controller's look at it. */
  private static final long BEYOND_LEASE_MS = 14_000;

  // ---------------------------------------------------------------- a zone is cut off with workers
  // and a controller

  /**
   * A zone with workers and a controller, which leads or not, loses all the rest: users, the state
   * service, the cloud and the other controllers, for longer than a lease. Jobs with tasks there
   * are cancelled meanwhile, and the leader changes. Cuts of both ways keep tasks alive inside, as
   * long as the controller there may answer; nothing of it runs twice, or too long after its
   * cancellation.
   */
  @ParameterizedTest
  @CsvSource({
    "1,true,BOTH,1,40000",
    "2,false,BOTH,1,40000",
    "3,true,BOTH,1,90000",
    "4,false,BOTH,1,90000",
    "5,true,IN,1,40000",
    "6,false,IN,1,40000",
    "7,true,OUT,1,40000",
    "8,false,OUT,1,40000",
    "9,true,BOTH,0.5,40000",
    "10,false,BOTH,0.5,40000",
    "11,true,IN,0.5,60000",
    "12,false,OUT,0.5,60000"
  })
  void aZoneIsCutOffWithItsController(
      long seed,
      boolean leaderInside,
      SimulatedNetwork.CutDirection way,
      double share,
      long forMs) {
    SimulatedCluster c = Scenes.settled(seed, Deployment.large(24), 0);
    List<JobSpec> services = Scenes.services(c, 12, 100, 15_000);
    for (int i = 0; i < 10; i++) {
      c.submit(JobDraft.array(c, 4, 60).team(i % 2 == 0 ? "roja" : "azul").spec());
    }
    c.world.runUntil(c.world.now() + 8_000);
    String first = c.leader();
    String zone = zoneOf(c, first, leaderInside);
    Set<String> before = tasksIn(c, zone);
    assertTrue(before.size() >= 20, before.size() + " tasks in " + zone);
    long cutAt = c.world.now();
    c.world.cutZone(zone, forMs, way, share);
    List<JobSpec> cancelled = services.subList(0, 6);
    int[] there = new int[1];
    String outside =
        c.controllers.keySet().stream()
            .filter(m -> !c.zoneOf(m).equals(zone))
            .findFirst()
            .orElseThrow();
    for (int i = 0; i < cancelled.size(); i++) {
      String id = cancelled.get(i).id();
      c.world.after(
          400 + i * 900L,
          () -> {
            there[0] += c.checker.taskPresence().running(id, zone) > 0 ? 1 : 0;
            c.cancelThrough(outside, id, 30);
          });
    }
    if (!leaderInside) {
      c.world.after(6_000, () -> ifLed(c, m -> c.crash(m, 2_000)));
    }
    c.world.runUntil(cutAt + BEYOND_LEASE_MS);
    Set<String> still = tasksIn(c, zone);
    still.retainAll(before);
    if (way == SimulatedNetwork.CutDirection.BOTH && share == 1) {
      // Workers whose next controller is outside too find the one inside too late.
      int least = leaderInside ? 5 : isNextInside(c, first, zone) ? 3 : 0;
      assertTrue(still.size() >= least, still.size() + " tasks lived inside beyond a lease");
      assertNotEquals(zone, c.zoneOf(leaderOutside(c, zone)), "nobody leads outside");
    }
    c.world.runUntil(cutAt + forMs);
    assertTrue(there[0] >= 3, there[0] + " cancelled while tasks of theirs were in " + zone);
    assertTrue(
        cancelled.stream().allMatch(job -> c.checker.cancelledAt(job.id()) >= 0),
        "not all were told");
    settle(c, services.subList(6, 12));
  }

  private static String zoneOf(SimulatedCluster c, String leader, boolean same) {
    String own = c.zoneOf(leader);
    return c.deployment.zones().stream()
        .filter(zone -> zone.equals(own) == same)
        .findFirst()
        .orElseThrow();
  }

  /** True if a worker that gets no answer from that controller tries one of the zone next. */
  private static boolean isNextInside(SimulatedCluster c, String member, String zone) {
    List<String> all = List.copyOf(c.controllers.keySet());
    return c.zoneOf(all.get((all.indexOf(member) + 1) % all.size())).equals(zone);
  }

  private static String leaderOutside(SimulatedCluster c, String zone) {
    return c.controllers.keySet().stream()
        .filter(m -> !c.zoneOf(m).equals(zone) && c.controllers.get(m).isLeading())
        .findFirst()
        .orElseThrow(() -> new AssertionError("nobody leads outside"));
  }

  /** The tasks on machines of a zone, each with its machine's name. */
  private static Set<String> tasksIn(SimulatedCluster c, String zone) {
    Set<String> tasks = new HashSet<>();
    for (String task : c.checker.tasksOnMachines()) {
      WorkerEmulator w = c.cloud.machines().get(task.substring(task.indexOf('@') + 1));
      if (w != null && w.zone().equals(zone)) {
        tasks.add(task);
      }
    }
    return tasks;
  }

  private static void ifLed(SimulatedCluster c, java.util.function.Consumer<String> trouble) {
    if (c.leader() != null) {
      trouble.accept(c.leader());
    }
  }

  /** Nothing fails any more: every array is over, every service whole, and nobody waits. */
  private static void settle(SimulatedCluster c, List<JobSpec> services) {
    c.world.runUntil(c.world.now() + 30_000);
    c.checker.recordEndOfFaults();
    List<JobSpec> arrays =
        c.jobs.stream()
            .filter(job -> !job.service() && !c.checker.isCancelRequested(job.id()))
            .toList();
    Scenes.until(
        c,
        240_000,
        () -> c.allRun(services) && arrays.stream().allMatch(job -> c.checker.isOver(job.id())));
    assertTrue(c.allRun(services), "services are whole");
    assertEquals(
        List.of(), arrays.stream().map(JobSpec::id).filter(id -> !c.checker.isOver(id)).toList());
    c.world.runUntil(c.world.now() + 100_000);
    assertTrue(c.allRun(services), "services stay whole");
  }

  // ---------------------------------------------------------------- jobs bound to a zone lose
  // machines there

  /** How machines are lost. */
  private enum Loss {
    DIE,
    HANG,
    CUT,
    /** Their reports arrive, and nothing reaches them. */
    DEAF,
    REBOOT
  }

  /**
   * Jobs bound to one zone, by name or by {@code same_place}, or held to a half of their tasks in
   * each by {@code apart}, lose half of the machines of a zone, while the cloud has no others there
   * for a while, and the leader changes once or twice. Their tasks start again where they are
   * allowed given the others that may still be there, and all are done.
   */
  @ParameterizedTest
  @CsvSource({
    "1,DIE,0",
    "2,DIE,1",
    "3,HANG,1",
    "4,HANG,2",
    "5,CUT,0",
    "6,CUT,1",
    "7,CUT,2",
    "8,DEAF,1",
    "9,REBOOT,1",
    "10,REBOOT,2"
  })
  void jobsBoundToAZoneLoseMachinesThere(long seed, Loss loss, int leaderChanges) {
    SimulatedCluster c = Scenes.settled(seed, Deployment.large(16), 0);
    List<JobSpec> bound = boundJobs(c);
    bound.forEach(c::submit);
    Scenes.until(
        c,
        30_000,
        () -> bound.stream().filter(job -> c.checker.running(job.id()) > 0).count() > 20);
    c.world.runUntil(c.world.now() + 3_000);
    List<WorkerEmulator> lost = halfOf(c, "sur");
    long hit =
        bound.stream()
            .filter(job -> lost.stream().anyMatch(w -> c.checker.isOn(job.id(), w)))
            .count();
    assertTrue(hit >= 4, hit + " bound jobs lose a machine");
    c.cloud.exhaustZone("sur", 40_000);
    lost.forEach(w -> lose(c, w, loss));
    for (int i = 0; i < leaderChanges; i++) {
      c.world.after(1_500 + i * 5_000L, () -> ifLed(c, m -> c.crash(m, 1_000)));
    }
    c.world.runUntil(c.world.now() + 40_000);
    settle(c, bound.stream().filter(JobSpec::service).toList());
    assertEquals(
        List.of(),
        bound.stream()
            .filter(job -> !job.service() && !c.checker.allCompleted(job.id()))
            .map(JobSpec::id)
            .toList());
  }

  private static List<JobSpec> boundJobs(SimulatedCluster c) {
    List<JobSpec> jobs = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      String team = i % 2 == 0 ? "roja" : "azul";
      for (String rules : List.of("same_place", "apart", "same_place apart", "")) {
        String zone = rules.isEmpty() || i == 3 ? "sur" : null;
        jobs.add(JobDraft.array(c, 3 + i, 12).team(team).rules(rules).zone(zone).spec());
      }
      jobs.add(JobDraft.service(c, 3).team(team).rules("same_place").spec());
      jobs.add(JobDraft.service(c, 2 + i % 2).team(team).rules("apart").spec());
      jobs.add(JobDraft.service(c, 2).team(team).zone("sur").spec());
    }
    return jobs;
  }

  private static List<WorkerEmulator> halfOf(SimulatedCluster c, String zone) {
    List<WorkerEmulator> all =
        c.cloud.machines().values().stream()
            .filter(w -> w.zone().equals(zone) && w.isUp())
            .toList();
    List<WorkerEmulator> half = new ArrayList<>();
    for (int i = 0; i < all.size(); i += 2) {
      half.add(all.get(i));
    }
    return half;
  }

  private static void lose(SimulatedCluster c, WorkerEmulator w, Loss loss) {
    switch (loss) {
      case DIE -> c.cloud.terminate(w, true);
      case HANG -> w.hang(7_000 + c.world.faults.nextInt(20_000));
      case CUT -> c.world.cut(w.name(), "nodo", 7_000 + c.world.faults.nextInt(25_000));
      case DEAF -> c.world.cutOneWay("nodo", w.name(), LEASE_MS + 15_000);
      case REBOOT -> w.reboot(200 + c.world.faults.nextInt(3_000));
      default -> throw new IllegalStateException();
    }
  }

  /**
   * A job that only one zone or type will do for, while others keep coming for which the cloud has
   * any number of cheaper machines: machines that it may use are rented for it.
   */
  @ParameterizedTest
  @CsvSource({"1,norte,", "2,norte,mesa", "3,,torre", "4,sur,torre", "5,norte,torre"})
  void whatAJobMayUseIsRentedForIt(long seed, String zone, String type) {
    SimulatedCluster c = Scenes.settled(seed, manySmallOnes(), 0);
    c.cloud.bootMs = () -> 30_000;
    // All that is up is taken for good.
    for (WorkerEmulator w : c.cloud.machines().values()) {
      JobDraft job =
          JobDraft.array(c, 1, 2_000).cpus(w.machineType().cpus()).type(w.machineType().name());
      c.submit(job.zone(w.zone()).priority(Priority.CRITICAL).spec());
    }
    c.world.runUntil(c.world.now() + 5_000);
    for (int i = 0; i < 90; i++) {
      JobDraft others = JobDraft.array(c, 4, 20).cpus(4).team("azul");
      JobSpec next = others.priority(Priority.CRITICAL).spec();
      c.world.after(i * 1_000L, () -> c.submit(next));
    }
    c.world.runUntil(c.world.now() + 8_000);
    JobDraft draft = JobDraft.array(c, 1, 5).priority(Priority.STANDARD).cpus(4);
    JobSpec bound = (type == null ? draft : draft.type(type)).zone(zone).spec();
    c.submit(bound);
    long tookMs = Scenes.until(c, 100_000, () -> c.checker.running(bound.id()) > 0);
    assertTrue(tookMs < 60_000, bound.id() + " began after " + tookMs + " ms");
  }

  /** A few machines, and a cloud that has all the small ones, the cheaper, anybody asks for. */
  private static Deployment manySmallOnes() {
    Deployment few = Deployment.large(8);
    return new Deployment(
        few.controllers(),
        few.zones(),
        few.initialSmall(),
        few.initialLarge(),
        1_000,
        few.largePerZone(),
        0,
        few.limits(),
        few.announcedLimits(),
        few.reportMs(),
        few.leaseMs(),
        few.cancelMs(),
        false);
  }

  /** More seeds: {@code mvn test -Dtest=ZoneMeetingsTest#soak -Dsim.from=100 -Dsim.to=139}. */
  @Test
  @EnabledIfSystemProperty(named = "sim.from", matches = "[0-9]+")
  void soak() {
    SimulatedNetwork.CutDirection[] ways = SimulatedNetwork.CutDirection.values();
    Loss[] losses = Loss.values();
    Scenes.soak(
        seed -> {
          int i = (int) seed;
          aZoneIsCutOffWithItsController(
              seed, i % 2 == 0, ways[i / 2 % 3], i / 6 % 2 == 0 ? 1 : 0.5, 40_000 + i % 3 * 25_000);
          jobsBoundToAZoneLoseMachinesThere(seed, losses[i % losses.length], i / 5 % 3);
        });
  }
}
