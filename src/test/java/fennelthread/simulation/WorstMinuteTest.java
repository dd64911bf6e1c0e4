package fennelthread.simulation;

import fennelthread.settings.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * A cell of 1,000 workers at the peak of 817 starts a second, and what happens to it: prints starts
 * each five seconds, and when what was lost had begun again.
 */
@EnabledIfSystemProperty(named = "slopes.file", matches = ".+")
class WorstMinuteTest {
  private static final int WORKERS = 1_000;
  private static final double STARTS_PER_SECOND = 817;
  private static final int JOB = 50;
  private static final double TASK_S = 25;
  private static final long STEP_MS = 5_000;
  private static final int STEPS = 24;
  private static final Settings.StateLimits ROOMY =
      new Settings.StateLimits(20_000, 20_000, 16 * 1024, 12);

  /** What the largest fleet site has for a region. */
  private static final Settings.StateLimits TODAY =
      new Settings.StateLimits(800, 250, 16 * 1024, 12);

  private static ScaledCell atThePeak(Settings.StateLimits limits) {
    ScaledCell cell = new ScaledCell(ScaledCell.Shape.of(WORKERS).withLimits(limits), 7);
    cell.run(20_000);
    cell.repeat(STARTS_PER_SECOND / JOB, 240_000, () -> cell.submit(cell.array(JOB, TASK_S)));
    cell.run(60_000);
    return cell;
  }

  private static void follow(String what, ScaledCell cell) {
    StringBuilder rates = new StringBuilder();
    for (int i = 0; i < STEPS; i++) {
      int starts = cell.starts;
      cell.run(STEP_MS);
      rates.append(String.format(" %.0f", (cell.starts - starts) * 1_000.0 / STEP_MS));
    }
    System.out.printf(
        "%s: starts a second by 5 s:%s; leader %s, answers %s%n",
        what, rates, cell.leader(), cell.answers);
  }

  private static void loseAThird(ScaledCell cell) {
    List<WorkerEmulator> all = List.copyOf(cell.cloud.machines().values());
    for (int i = 0; i < all.size(); i += 3) {
      cell.cloud.terminate(all.get(i), true);
    }
  }

  @Test
  void aZoneIsLost() {
    ScaledCell roomy = atThePeak(ROOMY);
    int begun = roomy.starts - roomy.ends;
    loseAThird(roomy);
    System.out.printf("%d tasks ran before a third of the workers was lost%n", begun);
    follow("zone lost, roomy limits", roomy);
    ScaledCell today = atThePeak(TODAY);
    loseAThird(today);
    follow("zone lost, limits of today", today);
  }

  @Test
  void theLeaderEnds() {
    for (Settings.StateLimits limits : List.of(ROOMY, TODAY)) {
      ScaledCell cell = atThePeak(limits);
      cell.processes.get(cell.leader()).kill();
      follow("leader ended, " + limits.writeRps() + " changes a second", cell);
    }
  }
}
