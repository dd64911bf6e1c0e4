package fennelthread.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import fennelthread.capacity.Quantity;
import fennelthread.wire.JobSpec;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The cells that slopes are measured on count what happens in them. */
class ScaledCellTest {
  private static final int WORKERS = 40;
  private static final long REPORT_MS = 4_000;

  private static ScaledCell settled() {
    ScaledCell cell = new ScaledCell(ScaledCell.Shape.of(WORKERS), 3);
    cell.run(20_000);
    return cell;
  }

  @Test
  void anIdleCellCostsItsReports() {
    Map<String, Map<Quantity, Double>> sample = settled().sample(20_000);
    assertEquals(1_000.0 / REPORT_MS, sample.get("worker").get(Quantity.MESSAGES), 0.02);
    assertEquals(0, sample.get("state").get(Quantity.STATE_CHANGES));
    assertEquals(0, sample.get("front").get(Quantity.MESSAGES));
    assertTrue(sample.get("leader").get(Quantity.MESSAGES) > WORKERS * 1_000.0 / REPORT_MS);
  }

  /** One array of ten tasks: its acceptance, a record for each round that starts some of it. */
  @Test
  void aJobCostsItsAcceptanceAndItsRecords() {
    ScaledCell cell = settled();
    cell.collectStartRecords();
    cell.submit(cell.array(10, 1_000_000));
    Map<String, Map<Quantity, Double>> sample = cell.sample(10_000);
    assertEquals(10, cell.starts);
    assertEquals(1, sample.get("front").get(Quantity.MESSAGES) * 10, 1e-9);
    assertEquals(
        1 + cell.startRecords.size(), sample.get("state").get(Quantity.STATE_CHANGES) * 10, 1e-9);
  }

  /** A team at its limit: its second job waits, and asks for nothing but its acceptance. */
  @Test
  void aJobOfAFullTeamWaits() {
    ScaledCell cell = settled();
    cell.submit(cell.waiting());
    cell.run(5_000);
    JobSpec second = cell.waiting();
    cell.submit(second);
    Map<String, Map<Quantity, Double>> sample = cell.sample(10_000);
    assertEquals(1, cell.starts);
    assertEquals(1, sample.get("state").get(Quantity.STATE_CHANGES) * 10, 1e-9);
    assertEquals(2, cell.answers.get(201));
  }
}
