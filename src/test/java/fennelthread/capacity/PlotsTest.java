package fennelthread.capacity;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;

/** Draws each slope of docs/scale/slopes.json that grows: its points and its line. */
@EnabledIfSystemProperty(named = "slopes.plots", matches = ".+")
class PlotsTest {

  @Test
  void draw() throws IOException {
    Path folder = Path.of(System.getProperty("slopes.plots"));
    Files.createDirectories(folder);
    int drawn = 0;
    for (Slope slope : SlopeCatalogue.load(Path.of("docs/scale/slopes.json")).all()) {
      if (slope.grows()) {
        Files.writeString(
            folder.resolve(slope.id().replace('/', '.') + ".svg"), new SlopePlot(slope).svg());
        drawn++;
      }
    }
    assertTrue(drawn > 0);
    System.out.println(drawn + " plots");
  }
}
