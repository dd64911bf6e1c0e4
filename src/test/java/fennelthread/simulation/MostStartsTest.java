package fennelthread.simulation;

import fennelthread.settings.Settings;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/** What ends the growth of starts in one cell of 1,000 workers. Prints instead of judging. */
@EnabledIfSystemProperty(named = "slopes.file", matches = ".+")
class MostStartsTest {
  private static ScaledCell settled(ScaledCell.Shape shape) {
    ScaledCell cell = new ScaledCell(shape, 7);
    cell.run(20_000);
    return cell;
  }

  /** How many starts a second one leader comes to when more are asked for. */
  @Test
  void mostStarts() {
    for (double rate : new double[] {800, 1_000, 1_200, 1_600}) {
      ScaledCell cell = settled(ScaledCell.Shape.of(1_000));
      cell.repeat(rate / 50, 25_000, () -> cell.submit(cell.array(50, 5)));
      cell.run(10_000);
      int starts = cell.starts;
      cell.run(15_000);
      System.out.printf(
          "most starts: %.0f asked for, %.0f a second begun%n",
          rate, (cell.starts - starts) / 15.0);
    }
  }

  /** The same with the limits that a state service of a fleet site has today. */
  @Test
  void mostStartsWithLimits() {
    for (double changes : new double[] {50, 100, 250, 500, 1_000}) {
      for (int size : new int[] {10, 50}) {
        Settings.StateLimits limits =
            new Settings.StateLimits(changes * 3.2, changes, 16 * 1024, 12);
        ScaledCell cell = settled(ScaledCell.Shape.of(1_000).withLimits(limits));
        cell.repeat(817.0 / size, 60_000, () -> cell.submit(cell.array(size, 5)));
        cell.run(30_000);
        int starts = cell.starts;
        int ends = cell.ends;
        cell.run(30_000);
        System.out.printf(
            "limits: %.0f changes a second, jobs of %d: 817 asked for, %.0f begun, %.0f done a second,"
                + " answers %s%n",
            changes, size, (cell.starts - starts) / 30.0, (cell.ends - ends) / 30.0, cell.answers);
      }
    }
  }
}
