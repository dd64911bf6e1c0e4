package fennelthread.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import fennelthread.wire.Priority;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PlannerTest {

  private static JobSpec job(String id, String team, Priority priority, int tasks, double cpus) {
    return new JobSpec(
        id, "lote", team, false, priority, tasks, cpus, 0, 1, "img", 1, null, null, false, false,
        true, 10, 0, 0, JobSpec.NO_DEADLINE);
  }

  private static Snapshot.Host host(String name, String zone, double total, double free, String image) {
    return new Snapshot.Host(
        name, "mesa", zone, false, total, free, 0, 64, 1, 20,
        image == null ? Set.of() : Set.of(image), Set.of(), Map.of());
  }

  private static Snapshot.Need need(JobSpec spec, boolean guaranteed, int count) {
    List<Integer> tasks = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      tasks.add(i);
    }
    return new Snapshot.Need(spec, tasks, Map.of(), guaranteed, false, 100, 1);
  }

  private static Map<String, Snapshot.Use> teams(double cap) {
    return Map.of(
        "roja", new Snapshot.Use(0, 0, cap, 0), "azul", new Snapshot.Use(0, 0, cap, 0));
  }

  @Test
  void cachedImageBeforeFullest() {
    Snapshot s =
        new Snapshot(
            List.of(host("a", "z", 8, 2, null), host("b", "z", 8, 8, "img")),
            List.of(need(job("job-1", "roja", Priority.STANDARD, 1, 2), true, 1)),
            List.of(),
            teams(0),
            10);
    assertEquals("b", Planner.plan(s).starts().get(0).machine());
  }

  @Test
  void fullestAmongEquals() {
    Snapshot s =
        new Snapshot(
            List.of(host("a", "z", 8, 8, null), host("b", "z", 8, 3, null)),
            List.of(need(job("job-1", "roja", Priority.STANDARD, 1, 2), true, 1)),
            List.of(),
            teams(0),
            10);
    assertEquals("b", Planner.plan(s).starts().get(0).machine());
  }

  @Test
  void lessUrgentWorkMakesRoom() {
    Snapshot.Running low =
        new Snapshot.Running("x", "a", "azul", 3, false, false, 4, 0, 1, 5);
    Snapshot.Running same =
        new Snapshot.Running("y", "a", "azul", 0, false, false, 4, 0, 1, 1);
    Snapshot s =
        new Snapshot(
            List.of(host("a", "z", 8, 0, null)),
            List.of(need(job("job-1", "roja", Priority.CRITICAL, 2, 4), false, 2)),
            List.of(same, low),
            teams(0),
            10);
    Plan plan = Planner.plan(s);
    assertEquals(List.of(low), plan.stops());
    assertTrue(plan.starts().isEmpty());
  }

  /** A replica goes where its image is, at the cost of less urgent work, not where it must wait. */
  @Test
  void replicasTakeTheMachineThatHasTheImage() {
    JobSpec service =
        new JobSpec(
            "job-1", "servicio", "roja", true, Priority.CRITICAL, 1, 4, 0, 1, "img", 3, null, null,
            false, false, false, 0, 0, 0, JobSpec.NO_DEADLINE);
    Snapshot.Running low =
        new Snapshot.Running("x", "b", "azul", 2, false, false, 4, 0, 1, 5);
    Plan plan =
        Planner.plan(
            new Snapshot(
                List.of(host("a", "z", 8, 8, null), host("b", "z", 4, 0, "img")),
                List.of(need(service, true, 1)),
                List.of(low),
                teams(0),
                10));
    assertEquals(List.of(low), plan.stops());
    assertTrue(plan.starts().isEmpty());
  }

  @Test
  void borrowedWorkMakesRoomForAGuarantee() {
    Snapshot.Running borrowed =
        new Snapshot.Running("x", "a", "azul", 2, true, false, 4, 0, 1, 5);
    Snapshot.Running urgent =
        new Snapshot.Running("y", "a", "azul", 1, true, false, 4, 0, 1, 5);
    JobSpec spec = job("job-1", "roja", Priority.STANDARD, 1, 4);
    List<Snapshot.Host> hosts = List.of(host("a", "z", 4, 0, null));
    assertEquals(
        1,
        Planner.plan(new Snapshot(hosts, List.of(need(spec, true, 1)), List.of(borrowed), teams(0), 9))
            .stops()
            .size());
    assertEquals(
        0,
        Planner.plan(new Snapshot(hosts, List.of(need(spec, false, 1)), List.of(borrowed), teams(0), 9))
            .stops()
            .size());
    // Borrowed work of higher priority would be placed first and take the room back.
    assertEquals(
        0,
        Planner.plan(new Snapshot(hosts, List.of(need(spec, true, 1)), List.of(urgent), teams(0), 9))
            .stops()
            .size());
  }

  /** Random snapshots: no plan ever breaks a cap, a machine's size or a job's place rules. */
  @Test
  void randomPlansKeepEveryLimit() {
    for (int seed = 0; seed < 3_000; seed++) {
      SplittableRandom r = new SplittableRandom(seed);
      List<Snapshot.Host> hosts = new ArrayList<>();
      for (int i = 0; i < 1 + r.nextInt(8); i++) {
        hosts.add(
            new Snapshot.Host(
                "m" + i, r.nextBoolean() ? "mesa" : "torre", "z" + r.nextInt(3), r.nextBoolean(),
                16, r.nextInt(17), r.nextInt(3), r.nextInt(40), 1, 20,
                Set.of("img" + r.nextInt(3)), Set.of(), Map.of()));
      }
      List<Snapshot.Need> needs = new ArrayList<>();
      for (int i = 0; i < 1 + r.nextInt(6); i++) {
        int tasks = 1 + r.nextInt(9);
        boolean apart = r.nextBoolean();
        JobSpec spec =
            new JobSpec(
                "job-" + i, "lote", r.nextBoolean() ? "roja" : "azul", r.nextBoolean(),
                Priority.values()[r.nextInt(4)], tasks, r.nextInt(5), r.nextInt(2), r.nextInt(8),
                "img" + r.nextInt(3), 1, r.nextBoolean() ? null : List.of("torre"),
                r.nextInt(4) == 0 ? "z1" : null, !apart && r.nextBoolean(), apart, r.nextBoolean(),
                5, 0, 0, JobSpec.NO_DEADLINE);
        Map<String, Integer> zones =
            r.nextInt(3) == 0 ? Map.of("z" + r.nextInt(3), 1) : Map.of();
        List<Integer> list = new ArrayList<>();
        for (int t = zones.isEmpty() ? 0 : 1; t < tasks; t++) {
          list.add(t);
        }
        needs.add(new Snapshot.Need(spec, list, zones, r.nextBoolean(), r.nextBoolean(), 1, i));
      }
      Map<String, Snapshot.Use> teams =
          Map.of(
              "roja", new Snapshot.Use(3, 0, 5 + r.nextInt(20), 2),
              "azul", new Snapshot.Use(0, 0, 5 + r.nextInt(20), 2));
      check(new Snapshot(hosts, needs, List.of(), teams, 1 + r.nextInt(30)), seed);
    }
  }

  private static void check(Snapshot s, int seed) {
    Plan plan = Planner.plan(s);
    assertTrue(plan.starts().size() <= s.mostStarts());
    Map<String, double[]> byHost = new HashMap<>();
    Map<String, double[]> byTeam = new HashMap<>();
    Map<String, Map<String, Integer>> zones = new HashMap<>();
    s.needs().forEach(n -> zones.put(n.spec().id(), new HashMap<>(n.zones())));
    for (Plan.Start start : plan.starts()) {
      JobSpec spec = start.spec();
      Snapshot.Host host =
          s.hosts().stream().filter(h -> h.name().equals(start.machine())).findFirst().orElseThrow();
      double[] used = byHost.computeIfAbsent(host.name(), k -> new double[3]);
      used[0] += spec.cpus();
      used[1] += spec.cards();
      used[2] += spec.memGb();
      assertTrue(
          used[0] <= host.cpus() && used[1] <= host.cards() && used[2] <= host.memGb(),
          "seed " + seed);
      double[] team = byTeam.computeIfAbsent(spec.team(), k -> new double[2]);
      team[0] += spec.cpus();
      team[1] += spec.cards();
      Snapshot.Use use = s.teams().get(spec.team());
      assertTrue(use.cpus() + team[0] <= use.cpusMax() && use.cards() + team[1] <= use.cardsMax());
      assertTrue(spec.types() == null || spec.types().contains(host.type()));
      assertTrue(spec.zone() == null || spec.zone().equals(host.zone()));
      assertTrue(spec.spotAllowed() || !host.spot());
      Map<String, Integer> at = zones.get(spec.id());
      at.merge(host.zone(), 1, Integer::sum);
      assertTrue(!spec.onePlace() || at.size() == 1, "seed " + seed);
      assertTrue(!spec.apart() || at.get(host.zone()) <= (spec.tasks() + 1) / 2, "seed " + seed);
    }
  }
}
