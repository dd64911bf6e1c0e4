package fennelthread.plan;

import static fennelthread.plan.SnapshotFixtures.NOW_MS;
import static fennelthread.plan.SnapshotFixtures.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The planner on random snapshots. */
class PlannerRandomSnapshotTest {
  private static final List<AgingBoost> BOOSTS = List.of(AgingBoost.values());

  private static final List<Priority> PRIORITIES = List.of(Priority.values());

  /** The shortcuts change nothing: the plain planner chooses the same, also under preemption. */
  @Test
  void thePlannerChoosesWhatThePlainPlannerChooses() {
    int preemptions = 0;
    int starts = 0;
    int passedOver = 0;
    int starvedStarts = 0;
    for (int seed = 0; seed < 3_000; seed++) {
      Snapshot s = randomSnapshot(seed, 1 + seed % 30);
      PlacementPlan plan = Planner.plan(s);
      assertEquals(ReferencePlanner.plan(s), plan, "seed " + seed);
      preemptions += plan.preemptions().size();
      starts += plan.starts().size();
      passedOver += plan.passedOverJobs().size();
      for (PlacementPlan.Start start : plan.starts()) {
        starvedStarts += s.starvedJobs().contains(start.spec().id()) ? 1 : 0;
      }
    }
    assertTrue(
        preemptions > 1_000 && starts > 5_000, preemptions + " preemptions, " + starts + " starts");
    assertTrue(
        passedOver > 200 && starvedStarts > 200,
        passedOver + " passed over, " + starvedStarts + " starts of starved jobs");
  }

  /** Random snapshots: no plan ever breaks a limit, a machine's size or a job's constraints. */
  @Test
  void randomPlansKeepEveryLimit() {
    for (int seed = 0; seed < 3_000; seed++) {
      check(randomSnapshot(seed, 1 + seed % 8), seed);
    }
  }

  private static Snapshot randomSnapshot(int seed, int machineCount) {
    SplittableRandom r = new SplittableRandom(seed);
    List<Snapshot.MachineState> machines = new ArrayList<>();
    Set<String> guaranteed = new HashSet<>();
    for (int i = 0; i < machineCount; i++) {
      List<Snapshot.RunningTask> running = new ArrayList<>();
      for (int k = r.nextInt(5); k > 0; k--) {
        JobSpec spec =
            job(
                "job-9" + i + k,
                r.nextBoolean() ? "roja" : "azul",
                PRIORITIES.get(r.nextInt(4)),
                1,
                1 + r.nextInt(4));
        if (r.nextBoolean()) {
          guaranteed.add(spec.id());
        }
        running.add(
            new Snapshot.RunningTask(
                spec,
                ownOrInherited(r, spec),
                0,
                k,
                "m" + i,
                r.nextInt(5) == 0,
                spec.cpus(),
                0,
                spec.memGb(),
                r.nextInt(6) == 0 ? -1 : NOW_MS - r.nextInt(20) * 500L,
                r.nextInt(3) == 0 ? 0 : 1 + r.nextInt(20)));
      }
      machines.add(
          SnapshotFixtures.machine(
              "m" + i,
              r.nextBoolean() ? "mesa" : "torre",
              "z" + r.nextInt(3),
              r.nextBoolean(),
              16,
              r.nextInt(4) == 0 ? r.nextInt(17) : r.nextInt(3),
              r.nextInt(3),
              r.nextInt(40),
              1,
              Set.of("img" + r.nextInt(3)),
              Set.of(),
              Map.of("lote", r.nextInt(3)),
              running));
    }
    List<Snapshot.PendingJob> pendingJobs = new ArrayList<>();
    for (int i = 0; i < 1 + r.nextInt(6); i++) {
      int tasks = 1 + r.nextInt(9);
      boolean apart = r.nextInt(3) == 0;
      JobSpec spec =
          JobSpec.builder("job-" + i)
              .jobClass("lote")
              .team(r.nextBoolean() ? "roja" : "azul")
              .service(r.nextBoolean())
              .priority(PRIORITIES.get(r.nextInt(4)))
              .tasks(tasks)
              .cpus(r.nextInt(5))
              .cards(r.nextInt(4) == 3 ? 1 : 0)
              .memGb(r.nextInt(8))
              .image("img" + r.nextInt(3))
              .imageGb(2)
              .types(r.nextBoolean() ? null : List.of("torre"))
              .zone(r.nextInt(4) == 0 ? "z1" : null)
              .onePlace(!apart && r.nextInt(3) == 0)
              .apart(apart)
              .spotAllowed(r.nextBoolean())
              .estimateS(5)
              .build();
      Map<String, Integer> zones = r.nextInt(3) == 0 ? Map.of("z" + r.nextInt(3), 1) : Map.of();
      List<Integer> list = new ArrayList<>();
      for (int t = zones.isEmpty() ? 0 : 1; t < tasks; t++) {
        list.add(t);
      }
      Priority priority = ownOrInherited(r, spec);
      pendingJobs.add(
          new Snapshot.PendingJob(
              spec,
              priority,
              r.nextBoolean() ? priority : spec.priority(),
              list,
              zones,
              r.nextBoolean(),
              r.nextBoolean(),
              r.nextInt(4) == 0,
              r.nextInt(9),
              r.nextInt(3) * 2.5,
              BOOSTS.get(r.nextInt(3)),
              i));
    }
    Map<String, Snapshot.TeamUsage> teams =
        Map.of(
            "roja", SnapshotFixtures.usage(3, 0, 5 + r.nextInt(40), 2),
            "azul", SnapshotFixtures.usage(0, 0, 5 + r.nextInt(40), 2));
    Set<Long> nonPreemptible = r.nextInt(3) == 0 ? Set.of(1L + r.nextInt(4)) : Set.of();
    int maxStarts = 1 + r.nextInt(30);
    machines.replaceAll(h -> r.nextInt(5) == 0 ? withSlots(h, r.nextInt(3)) : h);
    Set<String> starved = r.nextInt(3) == 0 ? Set.of("job-" + r.nextInt(6)) : Set.of();
    if (r.nextInt(3) == 0) {
      teams = Map.of("roja", use(r, machines, "roja"), "azul", use(r, machines, "azul"));
    }
    Set<Long> preemptibleOnlyByMoreUrgent =
        r.nextInt(3) == 0 ? Set.of(1L + r.nextInt(4)) : Set.of();
    return new Snapshot(
        machines,
        pendingJobs,
        guaranteed,
        nonPreemptible,
        teams,
        NOW_MS,
        maxStarts,
        starved,
        preemptibleOnlyByMoreUrgent);
  }

  /** What a team's running tasks use, with a limit above and a guarantee that may be below. */
  private static Snapshot.TeamUsage use(
      SplittableRandom r, List<Snapshot.MachineState> machines, String team) {
    double used =
        machines.stream()
            .flatMap(h -> h.running().stream())
            .filter(running -> running.spec().team().equals(team))
            .mapToDouble(Snapshot.RunningTask::cpus)
            .sum();
    return new Snapshot.TeamUsage(used, 0, used + 2 + r.nextInt(40), 2, 1 + r.nextInt(30), 0);
  }

  private static Snapshot.MachineState withSlots(Snapshot.MachineState h, int slots) {
    return new Snapshot.MachineState(
        h.name(),
        h.type(),
        h.zone(),
        h.isSpot(),
        h.freeCpus(),
        h.freeCards(),
        h.freeMemGb(),
        h.images(),
        h.fetching(),
        h.tasksByClass(),
        h.running(),
        slots);
  }

  /** Now and then a job inherits the priority of a dependant. */
  private static Priority ownOrInherited(SplittableRandom r, JobSpec spec) {
    Priority other = PRIORITIES.get(r.nextInt(4));
    return r.nextInt(3) == 0 && other.compareTo(spec.priority()) < 0 ? other : spec.priority();
  }

  private static void check(Snapshot s, int seed) {
    PlacementPlan plan = Planner.plan(s);
    assertTrue(plan.starts().size() <= s.maxStarts());
    Map<String, double[]> byMachine = new HashMap<>();
    Map<String, double[]> byTeam = new HashMap<>();
    Map<String, Map<String, Integer>> zones = new HashMap<>();
    s.pendingJobs().forEach(n -> zones.put(n.spec().id(), new HashMap<>(n.tasksByZone())));
    for (PlacementPlan.Start start : plan.starts()) {
      JobSpec spec = start.spec();
      Snapshot.MachineState machine =
          s.machines().stream()
              .filter(h -> h.name().equals(start.machine()))
              .findFirst()
              .orElseThrow();
      double[] used = byMachine.computeIfAbsent(machine.name(), k -> new double[4]);
      used[3]++;
      used[0] += spec.cpus();
      used[1] += spec.cards();
      used[2] += spec.memGb();
      assertTrue(
          used[0] <= machine.freeCpus()
              && used[1] <= machine.freeCards()
              && used[2] <= machine.freeMemGb()
              && used[3] <= machine.freeReportSlots(),
          "seed " + seed);
      double[] team = byTeam.computeIfAbsent(spec.team(), k -> new double[2]);
      team[0] += spec.cpus();
      team[1] += spec.cards();
      Snapshot.TeamUsage use = s.teams().get(spec.team());
      assertTrue(use.cpus() + team[0] <= use.cpusMax() && use.cards() + team[1] <= use.cardsMax());
      assertTrue(spec.types() == null || spec.types().contains(machine.type().name()));
      assertTrue(spec.zone() == null || spec.zone().equals(machine.zone()));
      assertTrue(spec.spotAllowed() || !machine.isSpot());
      Map<String, Integer> at = zones.get(spec.id());
      at.merge(machine.zone(), 1, Integer::sum);
      assertTrue(!spec.onePlace() || at.size() == 1, "seed " + seed);
      assertTrue(!spec.apart() || at.get(machine.zone()) <= (spec.tasks() + 1) / 2, "seed " + seed);
    }
  }
}
