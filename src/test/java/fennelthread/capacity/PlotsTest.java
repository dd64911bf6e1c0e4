package fennelthread.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/**
 * Writes an SVG plot of each significant slope of docs/scale/slopes.json into the folder that the
 * system property slopes.plots names; skipped without that property.
 */
@EnabledIfSystemProperty(named = "slopes.plots", matches = ".+")
class PlotsTest {

  @Test
  void writesAPlotOfEachSignificantSlope() throws IOException {
    Path folder = Path.of(System.getProperty("slopes.plots"));
    Files.createDirectories(folder);
    int plots = 0;
    for (Slope slope : SlopeCatalogue.load(Path.of("docs/scale/slopes.json")).all()) {
      if (slope.isSignificant()) {
        Files.writeString(
            folder.resolve(slope.id().replace('/', '.') + ".svg"), new SlopePlot(slope).toSvg());
        plots++;
      }
    }
    assertTrue(plots > 0);
    System.out.println("plots written: count=" + plots);
  }
}
