package fennelthread.simulation;

import fennelthread.capacity.Quantity;
import fennelthread.capacity.Slope;
import fennelthread.capacity.SlopeCatalogue;
import fennelthread.wire.JobSpec;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleFunction;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Measures how each role's work grows with each cause, at five sizes and more, and writes the
 * points to the file that {@code slopes.file} names (docs/scale/slopes.json is made so). Prints
 * tables instead of judging. What is counted is exact for the seed; processor time is that of this
 * machine, of the controller's thread, without sockets and HTTP.
 */
@EnabledIfSystemProperty(named = "slopes.file", matches = ".+")
class SlopesTest {
  private static final Path FILE = Path.of(System.getProperty("slopes.file", "slopes.json"));
  private static final String SOURCE = System.getProperty("slopes.source", "unknown");
  private static final long SETTLE_MS = 20_000;
  private static final long SAMPLE_MS = 20_000;

  private static SlopeCatalogue catalogue = new SlopeCatalogue();

  @BeforeAll
  static void load() throws IOException {
    if (Files.exists(FILE)) {
      catalogue = SlopeCatalogue.load(FILE);
    }
    // The first cell warms the compiler up: its processor time is not used.
    ScaledCell cell = settled(ScaledCell.Shape.of(250));
    cell.repeat(10, 20_000, () -> cell.submit(cell.array(20, 3)));
    cell.sample(30_000);
  }

  /** What other classes have written meanwhile stays. */
  @AfterAll
  static void save() throws IOException {
    if (Files.exists(FILE)) {
      SlopeCatalogue others = SlopeCatalogue.load(FILE);
      for (Slope slope : others.all()) {
        if (catalogue.find(slope.role(), slope.cause(), slope.quantity()).isEmpty()) {
          catalogue.put(slope, others.sourceOf(slope));
        }
      }
    }
    catalogue.save(FILE);
  }

  private static ScaledCell settled(ScaledCell.Shape shape) {
    ScaledCell cell = new ScaledCell(shape, 7);
    cell.run(SETTLE_MS);
    return cell;
  }

  private static SlopeSeries series(String cause) {
    return new SlopeSeries(cause, catalogue, SOURCE);
  }

  private static final Quantity[] ALL = {
    Quantity.HEAP,
    Quantity.STORED,
    Quantity.MESSAGES,
    Quantity.TRAFFIC,
    Quantity.CPU_TIME,
    Quantity.STATE_REQUESTS,
    Quantity.STATE_CHANGES
  };

  private static final Quantity[] RATES = {
    Quantity.MESSAGES,
    Quantity.TRAFFIC,
    Quantity.CPU_TIME,
    Quantity.STATE_REQUESTS,
    Quantity.STATE_CHANGES
  };

  /** Builds a cell for each count, samples it and adds the points. */
  private static SlopeSeries measure(
      String cause, double[] counts, DoubleFunction<ScaledCell> prepare, long sampleMs) {
    SlopeSeries series = series(cause);
    for (double count : counts) {
      ScaledCell cell = prepare.apply(count);
      int starts = cell.starts;
      int ends = cell.ends;
      series.add(count, cell.sample(sampleMs));
      System.out.printf(
          "%s %.0f: %.1f starts/s, %.1f ends/s, answers %s, 429s %d, leader %s%n",
          cause,
          count,
          (cell.starts - starts) * 1000.0 / sampleMs,
          (cell.ends - ends) * 1000.0 / sampleMs,
          cell.answers,
          cell.state.refusedAsTooMany,
          cell.leader());
      print(cell);
    }
    return series;
  }

  private static void print(ScaledCell cell) {
    Meter m = cell.meters.get(cell.leader());
    System.out.printf(
        "    leader: ns %s%n    changes %s, state requests %s%n",
        m.nanos, m.changes, m.stateRequests);
  }

  @Test
  void workers() {
    measure(
            "worker",
            new double[] {250, 500, 1_000, 2_000, 4_000},
            n -> settled(ScaledCell.Shape.of((int) n)),
            SAMPLE_MS)
        .keep(ALL);
  }

  @Test
  void reports() {
    SlopeSeries series = series("report");
    for (long ms : new long[] {8_000, 4_000, 2_000, 1_333, 1_000, 800}) {
      ScaledCell cell = settled(ScaledCell.Shape.of(1_000).withReport(ms));
      Map<String, Map<Quantity, Double>> sample = cell.sample(SAMPLE_MS);
      series.add(1_000 * sample.get("worker").get(Quantity.MESSAGES), sample);
    }
    series.keep(Quantity.MESSAGES, Quantity.TRAFFIC, Quantity.CPU_TIME);
  }

  @Test
  void runningTasks() {
    measure(
            "running-task",
            new double[] {3_000, 7_500, 15_000, 22_500, 30_000},
            n -> {
              ScaledCell cell = settled(ScaledCell.Shape.of(750));
              cell.repeat(4, ((long) n) / 4 * 10, () -> cell.submit(cell.array(100, 1_000_000)));
              cell.run(60_000 + ((long) n) * 3);
              if (cell.starts < n) {
                throw new AssertionError(cell.starts + " of " + n + " started");
              }
              return cell;
            },
            SAMPLE_MS)
        .keep(ALL);
  }

  private static final double[] RATES_OF_STARTS = {50, 100, 200, 400, 600, 800, 1_000};

  private static SlopeSeries starts(String cause, double estimateS, long warmUpMs) {
    return measure(
        cause,
        RATES_OF_STARTS,
        rate -> {
          ScaledCell cell = settled(ScaledCell.Shape.of(1_000));
          cell.repeat(rate / 50, warmUpMs + 25_000, () -> cell.submit(cell.array(50, estimateS)));
          cell.run(warmUpMs);
          return cell;
        },
        15_000);
  }

  @Test
  void starts() {
    starts("start", 1_000_000, 15_000).keep(RATES);
  }

  /**
   * Tasks of 35 s, as the plan has them (170,000 running, 4,900 starts a second). With tasks of 5 s
   * ends came in bunches, on few machines and within few seconds of a job's life: a job's parts and
   * the reports of its machines were half as many.
   */
  @Test
  void startsAndEnds() {
    SlopeSeries both = starts("start-and-end", 35, 70_000);
    both.keepAnew(RATES);
    both.less("start", "end").keepAnew(RATES);
  }

  @Test
  void submissions() {
    measure(
            "submission",
            new double[] {2, 5, 10, 20, 40},
            rate -> {
              ScaledCell cell = settled(ScaledCell.Shape.of(500));
              cell.repeat(rate, 30_000, () -> cell.submit(cell.waiting()));
              cell.run(5_000);
              return cell;
            },
            SAMPLE_MS)
        .keep(RATES);
  }

  private static ScaledCell withWaiting(double jobs) {
    ScaledCell cell = settled(ScaledCell.Shape.of(500));
    cell.repeat(40, (long) (jobs / 40 * 1_000), () -> cell.submit(cell.waiting()));
    cell.run(20_000 + (long) (jobs / 40 * 1_000));
    return cell;
  }

  @Test
  void waitingJobs() {
    measure(
            "waiting-job",
            new double[] {125, 250, 500, 1_000, 2_000},
            SlopesTest::withWaiting,
            SAMPLE_MS)
        .keep(Quantity.HEAP, Quantity.STORED, Quantity.CPU_TIME);
  }

  /** Arrays that wait because all machines are full. */
  @Test
  void waitingTasks() {
    measure(
            "waiting-task",
            new double[] {1_000, 2_000, 4_000, 8_000, 16_000},
            n -> {
              ScaledCell cell = settled(ScaledCell.Shape.of(250));
              cell.repeat(4, 25_000, () -> cell.submit(cell.array(100, 1_000_000)));
              cell.run(45_000);
              if (cell.starts != 10_000) {
                throw new AssertionError(cell.starts + " started, room for 10000");
              }
              cell.repeat(4, ((long) n) / 4 * 10, () -> cell.submit(cell.array(100, 1_000_000)));
              cell.run(20_000 + ((long) n) / 4 * 10);
              return cell;
            },
            SAMPLE_MS)
        .keep(Quantity.HEAP, Quantity.STORED, Quantity.CPU_TIME);
  }

  /** What the machines cost the rounds: 400 starts a second in fleets of all sizes, less idle. */
  @Test
  void workersInRounds() {
    double[] sizes = {250, 500, 1_000, 2_000, 4_000};
    SlopeSeries idle =
        measure("worker", sizes, n -> settled(ScaledCell.Shape.of((int) n)), SAMPLE_MS);
    SlopeSeries starting =
        measure(
            "worker-at-work",
            sizes,
            n -> {
              ScaledCell cell = settled(ScaledCell.Shape.of((int) n));
              cell.repeat(8, 40_000, () -> cell.submit(cell.array(50, 5)));
              cell.run(15_000);
              return cell;
            },
            SAMPLE_MS);
    starting.keep(Quantity.CPU_TIME);
    idle.keep(Quantity.CPU_TIME);
    starting.less("worker", "worker-in-rounds").keepAnew(Quantity.CPU_TIME);
  }

  @Test
  void questions() {
    measure(
            "question",
            new double[] {10, 50, 100, 200, 400},
            rate -> {
              ScaledCell cell = settled(ScaledCell.Shape.of(500));
              List<String> ids = new ArrayList<>();
              for (int i = 0; i < 50; i++) {
                JobSpec job = cell.array(10, 1_000_000);
                ids.add(job.id());
                cell.submit(job);
              }
              cell.run(15_000);
              int[] next = new int[1];
              cell.repeat(rate, 30_000, () -> cell.question(ids.get(next[0]++ % ids.size())));
              cell.run(3_000);
              return cell;
            },
            SAMPLE_MS)
        .keep(RATES);
  }

  @Test
  void cancellations() {
    measure(
            "cancellation",
            new double[] {5, 10, 20, 40, 80},
            rate -> {
              ScaledCell cell = settled(ScaledCell.Shape.of(500));
              List<String> ids = new ArrayList<>();
              cell.repeat(
                  50,
                  41_000,
                  () -> {
                    JobSpec job = cell.waiting();
                    ids.add(job.id());
                    cell.submit(job);
                  });
              cell.run(60_000);
              int[] next = new int[1];
              cell.repeat(rate, 30_000, () -> cell.cancel(ids.get(1 + next[0]++)));
              cell.run(3_000);
              return cell;
            },
            SAMPLE_MS)
        .keep(RATES);
  }

  @Test
  void teams() {
    measure(
            "team",
            new double[] {10, 50, 100, 170, 340},
            n -> {
              ScaledCell cell = settled(ScaledCell.Shape.of(500).withTeams((int) n));
              cell.repeat(4, 40_000, () -> cell.submit(cell.array(50, 5)));
              cell.run(15_000);
              return cell;
            },
            SAMPLE_MS)
        .keep(Quantity.HEAP, Quantity.STORED, Quantity.CPU_TIME);
  }

  /**
   * What the end of a leader costs its successor in the first ten seconds, beyond ten of any. The
   * value at no worker is that of the submissions that go on meanwhile.
   */
  @Test
  void changeOfLeader() {
    SlopeSeries series = series("leader-change");
    for (int workers : new int[] {250, 500, 1_000, 2_000, 4_000}) {
      ScaledCell cell = settled(ScaledCell.Shape.of(workers));
      cell.repeat(4, 5_000L * workers / 1_000, () -> cell.submit(cell.array(100, 1_000_000)));
      cell.run(20_000);
      Map<String, Map<Quantity, Double>> before = cell.sample(10_000);
      String old = cell.leader();
      cell.processes.get(old).kill();
      cell.repeat(20, 20_000, () -> cell.submit(cell.array(1, 1_000_000)));
      int starts = cell.starts;
      long from = cell.world.now();
      cell.meters.values().forEach(Meter::reset);
      while (cell.starts == starts && cell.world.now() < from + 60_000) {
        cell.run(10);
      }
      double gap = cell.world.now() - from;
      Map<String, Map<Quantity, Double>> after = cell.sample(10_000 - (long) Math.min(gap, 9_000));
      double seconds = (10_000 - Math.min(gap, 9_000)) / 1_000;
      for (Quantity q : RATES) {
        for (String role : List.of("leader", "state")) {
          if (before.get(role).containsKey(q)) {
            series.add(
                role, q, workers, (after.get(role).get(q) - before.get(role).get(q)) * seconds);
          }
        }
      }
      series.add("leader", Quantity.START_GAP, workers, gap);
      System.out.printf("leader-change %d: %.0f ms without a start%n", workers, gap);
    }
    series.keep(
        Quantity.START_GAP,
        Quantity.MESSAGES,
        Quantity.TRAFFIC,
        Quantity.CPU_TIME,
        Quantity.STATE_REQUESTS,
        Quantity.STATE_CHANGES);
  }

  /**
   * What a job costs the state service beside its tasks: 200 starts a second in jobs of all sizes.
   */
  @Test
  void jobs() {
    double[] sizes = {200, 100, 50, 20, 10, 5, 2};
    double[] jobsPerSecond = new double[sizes.length];
    for (int i = 0; i < sizes.length; i++) {
      jobsPerSecond[i] = 200 / sizes[i];
    }
    measure(
            "job",
            jobsPerSecond,
            rate -> {
              ScaledCell cell = settled(ScaledCell.Shape.of(500));
              cell.repeat(rate, 95_000, () -> cell.submit(cell.array((int) (200 / rate), 35)));
              cell.run(70_000);
              return cell;
            },
            SAMPLE_MS)
        .keepAnew(RATES);
  }
}
