package fennelthread.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against tables in docs/capacity.md that differ from what the measured slopes give. */
class CapacityPageTest {
  private static final Path SLOPES = Path.of("docs/scale/slopes.json");
  private static final Path PLAN = Path.of("docs/scale/plan.json");
  private static final Path PAGE = Path.of("docs/capacity.md");

  @TempDir Path directory;

  @Test
  void pageHoldsTheGeneratedTables() throws IOException {
    String tables = new CapacityTables(SlopeCatalogue.load(SLOPES), Plan.load(PLAN)).write();
    assertEquals(
        tables,
        CapacityMain.extractTables(Files.readString(PAGE)),
        "regenerate them: java -cp target/fennelthread.jar fennelthread.capacity.CapacityMain "
            + SLOPES
            + " "
            + PLAN
            + " "
            + PAGE);
  }

  /** The page states that each slope was measured at five sizes or more and names its run. */
  @Test
  void everySlopeHasAtLeastFiveSizesAndASource() throws IOException {
    SlopeCatalogue catalogue = SlopeCatalogue.load(SLOPES);
    assertFalse(catalogue.all().isEmpty());
    for (Slope slope : catalogue.all()) {
      assertTrue(
          slope.points().stream().map(LinearFit.Point::count).distinct().count() >= 5, slope.id());
      assertFalse(catalogue.sourceOf(slope).isBlank(), slope.id());
    }
  }

  @Test
  void loadedCatalogueIsSavedUnchanged() throws IOException {
    SlopeCatalogue catalogue = SlopeCatalogue.load(SLOPES);
    Path copy = directory.resolve("slopes.json");
    catalogue.save(copy);
    assertEquals(Files.readString(SLOPES), Files.readString(copy));
  }

  private static Slope linearSlope(String cause, double intercept, double slope) {
    return new Slope(
        "leader",
        cause,
        Quantity.HEAP,
        List.of(
            new LinearFit.Point(0, intercept),
            new LinearFit.Point(10, intercept + 10 * slope),
            new LinearFit.Point(20, intercept + 20 * slope)),
        "");
  }

  @Test
  void estimateIsTheBasePlusEachSlopeTimesItsCount() {
    SlopeCatalogue catalogue = new SlopeCatalogue();
    catalogue.put(linearSlope("worker", 100, 5), "here");
    catalogue.put(linearSlope("start", 900, 2), "here");
    Estimate estimate =
        Estimate.of(
                catalogue,
                "leader",
                Quantity.HEAP,
                new Plan.Situation("peak", Map.of("worker", 10.0, "start", 50.0)))
            .orElseThrow();
    assertEquals(100 + 50 + 100, estimate.value(), 1e-6);
    assertTrue(estimate.isExtrapolated(), "50 starts planned, 20 measured");
    assertTrue(
        Estimate.of(
                catalogue, "cloud", Quantity.HEAP, new Plan.Situation("", Map.of("worker", 1.0)))
            .isEmpty());
  }

  @Test
  void pageWithoutMarkersIsRejected() {
    assertThrows(IllegalArgumentException.class, () -> CapacityMain.replaceTables("# Page\n", "x"));
  }
}
