package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.wire.JobSpec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Two of the troubles that operators expect, overlapping. What is looked at beside the rules:
 * whether every class of jobs is still served, by at least half ({@code unserved}).
 */
class PairsTest {
  private static final int MACHINES = 200;
  private static final long FIRST_MS = 40_000;
  private static final long WINDOW_MS = 15_000;

  /** A trouble of some seconds; the leader is the one that leads when it begins. */
  private static final Map<String, Consumer<SimulatedCluster>> TROUBLES = new LinkedHashMap<>();

  static {
    TROUBLES.put("outage", c -> c.state.outage(12_000));
    TROUBLES.put("leader crashes", c -> withLeader(c, m -> c.crash(m, 4_000)));
    TROUBLES.put("all crash", c -> members(c).forEach(m -> c.crash(m, 4_000)));
    TROUBLES.put(
        "rolling restart",
        c -> {
          for (int i = 0; i < 3; i++) {
            String member = "nodo-" + i;
            c.world.after(i * 6_000L, () -> c.crash(member, 2_500));
          }
        });
    TROUBLES.put("leader frozen", c -> withLeader(c, m -> c.processes.get(m).pause(10_000)));
    TROUBLES.put("leader refused", c -> withLeader(c, m -> c.state.refuse(m, 15_000)));
    TROUBLES.put("leader cut: state", c -> withLeader(c, m -> c.world.cut(m, "state", 15_000)));
    TROUBLES.put("leader cut: workers", c -> withLeader(c, m -> c.world.cut(m, "n-", 15_000)));
    TROUBLES.put(
        "leader cut: all",
        c ->
            withLeader(
                c,
                m -> {
                  c.world.cut(m, "n-", 15_000);
                  c.world.cut(m, "state", 15_000);
                  members(c).stream()
                      .filter(o -> !o.equals(m))
                      .forEach(o -> c.world.cut(m, o, 15_000));
                }));
    TROUBLES.put("mesh refused", c -> c.refuseMesh(18_000));
    TROUBLES.put("a fifth cut off", c -> c.world.cut("n-00011", "nodo", 18_000));
    TROUBLES.put("a fifth dies", c -> fifth(c, w -> c.cloud.end(w, true)));
    TROUBLES.put("a fifth hangs", c -> fifth(c, w -> w.hang(8_000)));
    TROUBLES.put("a fifth untold", c -> c.world.cutOneWay("nodo", "n-00011", 18_000));
    TROUBLES.put(
        "reports copied",
        c -> {
          c.world.copy(new SimulatedNetwork.Copies("/agent/beat", 0.3, 1_000, 30_000), 20_000);
          c.world.copy(new SimulatedNetwork.Copies("/relay/report", 0.3, 1_000, 30_000), 20_000);
        });
    TROUBLES.put("leader alone", c -> withLeader(c, m -> c.leaveAlone(m, 15_000)));
    TROUBLES.put("writes late", c -> c.state.lateWrites(0.3, 15_000));
    TROUBLES.put(
        "commands held",
        c -> {
          c.world.hold(new SimulatedNetwork.Held("/commands", false, 0.2, 2_000, 40_000), 15_000);
          c.world.hold(new SimulatedNetwork.Held("/commands", true, 0.2, 2_000, 40_000), 15_000);
        });
    TROUBLES.put("cloud down", c -> c.cloud.outage(15_000));
    TROUBLES.put(
        "burst",
        c -> {
          for (int i = 0; i < 60; i++) {
            JobSpec job = batch(c);
            c.world.after(i * 100L, () -> c.submit(job));
          }
        });
  }

  private static void withLeader(SimulatedCluster c, Consumer<String> trouble) {
    if (c.leader() != null) {
      trouble.accept(c.leader());
    }
  }

  private static List<String> members(SimulatedCluster c) {
    return List.copyOf(c.controllers.keySet());
  }

  private static void fifth(SimulatedCluster c, Consumer<WorkerEmulator> trouble) {
    List<WorkerEmulator> all = List.copyOf(c.cloud.machines().values());
    for (int i = 0; i < all.size(); i += 5) {
      trouble.accept(all.get(i));
    }
  }

  private static JobSpec batch(SimulatedCluster c) {
    return c.plain(false, 10);
  }

  /** What users had of a day: shares from 0 to 1. */
  private record Day(double replicas, double worst, double done, double accepted) {
    double least() {
      return Math.min(Math.min(replicas, worst), Math.min(done, accepted));
    }
  }

  private static Day play(String first, String second, long gapMs, long seed) {
    SimulatedCluster c = SimulatedCluster.large(seed, MACHINES);
    c.world.loss = 0.0005;
    c.world.late = 0;
    List<JobSpec> services = new ArrayList<>();
    c.world.runUntil(12_000);
    for (int i = 0; i < 30; i++) {
      JobSpec job = c.plain(true, 4);
      services.add(job);
      c.submit(job);
    }
    List<JobSpec> batches = new ArrayList<>();
    for (long t = 15_000; t < FIRST_MS + 30_000; t += 700) {
      JobSpec job = batch(c);
      batches.add(job);
      c.world.at(t, () -> c.submit(job));
    }
    c.world.at(FIRST_MS, () -> TROUBLES.get(first).accept(c));
    c.world.at(FIRST_MS + gapMs, () -> TROUBLES.get(second).accept(c));
    c.world.runUntil(FIRST_MS);
    List<Double> up = new ArrayList<>();
    while (c.world.now() < FIRST_MS + 60_000) {
      c.world.runUntil(c.world.now() + 500);
      int running = 0;
      for (JobSpec job : services) {
        running += c.rules.running(job.id());
      }
      up.add(running / 120.0);
    }
    c.world.at(FIRST_MS + gapMs + 35_000, c.rules::troublesAreOver);
    c.world.runUntil(FIRST_MS + 120_000);
    c.rules.checkServed(30_000);
    double worst = 1;
    int window = (int) (WINDOW_MS / 500);
    for (int i = 0; i + window <= up.size(); i++) {
      worst =
          Math.min(
              worst, up.subList(i, i + window).stream().mapToDouble(d -> d).average().orElse(1));
    }
    return new Day(
        up.stream().mapToDouble(d -> d).average().orElse(1),
        worst,
        batches.stream().filter(job -> c.rules.allCompleted(job.id())).count()
            / (double) batches.size(),
        batches.stream().filter(job -> c.rules.isAccepted(job.id())).count()
            / (double) batches.size());
  }

  /**
   * Every pair at 0, 3 and 10 s: {@code -Dsim.pairs=true}. Prints, for each pair, the least share
   * of a class that was served at its worst, and what it was.
   */
  @Test
  @EnabledIfSystemProperty(named = "sim.pairs", matches = "true")
  void table() {
    List<String> names = List.copyOf(TROUBLES.keySet());
    long[] gaps = {0, 3_000, 10_000};
    int cases = names.size() * names.size() * gaps.length;
    String[] cells = new String[cases];
    IntStream.range(0, cases)
        .parallel()
        .forEach(
            i -> {
              String first = names.get(i / gaps.length / names.size());
              String second = names.get(i / gaps.length % names.size());
              try {
                Day day = play(first, second, gaps[i % gaps.length], 1 + i % 7);
                cells[i] =
                    String.format(
                        "%.2f | %s, %s +%d s: replicas %.3f, worst %d s %.3f, done %.3f, accepted %.3f",
                        day.least(),
                        first,
                        second,
                        gaps[i % gaps.length] / 1_000,
                        day.replicas,
                        WINDOW_MS / 1_000,
                        day.worst,
                        day.done,
                        day.accepted);
              } catch (AssertionError e) {
                cells[i] = "0.00 | " + first + ", " + second + ": BROKEN " + e.getMessage();
              }
            });
    Arrays.sort(cells);
    for (String cell : cells) {
      System.out.println("PAIR " + cell);
    }
    assertTrue(cells[0].startsWith("0.") && !cells[0].contains("BROKEN"), cells[0]);
  }

  /** Those that once lost a whole fleet, and the worst that are left. */
  @ParameterizedTest
  @CsvSource({
    "mesh refused, leader cut: workers, 3000",
    "leader cut: workers, outage, 3000",
    "outage, leader cut: workers, 0",
    "leader cut: workers, leader refused, 3000",
    "leader refused, outage, 3000",
    "leader cut: state, outage, 3000",
    "leader frozen, outage, 3000"
  })
  void everyClassIsServed(String first, String second, long gapMs) {
    Day day = play(first, second, gapMs, 1);
    System.out.printf("%s, %s: %s%n", first, second, day);
    assertTrue(day.least() >= 0.5, day.toString());
  }
}
